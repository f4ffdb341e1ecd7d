//! Decides which arrays this node fetches, and from which nodes.

use hallpin_membership::names::{Moment, NodeId};
use hallpin_membership::view::View;

use super::TableProtocol;
use crate::events::Outbox;
use crate::fetch::Fetch;
use crate::message::Message;
use crate::table::{Array, TableHeader};

impl TableProtocol {
    /// Returns the array with this digest if this node has it; every node has the empty array.
    pub(super) fn find_array(&self, digest: u64) -> Option<Array> {
        let empty = Array::new(Vec::new());
        self.replica.find_array(digest).or_else(|| (digest == empty.digest).then_some(empty))
    }

    /// Ends the fetch, and stores the array as the wanted endpoint list or with its table.
    pub(super) fn on_array_fetched(&mut self, now: Moment, array: Array) {
        self.fetch = None;
        if let Some((revision, ..)) = self.wanted_list(now).filter(|(_, digest, _)| *digest == array.digest) {
            self.replica.fetched_list = Some((revision, array));
            return;
        }
        self.replica.on_array_fetched(now, array);
    }

    /// Returns the revision, digest and holder of the newest list of other nodes, if this node is the coordinator and has only older ones.
    fn wanted_list(&self, now: Moment) -> Option<(u64, u64, NodeId)> {
        let lists = [&self.replica.endpoint_list, &self.replica.fetched_list].into_iter().flatten();
        self.coordinator.as_ref()?.newer_list(&self.config, now, lists.map(|(revision, _)| *revision).max())
    }

    /// Fetches the missing table, else the wanted list; repeats the request when no page has come within `retry`.
    pub(super) fn fetch_missing(&mut self, now: Moment, view: &View, out: &mut Outbox) {
        let list = self.wanted_list(now).map(|(_, digest, _)| digest);
        let Some(target) = self.replica.missing_table().map(|header: TableHeader| header.digest).or(list)
        else {
            self.fetch = None;
            return;
        };
        if let Some(array) = self.find_array(target) {
            self.on_array_fetched(now, array);
            return;
        }
        if self.fetch.as_ref().is_none_or(|fetch| fetch.target() != target) {
            self.fetch = Some(Fetch::new(target, self.replica.base().map(|held| held.array())));
        }
        let due = self.fetch.as_ref().is_some_and(|fetch| {
            fetch.requested_at.is_none_or(|requested_at| now >= requested_at + self.config.retry)
        });
        if due {
            self.request_pages(now, view, out);
        }
    }

    /// Requests pages from the node most likely to have them: the last source, a node that reported the array, every
    /// other time the coordinator, else any node in turn.
    pub(super) fn request_pages(&mut self, now: Moment, view: &View, out: &mut Outbox) {
        let Some(fetch) = &mut self.fetch else {
            return;
        };
        let this = self.config.this.node;
        let last_source = fetch.source.take();
        let reporting_holder = self
            .coordinator
            .as_ref()
            .and_then(|coordinator| coordinator.source(fetch.target(), this, fetch.tries));
        let leader = self.replica.leader_node().filter(|leader| *leader != this && fetch.tries % 2 == 0);
        let others: Vec<_> =
            view.alive().map(|member| member.node_incarnation.node).filter(|node| *node != this).collect();
        let start = self.seed as usize % others.len().max(1) + fetch.tries as usize;
        let anybody = others.get(start % others.len().max(1)).copied();
        fetch.requested_at = Some(now);
        let Some(to) = last_source.or(reporting_holder).or(leader).or(anybody) else {
            return;
        };
        let request = fetch.next_request();
        fetch.tries = fetch.tries.wrapping_add(1);
        self.last_request = Some(request.clone());
        out.send(to, Message::PageRequest(request));
    }
}

//! The table protocol of one node: its replica, its coordinator while it holds the leader lease, and its fetches of
//! arrays.
//!
//! Each call gets the epoch of the leader lease, if this node holds it.

mod pull;

use hallpin_membership::names::{Moment, NodeIncarnation};
use hallpin_membership::view::View;

use crate::config::PlacementConfig;
use crate::coordinator::Coordinator;
use crate::events::Outbox;
use crate::fetch::{pages_for, Fetch};
use crate::message::{Message, PageRequest, Report};
use crate::replica::Replica;
use crate::table::{Array, TableEntry};

/// Most messages to itself that a node processes in one call; any others are dropped. No call is known to need more
/// than a few.
const MAX_SELF_MESSAGES: usize = 64;

/// Page requests answered within `retry`; the rest are dropped, and the requesters ask another node.
const MAX_ANSWERS_PER_RETRY: u32 = 32;

/// State of the table protocol at one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct TableProtocol {
    pub config: PlacementConfig,
    pub replica: Replica,
    pub coordinator: Option<Coordinator>,
    /// The transfer in progress.
    fetch: Option<Fetch>,
    /// The last page request sent.
    last_request: Option<PageRequest>,
    /// Start of the interval in which `answers_in_window` counts page requests.
    answer_window_started_at: Moment,
    answers_in_window: u32,
    reports_sent: u64,
    /// The last report sent; one with another epoch, table or lease state is sent at once. `None` makes the next report
    /// due now.
    last_report: Option<Report>,
    /// Time at which `last_report` was sent.
    reported_at: Moment,
    /// Time at which a report is due even if nothing has changed.
    next_report_at: Moment,
    /// Time from which [`TableProtocol::tick`] runs the coordinator; `None` means at the next call.
    next_tick_at: Option<Moment>,
    /// Selects the first node that is asked for pages when no better source is known.
    seed: u64,
    /// Versions decided by this node in earlier holdings of the leader lease.
    pub decided_in_past_terms: u64,
}

impl TableProtocol {
    pub fn new(config: PlacementConfig, replica: Replica, now: Moment, seed: u64) -> Self {
        TableProtocol {
            config,
            replica,
            coordinator: None,
            fetch: None,
            last_request: None,
            answer_window_started_at: now,
            answers_in_window: 0,
            reports_sent: 0,
            last_report: None,
            reported_at: now,
            next_report_at: now,
            next_tick_at: None,
            seed,
            decided_in_past_terms: 0,
        }
    }

    /// Sets this node's own list, and reports it at once if the coordinator may not have it yet.
    pub fn set_endpoint_list(&mut self, now: Moment, revision: u64, entries: Vec<TableEntry>) {
        self.replica.endpoint_list = Some((revision, Array::new(entries)));
        if self.replica.revision() < Some(revision) {
            self.next_report_at = now;
            self.next_tick_at = Some(now);
        }
    }

    /// Processes a message. `epoch` is that of the leader lease, if this node holds it now.
    pub fn receive(
        &mut self,
        now: Moment,
        epoch: Option<u64>,
        view: &View,
        from: NodeIncarnation,
        message: Message,
        out: &mut Outbox,
    ) {
        self.replica.expire_lease(now);
        self.follow_leader_lease(now, epoch);
        self.handle(now, view, from, message, out);
        self.finish_call(now, view, out);
    }

    /// Advances time: expires the lease, runs the coordinator and sends what is due.
    pub fn tick(&mut self, now: Moment, epoch: Option<u64>, view: &View, out: &mut Outbox) {
        self.replica.expire_lease(now);
        self.replica.progress(now, false);
        self.follow_leader_lease(now, epoch);
        if self.next_tick_at.is_none_or(|next| next <= now) {
            self.run_coordinator(now, view, out);
        }
        if self.next_report_at <= now {
            self.last_report = None;
        }
        self.finish_call(now, view, out);
    }

    /// Returns when [`TableProtocol::tick`] is next needed.
    pub fn due(&self) -> Option<Moment> {
        let report = self.replica.leader_node().map(|_| self.next_report_at);
        let tick = self.coordinator.as_ref().and(self.next_tick_at);
        let fetch_due =
            self.fetch.as_ref().map(|fetch| fetch.requested_at.unwrap_or_default() + self.config.retry);
        [report, tick, fetch_due, self.replica.lease_until()].into_iter().flatten().min()
    }

    /// Starts or ends this node's coordinator when the leader lease is gained or lost.
    fn follow_leader_lease(&mut self, now: Moment, epoch: Option<u64>) {
        if self.coordinator.as_ref().map(|coordinator| coordinator.epoch) == epoch {
            return;
        }
        self.decided_in_past_terms += self.coordinator.as_ref().map_or(0, |ended| ended.decided_count);
        self.coordinator = epoch.map(|epoch| Coordinator::new(&self.config, epoch, now));
        self.next_tick_at = None;
    }

    fn run_coordinator(&mut self, now: Moment, view: &View, out: &mut Outbox) {
        let Some(coordinator) = &mut self.coordinator else {
            return;
        };
        // A fetched list is needed only until a table is made from it.
        let in_force_revision = coordinator.revision();
        self.replica.fetched_list.take_if(|(revision, _)| in_force_revision >= Some(*revision));
        let lists = [&self.replica.endpoint_list, &self.replica.fetched_list].into_iter().flatten();
        let newest = lists.max_by_key(|(revision, _)| *revision).map(|(revision, array)| (*revision, array));
        coordinator.tick(&self.config, now, view, newest, out);
        self.next_tick_at = Some(now + self.config.retry);
    }

    fn handle(
        &mut self,
        now: Moment,
        view: &View,
        from: NodeIncarnation,
        message: Message,
        out: &mut Outbox,
    ) {
        match message {
            Message::Report(report) => {
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.on_report(&self.config, now, from, report, out);
                }
            }
            Message::Announcement(announcement) => {
                let accepted = self.replica.on_announcement(&self.config, now, from, &announcement);
                // An announcement without a grant that brings nothing new asks for a report: the last one may be lost.
                if accepted && announcement.grant.is_some() {
                    self.next_report_at = self.reported_at + self.config.heartbeat_interval();
                } else if accepted && now >= self.reported_at + self.config.retry {
                    self.last_report = None;
                }
            }
            Message::PageRequest(request) => {
                if now >= self.answer_window_started_at + self.config.retry {
                    (self.answer_window_started_at, self.answers_in_window) = (now, 0);
                }
                self.answers_in_window += 1;
                if self.answers_in_window <= MAX_ANSWERS_PER_RETRY {
                    let pages = pages_for(&request, |digest| self.find_array(digest)).into_iter();
                    pages.for_each(|page| out.send(from.node, Message::Page(page)));
                }
            }
            Message::Page(page) => {
                let Some(fetch) = &mut self.fetch else {
                    return;
                };
                if let Some(array) = fetch.add_page(page, from.node) {
                    self.on_array_fetched(now, array);
                } else if self.last_request.as_ref().is_some_and(|last| fetch.is_window_complete(last)) {
                    self.request_pages(now, view, out);
                }
            }
        }
    }

    /// Completes a call: fetches missing arrays, reports changes, and processes the messages that this node sent to
    /// itself.
    fn finish_call(&mut self, now: Moment, view: &View, out: &mut Outbox) {
        let mut done = 0;
        for _ in 0..MAX_SELF_MESSAGES {
            self.fetch_missing(now, view, out);
            self.report(now, out);
            let this = self.config.this;
            let Some(at) = out.sends[done..].iter().position(|(to, _)| *to == this.node) else {
                break;
            };
            done += at;
            let (_, message) = out.sends.remove(done);
            self.handle(now, view, this, message, out);
        }
        out.sends.retain(|(to, _)| *to != self.config.this.node);
        out.events.append(&mut self.replica.events);
    }

    /// Reports to the coordinator if the epoch, a table or the lease state has changed or a report is due.
    fn report(&mut self, now: Moment, out: &mut Outbox) {
        let Some(leader) = self.replica.leader_node() else {
            return;
        };
        let report = self.replica.report(now, self.reports_sent + 1);
        let same = |last_report: &Report| {
            (last_report.epoch, last_report.base, last_report.prepared, last_report.leased)
                == (report.epoch, report.base, report.prepared, report.leased)
        };
        if self.last_report.as_ref().is_some_and(same) {
            return;
        }
        self.reports_sent += 1;
        self.last_report = Some(report.clone());
        self.reported_at = now;
        self.next_report_at = now + self.config.report_retry_interval(report.leased);
        out.send(leader, Message::Report(report));
    }
}

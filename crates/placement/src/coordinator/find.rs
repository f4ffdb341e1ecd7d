//! Finds nodes that have an array or a newer list, by their reports.

use hallpin_membership::names::{Moment, NodeId};

use super::Coordinator;
use crate::config::PlacementConfig;
use crate::peer::Peer;

impl Coordinator {
    /// Returns the newest list of the nodes that reported recently: its revision, its array's digest and the node that has it.
    pub fn newest_list(&self, config: &PlacementConfig, now: Moment) -> Option<(u64, u64, NodeId)> {
        let lists =
            self.peers.iter().enumerate().filter(|(_, peer)| self.reported_recently(config, now, peer));
        let lists = lists.filter_map(|(node, peer)| {
            let (revision, digest) = peer.report.as_ref()?.list?;
            Some((revision, digest, NodeId(node as u16)))
        });
        lists.max_by_key(|(revision, ..)| *revision)
    }

    /// Returns the newest reported list if it is newer than `known` and than the table in force.
    pub fn newer_list(
        &self,
        config: &PlacementConfig,
        now: Moment,
        known: Option<u64>,
    ) -> Option<(u64, u64, NodeId)> {
        let known = known.max(self.revision());
        self.newest_list(config, now).filter(|(revision, ..)| Some(*revision) > known)
    }

    /// Returns the list revision from which the table in force was made.
    pub fn revision(&self) -> Option<u64> {
        self.decided.map(|header| header.revision)
    }

    /// Returns the `nth` of the nodes, other than `except`, whose last report names an array with this digest; counting
    /// wraps around.
    pub fn source(&self, digest: u64, except: NodeId, nth: u32) -> Option<NodeId> {
        let holds = |peer: &Peer| {
            peer.report.as_ref().is_some_and(|report| {
                let tables = [report.base, report.prepared].into_iter().flatten().map(|header| header.digest);
                tables.chain(report.list.map(|(_, digest)| digest)).any(|held| held == digest)
            })
        };
        let nodes = self
            .peers
            .iter()
            .enumerate()
            .filter(|(_, peer)| holds(peer))
            .map(|(node, _)| NodeId(node as u16));
        let nodes: Vec<_> = nodes.filter(|node| *node != except).collect();
        nodes.get(nth as usize % nodes.len().max(1)).copied()
    }
}

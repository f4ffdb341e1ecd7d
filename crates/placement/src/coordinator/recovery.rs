//! Recovers the decisions of earlier coordinators from the nodes' reports.

use hallpin_membership::names::{Moment, NodeId};

use super::{Coordinator, Preparing};
use crate::table::{NewerOf, TableHeader};

impl Coordinator {
    /// Updates the coordinator's state from one node's report.
    pub(super) fn learn_from_report(&mut self, node: NodeId) {
        let Some(report) = self.peers.get_mut(usize::from(node.0)).and_then(|peer| peer.report.as_ref())
        else {
            return;
        };
        let held = [report.base, report.prepared].into_iter().flatten();
        self.highest_version = held.map(|header| header.id.version).fold(self.highest_version, u64::max);
        if !self.history_known {
            return;
        }
        if !self.history_bounded {
            return;
        }
        // A reported base was decided, if not by this coordinator then by a predecessor.
        self.decided = self.decided.newer_of(report.base);
        self.preparing
            .take_if(|preparing| self.decided.is_some_and(|decided| decided.id >= preparing.header.id));
        // A node whose lease has not lapsed and that lacks a predecessor's version proves that the version was not
        // decided.
        let epoch = self.epoch;
        let disproved =
            |preparing: &mut Preparing| preparing.header.id.epoch < epoch && !report.holds(&preparing.header);
        if report.leased {
            self.preparing.take_if(disproved);
        }
    }

    pub(super) fn clear_behind(&mut self, node: NodeId) {
        let header = self.preparing_header();
        if let Some(peer) = self.peers.get_mut(usize::from(node.0)) {
            if header.is_none_or(|header| peer.holds(&header)) {
                peer.behind_since = None;
            }
        }
    }

    /// Recovers the decisions made before this holding.
    ///
    /// A version that a node with a lease does not hold was not decided, so one report with a lease bounds the history.
    /// At most one version above the known decided one may then remain undecided; it is completed as if this
    /// coordinator had proposed it.
    ///
    /// Without such a report every node has to report or be without a lease. Even then a newer table may have been lost
    /// with the nodes that held it, so the newest table found is proposed again under a number greater than any.
    pub(super) fn try_recover(&mut self, now: Moment) {
        if self.history_known {
            return;
        }
        let reports = || self.peers.iter().filter_map(|peer| peer.report.as_ref());
        let history_bounded = reports().any(|report| report.leased);
        if !history_bounded && !self.all_accounted_for(now) {
            return;
        }
        let decided = reports().map(|report| report.base).fold(None, Option::newer_of);
        let prepared = reports().map(|report| report.prepared).fold(None, Option::newer_of);
        let undecided = prepared.filter(|undecided| decided.is_none_or(|decided| decided.id < undecided.id));
        let disproved = |header: &TableHeader| reports().any(|report| report.leased && !report.holds(header));
        let undecided = undecided.filter(|header| !disproved(header));
        (self.history_known, self.history_bounded) = (true, history_bounded);
        if history_bounded {
            self.decided = decided;
            self.start_preparing(now, undecided);
        } else {
            self.recovered = undecided.or(decided);
            self.start_preparing(now, None);
        }
    }

    /// Returns whether every node has either reported to this coordinator, and so ignores earlier ones, or certainly
    /// has no lease.
    pub(super) fn all_accounted_for(&self, now: Moment) -> bool {
        self.peers.iter().all(|peer| peer.report.is_some() || !peer.may_be_leased(now))
    }
}

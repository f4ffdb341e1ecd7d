//! One round of vote requests: which voters are asked when, and the outcome of their answers.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hallpin_membership::names::{Moment, NodeId};

/// Number of times that a request is sent, each time to more of the voters without an answer, before a new round
/// starts.
pub(crate) const MAX_SENDS: u8 = 5;
/// Each sending asks this fraction of the others in addition to a majority: one sixteenth.
const EXTRA_VOTERS_FRACTION: usize = 16;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct VotingRound {
    pub(crate) ballot: u64,
    pub(crate) number: u32,
    /// Time before any request of the round was sent: the lease counts from here.
    pub(crate) began_at: Moment,
    pub(crate) next_send_at: Moment,
    /// Number of times that requests were sent.
    pub(crate) sends: u8,
    pub(crate) votes: BTreeSet<NodeId>,
    /// Voters that refused, and how long each of them is still bound.
    refusals: BTreeMap<NodeId, Duration>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoundOutcome {
    Undecided,
    Won,
    /// No majority is possible any more. Holds the time after which the voters that refused are free again.
    Lost(Duration),
}

impl VotingRound {
    pub(crate) fn new(ballot: u64, number: u32, now: Moment) -> Self {
        VotingRound {
            ballot,
            number,
            began_at: now,
            next_send_at: now,
            sends: 0,
            votes: BTreeSet::new(),
            refusals: BTreeMap::new(),
        }
    }

    pub(crate) fn add_vote(&mut self, voter: NodeId) {
        self.refusals.remove(&voter);
        self.votes.insert(voter);
    }

    pub(crate) fn add_refusal(&mut self, voter: NodeId, bound_for: Duration) {
        if !self.votes.contains(&voter) {
            self.refusals.insert(voter, bound_for);
        }
    }

    pub(crate) fn outcome(&self, configured: usize, majority: usize) -> RoundOutcome {
        if self.votes.len() >= majority {
            return RoundOutcome::Won;
        }
        if self.refusals.len() > configured - majority {
            let longest_bound = self.refusals.values().max().copied();
            return RoundOutcome::Lost(longest_bound.unwrap_or_default());
        }
        RoundOutcome::Undecided
    }

    /// Returns the voters to ask now: those without an answer among the first of `order`, a majority plus a number that
    /// grows with each sending.
    pub(crate) fn next_recipients(
        &mut self,
        order: &[NodeId],
        majority: usize,
        next_send_at: Moment,
    ) -> Vec<NodeId> {
        self.sends += 1;
        self.next_send_at = next_send_at;
        let extra = order.len().div_ceil(EXTRA_VOTERS_FRACTION) * usize::from(self.sends);
        let recipients = order.iter().take(majority + extra);
        recipients.filter(|voter| !self.has_answered(voter)).copied().collect()
    }

    fn has_answered(&self, voter: &NodeId) -> bool {
        self.votes.contains(voter) || self.refusals.contains_key(voter)
    }
}

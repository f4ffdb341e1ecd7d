//! The voter: votes for nobody soon after its start, for one candidate at a time, and for growing ballots only.

use std::time::Duration;

use hallpin_membership::names::{Moment, NodeIncarnation};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Voter {
    /// Time until which no vote is given: votes of an earlier incarnation have expired by then.
    silent_until: Moment,
    /// The greatest ballot voted for. Ballots of an earlier incarnation were below this incarnation's number, because
    /// ballots start at the wall clock's milliseconds and grow more slowly than it.
    highest_voted: u64,
    current: Option<Vote>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Vote {
    candidate: NodeIncarnation,
    ballot: u64,
    expires_at: Moment,
}

/// Answer to a vote request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VoteDecision {
    Granted,
    /// Holds the greatest ballot voted for, and how long the voter still gives this candidate no vote (zero if only the
    /// ballot was too low).
    Refused {
        highest_voted: u64,
        bound_for: Duration,
    },
}

impl Voter {
    pub(crate) fn new(this: NodeIncarnation, silent_until: Moment) -> Self {
        Voter { silent_until, highest_voted: this.incarnation.0, current: None }
    }

    pub(crate) fn highest_voted(&self) -> u64 {
        self.highest_voted
    }

    /// From now on rejects ballots up to this one.
    pub(crate) fn raise_highest_voted(&mut self, ballot: u64) {
        self.highest_voted = self.highest_voted.max(ballot);
    }

    /// Decides on a candidate's request; a vote binds for `promise_length`.
    pub(crate) fn decide(
        &mut self,
        now: Moment,
        candidate: NodeIncarnation,
        ballot: u64,
        promise_length: Duration,
    ) -> VoteDecision {
        let bound_for = self.bound_until(candidate).saturating_sub(now);
        let refused = VoteDecision::Refused { highest_voted: self.highest_voted, bound_for };
        if !bound_for.is_zero() {
            return refused;
        }
        let repeated = self.voted_for(candidate, ballot);
        if ballot <= self.highest_voted && !repeated {
            return refused;
        }
        self.raise_highest_voted(ballot);
        let expires_at = now.saturating_add(promise_length);
        self.current = Some(Vote { candidate, ballot, expires_at });
        VoteDecision::Granted
    }

    /// Withdraws a vote when the incarnation that received it returns it.
    pub(crate) fn release(&mut self, candidate: NodeIncarnation, ballot: u64) {
        if self.voted_for(candidate, ballot) {
            self.current = None;
        }
    }

    fn voted_for(&self, candidate: NodeIncarnation, ballot: u64) -> bool {
        self.current.as_ref().is_some_and(|vote| vote.candidate == candidate && vote.ballot == ballot)
    }

    /// Returns the time until which this candidate gets no vote.
    fn bound_until(&self, candidate: NodeIncarnation) -> Moment {
        let other = self.current.as_ref().filter(|vote| vote.candidate != candidate);
        let promised_until = other.map_or(Moment::ZERO, |vote| vote.expires_at);
        self.silent_until.max(promised_until)
    }
}

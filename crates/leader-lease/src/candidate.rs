//! The candidate: requests the lease, renews it, and knows until when this node holds it.

use std::hash::BuildHasher;
use std::time::Duration;

use hallpin_membership::names::{Moment, NodeId};
use rustc_hash::FxBuildHasher;

use crate::config::LeaseConfig;
use crate::voting_round::{RoundOutcome, VotingRound, MAX_SENDS};

/// A lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct HeldLease {
    /// Fencing number: greater than that of every earlier lease of any node.
    pub epoch: u64,
    /// Time by the holder's own clock from which another node may hold the lease.
    pub expires_at: Moment,
}

/// Whether a node wants the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Candidacy {
    /// The node requests the lease and renews it.
    Standing,
    /// The node requests nothing; a lease that it holds expires.
    Withdrawn,
}

impl Candidacy {
    /// Returns `Standing` if the condition holds, else `Withdrawn`.
    #[must_use]
    pub fn standing_if(condition: bool) -> Self {
        if condition {
            Candidacy::Standing
        } else {
            Candidacy::Withdrawn
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Candidate {
    /// Seed of the jitter, different at each node.
    seed: u64,
    pub(crate) candidacy: Candidacy,
    /// The greatest ballot that this node has heard of.
    highest_ballot: u64,
    /// Number of rounds started by this incarnation, wrapping.
    rounds: u32,
    round: Option<VotingRound>,
    /// Earliest time at which the next round may start.
    next_round_at: Moment,
    held: Option<HeldLease>,
    /// The last round was lost, so the next one needs a new ballot.
    last_round_lost: bool,
    /// The other nodes in the order of the requests: those that voted last come first.
    order: Vec<NodeId>,
}

/// An abandoned ballot, and the voters whose votes are to be released.
pub(crate) struct AbandonedBallot {
    pub(crate) ballot: u64,
    pub(crate) voters: Vec<NodeId>,
}

/// The vote requests of a round that are due together.
pub(crate) struct VoteRequests {
    pub(crate) ballot: u64,
    pub(crate) round: u32,
    /// Whether this node holds the lease, so that the requests renew it or replace it under a new ballot.
    pub(crate) held: bool,
    pub(crate) recipients: Vec<NodeId>,
}

impl Candidate {
    pub(crate) fn new(config: &LeaseConfig, now: Moment, seed: u64) -> Self {
        Candidate {
            seed,
            candidacy: Candidacy::Withdrawn,
            highest_ballot: config.this.incarnation.0,
            rounds: 0,
            round: None,
            next_round_at: now,
            held: None,
            last_round_lost: false,
            order: others_from(config),
        }
    }

    /// Raises the highest known ballot to this one, if it is higher.
    pub(crate) fn raise_highest_ballot(&mut self, ballot: u64) {
        self.highest_ballot = self.highest_ballot.max(ballot);
    }

    pub(crate) fn highest_ballot(&self) -> u64 {
        self.highest_ballot
    }

    pub(crate) fn held(&self, now: Moment) -> Option<HeldLease> {
        self.held.filter(|lease| now < lease.expires_at)
    }

    /// Ends a lease that has expired, and with it a round that would have renewed it: the next lease has a new epoch.
    pub(crate) fn expire(&mut self, now: Moment) -> Option<AbandonedBallot> {
        let expired = self.held.take_if(|lease| lease.expires_at <= now)?;
        let renewing = self.round.as_ref().is_some_and(|round| round.ballot == expired.epoch);
        self.last_round_lost = false;
        if !renewing {
            return None;
        }
        self.abandon_round(now, Duration::ZERO)
    }

    /// Returns whether a new round should start now.
    pub(crate) fn wants_round(&self, now: Moment) -> bool {
        self.candidacy == Candidacy::Standing && self.round.is_none() && now >= self.next_round_at
    }

    pub(crate) fn start_round(&mut self, now: Moment) -> &mut VotingRound {
        let renewed = self.held.filter(|_| !self.last_round_lost).map(|lease| lease.epoch);
        let ballot = renewed.unwrap_or_else(|| self.highest_ballot.saturating_add(1));
        self.raise_highest_ballot(ballot);
        self.rounds = self.rounds.wrapping_add(1);
        self.round.insert(VotingRound::new(ballot, self.rounds, now))
    }

    /// Returns the round that an answer belongs to, unless it has ended.
    pub(crate) fn round_of_answer(&mut self, ballot: u64, number: u32) -> Option<&mut VotingRound> {
        self.round.as_mut().filter(|round| round.ballot == ballot && round.number == number)
    }

    /// Ends the round if it is decided. Returns the ballot if it was abandoned.
    pub(crate) fn conclude_round(&mut self, config: &LeaseConfig, now: Moment) -> Option<AbandonedBallot> {
        let round = self.round.as_ref()?;
        match round.outcome(usize::from(config.configured), config.majority()) {
            RoundOutcome::Undecided => None,
            RoundOutcome::Lost(bound_for) => {
                let wait = bound_for.max(self.jitter(config.retry_interval()));
                self.abandon_round(now, wait)
            }
            RoundOutcome::Won => self.take_lease(config, now),
        }
    }

    /// Takes the lease after a majority has voted. It counts from the start of the round, so it may have expired
    /// already.
    fn take_lease(&mut self, config: &LeaseConfig, now: Moment) -> Option<AbandonedBallot> {
        let round = self.round.as_ref()?;
        let (epoch, began_at) = (round.ballot, round.began_at);
        let expires_at = began_at.saturating_add(config.lease_length());
        if expires_at <= now {
            let wait = self.jitter(config.retry_interval());
            return self.abandon_round(now, wait);
        }
        self.next_round_at = began_at.saturating_add(config.renewal_interval());
        self.held = Some(HeldLease { epoch, expires_at });
        self.last_round_lost = false;
        self.close_round();
        None
    }

    /// Ends the round without the lease; the next one starts after `wait` at the earliest. While an earlier lease
    /// lasts, its votes must stand, and none is released.
    pub(crate) fn abandon_round(&mut self, now: Moment, wait: Duration) -> Option<AbandonedBallot> {
        self.next_round_at = now.saturating_add(wait);
        self.last_round_lost = true;
        let round = self.close_round()?;
        if self.held(now).is_some() {
            return None;
        }
        Some(AbandonedBallot { ballot: round.ballot, voters: round.votes.into_iter().collect() })
    }

    /// Returns the requests that are due now. The error holds the ballot that is abandoned after the last of them, or
    /// `None` if nothing is due.
    pub(crate) fn next_requests(
        &mut self,
        config: &LeaseConfig,
        now: Moment,
    ) -> Result<VoteRequests, Option<AbandonedBallot>> {
        let held = self.held(now).is_some();
        let wait = self.jitter(config.retry_interval());
        let Some(round) = self.round.as_mut().filter(|round| now >= round.next_send_at) else {
            return Err(None);
        };
        if round.sends >= MAX_SENDS {
            return Err(self.abandon_round(now, wait));
        }
        let next_send_at = now.saturating_add(config.retry_interval());
        let recipients = round.next_recipients(&self.order, config.majority(), next_send_at);
        Ok(VoteRequests { ballot: round.ballot, round: round.number, held, recipients })
    }

    /// Returns when the candidate next has something to do.
    pub(crate) fn next_deadline(&self) -> Option<Moment> {
        let send_at = self.round.as_ref().map(|round| round.next_send_at);
        let standing = self.candidacy == Candidacy::Standing;
        let round_at = send_at.or_else(|| standing.then_some(self.next_round_at));
        let expires_at = self.held.map(|lease| lease.expires_at);
        round_at.into_iter().chain(expires_at).min()
    }

    /// Returns one to three times the length, different for each round and node.
    pub(crate) fn jitter(&self, length: Duration) -> Duration {
        let hash = FxBuildHasher.hash_one((self.seed, self.rounds, self.highest_ballot));
        let factor = (hash >> 11) as f64 / (1u64 << 52) as f64;
        length.saturating_add(length.mul_f64(factor))
    }

    /// Ends the round, and moves its voters to the front of the order for the next round.
    fn close_round(&mut self) -> Option<VotingRound> {
        let round = self.round.take()?;
        self.order.sort_by_key(|node| !round.votes.contains(node));
        Some(round)
    }
}

/// Returns all configured nodes but this one, starting after this one.
fn others_from(config: &LeaseConfig) -> Vec<NodeId> {
    let (this, configured) = (u32::from(config.this.node.0), u32::from(config.configured));
    let next = |step: u32| NodeId(((this + step) % configured) as u16);
    (1..configured).map(next).collect()
}

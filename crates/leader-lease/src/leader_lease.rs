//! One node's state machine for the lease: its voter, its candidate, and the messages to and from other nodes.

use std::time::Duration;

use hallpin_membership::names::{Moment, NodeId, NodeIncarnation};

use crate::candidate::{AbandonedBallot, Candidacy, Candidate, HeldLease};
use crate::config::{ConfigError, LeaseConfig};
use crate::message::LeaseMessage;
use crate::voter::{VoteDecision, Voter};

/// How far a ballot may be ahead of this node's start (139 years of milliseconds); a greater one cannot be genuine.
const MAX_BALLOT_AHEAD: u64 = 1 << 42;
/// Outgoing messages that are queued for each configured node; further ones are dropped, as a network would.
const MAX_OUTBOX_PER_NODE: usize = 8;

/// One node's state machine for the lease. No two nodes hold the lease at one instant while every clock keeps to the
/// drift bound.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaderLease {
    config: LeaseConfig,
    voter: Voter,
    candidate: Candidate,
    last_known_holder: Option<(NodeId, u64)>,
    outbox: Vec<(NodeId, LeaseMessage)>,
}

/// A voter's answer, and the round of this node that it refers to.
struct Answer {
    voter: NodeId,
    ballot: u64,
    round: u32,
    decision: VoteDecision,
}

impl LeaderLease {
    /// Creates a node that has just started. It votes for nobody for one term plus the drift. `seed` varies the jitter
    /// of its retries.
    ///
    /// # Errors
    /// A [`ConfigError`] if the number of nodes, this node's number, the term or the clock drift is out of range.
    pub fn new(config: LeaseConfig, now: Moment, seed: u64) -> Result<LeaderLease, ConfigError> {
        config.check()?;
        let silent_until = now.saturating_add(config.promise_length());
        Ok(LeaderLease {
            config,
            voter: Voter::new(config.this, silent_until),
            candidate: Candidate::new(&config, now, seed),
            last_known_holder: None,
            outbox: Vec::new(),
        })
    }

    /// Returns the greatest ballot that this node has heard of, to be stored for [`LeaderLease::restore`].
    #[must_use]
    pub fn highest_ballot(&self) -> u64 {
        self.candidate.highest_ballot().max(self.voter.highest_voted())
    }

    /// Restores the ballot that an earlier incarnation stored, so that ballots grow even if the wall clock was set back
    /// in the meantime.
    pub fn restore(&mut self, highest_ballot: u64) {
        if self.is_plausible(highest_ballot) {
            self.voter.raise_highest_voted(highest_ballot);
            self.candidate.raise_highest_ballot(highest_ballot);
        }
    }

    /// Sets whether this node wants the lease. A holder that withdraws keeps the lease until it expires, and does not
    /// renew it.
    pub fn set_candidacy(&mut self, candidacy: Candidacy) {
        self.candidate.candidacy = candidacy;
    }

    /// Processes a message. `now` must have been read after the message arrived. A message from a node that is not
    /// configured, or with an implausible ballot, changes nothing.
    pub fn receive(&mut self, now: Moment, from: NodeIncarnation, message: LeaseMessage) {
        let known_peer = from.node.0 < self.config.configured && from.node != self.config.this.node;
        if !known_peer || !self.is_plausible(message.ballot()) {
            return;
        }
        self.expire(now);
        let this = self.config.this.incarnation;
        match message {
            LeaseMessage::VoteRequest { ballot, round, held } => {
                self.on_vote_request(now, from, ballot, round, held);
            }
            LeaseMessage::Release { ballot } => self.voter.release(from, ballot),
            LeaseMessage::Vote { candidate, ballot, round } if candidate == this => {
                let decision = VoteDecision::Granted;
                self.on_answer(now, Answer { voter: from.node, ballot, round, decision });
            }
            LeaseMessage::Refusal { candidate, ballot, round, voted, left_ms }
                if candidate == this && self.is_plausible(voted) =>
            {
                let left = Duration::from_millis(left_ms.into());
                let bound_for = left.min(self.config.promise_length());
                let decision = VoteDecision::Refused { highest_voted: voted, bound_for };
                self.on_answer(now, Answer { voter: from.node, ballot, round, decision });
            }
            // An answer to an earlier incarnation of this node.
            LeaseMessage::Vote { .. } | LeaseMessage::Refusal { .. } => {}
        }
    }

    /// Advances time. Must be called when [`LeaderLease::next_deadline`] is reached, and may be called at any time.
    pub fn tick(&mut self, now: Moment) {
        self.expire(now);
        if self.candidate.candidacy == Candidacy::Withdrawn {
            let abandoned = self.candidate.abandon_round(now, Duration::ZERO);
            self.release_votes(abandoned);
            return;
        }
        if self.candidate.wants_round(now) {
            self.start_round(now);
        }
        match self.candidate.next_requests(&self.config, now) {
            Ok(requests) => {
                let (ballot, round, held) = (requests.ballot, requests.round, requests.held);
                for recipient in requests.recipients {
                    self.send(recipient, LeaseMessage::VoteRequest { ballot, round, held });
                }
            }
            Err(abandoned) => self.release_votes(abandoned),
        }
    }

    /// Returns when [`LeaderLease::tick`] is next needed.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Moment> {
        self.candidate.next_deadline()
    }

    /// Takes the messages to send since the last call, in order.
    pub fn take_outbox(&mut self) -> Vec<(NodeId, LeaseMessage)> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the lease if this node holds it at `now` by its own clock. Everything done under the lease must be over
    /// by `expires_at`, and `now` must be a fresh reading.
    #[must_use]
    pub fn held(&self, now: Moment) -> Option<HeldLease> {
        self.candidate.held(now)
    }

    /// Returns the node that last claimed to hold the lease, and its epoch: a hint, not a guarantee.
    #[must_use]
    pub fn last_known_holder(&self) -> Option<(NodeId, u64)> {
        self.last_known_holder
    }

    fn is_plausible(&self, ballot: u64) -> bool {
        ballot <= self.config.this.incarnation.0.saturating_add(MAX_BALLOT_AHEAD)
    }

    fn on_vote_request(&mut self, now: Moment, from: NodeIncarnation, ballot: u64, round: u32, held: bool) {
        self.candidate.raise_highest_ballot(ballot);
        if held {
            self.note_holder(from.node, ballot);
        }
        let candidate = from.incarnation;
        let answer = match self.voter.decide(now, from, ballot, self.config.promise_length()) {
            VoteDecision::Granted => LeaseMessage::Vote { candidate, ballot, round },
            VoteDecision::Refused { highest_voted, bound_for } => {
                let left_ms = u32::try_from(bound_for.as_millis()).unwrap_or(u32::MAX);
                LeaseMessage::Refusal { candidate, ballot, round, voted: highest_voted, left_ms }
            }
        };
        self.send(from.node, answer);
    }

    fn on_answer(&mut self, now: Moment, answer: Answer) {
        if let VoteDecision::Refused { highest_voted, .. } = answer.decision {
            self.candidate.raise_highest_ballot(highest_voted);
        }
        let Some(round) = self.candidate.round_of_answer(answer.ballot, answer.round) else {
            return;
        };
        match answer.decision {
            VoteDecision::Granted => round.add_vote(answer.voter),
            VoteDecision::Refused { bound_for, .. } => round.add_refusal(answer.voter, bound_for),
        }
        self.conclude_round(now);
    }

    /// Starts a round with this node's own vote. If its own voter is bound, the round is postponed until that vote
    /// expires.
    fn start_round(&mut self, now: Moment) {
        let this = self.config.this;
        self.candidate.raise_highest_ballot(self.voter.highest_voted());
        let round = self.candidate.start_round(now);
        match self.voter.decide(now, this, round.ballot, self.config.promise_length()) {
            VoteDecision::Granted => round.add_vote(this.node),
            VoteDecision::Refused { bound_for, .. } => {
                let wait = bound_for.saturating_add(self.candidate.jitter(self.config.retry_interval()));
                let abandoned = self.candidate.abandon_round(now, wait);
                self.release_votes(abandoned);
                return;
            }
        }
        self.conclude_round(now);
    }

    fn conclude_round(&mut self, now: Moment) {
        let abandoned = self.candidate.conclude_round(&self.config, now);
        self.release_votes(abandoned);
        if let Some(lease) = self.candidate.held(now) {
            self.note_holder(self.config.this.node, lease.epoch);
        }
    }

    fn expire(&mut self, now: Moment) {
        let abandoned = self.candidate.expire(now);
        self.release_votes(abandoned);
    }

    fn release_votes(&mut self, abandoned: Option<AbandonedBallot>) {
        let Some(AbandonedBallot { ballot, voters }) = abandoned else {
            return;
        };
        for voter in voters {
            if voter == self.config.this.node {
                self.voter.release(self.config.this, ballot);
            } else {
                self.send(voter, LeaseMessage::Release { ballot });
            }
        }
    }

    fn note_holder(&mut self, node: NodeId, epoch: u64) {
        if self.last_known_holder.is_none_or(|(_, known)| known <= epoch) {
            self.last_known_holder = Some((node, epoch));
        }
    }

    fn send(&mut self, recipient: NodeId, message: LeaseMessage) {
        if self.outbox.len() < MAX_OUTBOX_PER_NODE * usize::from(self.config.configured) {
            self.outbox.push((recipient, message));
        }
    }
}

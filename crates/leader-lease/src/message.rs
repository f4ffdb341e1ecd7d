//! Messages between candidates and voters.

use hallpin_membership::names::Incarnation;
use serde::{Deserialize, Serialize};

/// A message between two nodes about one lease. The state machine that owns the lease carries it in its own payloads.
/// At most 41 bytes in `postcard`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// A candidate or the holder requests a vote.
    VoteRequest {
        /// Epoch that the lease would have.
        ballot: u64,
        /// Number of the candidate's voting round.
        round: u32,
        /// Whether the sender already holds the lease.
        held: bool,
    },
    /// The voter grants its vote, and votes for nobody else for one term.
    Vote {
        /// Incarnation that requested the vote.
        candidate: Incarnation,
        /// Ballot of the request.
        ballot: u64,
        /// Round of the request.
        round: u32,
    },
    /// The voter refuses its vote.
    Refusal {
        /// Incarnation that requested the vote.
        candidate: Incarnation,
        /// Ballot of the request.
        ballot: u64,
        /// Round of the request.
        round: u32,
        /// Greatest ballot voted for; a new ballot must be greater.
        voted: u64,
        /// How long the voter is still bound by another vote, in milliseconds.
        left_ms: u32,
    },
    /// A candidate that never held the lease under this ballot releases its votes.
    Release {
        /// The abandoned ballot.
        ballot: u64,
    },
}

impl LeaseMessage {
    pub(crate) fn ballot(&self) -> u64 {
        match *self {
            LeaseMessage::VoteRequest { ballot, .. }
            | LeaseMessage::Vote { ballot, .. }
            | LeaseMessage::Refusal { ballot, .. }
            | LeaseMessage::Release { ballot } => ballot,
        }
    }
}

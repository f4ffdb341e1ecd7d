//! Knowledge about boxes, in three types that cannot be confused: what this node observed itself, what one peer
//! reported (private to this crate), and the evidence merged from all peers' reports.

use crate::names::NodeId;

/// One incarnation of one box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BoxIncarnation {
    /// Hash of the box's id in the endpoint list.
    pub id: u64,
    /// Start time according to the list, in milliseconds since 1970.
    pub started_unix_ms: u64,
}

/// What this node observed of a box since its last observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnObservation {
    /// The box.
    pub of: BoxIncarnation,
    /// Attempts that were answered since the last observation.
    pub answered: u32,
    /// Attempts that were not answered in time since the last observation.
    pub silent: u32,
    /// Attempts in flight now.
    pub in_flight: u32,
}

/// Evidence about one incarnation of a box, merged from the unexpired reports of peers. This node's own observations
/// are not included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BoxEvidence {
    /// The box.
    pub of: BoxIncarnation,
    /// Number of distinct peers that recently got no answer from the box at all.
    pub silent: u16,
    /// Number of distinct peers that the box recently answered.
    pub answering: u16,
    /// Attempts that all reporting peers have in flight to the box.
    pub in_flight: u32,
}

/// An event for the rest of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeersEvent {
    /// [`Peers::view`](crate::Peers::view) has changed.
    View,
    /// [`Peers::evidence`](crate::Peers::evidence) has changed.
    Evidence,
    /// The node was cut off from all others, or no longer is.
    CutOff(bool),
}

/// What one peer reported about a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerFact {
    /// The reporting peer, which is always the sender of the datagram.
    pub by: NodeId,
    pub of: BoxIncarnation,
    pub observation: Observation,
    pub in_flight: u16,
}

/// How a box recently appeared to one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Observation {
    /// No attempt was answered or timed out.
    Nothing,
    /// Attempts timed out and none was answered.
    Silent,
    /// At least one attempt was answered.
    Answering,
}

impl Observation {
    /// One answer proves that the box is up, however many attempts stayed unanswered.
    pub fn of(answered: u32, silent: u32) -> Observation {
        match (answered, silent) {
            (0, 0) => Observation::Nothing,
            (0, _) => Observation::Silent,
            _ => Observation::Answering,
        }
    }
}

//! Scheduled events, and the state of boxes, agents and attempts.

use super::*;

/// An event that is scheduled for a time of the run.
pub(super) enum ScheduledEvent {
    /// A box has work at this time.
    BoxWakes(BoxId),
    /// The planner has work at this time.
    PlannerWakes,
    /// The planner's answer reaches a box.
    PlannerAnswers { to: BoxId, incarnation: u32, id: u64, version: Option<u64> },
    /// A change reaches the endpoint list.
    ListChanged(Listing),
    /// Sends the list to a node's agent: as it was at this revision, or the current list if `None`.
    AgentUpdated(NodeId, Option<u64>),
    /// The incident of this index begins.
    IncidentBegins(usize),
    /// The incident of this index ends.
    IncidentEnds(usize),
    /// The key popularity drifts, once per second.
    KeysDrift,
    /// A key changes at the planner.
    KeyChanged,
}

/// State of a box's machine as observed on the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::sockets) enum MachineMode {
    /// The process of this incarnation listens.
    Open(u32),
    /// The machine does not answer, and connections to it are never established.
    Silent,
    /// The process is not running: connections are refused.
    Down,
}

/// State that the scenario orders for a node's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::sockets) enum NodeOrder {
    /// Run, starting if necessary.
    Run,
    /// Be killed (SIGKILL).
    Kill,
    /// Stop gracefully (SIGTERM) and start again.
    Restart,
}

/// An attempt that waits for the answer of its box.
pub(super) struct PendingAttempt {
    pub(super) reply: oneshot::Sender<Vec<u8>>,
    pub(super) id: TryId,
    /// Number of the attempt within the try, from 0.
    pub(super) attempt: u32,
    pub(super) box_id: BoxId,
    pub(super) opaque: String,
    pub(super) job: Job,
}

/// State of a client's try.
pub(in crate::sockets) struct TryState {
    pub node: NodeId,
    /// Attempts that boxes have received so far.
    pub(super) attempts: u32,
    taken: bool,
}

impl TryState {
    pub fn new(node: NodeId) -> Self {
        TryState { node, attempts: 0, taken: false }
    }

    /// Marks the try as taken by its node; false if it was marked before.
    pub fn mark_taken(&mut self) -> bool {
        !std::mem::replace(&mut self.taken, true)
    }
}

/// State of a box.
pub(super) struct BoxState {
    pub(super) cache: CacheBox,
    /// Incarnation of its process, increased whenever the process ends and whenever it starts.
    pub(super) incarnation: u32,
    /// Number of incidents that silence its machine.
    pub(super) silent: u32,
    /// Time of the next scheduled wake-up.
    pub(super) wakes: Option<Time>,
    pub(super) mode: watch::Sender<MachineMode>,
}

/// State of the discovery agent on a node's machine: the list that it has received.
pub(in crate::sockets) struct Agent {
    pub list: List,
    pub changed: watch::Sender<u64>,
    /// The node has abandoned a call to this agent, and the agent has answered no call since.
    pub(super) failed: bool,
}

impl Agent {
    pub(super) fn new(list: List) -> Self {
        Agent { changed: watch::channel(list.revision()).0, list, failed: false }
    }
}

pub(super) fn listing(cache_box: BoxId, phase: Phase, started: Option<Time>) -> Listing {
    Listing { cache_box, phase, started }
}

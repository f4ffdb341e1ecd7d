//! What is due in a world, and what it holds of nodes, boxes and attempts.

use super::*;
use crate::plane::{NodePlane, Sent};

/// Bits of a flight's token that hold its place.
pub(super) const SLAB_INDEX_BITS: u32 = 28;

/// What is due, and to whom. `life` counts the starts of a node or box: what was meant for an earlier one is void.
pub(super) enum ScheduledEvent {
    Arrival,
    NextTry(u64),
    TryAtNode(TryId),
    TryDeadline(TryId),
    Reply {
        id: TryId,
        reply: Reply,
    },
    Timer {
        node: NodeId,
        generation: u32,
        token: TimerToken,
    },
    AttemptDeadline {
        node: NodeId,
        generation: u32,
        id: TryId,
        attempt: u32,
    },
    AnswerDeadline {
        node: NodeId,
        generation: u32,
        id: TryId,
    },
    ConnectionUp(u64),
    DialFails(u64),
    AttemptAtBox(u64),
    AnswerAtNode {
        token: u64,
        answer: BoxAnswer,
    },
    ResetAtNode(u64),
    ClosedAtBox {
        at: BoxId,
        generation: u32,
        cancels: Option<u64>,
    },
    BoxWakes(BoxId),
    PlannerWakes,
    AskAtPlanner {
        by: BoxId,
        generation: u32,
        ask: Ask,
        cold: bool,
    },
    PlannerAnswers {
        to: BoxId,
        generation: u32,
        id: u64,
        version: Option<u64>,
    },
    ListUpdate(Listing),
    /// A node's agent is sent the list; with a revision, what it was then.
    AgentNotified {
        node: NodeId,
        until: Option<u64>,
    },
    ProbeAtBox {
        node: NodeId,
        generation: u32,
        of: BoxId,
    },
    ProbeEnds {
        node: NodeId,
        generation: u32,
        of: BoxId,
        status: Status,
    },
    Message {
        to: NodeId,
        generation: u32,
        from: NodeId,
        message: u64,
    },
    /// A node's plane wants its turn.
    PlaneWakes {
        node: NodeId,
        generation: u32,
    },
    /// To an address: whichever life of the node runs then has it.
    Datagram {
        to: NodeId,
        from: NodeId,
        bytes: Vec<u8>,
    },
    IncidentBegins(usize),
    IncidentEnds(usize),
    NodeStarts(NodeId),
    NodeLeaves {
        node: NodeId,
        generation: u32,
    },
    /// SIGKILL, behind SIGTERM.
    NodeKilled {
        node: NodeId,
        generation: u32,
    },
    WatchesSilent(usize),
    WatchOpens {
        node: NodeId,
        generation: u32,
    },
    Sweep {
        node: NodeId,
        generation: u32,
    },
    EverySecond,
    KeyChanges,
}

/// An attempt on its way, as the network has it.
pub(super) struct InFlightAttempt {
    pub token: u64,
    pub node: NodeId,
    pub node_generation: u32,
    pub id: TryId,
    pub attempt: u32,
    pub to: BoxId,
    pub box_generation: u32,
    pub job: Job,
    /// Its last byte is written: from then on it may have run.
    pub written: bool,
    /// It has come to its box.
    pub arrived: bool,
}

pub(super) struct Attempt {
    pub sent_at: Time,
    pub to: BoxId,
    /// As the node's plane counts it, where it has one.
    pub sent: Option<Sent>,
    /// On its way; `None` once it has its outcome.
    pub token: Option<u64>,
}

/// A try that a node has taken.
pub(super) struct AcceptedTry {
    pub key: KeyId,
    pub work: f64,
    pub write: Option<Option<u64>>,
    pub deadline: Time,
    pub answered: bool,
    pub attempts: Vec<Attempt>,
}

pub(super) struct NodeState {
    pub policy: Box<dyn Policy>,
    pub settings: Settings,
    pub depot: usize,
    pub generation: u32,
    pub alive: bool,
    /// It was told to stop, and accepts until then.
    pub accepts_until: Option<Time>,
    /// It was told to stop with a SIGKILL to follow: until then new connections come to it.
    pub new_connections_until: Option<Time>,
    /// When it was last seen to go or to want no more clients, for the front.
    pub unavailable_since: Option<Time>,
    pub tries: FxHashMap<TryId, AcceptedTry>,
    /// Kept connections to each box: since when they are idle, and the life of the box that they lead to.
    pub idle_connections: Vec<VecDeque<(Time, u32)>>,
    /// Its list, for when it dies and comes back with it.
    pub cached_endpoints: Vec<EndpointEntry>,
    pub revision: u64,
    /// The revision that its agent has been sent, whether its process runs or not.
    pub agent_revision: u64,
    /// Its watch has fallen silent and is not open anew.
    pub watch_silent: bool,
    /// Its part of the plane between nodes, where that is on.
    pub plane: Option<Box<NodePlane>>,
    /// The revision of the list that it places by.
    pub placement_revision: u64,
    pub pending_events: VecDeque<decisions::Event>,
    pub start_count: u32,
}

pub(super) struct BoxState {
    pub cache: CacheBox,
    pub server: ServerId,
    pub generation: u32,
    /// Attempts that are on their way to it.
    pub in_transit: usize,
    /// Incidents that hold it silent.
    pub silence_count: u32,
    pub wakes: Option<Time>,
}

pub(super) fn slab_index(token: u64) -> usize {
    (token & ((1 << SLAB_INDEX_BITS) - 1)) as usize
}

pub(super) fn listing(cache_box: BoxId, phase: Phase, started: Option<Time>) -> Listing {
    Listing { cache_box, phase, started }
}

/// A node's seed, anew with each start.
pub(super) fn node_seed(seed: u64, node: NodeId, start: u32) -> u64 {
    Chance::new(seed, &format!("node {node} start {start}")).bits()
}

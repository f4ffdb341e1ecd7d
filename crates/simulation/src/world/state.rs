//! Scheduled events, and the state of nodes, boxes and attempts.

use super::*;
use crate::plane::{NodePlane, SentAttempt};

/// Number of low bits of an attempt's token that hold the attempt's slab index.
pub(super) const SLAB_INDEX_BITS: u32 = 28;

/// A scheduled event and its target. `generation` is the target's process generation; an event for an earlier
/// generation is ignored.
pub(super) enum ScheduledEvent {
    /// A client sends a new request.
    Arrival,
    /// A client sends the next try of a request.
    NextTry(u64),
    /// The last byte of a try reaches its node.
    TryAtNode(TryId),
    /// A client stops waiting for a try.
    TryDeadline(TryId),
    /// A client receives the reply to a try.
    Reply {
        id: TryId,
        reply: Reply,
    },
    /// A timer of a policy expires.
    Timer {
        node: NodeId,
        generation: u32,
        token: TimerToken,
    },
    /// A node stops waiting for an attempt.
    AttemptDeadline {
        node: NodeId,
        generation: u32,
        id: TryId,
        attempt: u32,
    },
    /// Shortly before the deadline of a try that is still open, its node answers the try with a failure.
    AnswerDeadline {
        node: NodeId,
        generation: u32,
        id: TryId,
    },
    /// The connection of the attempt with this token is established.
    ConnectionUp(u64),
    /// The dial of the attempt with this token times out.
    DialFails(u64),
    /// The command of the attempt with this token reaches its box.
    AttemptAtBox(u64),
    /// A box's answer reaches the node.
    AnswerAtNode {
        token: u64,
        answer: BoxAnswer,
    },
    /// The node notices that the connection of the attempt with this token was reset.
    ResetAtNode(u64),
    /// A box notices that a connection was closed, with the token of the attempt that this cancels.
    ClosedAtBox {
        at: BoxId,
        generation: u32,
        cancels: Option<u64>,
    },
    BoxWakes(BoxId),
    PlannerWakes,
    /// A box's call reaches the planner.
    AskAtPlanner {
        by: BoxId,
        generation: u32,
        ask: PlannerCall,
        cold: bool,
    },
    /// The planner's answer reaches a box.
    PlannerAnswers {
        to: BoxId,
        generation: u32,
        id: u64,
        version: Option<u64>,
    },
    /// Discovery notices the state of a box.
    ListUpdate(Listing),
    /// A node's agent receives the list: as of revision `until`, or the current one.
    AgentNotified {
        node: NodeId,
        until: Option<u64>,
    },
    /// A health check reaches a box.
    ProbeAtBox {
        node: NodeId,
        generation: u32,
        of: BoxId,
    },
    /// A node has the result of a health check.
    ProbeEnds {
        node: NodeId,
        generation: u32,
        of: BoxId,
        status: Status,
    },
    /// A copy of a broadcast message reaches a node.
    Message {
        to: NodeId,
        generation: u32,
        from: NodeId,
        message: u64,
    },
    /// Work is due in a node's plane.
    PlaneWakes {
        node: NodeId,
        generation: u32,
    },
    /// A datagram reaches a node's address; the process that runs there receives it, whatever its generation.
    Datagram {
        to: NodeId,
        from: NodeId,
        bytes: Vec<u8>,
    },
    /// The incident with this index begins.
    IncidentBegins(usize),
    /// The incident with this index ends.
    IncidentEnds(usize),
    /// A new process of a node starts.
    NodeStarts(NodeId),
    /// A stopping node exits.
    NodeLeaves {
        node: NodeId,
        generation: u32,
    },
    /// The platform kills a node that has not exited after its stop signal (SIGKILL after SIGTERM).
    NodeKilled {
        node: NodeId,
        generation: u32,
    },
    /// The watches named by the silence with this index become silent.
    WatchesSilent(usize),
    /// A node reopens its watch of the list.
    WatchOpens {
        node: NodeId,
        generation: u32,
    },
    /// A node closes expired idle connections.
    Sweep {
        node: NodeId,
        generation: u32,
    },
    /// Once-a-second work: drift of key popularity and sampling of policy sizes.
    EverySecond,
    /// A random key gets a new version at the planner.
    KeyChanges,
}

/// An attempt between node and box.
pub(super) struct InFlightAttempt {
    pub token: u64,
    pub node: NodeId,
    pub node_generation: u32,
    pub id: TryId,
    pub attempt: u32,
    pub to: BoxId,
    pub box_generation: u32,
    pub job: Job,
    /// Whether the complete command was written; from then on it may have run.
    pub written: bool,
    /// Whether the command has reached its box.
    pub arrived: bool,
}

/// An attempt as its node tracks it.
pub(super) struct Attempt {
    pub sent_at: Time,
    pub to: BoxId,
    /// The plane's record of the attempt, if the node has a plane.
    pub sent: Option<SentAttempt>,
    /// Token while the attempt is in flight; `None` once it has its outcome.
    pub token: Option<u64>,
}

/// A try that a node has accepted.
pub(super) struct AcceptedTry {
    pub key: KeyId,
    pub work: f64,
    /// `Some` for a write, with its idempotency key if it has one.
    pub write: Option<Option<u64>>,
    pub deadline: Time,
    pub answered: bool,
    pub attempts: Vec<Attempt>,
}

/// A node and its current process.
pub(super) struct NodeState {
    pub policy: Box<dyn Policy>,
    pub settings: Settings,
    pub depot: usize,
    /// Number of processes of this node that have ended.
    pub generation: u32,
    pub alive: bool,
    /// For a stopping node, when it stops accepting tries.
    pub accepts_until: Option<Time>,
    /// For a stop that ends with SIGKILL, until when clients open new connections to the node.
    pub new_connections_until: Option<Time>,
    /// When the node last exited or stopped accepting clients; the front notices this with a delay.
    pub unavailable_since: Option<Time>,
    pub tries: FxHashMap<TryId, AcceptedTry>,
    /// Idle connections to each box: since when each is idle, and the generation of the box at the other end.
    pub idle_connections: Vec<VecDeque<(Time, u32)>>,
    /// The endpoint list that the node stores, and has again after a crash.
    pub cached_endpoints: Vec<EndpointEntry>,
    /// Revision of the list that the current process has received.
    pub revision: u64,
    /// Revision that the node's agent has received, whether or not the node's process runs.
    pub agent_revision: u64,
    /// Whether the node's watch is silent and not yet reopened.
    pub watch_silent: bool,
    /// The node's member of the plane between nodes, if that is enabled.
    pub plane: Option<Box<NodePlane>>,
    /// Revision of the list by which the node places keys.
    pub placement_revision: u64,
    pub pending_events: VecDeque<decisions::Event>,
    /// Number of restarts; part of the process's random seed.
    pub start_count: u32,
}

/// A box and its current process.
pub(super) struct BoxState {
    pub cache: CacheBox,
    pub server: ServerId,
    /// Number of starts, stops and crashes of the box's process.
    pub generation: u32,
    /// Number of attempts sent to the box that have not reached it.
    pub in_transit: usize,
    /// Number of active incidents that keep the box silent.
    pub silence_count: u32,
    /// Time of the next scheduled wake-up.
    pub wakes: Option<Time>,
}

/// Slab index of an attempt, from its token.
pub(super) fn slab_index(token: u64) -> usize {
    (token & ((1 << SLAB_INDEX_BITS) - 1)) as usize
}

pub(super) fn listing(cache_box: BoxId, phase: Phase, started: Option<Time>) -> Listing {
    Listing { cache_box, phase, started }
}

/// The seed of a node's process, different for each start.
pub(super) fn node_seed(seed: u64, node: NodeId, start: u32) -> u64 {
    RandomStream::new(seed, &format!("node {node} start {start}")).bits()
}

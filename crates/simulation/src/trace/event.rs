//! Kinds of trace events.

use serde::{Deserialize, Serialize};

use super::{AskId, AttemptOutcome, TryId, TryOutcome};
use crate::list::{BoxId, Phase};
use crate::run_spec::NodeId;
use crate::store::KeyId;
use crate::time::{Span, Time};

/// An event of a trace. In each variant `ask` is a request, `id` a try, `attempt` one of its attempts, `node` a node,
/// and `of`, `to` or `by` a box.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A client starts a request and sends its first try.
    #[serde(rename = "asked")]
    RequestStarted {
        ask: AskId,
        /// Index of the request's class.
        class: usize,
        /// Index of the request's tenant.
        tenant: Option<usize>,
        /// Requested key.
        key: KeyId,
        /// Work of the request, in microseconds of a standard core.
        work: f64,
    },
    /// A node has accepted a try.
    #[serde(rename = "taken")]
    TryAccepted {
        id: TryId,
        /// The request that it belongs to.
        ask: AskId,
        node: NodeId,
        /// Time at which the client stops waiting for the try.
        until: Time,
    },
    /// A node sends an attempt to a box.
    Sent {
        id: TryId,
        /// Number of the attempt within its try, from 0.
        attempt: u32,
        node: NodeId,
        to: BoxId,
        /// Whether node and box are in different depots.
        crosses: bool,
        /// Client's remaining wait time that the attempt carries, if the box has read it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait: Option<Span>,
    },
    /// A node has the outcome of an attempt.
    Ended {
        id: TryId,
        attempt: u32,
        /// Outcome of the attempt.
        how: AttemptOutcome,
    },
    /// A node gives a try's final answer.
    Answered {
        id: TryId,
        /// Kind of the answer.
        how: TryOutcome,
        /// Version of the key that was served.
        version: Option<u64>,
        /// Retry-after time of a rejection.
        #[serde(default)]
        advice: Option<Span>,
    },
    /// The client of a try has disconnected or cancelled, before or at its deadline.
    Abandoned { id: TryId },
    /// A client has received the answer to its request, which was served.
    Received {
        ask: AskId,
        /// The try that was answered.
        id: TryId,
    },
    /// A client gives up its request, or has no try left.
    GaveUp { ask: AskId },
    /// A node is notified of a box's state.
    #[serde(rename = "told")]
    Notified {
        node: NodeId,
        of: BoxId,
        /// State of the box in the endpoint list.
        phase: Phase,
        /// Start of the box's process, if it started during the run.
        started: Option<Time>,
    },
    /// Work of a request, of a new connection or of a health check has arrived at a box.
    Reached {
        to: BoxId,
        /// The node that sent it.
        node: NodeId,
        /// Work, in microseconds of a standard core.
        work: f64,
        /// Whether this is a read, which arrives at this box for the first and only time.
        read: bool,
    },
    /// A box has answered or dropped a request; the work is wasted if no client receives the answer.
    Worked {
        id: TryId,
        attempt: u32,
        /// Work done, in microseconds of a standard core.
        work: f64,
        /// For reads, whether it was a cache hit.
        hit: Option<bool>,
    },
    /// A box's process has started with an empty store, or has been running and warm since before the run.
    BoxUp {
        of: BoxId,
        /// Capacity when warm, in seconds of work of a standard core per second.
        capacity: f64,
        /// Size registered in the endpoint list.
        size: f64,
        /// Whether the box starts cold.
        cold: bool,
        /// Share of its capacity that the box starts with.
        from: f64,
        /// Time until the box is warm.
        ramp: Span,
    },
    /// A box's process has ended, or its machine has stopped responding.
    BoxDown { of: BoxId },
    /// A box crashed because it was overloaded while cold.
    #[serde(rename = "box-fell")]
    BoxCrashed { of: BoxId },
    /// A box has called the planner.
    #[serde(rename = "planner-asked")]
    PlannerCalled {
        by: BoxId,
        /// Whether the call is a write.
        write: bool,
        /// Whether the box was cold.
        cold: bool,
    },
    /// The planner stops answering for a while.
    PlannerStopped {
        /// True if overload caused the stop, false if a fault event did.
        overdriven: bool,
    },
    /// The planner answers again.
    PlannerResumed,
    /// A write was applied; cached copies of older versions are invalid.
    Written {
        /// Written key.
        key: KeyId,
        /// New version of the key.
        version: u64,
    },
    /// A node's process has started.
    NodeUp { node: NodeId },
    /// A running node is ready for clients; recorded only where this takes time.
    NodeReady { node: NodeId },
    /// A node receives SIGTERM. A later [`Event::NodeDown`] is planned if the node exits by itself, and not if SIGKILL
    /// ends it.
    Stopping { node: NodeId },
    /// A node has read a request on a client's new connection and closed the connection without an answer. The request
    /// was neither accepted nor forwarded. A connection closed before anything was read is a rejection and isn't
    /// recorded.
    Dropped { ask: AskId, node: NodeId },
    /// A change of a box's state is available to a node: its agent has it, or, where lists are polled, discovery has
    /// it and can be reached. Recorded if the node isn't notified at the same moment. The change counts as notified in
    /// time whether or not it arrives.
    #[serde(rename = "has")]
    ChangeAvailable {
        node: NodeId,
        of: BoxId,
        /// State of the box in the endpoint list.
        phase: Phase,
        /// Start of the box's process, if it started during the run.
        started: Option<Time>,
        /// True if the change is polled by the node, false if it is pushed.
        #[serde(default)]
        asked: bool,
    },
    /// A node's watch of the endpoint list falls silent.
    WatchSilent {
        node: NodeId,
        /// Remaining wait of the silent long poll; `None` if its answer had begun or no call was in flight.
        waits: Option<Span>,
    },
    /// A node's call to discovery has failed or was rejected, or the node has abandoned it.
    CallFailed { node: NodeId },
    /// A node reopens its watch.
    WatchOpened { node: NodeId },
    /// A node receives SIGHUP, with a new configuration that names another discovery.
    Reconfigured { node: NodeId },
    /// A node has ended.
    NodeDown {
        node: NodeId,
        /// True if the node exited after SIGTERM. False if it was killed; its open requests then count as
        /// failed or lost with the node, and are a violation only if accepted more than 0.7 s after a
        /// SIGTERM.
        planned: bool,
    },
    /// A connection was opened to a box.
    Opened { to: BoxId },
    /// A connection to a box was closed.
    Closed { to: BoxId },
    /// A node has sent a health check to a box.
    Probed { of: BoxId },
    /// A message was delivered to a node.
    Message {
        /// Size of the message, in bytes.
        bytes: usize,
    },
    /// A fault event of the scenario begins.
    #[serde(rename = "begins")]
    FaultBegins {
        /// Index of the fault event in the run.
        incident: usize,
        /// Description of the fault event.
        what: String,
    },
    /// A fault event of the scenario ends.
    #[serde(rename = "ends")]
    FaultEnds {
        /// Index of the fault event in the run.
        incident: usize,
    },
    /// Last event of a trace.
    #[serde(rename = "day-over")]
    RunEnded,
}

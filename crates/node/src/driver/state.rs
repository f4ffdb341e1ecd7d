//! State of the driver: active requests, their attempts and pending timers.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use hallpin_balancer::*;
use hallpin_protocol::Command;
use tokio::sync::mpsc::{Sender, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::timers::{SchedulingDelays, Timers};
use crate::answer::Answer;
use crate::clock::Clock;
use crate::lifecycle::Lifecycle;
use crate::log::LogThrottle;
use crate::message::{ClientState, Message, RequestMemory};
use crate::metrics::{Metrics, RequestGuard};
use crate::opaque_ids::SharedOpaqueIds;
use crate::plane::{PlaneRuntime, QuotaUse, SentAttempt};
use crate::upstream::{ExecutionTracker, Upstream};

/// An attempt of a request, in flight or ended.
pub(super) struct Attempt {
    pub(super) started_at: Instant,
    /// Whether the command has been written completely, and so may have run.
    pub(super) written: Rc<Cell<bool>>,
    /// Which attempts may have run; shared by all attempts of the request.
    pub(super) executions: Rc<ExecutionTracker>,
    /// Task that performs the attempt; `None` once the attempt has its outcome.
    pub(super) task: Option<AbortHandle>,
    /// Handle by which the outcome is reported to the control plane, if it is enabled.
    pub(super) sent_attempt: Option<SentAttempt>,
    /// Quota that the attempt holds, if quotas are enabled.
    pub(super) quota_use: Option<QuotaUse>,
}

/// A request from its arrival until its answer is given and its last attempt has ended.
pub(super) struct ActiveRequest {
    pub(super) command: Rc<Command>,
    pub(super) started_at: Instant,
    /// When the client stops waiting.
    pub(super) deadline: Instant,
    /// Taken when the final answer is given or the client disconnects.
    pub(super) reply: Option<(oneshot::Sender<Answer>, RequestGuard)>,
    pub(super) attempts: Vec<Attempt>,
    /// Set once the client has disconnected.
    pub(super) gone: ClientState,
    pub(super) _memory: Option<RequestMemory>,
}

/// Action of a timer, with the ids of its request and attempt or its token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Fails the request if the balancer has not ended it shortly before its deadline.
    Backstop(u64),
    /// Times out an attempt of a request.
    AttemptTimeout(u64, u32),
    /// A timer that the balancer has set, by its token.
    Balancer(u64),
}

/// Connects the balancer with clients, cache servers, timers and discovery.
pub struct Driver {
    pub(super) balancer: Balancer,
    pub(super) clock: Clock,
    pub(super) names: NameIndex,
    pub(super) max_attempts: usize,
    /// Retry window of each class: time after the first attempt that may have run within which another may be sent;
    /// `None` if unlimited.
    pub(super) retry_windows: Vec<Option<Duration>>,
    /// Whether rejections tell clients when to retry.
    pub(super) sends_retry_after: bool,
    /// Processing quantum of the balancer, also reserved for the time that written bytes take to arrive.
    pub(super) quantum: Duration,
    /// Longest deadline of all classes; caps the wait that a client asks for, as timers of finished requests stay in
    /// memory until due.
    pub(super) max_deadline: Duration,
    pub(super) upstream: Rc<Upstream>,
    pub(super) timers: Timers,
    pub(super) requests: HashMap<RequestId, ActiveRequest>,
    /// Opaque ids, chosen by clients, that another request may not use now.
    pub(super) opaque_ids: Rc<SharedOpaqueIds>,
    /// Events not yet handed to the balancer, the oldest first.
    pub(super) events: VecDeque<Event>,
    /// Time of the current event. Actions count from this time, however late they are executed.
    pub(super) event_time: Instant,
    /// Recent times at which the node did not run.
    pub(super) scheduling_delays: SchedulingDelays,
    /// Limits log lines about requests without an answer near their deadline.
    pub(super) overdue_log: LogThrottle,
    /// Limits the balancer's own log lines.
    pub(super) balancer_log: LogThrottle,
    /// Limits log lines about servers replaced at their address.
    pub(super) replaced_log: LogThrottle,
    pub(super) messages: UnboundedSender<Message>,
    /// Asks discovery to poll the list.
    pub(super) poll_requests: Sender<()>,
    pub(super) lifecycle: Rc<Lifecycle>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) plane_runtime: Option<Rc<PlaneRuntime>>,
}

/// Components that the driver uses and shares with the rest of the node.
pub struct DriverContext {
    pub clock: Clock,
    pub upstream: Rc<Upstream>,
    pub messages: UnboundedSender<Message>,
    /// Asks discovery to poll the list.
    pub poll_requests: Sender<()>,
    /// Becomes ready once a server is known.
    pub lifecycle: Rc<Lifecycle>,
    pub metrics: Rc<Metrics>,
    /// Opaque ids in use, in all processes that serve the address.
    pub opaque_ids: Rc<SharedOpaqueIds>,
    /// The control plane between nodes, if it is enabled.
    pub plane_runtime: Option<Rc<PlaneRuntime>>,
}

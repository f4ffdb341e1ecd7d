//! Events that a host passes to a balancer.

use super::endpoint_list::EndpointUpdate;
use super::fleet::FleetUpdate;
use super::identifiers::{AttemptId, ClassId, Key, RequestId, Seconds, ServerId, TenantId, TimerToken};

/// A request that has just arrived.
#[derive(Clone, Debug, PartialEq)]
pub struct NewRequest {
    /// Id of the request, chosen by the host.
    pub id: RequestId,
    /// Time until the client abandons this try.
    pub time_left: Seconds,
    /// Class of the request; `None` if unknown.
    pub class: Option<ClassId>,
    /// Tenant of the request, if it has one.
    pub tenant: Option<TenantId>,
    /// Cache key of the request, if it has one.
    pub key: Option<Key>,
    /// Whether the request is a write.
    pub write: bool,
    /// Work hint: the estimated cost of the request in core time.
    pub work_hint: Option<Seconds>,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Served.
    Success,
    /// Answered with an error; may have run.
    Error,
    /// Rejected by the server before it ran.
    Overloaded,
    /// No answer in time; may have run or still run.
    TimedOut,
    /// No connection; never ran.
    Unreachable,
    /// The connection broke; may have run.
    Broken,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    Void,
    /// The server lacks the key; nothing ran.
    Absent,
    /// A status code that this library does not know; counts as may-have-run.
    Unknown,
}

impl Status {
    /// False where the status proves that the attempt never ran.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Status::Overloaded | Status::Unreachable | Status::Void | Status::Absent)
    }

    /// Whether the server answered at all, rejections included.
    pub fn is_answer(self) -> bool {
        use Status::{Absent, Error, Overloaded, Success, Unknown};
        matches!(self, Success | Error | Overloaded | Absent | Unknown)
    }
}

/// What the server reported about its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheNote {
    /// The server had the key cached.
    Hit,
    /// The server lacked the key.
    Miss,
    /// The server lacked the key, and another request is already fetching it.
    MissFetching,
}

/// The outcome of an attempt; each attempt has exactly one.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub status: Status,
    /// Time since the attempt was sent.
    pub elapsed: Seconds,
    /// Whether the request is finished, so that no final answer is due.
    pub finished: bool,
    /// What the server reported about its cache.
    pub cache_note: Option<CacheNote>,
}

/// An event for the balancer.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the endpoint list.
    Endpoints(EndpointUpdate),
    /// A request arrived.
    Request(NewRequest),
    /// A streamed answer has begun.
    StreamStarted {
        /// The request that is being answered.
        request: RequestId,
        /// The attempt whose answer the client now reads.
        attempt: AttemptId,
    },
    /// An attempt ended.
    Outcome(Outcome),
    /// The client has left: no answer to this request is needed.
    ClientLeft(RequestId),
    /// A timer fired.
    Timer(TimerToken),
    /// A health check ended.
    HealthChecked {
        /// The server that was checked.
        server: ServerId,
        /// Result of the health check.
        status: Status,
    },
    /// An update from the other nodes: a placement table or reports on servers.
    Fleet(FleetUpdate),
    /// Another node sent a message.
    Message {
        /// Number of the sending node.
        from: u32,
        /// Payload of the message.
        bytes: Vec<u8>,
    },
}

//! Messages between the parts of the node.

use std::cell::Cell;
use std::rc::Rc;

use hallpin_balancer::{AttemptId, FleetUpdate, RequestId, ServerId, Status};
use hallpin_protocol::Command;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::answer::Answer;
use crate::memory::MemoryReservation;
use crate::metrics::MemberCounts;
use crate::roster::Roster;
use crate::upstream::AttemptResult;

/// What the parts of the node that act for a client see of its connection at once, however many messages are queued.
#[derive(Clone, Debug, Default)]
pub struct ClientState(Rc<ConnectionView>);

#[derive(Debug, Default)]
struct ConnectionView {
    is_gone: Cell<bool>,
    is_end_hidden: Cell<bool>,
    /// The request whose answer is sent next; `None` while there is none, or outside a connection.
    next_answer: Cell<Option<RequestId>>,
}

impl ClientState {
    /// Marks the client as disconnected.
    pub fn set(&self) {
        self.0.is_gone.set(true);
    }

    /// Whether the client has disconnected.
    pub fn is_set(&self) -> bool {
        self.0.is_gone.get()
    }

    /// Sets whether the client may have disconnected unseen, behind input that the node leaves unread; returns what was
    /// set before.
    pub fn set_end_hidden(&self, is_hidden: bool) -> bool {
        self.0.is_end_hidden.replace(is_hidden)
    }

    /// Whether an attempt may begin: the first one may, as an answer that was sent just before has shown that the client
    /// is there, and further ones unless the client may have disconnected unseen.
    pub fn allows_attempt(&self, is_first: bool) -> bool {
        !self.is_set() && (is_first || !self.0.is_end_hidden.get())
    }

    /// Sets the request whose answer is sent next; returns whether it is another one than before.
    pub fn set_next_answer(&self, request: Option<RequestId>) -> bool {
        self.0.next_answer.replace(request) != request
    }

    /// Whether no other answer has to be sent before this request's.
    pub fn is_next_answer(&self, request: RequestId) -> bool {
        self.0.next_answer.get().is_none_or(|next| next == request)
    }
}

/// Memory that a request holds until its last attempt has ended.
pub struct RequestMemory {
    _held: [MemoryReservation; 2],
}

impl RequestMemory {
    /// Memory for a request's line and state, and for its value, if that is large.
    pub fn new(state: MemoryReservation, value: MemoryReservation) -> Self {
        RequestMemory { _held: [state, value] }
    }
}

/// Whether a request may still be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admit,
    /// Its connection has to end and no time is left: it gets its answer, and no attempt.
    Reject,
    /// No memory is left for it: it is rejected with a time to retry after.
    Shed,
}

/// Messages to the driver.
pub enum Message {
    /// A client has sent a complete command.
    Request {
        id: RequestId,
        command: Command,
        /// When the first byte of the command was read, or was seen waiting to be read. The client's deadline counts
        /// from here, or from the start of a scheduling delay in which the byte may have arrived.
        at: Instant,
        admission: Admission,
        reply: oneshot::Sender<Answer>,
        gone: ClientState,
        /// `None` for a request that is rejected.
        memory: Option<RequestMemory>,
    },
    /// The client has disconnected.
    ClientLeft(RequestId),
    /// An attempt has ended.
    Ended { request: RequestId, attempt: AttemptId, ended: AttemptResult },
    /// A health check has ended.
    HealthChecked { server: ServerId, status: Status },
    /// Discovery has delivered an endpoint list.
    Roster(Roster),
    /// An update from the control plane between nodes for the balancer.
    Fleet(FleetUpdate),
    /// A call to discovery has failed.
    RosterFailed,
    /// The operators' listener asks for the number of listed cache servers.
    Members(oneshot::Sender<MemberCounts>),
}

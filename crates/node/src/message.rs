//! Messages between the parts of the node.

use std::cell::Cell;
use std::rc::Rc;

use hallpin_balancer::{AttemptId, FleetUpdate, RequestId, ServerId, Status};
use hallpin_protocol::Command;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::answer::Answer;
use crate::metrics::MemberCounts;
use crate::roster::Roster;
use crate::upstream::AttemptResult;

/// Whether a client has disconnected. The flag is shared, so whoever would still send for the client sees it at once,
/// however many messages are queued.
#[derive(Clone, Debug, Default)]
pub struct DisconnectFlag(Rc<Cell<bool>>);

impl DisconnectFlag {
    /// Marks the client as disconnected.
    pub fn set(&self) {
        self.0.set(true);
    }

    /// Whether the client has disconnected.
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}

/// Whether a request may still be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admit,
    /// Its connection has to end and no time is left: it gets its answer, and no attempt.
    Reject,
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
        gone: DisconnectFlag,
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

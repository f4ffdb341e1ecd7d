//! Messages between the parts of the node.

use std::cell::Cell;
use std::rc::Rc;

use hallpin_balancer::{AttemptId, FleetNews, RequestId, ServerId, Status};
use hallpin_protocol::Command;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::answer::Answer;
use crate::figures::Members;
use crate::roster::Roster;
use crate::upstream::Ended;

/// Whether a client has disconnected. The flag is shared, so whoever would still send for the client sees it at once,
/// however many messages are queued.
#[derive(Clone, Debug, Default)]
pub struct Gone(Rc<Cell<bool>>);

impl Gone {
    pub fn tell(&self) {
        self.0.set(true);
    }

    pub fn is_told(&self) -> bool {
        self.0.get()
    }
}

/// Messages to the driver.
pub enum Message {
    Request {
        id: RequestId,
        command: Command,
        /// When the first byte of the command was read. The client's deadline counts from here.
        at: Instant,
        reply: oneshot::Sender<Answer>,
        gone: Gone,
    },
    /// The client has disconnected.
    Withdrawn(RequestId),
    Ended {
        request: RequestId,
        attempt: AttemptId,
        ended: Ended,
    },
    /// A health check has ended.
    Probed {
        server: ServerId,
        status: Status,
    },
    Roster(Roster),
    /// News from the control plane between nodes for the balancer.
    Fleet(FleetNews),
    RosterFailed,
    /// The operator's listener asks for the member counts.
    Members(oneshot::Sender<Members>),
}

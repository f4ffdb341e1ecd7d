//! The parameters of one attempt, and the deadline for writing its last byte. The deadline is checked right before
//! each write, because the connection may have come up late, or a server that reads nothing may have blocked the
//! write.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use hallpin_balancer::{AttemptId, RequestId, Status};
use hallpin_protocol::Command;
use tokio::time::Instant;

use crate::message::ClientState;

/// Which attempts of one request were written completely, and so may have run, and when.
#[derive(Default)]
pub struct ExecutionTracker(RefCell<Vec<(AttemptId, Instant)>>);

impl ExecutionTracker {
    /// Records that the last byte of an attempt was written.
    pub(super) fn record_written(&self, attempt: AttemptId, at: Instant) {
        self.0.borrow_mut().push((attempt, at));
    }

    /// The server has answered that the attempt never ran.
    pub fn record_never_ran(&self, attempt: AttemptId) {
        self.0.borrow_mut().retain(|(written, _)| *written != attempt);
    }

    fn first_written_at(&self) -> Option<Instant> {
        self.0.borrow().iter().map(|(_, at)| *at).min()
    }
}

/// The parameters of one attempt.
pub struct UpstreamCall {
    pub request: RequestId,
    pub command: Rc<Command>,
    pub attempt: AttemptId,
    /// Whether the attempt began with its request, and not later.
    pub is_first: bool,
    /// When the node stops waiting for the answer.
    pub until: Instant,
    /// How long after the first attempt that may have run another one may go out; `None` means without limit.
    pub repeat_window: Option<Duration>,
    /// Shared by all attempts of the request, as a later attempt may be written before an earlier one.
    pub executions: Rc<ExecutionTracker>,
    /// Set once the last byte is written; from then on the command may have run.
    pub written: Rc<Cell<bool>>,
    pub gone: ClientState,
}

impl UpstreamCall {
    /// Latest time to write the last byte, as far as is known now.
    pub(super) fn write_deadline(&self) -> Instant {
        let window =
            self.repeat_window.and_then(|window| self.executions.first_written_at()?.checked_add(window));
        window.map_or(self.until, |ends| ends.min(self.until))
    }

    /// Whether the repeat window has closed although the node would still wait for an answer.
    pub(super) fn is_past_repeat_window(&self, now: Instant) -> bool {
        (self.write_deadline()..self.until).contains(&now)
    }

    /// Whether a write that may complete the command may go out now. The error says nothing about the server.
    pub(super) fn may_write(&self, now: Instant) -> Result<(), Status> {
        let is_wanted = self.gone.allows_attempt(self.is_first);
        (now < self.write_deadline() && is_wanted).then_some(()).ok_or(Status::Void)
    }

    /// Records that the last byte was taken by a write that began at `at`.
    pub(super) fn record_written(&self, at: Instant) {
        self.written.set(true);
        self.executions.record_written(self.attempt, at);
    }
}

/// What is written next of these parts, of which `sent` bytes are written.
pub(super) fn unsent_part(parts: [&[u8]; 3], mut sent: usize) -> &[u8] {
    for part in parts {
        if sent < part.len() {
            return &part[sent..];
        }
        sent -= part.len();
    }
    &[]
}

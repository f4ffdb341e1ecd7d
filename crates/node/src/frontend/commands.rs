//! Incoming commands: how much is read, when a command is started, and how each is handled.

use bytes::Bytes;
use hallpin_balancer::RequestId;
use hallpin_protocol::{self as protocol, Input, MAX_BUFFERED_VALUE_BYTES};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::client::{AbandonReason, Client, PendingAnswer};
use super::closing::MAX_LINGER_BYTES;
use super::input::{MAX_READ_AHEAD_BYTES, MIN_READ_AHEAD_BYTES};
use super::stage::Stage;
use crate::lifecycle::LifecycleState;
use crate::message::{Admission, Message};

/// Commands of one connection that may be in flight at once; further ones wait.
const MAX_PIPELINE: usize = 64;
/// Input that is still answered on a connection that must end, so that a client that sends without pause cannot keep
/// it open: many times what a client has on its way.
pub(super) const MAX_INPUT_AT_END_BYTES: usize = 1 << 20;
/// Unsent output at which further answers and commands of a slow reader wait.
pub(super) const MAX_UNSENT_BYTES: usize = 128 * 1024;

impl Client {
    /// Whether memory is left for a command; one command per connection is always allowed.
    fn has_room(&self) -> bool {
        self.frontend.budget.has_free_memory() || self.pending.is_empty()
    }

    /// Whether no command is started yet, as an earlier one was invalid. The delay does not keep a connection from
    /// its end.
    pub(super) fn is_delayed(&self, now: Instant) -> bool {
        self.paused_until > now && !self.has_input_limit()
    }

    /// Whether the connection must end however much its client sends: when no time is left, or when a client without
    /// a valid request makes room. Otherwise a client that sends without pause has its connection in use.
    fn has_input_limit(&self) -> bool {
        (self.ending && !self.is_trusted) || self.stage == Stage::Rejecting
    }

    /// Whether the next command may be started.
    fn may_start_command(&self, now: Instant) -> bool {
        let has_capacity =
            self.pending.len() < MAX_PIPELINE && self.output.len() < MAX_UNSENT_BYTES && self.has_room();
        !self.input_closed && !self.is_delayed(now) && has_capacity
    }

    /// Starts the complete commands while there is capacity; the others wait until an answer on this connection frees
    /// capacity.
    pub(super) fn start_commands(&mut self, now: Instant) {
        while self.may_start_command(now) {
            let Some((input, at)) = self.input.take_command() else { break };
            self.command_since = (!self.input.is_empty()).then_some(now);
            let pending = self.start_command(input, at);
            self.pending.push_back(pending);
        }
        if self.input_closed {
            self.discard_input();
        }
        self.input_reservation.set(self.input.len());
    }

    /// Passes a command to the driver, or answers it directly.
    fn start_command(&mut self, input: Input, at: Instant) -> PendingAnswer {
        let frontend = &self.frontend;
        match input {
            Input::Command(command) => {
                let (reply, answer) = oneshot::channel();
                let id = RequestId(frontend.take_number());
                let weight = command.memory_bytes() + MAX_BUFFERED_VALUE_BYTES;
                frontend.budget.reserve(weight);
                let (command, gone) = (*command, self.gone.clone());
                let admission = match self.stage {
                    Stage::Rejecting => Admission::Reject,
                    Stage::Open | Stage::Closing | Stage::Flushing => Admission::Admit,
                };
                // The driver ends only with the process.
                let _ = frontend.driver.send(Message::Request { id, command, at, admission, reply, gone });
                PendingAnswer::Waiting { id, weight, answer }
            }
            Input::HealthCheck if frontend.lifecycle.state() == LifecycleState::Ready => {
                PendingAnswer::Ready(protocol::READY)
            }
            Input::HealthCheck => PendingAnswer::Ready(protocol::NOT_READY),
            Input::Invalid { answer, close } => {
                if close {
                    self.close_input(AbandonReason::FramingLost);
                }
                PendingAnswer::Ready(Bytes::from_static(answer.as_bytes()))
            }
        }
    }

    /// Number of bytes to read now. Reading continues while commands wait, because the client's disconnect shows only
    /// after them.
    pub(super) fn read_limit(&self) -> usize {
        if self.input_closed {
            return MAX_LINGER_BYTES.saturating_sub(self.bytes_discarded);
        }
        let max_buffered = if self.has_room() { MAX_READ_AHEAD_BYTES } else { MIN_READ_AHEAD_BYTES };
        max_buffered.saturating_sub(self.input.len())
    }

    /// Appends bytes that were read apart from the event loop.
    pub(super) fn append_input(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.input.extend(bytes);
        self.record_input(bytes.len());
    }

    /// Accepts no further input: the pending commands are answered, then the connection ends.
    pub(super) fn close_input(&mut self, reason: AbandonReason) {
        (self.input_closed, self.abandon_reason) = (true, reason);
    }

    /// Records `read` new bytes. If too much memory is in use, a connection is asked to close, first one
    /// without a valid request.
    pub(super) fn record_input(&mut self, read: usize) {
        self.input.record_read(read);
        if self.input_closed {
            self.bytes_discarded += read;
            return self.input.clear();
        }
        if self.has_input_limit() {
            self.bytes_read_at_end += read;
            if self.bytes_read_at_end > MAX_INPUT_AT_END_BYTES {
                return self.close_input(self.end_reason());
            }
        }
        self.command_since.get_or_insert_with(Instant::now);
        self.input_reservation.set(self.input.len());
        if !self.frontend.budget.has_free_memory() {
            self.frontend.make_room();
        }
    }
}

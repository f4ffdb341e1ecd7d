//! Incoming commands: how much is read, when a command is started, and how each is handled.

use bytes::Bytes;
use hallpin_balancer::RequestId;
use hallpin_protocol::{self as protocol, Command, Input};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::client::{AbandonReason, Client, PendingAnswer};
use super::closing::MAX_LINGER_BYTES;
use super::input::{MAX_READ_AHEAD_BYTES, READ_CHUNK_BYTES, UNRESERVED_INPUT_BYTES};
use super::stage::Stage;
use crate::lifecycle::LifecycleState;
use crate::memory::{MemoryReservation, MemoryUse};
use crate::message::{Admission, Message, RequestMemory};
use crate::upstream::SMALL_ANSWER_BYTES;

/// Commands of one connection that may be in flight at once; further ones wait.
const MAX_PIPELINE: usize = 64;
/// Memory of a request beside its command: its state, an attempt, and a small answer. The command itself takes the place
/// of its connection's input.
pub(super) const REQUEST_BYTES: usize = 1024 + SMALL_ANSWER_BYTES;
/// Input that is still answered on a connection that must end, so that a client that sends without pause cannot keep
/// it open: many times what a client has on its way.
pub(super) const MAX_INPUT_AT_END_BYTES: usize = 1 << 20;
/// Unsent output at which further answers and commands of a slow reader wait.
pub(super) const MAX_UNSENT_BYTES: usize = 128 * 1024;

impl Client {
    /// Reserves memory for the next request, or returns `None` if none is left. Each connection has memory for one request;
    /// what remains is for further ones, with the input that they bring.
    fn reserve_request(&self) -> Option<MemoryReservation> {
        let budget = &self.frontend.budget;
        if self.pending.is_empty() {
            return budget.memory().try_reserve(MemoryUse::Request, REQUEST_BYTES);
        }
        let bytes = REQUEST_BYTES + self.input.len().min(UNRESERVED_INPUT_BYTES);
        let kept_free = budget.max_client_connections() * REQUEST_BYTES;
        budget.memory().try_reserve_beside(MemoryUse::Request, bytes, kept_free)
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
        let is_answer_memory_scarce = self.frontend.budget.memory().is_scarce(MemoryUse::Answer);
        let (max_pending, max_unsent) =
            if is_answer_memory_scarce { (1, 1) } else { (MAX_PIPELINE, MAX_UNSENT_BYTES) };
        let has_capacity = self.pending.len() < max_pending && self.output.len() < max_unsent;
        let must_wait = self.answers_may_be_cut() && self.stage != Stage::Rejecting;
        !self.input_closed && !self.is_delayed(now) && !must_wait && has_capacity
    }

    /// Starts the complete commands while there is capacity; the others wait until an answer on this connection frees
    /// capacity.
    pub(super) fn start_commands(&mut self, now: Instant) {
        while self.may_start_command(now) {
            if let Some((input, at)) = self.input.take_skipped() {
                self.start_next(input, at, None, now);
                continue;
            }
            if !self.input.has_waiting_commands() {
                break;
            }
            let memory = self.reserve_request();
            // Answers that are owed free memory when they are sent. A client to which none is owed is answered at once.
            if memory.is_none() && self.owes_answers() {
                break;
            }
            let Some((input, at)) = self.input.take_command() else { break };
            self.start_next(input, at, memory, now);
        }
        if self.input_closed {
            self.discard_input();
        }
        self.admit_value();
        self.input.shrink();
        self.reserve_input();
        let next_answer = self.pending.iter().find_map(|pending| match pending {
            PendingAnswer::Waiting { id, .. } => Some(*id),
            PendingAnswer::Ready(_) => None,
        });
        if self.gone.set_next_answer(next_answer) {
            self.frontend.budget.memory().wake_waiting();
        }
    }

    fn start_next(&mut self, input: Input, at: Instant, memory: Option<MemoryReservation>, now: Instant) {
        self.command_since = (!self.input.is_empty()).then_some(now);
        let pending = self.start_command(input, at, memory);
        self.pending.push_back(pending);
    }

    /// Reserves memory for the large value of the command that is being received. If none is left the value is not
    /// kept, and the command is rejected once all of it has arrived.
    fn admit_value(&mut self) {
        let length = self.input.incomplete_command_length();
        let Some(length) = length.filter(|length| *length > UNRESERVED_INPUT_BYTES) else { return };
        let needed = length - UNRESERVED_INPUT_BYTES;
        if self.input_reservation.bytes() < needed && !self.input_reservation.try_grow(needed) {
            self.input.skip_value();
        }
    }

    /// Adjusts the reservation to the input that is held, or that is admitted.
    fn reserve_input(&mut self) {
        let admitted = self.input.incomplete_command_length().unwrap_or(0);
        let held = self.input.allocated().max(admitted);
        self.input_reservation.set(held.saturating_sub(UNRESERVED_INPUT_BYTES));
    }

    /// Passes a command to the driver, or answers it directly. Without memory it is rejected.
    fn start_command(
        &mut self,
        input: Input,
        at: Instant,
        memory: Option<MemoryReservation>,
    ) -> PendingAnswer {
        match input {
            Input::Command(command) => self.start_request(*command, at, memory),
            Input::HealthCheck if self.frontend.lifecycle.state() == LifecycleState::Ready => {
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

    /// Passes a request to the driver, with the memory for its state and its value. That for its answer stays here.
    fn start_request(
        &mut self,
        command: Command,
        at: Instant,
        mut memory: Option<MemoryReservation>,
    ) -> PendingAnswer {
        let (reply, answer) = oneshot::channel();
        let id = RequestId(self.frontend.take_number());
        let admission = match self.stage {
            Stage::Rejecting => Admission::Reject,
            Stage::Open | Stage::Closing | Stage::Flushing if memory.is_none() => Admission::Shed,
            Stage::Open | Stage::Closing | Stage::Flushing => Admission::Admit,
        };
        let request_memory = memory.as_mut().map(|memory| {
            memory.shrink(REQUEST_BYTES + command.memory_bytes());
            let state = memory.split(memory.bytes().saturating_sub(SMALL_ANSWER_BYTES));
            RequestMemory::new(state, self.input_reservation.split(command.memory_bytes()))
        });
        let gone = self.gone.clone();
        // The driver ends only with the process.
        let _ = self.frontend.driver.send(Message::Request {
            id,
            command,
            at,
            admission,
            reply,
            gone,
            memory: request_memory,
        });
        PendingAnswer::Waiting { id, memory, answer }
    }

    /// Number of bytes to read now. Reading continues while commands wait, because the client's disconnect shows only
    /// after them.
    pub(super) fn read_limit(&self) -> usize {
        if self.input_closed {
            return MAX_LINGER_BYTES.saturating_sub(self.bytes_discarded);
        }
        if self.input.is_skipping() {
            return READ_CHUNK_BYTES;
        }
        if self.frontend.budget.memory().is_scarce(MemoryUse::Value) {
            return self.scarce_read_limit();
        }
        MAX_READ_AHEAD_BYTES.saturating_sub(self.input.len())
    }

    /// Number of bytes to read if memory for values is scarce: what is reserved for this connection.
    pub(super) fn scarce_read_limit(&self) -> usize {
        if self.input_closed || self.input.is_skipping() {
            return READ_CHUNK_BYTES;
        }
        (self.input_reservation.bytes() + UNRESERVED_INPUT_BYTES).saturating_sub(self.input.len())
    }

    /// Appends bytes that were read apart from the event loop.
    pub(super) fn append_input(&mut self, bytes: &[u8]) {
        if bytes.is_empty() {
            return;
        }
        self.input.receive(bytes);
        self.record_input(bytes.len());
    }

    /// Accepts no further input: the pending commands are answered, then the connection ends.
    pub(super) fn close_input(&mut self, reason: AbandonReason) {
        (self.input_closed, self.abandon_reason) = (true, reason);
    }

    /// Accounts for `read` new bytes of input. If memory for values is scarce a connection is asked to close, first one
    /// without a valid request.
    pub(super) fn record_input(&mut self, read: usize) {
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
        self.reserve_input();
        if self.frontend.budget.memory().is_scarce(MemoryUse::Value) {
            self.frontend.make_room();
        }
    }
}

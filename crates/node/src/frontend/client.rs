//! State of one client connection: what has been requested, what is still to be sent, and when the connection may
//! end.

use std::collections::VecDeque;
use std::rc::Rc;

use bytes::Bytes;
use hallpin_balancer::RequestId;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::Instant;
use tracing::debug;

use super::input::{command_ids, InputBuffer};
use super::kernel_backlog::KernelBacklog;
use super::output_buffer::OutputBuffer;
use super::shared::{Frontend, Rank};
use super::stage::Stage;
use super::unread_input::EnlargedReceiveBuffer;
use crate::answer::Answer;
use crate::lifecycle::Phase;
use crate::memory::{MemoryReservation, MemoryUse};
use crate::message::{ClientState, Message};
use crate::metrics::{RequestGuard, RequestOutcome};
use crate::upstream::BodyStream;

/// The answer to a started command: available, or expected from the driver.
pub(super) enum PendingAnswer {
    Ready(Bytes),
    Waiting { id: RequestId, memory: Option<MemoryReservation>, answer: oneshot::Receiver<Answer> },
}

/// Why a command gets no answer, or only an error, whether it was started or is still in the input. Logged as `reason`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AbandonReason {
    /// The client has disconnected, or its connection is broken.
    ClientGone,
    /// The command was not complete in time.
    TooSlow,
    /// The connection was closed to make room for others.
    MadeRoom,
    /// The process ends.
    Stopping,
    /// The command follows one whose end cannot be found, or an answer that broke off.
    FramingLost,
    /// The client does not read its answers.
    AnswersUntaken,
    /// The command was read only after the node had ended the connection.
    ReadAfterEnd,
}

/// One client connection.
pub(super) struct Client {
    pub(super) frontend: Rc<Frontend>,
    pub(super) stream: TcpStream,
    /// Orders connections of one rank by age when one is closed to make room; renewed when output begins and with each
    /// write.
    pub(super) sequence: u64,
    /// Time of the last write to the client, or of the connection's start before the first one.
    pub(super) idle_since: Instant,
    pub(super) close: Rc<Notify>,
    /// Memory reserved for the buffered input beyond [`UNRESERVED_INPUT_BYTES`](super::input::UNRESERVED_INPUT_BYTES).
    pub(super) input_reservation: MemoryReservation,
    pub(super) phases: watch::Receiver<Phase>,
    pub(super) opened_at: Instant,
    /// Time of the last answer.
    pub(super) last_answer_at: Option<Instant>,
    pub(super) input: InputBuffer,
    /// Start of the time limit for the command being received: its first byte, or the connection's start for the
    /// first command; later if the node left input unread or commands waiting.
    pub(super) command_since: Option<Instant>,
    /// No command is started before this time.
    pub(super) paused_until: Instant,
    pub(super) output: OutputBuffer,
    /// When output was last written, or when it was queued if none has been written since.
    pub(super) last_written_at: Instant,
    /// Since when there has been unsent output without a break, and the value of `bytes_written` at that time.
    pub(super) unsent_since: (Instant, u64),
    /// What the system took in a stop beyond its usual limit and has not sent.
    pub(super) kernel_backlog: Option<KernelBacklog>,
    /// Bytes written so far, and the requests that end once that many bytes are written.
    pub(super) bytes_written: u64,
    pub(super) unfinished_requests: VecDeque<(u64, RequestGuard, RequestOutcome)>,
    /// The remainder of a long value whose beginning ends the output. Later answers wait.
    pub(super) body: Option<(BodyStream, Option<(RequestGuard, RequestOutcome)>)>,
    pub(super) pending: VecDeque<PendingAnswer>,
    /// Set once the pending answers are no longer wanted.
    pub(super) gone: ClientState,
    /// No further input is accepted: the pending commands are answered, then the connection ends.
    pub(super) input_closed: bool,
    /// The connection ends as soon as all answers are sent.
    pub(super) ending: bool,
    /// The connection was asked to make room for others.
    pub(super) making_room: bool,
    /// A request was answered with something other than an error of the client's own.
    pub(super) is_trusted: bool,
    /// Set while more input than usual may wait in the kernel.
    pub(super) enlarged_receive_buffer: Option<EnlargedReceiveBuffer>,
    /// Input is available that is not read for now.
    pub(super) has_unread_input: bool,
    /// How far the connection has come towards its end.
    pub(super) stage: Stage,
    /// Bytes read while the connection had to end.
    pub(super) bytes_read_at_end: usize,
    /// Bytes discarded after the input was closed.
    pub(super) bytes_discarded: usize,
    /// The reason to log for commands that get no answer, or only an error.
    pub(super) abandon_reason: AbandonReason,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.withdraw_pending();
        self.discard_input();
        let frontend = &self.frontend;
        frontend.candidates.borrow_mut().remove(&(Rank::Untrusted, self.sequence));
        frontend.open.set(frontend.open.get() - 1);
        frontend.closed.notify_one();
    }
}

impl Client {
    pub(super) fn new(
        frontend: Rc<Frontend>,
        stream: TcpStream,
        sequence: u64,
        since: Instant,
        close: Rc<Notify>,
    ) -> Self {
        Client {
            phases: frontend.lifecycle.subscribe(),
            input_reservation: frontend.budget.memory().empty_reservation(MemoryUse::Value),
            frontend,
            stream,
            sequence,
            idle_since: since,
            opened_at: since,
            last_answer_at: None,
            close,
            input: InputBuffer::new(),
            command_since: Some(since),
            paused_until: since,
            output: OutputBuffer::default(),
            last_written_at: since,
            unsent_since: (since, 0),
            kernel_backlog: None,
            bytes_written: 0,
            unfinished_requests: VecDeque::new(),
            body: None,
            pending: VecDeque::new(),
            gone: ClientState::default(),
            input_closed: false,
            ending: false,
            making_room: false,
            is_trusted: false,
            enlarged_receive_buffer: None,
            has_unread_input: false,
            stage: Stage::Open,
            bytes_read_at_end: 0,
            bytes_discarded: 0,
            abandon_reason: AbandonReason::ClientGone,
        }
    }

    /// Whether an answer is pending or not completely sent.
    pub(super) fn owes_answers(&self) -> bool {
        !self.pending.is_empty() || !self.output.is_empty() || self.body.is_some()
    }

    /// Withdraws the pending requests, as their answers are no longer wanted.
    pub(super) fn withdraw_pending(&mut self) {
        self.gone.set();
        for pending in self.pending.drain(..) {
            if let PendingAnswer::Waiting { id, .. } = pending {
                debug!(request = id.0, reason = ?self.abandon_reason, "request given up");
                let _ = self.frontend.driver.send(Message::ClientLeft(id));
            }
        }
    }

    /// Records that no client is left to answer.
    pub(super) fn mark_client_gone(&mut self) {
        self.abandon_reason = AbandonReason::ClientGone;
    }

    /// Discards the input that was not taken, including a partial command.
    pub(super) fn discard_input(&mut self) {
        if !self.input.is_empty() && tracing::enabled!(tracing::Level::DEBUG) {
            log_given_up(&self.input.command_ids(), self.abandon_reason, self.input.first_byte_at());
        }
        self.input.clear();
    }

    /// Logs the first commands that were read only after the end of the connection, and since when they are known to
    /// have waited.
    pub(super) fn log_read_after_end(&self, first_bytes: &[u8]) {
        if !first_bytes.is_empty() && tracing::enabled!(tracing::Level::DEBUG) {
            let waiting_since = self.input.unread_since().unwrap_or_else(Instant::now);
            log_given_up(&command_ids(first_bytes), AbandonReason::ReadAfterEnd, waiting_since);
        }
    }
}

/// Logs commands that get no answer, by their opaque ids.
fn log_given_up(opaque_ids: &[Bytes], reason: AbandonReason, waiting_since: Instant) {
    let elapsed = waiting_since.elapsed().as_secs_f64();
    for opaque in opaque_ids {
        let opaque = opaque.escape_ascii();
        debug!(%opaque, ?reason, elapsed, "command given up");
    }
}

//! Output to a client: answers in the order of its commands, long values as they arrive, and the minimum rate at
//! which the client has to read.

use std::time::Duration;

use bytes::Bytes;
use hallpin_protocol as protocol;
use tokio::time::Instant;
use tracing::warn;

use super::client::{AbandonReason, Client};
use crate::answer::Answer;
use crate::memory::MemoryReservation;
use crate::metrics::{RequestGuard, RequestOutcome};
use crate::transfer::{time_at_min_rate, STALL_TIMEOUT};
use crate::upstream::BrokenBody;

/// Longest delay before the next command of a client whose command was invalid: it would retry at once.
const MAX_ERROR_DELAY: Duration = Duration::from_millis(100);

/// Delay before the next command of a client whose command was invalid, for a node whose shortest request deadline is
/// `shortest`: the next command keeps most of its time.
pub fn error_delay(shortest: Duration) -> Duration {
    MAX_ERROR_DELAY.min(shortest / 10)
}

impl Client {
    /// Queues the answer to the oldest command; its request ends with the last byte.
    pub(super) fn queue_answer(&mut self, answer: Answer, request_memory: Option<MemoryReservation>) {
        self.last_answer_at = Some(Instant::now());
        // A client that does not take its answers would use up its requests, and the memory that others need.
        if protocol::is_client_error(&answer.text) || answer.lacked_memory {
            self.paused_until = Instant::now() + self.frontend.error_delay;
        } else {
            self.is_trusted = true;
        }
        self.note_output();
        self.output.push(answer.text);
        for memory in [request_memory, answer.memory].into_iter().flatten() {
            self.output.hold(memory);
        }
        match answer.body {
            Some(body) => self.body = Some((body, answer.request_end)),
            None => self.register_end(answer.request_end),
        }
    }

    /// Notes that output is appended.
    fn note_output(&mut self) {
        if self.output.is_empty() {
            self.sequence = self.frontend.take_number();
            self.last_written_at = Instant::now();
            self.unsent_since = (self.last_written_at, self.bytes_written);
        }
    }

    /// Appends a copy of bytes of a long value.
    fn append_output(&mut self, bytes: &[u8]) {
        self.note_output();
        self.output.push_copy(bytes);
    }

    /// Registers the request of a complete answer in the output; it ends when that is written.
    pub(super) fn register_end(&mut self, ends: Option<(RequestGuard, RequestOutcome)>) {
        let at = self.bytes_written + self.output.len() as u64;
        self.unfinished_requests.extend(ends.map(|(request_guard, end)| (at, request_guard, end)));
    }

    /// Appends the next piece of a long value. If the value broke off, the connection ends, which shows it to the
    /// client.
    pub(super) fn append_body_piece(&mut self, piece: Result<Option<Bytes>, BrokenBody>) {
        match piece {
            Ok(Some(bytes)) => self.append_output(&bytes),
            Ok(None) => {
                self.append_output(b"\r\n");
                if let Some((body, ends)) = self.body.take() {
                    self.output.hold(body.finish());
                    self.register_end(ends);
                }
            }
            Err(cause) => {
                if let Some(suppressed) = self.frontend.broken_value_log.pass(Instant::now()) {
                    warn!(suppressed, %cause, "a value broke off on its way to its client");
                }
                self.body = None;
                self.close_input(AbandonReason::FramingLost);
                self.withdraw_pending();
            }
        }
    }

    /// Accounts for `bytes` written, and ends the requests that they complete.
    pub(super) fn record_written(&mut self, bytes: usize) {
        self.last_written_at = Instant::now();
        (self.sequence, self.idle_since) = (self.frontend.take_number(), self.last_written_at);
        self.output.advance(bytes);
        self.bytes_written += bytes as u64;
        while self.unfinished_requests.front().is_some_and(|(at, ..)| *at <= self.bytes_written) {
            if let Some((_, request_guard, end)) = self.unfinished_requests.pop_front() {
                request_guard.end(end);
            }
        }
    }

    /// Sends the next output without waiting; returns whether the connection is sound, as far as the system knows then.
    pub(super) fn send_available(&mut self) -> bool {
        if !self.output.is_empty() {
            if let Ok(written) = self.stream.try_write(self.output.next_bytes()) {
                self.record_written(written);
            }
        }
        matches!(self.stream.take_error(), Ok(None))
    }

    /// When the client will have read too little of its answers for too long. What it sends meanwhile does not count.
    pub(super) fn stall_deadline(&self) -> Instant {
        if let Some(deadline) = self.kernel_stall_deadline() {
            return deadline;
        }
        let (since, written) = self.unsent_since;
        let allowed = time_at_min_rate(self.bytes_written - written);
        self.last_written_at.min(since + allowed) + STALL_TIMEOUT
    }

    /// Records that the client has read nothing, or too little, of its answers for too long.
    pub(super) fn record_stall(&mut self) {
        self.abandon_reason = AbandonReason::AnswersUntaken;
        if let Some(suppressed) = self.frontend.stalled_client_log.pass(Instant::now()) {
            warn!(suppressed, "a client does not take its answers; closed");
        }
    }
}

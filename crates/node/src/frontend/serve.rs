//! The event loop of one client connection: reading, answering, waiting, and its end.

use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::time::Duration;

use bytes::Bytes;
use hallpin_protocol as protocol;
use tokio::io::AsyncWriteExt;
use tokio::io::Interest;
use tokio::net::tcp::ReadHalf;
use tokio::time::{sleep_until, Instant};

use super::client::{AbandonReason, Client, PendingAnswer};
use super::closing::peek;
use super::commands::MAX_UNSENT_BYTES;
use super::input::{InputBuffer, READ_CHUNK_BYTES};
use super::kernel_backlog::{drained, limit_unsent, MAX_KERNEL_UNSENT_BYTES};
use super::shared::{EvictionEntry, Rank, STALL_EVICTION_DELAY};
use crate::answer::Answer;
use crate::memory::MemoryUse;
use crate::metrics::{RequestGuard, RequestOutcome};
use crate::upstream::{BodyStream, BrokenBody, MAX_UNSENT_BODY_BYTES};

/// Time from connecting to the end of the first command, and from the first byte of a later one to its last: a client
/// that is silent or sends single bytes must not hold a connection for long.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_millis(2300);
/// Connections without a request for this long are closed; usual clients send more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

impl Client {
    /// Serves the connection until it ends.
    pub(super) async fn serve(&mut self) {
        if self.stream.set_nodelay(true).is_err() {
            return;
        }
        limit_unsent(&self.stream, MAX_KERNEL_UNSENT_BYTES);
        let frontend = self.frontend.clone();
        loop {
            let now = Instant::now();
            let phase = *self.phases.borrow_and_update();
            let stage_times = self.stage_times(&phase);
            self.stage = self.stage_at(&stage_times, now);
            // The client's end may lie behind what is unread: an answer that is sent shows whether it is still there.
            if self.has_unread_input && !self.send_available() {
                return self.mark_client_gone();
            }
            if phase.answer_deadline.is_some() {
                self.update_kernel_backlog(now);
            }
            self.start_commands(now);
            let owes_answers = self.owes_answers() || self.kernel_backlog.is_some();
            let is_idle = !owes_answers && self.input.is_empty();
            if self.input_closed && !owes_answers {
                return self.close_after_answers().await;
            }
            let may_end = self.stage.ends_between_requests() && !owes_answers;
            if may_end && (is_idle || self.abandons_partial_command(&phase, now)) {
                if self.read_last_input() {
                    // A client that sends without pause must not keep the others waiting.
                    tokio::task::yield_now().await;
                    continue;
                }
                if is_idle {
                    return self.close_between_requests().await;
                }
                self.reject_partial_command();
                continue;
            }
            if is_idle {
                // A buffer keeps the size of the largest command that it held.
                self.input.clear();
                self.restore_receive_buffer();
            }
            let unsent = self.output.len();
            let evictable_at = self.last_written_at + STALL_EVICTION_DELAY;
            let stalled = unsent > 0 && evictable_at <= now && self.kernel_backlog.is_none();
            let rank = match stalled {
                true => Rank::Stalled,
                false if self.is_trusted => Rank::Idle,
                false => Rank::Untrusted,
            };
            let queued = self.input.has_waiting_commands();
            let may_evict = stalled || (!owes_answers && (is_idle || queued || !self.is_trusted));
            let eviction_entry = may_evict
                .then(|| EvictionEntry::take(&frontend, (rank, self.sequence), self.idle_since, &self.close));
            let (read_limit, scarce_read_limit) = (self.read_limit(), self.scarce_read_limit());
            self.has_unread_input &= read_limit == 0;
            self.look_at_unread_input(self.has_unread_input);
            let next_look = self.next_look(self.has_unread_input, now);
            if queued || read_limit == 0 {
                // Input that the node leaves unread or waiting is not the client's delay.
                self.command_since = self.command_since.map(|_| now);
            }
            let command_due = self.command_since.map(|at| at + COMMAND_TIMEOUT);
            let idle_deadline =
                (is_idle && self.command_since.is_none()).then_some(self.idle_since + IDLE_TIMEOUT);
            let next_stage = stage_times.next_after(now);
            let delay_ends = (queued && self.is_delayed(now)).then_some(self.paused_until);
            let stall_deadline = self.stall_deadline();
            let waits_for_stall = stalled || self.kernel_backlog.is_some();
            let output_deadline =
                if waits_for_stall { stall_deadline } else { stall_deadline.min(evictable_at) };
            let has_unsent = unsent > 0 || self.kernel_backlog.is_some();
            let awaits_drain = self.awaits_drain();
            let (reader, mut writer) = self.stream.split();
            let next_bytes = self.output.next_bytes();
            tokio::select! {
                biased;
                answer = next_answer(&mut self.pending), if unsent < MAX_UNSENT_BYTES && self.body.is_none() => {
                    let memory = match self.pending.pop_front() {
                        Some(PendingAnswer::Waiting { memory, .. }) => memory,
                        Some(PendingAnswer::Ready(_)) | None => None,
                    };
                    self.queue_answer(answer, memory);
                }
                piece = next_body_piece(&mut self.body), if unsent < MAX_UNSENT_BODY_BYTES && self.body.is_some() => {
                    self.append_body_piece(piece);
                }
                written = writer.write(next_bytes), if unsent > 0 => match written {
                    Ok(written) if written > 0 => self.record_written(written),
                    _ => return self.mark_client_gone(),
                },
                ready = reader.readable(), if read_limit > 0 || !self.has_unread_input => {
                    // Others may have used up the memory since the wait began.
                    let is_scarce = frontend.budget.memory().is_scarce(MemoryUse::Value);
                    let most = if is_scarce { read_limit.min(scarce_read_limit) } else { read_limit };
                    match ready.and_then(|()| read(&reader, &mut self.input, most)) {
                        // The client has disconnected, and its buffered commands go with it.
                        Ok(0) => return self.mark_client_gone(),
                        Ok(read) if most > 0 => self.record_input(read),
                        Ok(_) => {
                            self.has_unread_input = true;
                            self.input.note_unread();
                        }
                        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                        Err(_) => return self.mark_client_gone(),
                    }
                }
                () = disconnected(&reader), if read_limit == 0 => return self.mark_client_gone(),
                () = self.close.notified(), if may_evict => match eviction_entry {
                    // A notification from when the connection was idle does not count now.
                    Some(eviction_entry) if stalled => if !eviction_entry.is_registered() {
                        return self.record_stall();
                    },
                    _ => (self.ending, self.making_room) = (true, true),
                },
                // The lifecycle lives as long as the frontend that holds it.
                _ = self.phases.changed() => {}
                () = sleep_until(next_stage.unwrap_or(now)), if next_stage.is_some() => {}
                () = sleep_until(next_look.unwrap_or(now)), if next_look.is_some() => {}
                () = sleep_until(delay_ends.unwrap_or(now)), if delay_ends.is_some() => {}
                () = drained(reader.as_ref()), if awaits_drain => {}
                () = sleep_until(output_deadline), if has_unsent => if output_deadline == stall_deadline {
                    return self.record_stall();
                },
                // To a client that has sent nothing, an error would look like the answer to its next request.
                () = sleep_until(command_due.unwrap_or(now)), if command_due.is_some() && is_idle => {
                    (self.ending, self.command_since) = (true, None);
                }
                () = sleep_until(command_due.unwrap_or(now)), if command_due.is_some() && !queued && read_limit > 0 => {
                    self.close_input(AbandonReason::TooSlow);
                    self.command_since = None;
                    self.pending.push_back(PendingAnswer::Ready(protocol::TOO_SLOW));
                }
                () = sleep_until(idle_deadline.unwrap_or(now)), if idle_deadline.is_some() => self.ending = true,
            }
            // Receiving an answer that is already available does not yield to the runtime.
            tokio::task::coop::consume_budget().await;
        }
    }
}

/// Reads up to `most` bytes into the input, or peeks whether anything has arrived.
fn read(reader: &ReadHalf<'_>, input: &mut InputBuffer, most: usize) -> io::Result<usize> {
    if most == 0 {
        return peek(reader.as_ref());
    }
    let mut chunk = [0; READ_CHUNK_BYTES];
    let read = reader.try_read(&mut chunk[..most.min(READ_CHUNK_BYTES)])?;
    input.receive(&chunk[..read]);
    Ok(read)
}

/// Waits until the client has disconnected, even if earlier input is unread. Pending until then, so it may be polled
/// any number of times.
async fn disconnected(reader: &ReadHalf<'_>) {
    // No urgent data is requested, so this interest only ever reports that the client shut down writing.
    let _ = reader.ready(Interest::PRIORITY).await;
}

/// The next piece of a long value.
async fn next_body_piece(
    body: &mut Option<(BodyStream, Option<(RequestGuard, RequestOutcome)>)>,
) -> Result<Option<Bytes>, BrokenBody> {
    match body {
        None => std::future::pending().await,
        Some((body, _)) => body.next().await,
    }
}

/// The answer to the oldest command; the command stays at the head of the queue.
async fn next_answer(pending: &mut VecDeque<PendingAnswer>) -> Answer {
    match pending.front_mut() {
        None => std::future::pending().await,
        Some(PendingAnswer::Ready(text)) => Answer::without_request(text.clone()),
        // The driver ends only with the process.
        Some(PendingAnswer::Waiting { answer, .. }) => {
            answer.await.unwrap_or_else(|_| Answer::without_request(protocol::FAILED))
        }
    }
}

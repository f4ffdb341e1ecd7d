//! One attempt or health check on a connection, and its result.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hallpin_balancer::{CacheNote, ServerId, Status};
use hallpin_protocol::{self as protocol, Body, Reply};
use tokio::time::{timeout_at, Instant};

use super::body_stream::{BodyStream, STREAM_BYTES};
use super::call::{unsent_part, UpstreamCall};
use super::connection::{Admission, Connection};
use super::pool::Upstream;
use super::receive::{read_into, SMALL_ANSWER_BYTES};
use crate::memory::MemoryReservation;

/// The client's answer, as far as it has been received.
#[derive(Debug)]
pub struct ServedAnswer {
    /// The complete answer, or the beginning of one with a long value.
    pub text: Bytes,
    /// The remainder of a long value.
    pub body: Option<BodyStream>,
    /// Memory that the text holds, if it is not small.
    pub memory: Option<MemoryReservation>,
    /// The command was served, and this node had no memory for its answer.
    pub lacked_memory: bool,
}

impl ServedAnswer {
    /// The answer in place of one for which no memory was left.
    pub fn without_memory() -> Self {
        ServedAnswer { lacked_memory: true, ..protocol::FAILED.into() }
    }
}

impl From<Bytes> for ServedAnswer {
    fn from(text: Bytes) -> Self {
        ServedAnswer { text, body: None, memory: None, lacked_memory: false }
    }
}

/// The result of an attempt, with the client's answer if it was served.
#[derive(Debug)]
pub struct AttemptResult {
    pub status: Status,
    pub note: Option<CacheNote>,
    pub answer: Option<ServedAnswer>,
    /// The command has run, and this node had no memory for its answer: another attempt would find none either.
    pub lacks_memory: bool,
}

impl AttemptResult {
    /// An answer that could not be taken, which says nothing about the server.
    fn without_memory() -> Self {
        AttemptResult { lacks_memory: true, ..Status::Unknown.into() }
    }
}

impl From<Status> for AttemptResult {
    fn from(status: Status) -> Self {
        AttemptResult { status, note: None, answer: None, lacks_memory: false }
    }
}

/// Status for an answer that cannot be parsed or belongs to another request. The request may have run, but unlike an
/// error this does not mean that the server or the origin failed: another server may still serve it.
pub(super) const UNREADABLE_ANSWER: Status = Status::Unknown;

/// How far the time forwarded in a command may exceed the client's remaining time when the last byte goes out. A
/// command whose remainder is blocked for longer is given up, and its server never starts it.
pub(super) const FORWARDED_TIME_SLACK: Duration = Duration::from_millis(150);

/// Values up to this size are written together with their line; larger ones are not copied for that.
const MAX_COPIED_VALUE_BYTES: usize = 4 * 1024;

impl Upstream {
    /// Makes one attempt. Dropping the future closes the connection and thereby abandons the attempt.
    pub async fn attempt(self: &Rc<Self>, server: &ServerId, call: &UpstreamCall) -> AttemptResult {
        // A connection that comes up after the write deadline is of no use.
        let connection = match self.acquire(server, call.write_deadline(), call.repeat_window.is_some()).await
        {
            Ok(connection) => connection,
            // The repeat window closed before a connection was up, which says nothing about the server.
            Err(Status::Unreachable) if call.is_past_repeat_window(Instant::now()) => {
                return Status::Void.into()
            }
            Err(status) => return status.into(),
        };
        if let Err(status) = call.may_write(Instant::now()) {
            self.cache_connection(server, connection);
            return status.into();
        }
        let revoked = connection.revoked();
        tokio::select! {
            biased;
            // The command may have run, but a revoked connection says nothing about the server.
            () = revoked => if call.written.get() { UNREADABLE_ANSWER } else { Status::Void }.into(),
            ended = self.exchange(server, call, connection) => ended,
        }
    }

    /// Writes the command as long as it may go out. On an error the last byte was not written, so the command never
    /// ran.
    async fn write_command(
        &self,
        server: &ServerId,
        call: &UpstreamCall,
        connection: &Connection,
    ) -> Result<(), Status> {
        let (mut head, mut sent) = (Vec::new(), 0);
        let [value, terminator] = call.command.block();
        let is_small = value.len() <= MAX_COPIED_VALUE_BYTES;
        let (value, terminator) = if is_small { (&[][..], &[][..]) } else { (value, terminator) };
        let mut forwarded_at = Instant::now();
        loop {
            let now = Instant::now();
            call.may_write(now)?;
            if sent == 0 {
                // The drain grace applies to the first byte.
                if !self.may_write_to(server, connection) {
                    return Err(Status::Unreachable);
                }
                // The forwarded time counts from here, however long the first byte was blocked before.
                let wait = call.until.saturating_duration_since(now);
                head = if is_small {
                    call.command.encode_for_server(wait)
                } else {
                    call.command.line_for_server(wait)
                };
                forwarded_at = now;
            } else if now >= forwarded_at + FORWARDED_TIME_SLACK {
                return Err(Status::Unreachable);
            }
            #[cfg(test)]
            self.delay_write().await;
            match connection.stream.try_write(unsent_part([&head, value, terminator], sent)) {
                Ok(written) => sent += written,
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    let blocked_until =
                        if sent == 0 { call.until } else { forwarded_at + FORWARDED_TIME_SLACK };
                    let deadline = call.write_deadline().min(blocked_until);
                    let writable = timeout_at(deadline, connection.stream.writable()).await;
                    writable.map_err(|_| Status::Unreachable)?.map_err(|_| Status::Unreachable)?;
                }
                Err(_) => return Err(Status::Unreachable),
            }
            if sent == head.len() + value.len() + terminator.len() {
                call.record_written(now);
                return Ok(());
            }
        }
    }

    /// Writes the command and reads its answer.
    async fn exchange(
        self: &Rc<Self>,
        server: &ServerId,
        call: &UpstreamCall,
        mut connection: Connection,
    ) -> AttemptResult {
        // A command that must not run twice is sent again only if it certainly never ran.
        let busy_is_proof = call.repeat_window.is_none() || connection.is_unambiguous();
        if let Err(status) = self.write_command(server, call, &connection).await {
            return status.into();
        }
        self.metrics.count_upstream_request();
        // The buffer is not kept with the connection: it grows to the size of the largest answer.
        let mut buf = BytesMut::new();
        let mut memory: Option<MemoryReservation> = None;
        let own_opaque = Bytes::copy_from_slice(&call.command.opaque());
        let mut previous =
            connection.last_opaque.replace(own_opaque.clone()).filter(|last| *last != own_opaque);
        let reply = loop {
            match protocol::next_reply(&mut buf) {
                // A late duplicate answer to the previous request; the answer to this one is still to come.
                Ok(Some(Reply::Served { opaque, body: Body::Value(_) | Body::Receipt(_), .. }))
                    if previous.as_ref() == Some(&opaque) =>
                {
                    previous = None;
                    continue;
                }
                Ok(Some(reply)) => break reply,
                Ok(None) => {}
                Err(protocol::Malformed) => return UNREADABLE_ANSWER.into(),
            }
            let needed = buf.len() + protocol::min_missing_reply_bytes(&buf);
            if needed > SMALL_ANSWER_BYTES && memory.as_ref().is_none_or(|held| held.bytes() < needed) {
                let Some(reserved) = self.reserve_answer(call, needed).await else {
                    return AttemptResult::without_memory();
                };
                memory = Some(reserved);
            }
            match read_into(&connection.stream, &mut buf, needed).await {
                Ok(0) | Err(_) => return Status::Broken.into(),
                Ok(_) => {}
            }
        };
        match connection.admission {
            Admission::Admitted => {}
            Admission::Unknown if matches!(reply, Reply::Busy) && buf.is_empty() => {
                connection.admission = Admission::Rejected;
            }
            Admission::Unknown | Admission::Rejected => {
                connection.admission = Admission::Admitted;
                self.record_accepted_connection(server);
            }
        }
        connection.answered(matches!(reply, Reply::Served { .. }));
        let ended = match reply {
            Reply::Busy if busy_is_proof => Status::Overloaded.into(),
            Reply::Busy => UNREADABLE_ANSWER.into(),
            Reply::Failed => Status::Error.into(),
            Reply::Served { opaque, body, cache_note } => {
                let Some(text) = protocol::client_answer(&call.command, &opaque, &body) else {
                    return UNREADABLE_ANSWER.into();
                };
                let served = |body, memory| AttemptResult {
                    status: Status::Success,
                    note: cache_note,
                    answer: Some(ServedAnswer { text, body, memory, lacked_memory: false }),
                    lacks_memory: false,
                };
                if let Body::Streamed(length) = body {
                    let Some(memory) = self.reserve_answer(call, STREAM_BYTES).await else {
                        return AttemptResult::without_memory();
                    };
                    let body = BodyStream::new(self.clone(), server.clone(), connection, buf, length, memory);
                    return served(Some(body), None);
                }
                served(None, memory)
            }
        };
        if connection.was_rejected_for_capacity() {
            self.record_rejected_connection();
        } else if buf.is_empty() {
            self.cache_connection(server, connection);
        }
        ended
    }
}

//! One client connection: pipelines requests, matches answers in order, and reconnects when the connection ends.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use hallpin_protocol::client::{next_answer, Answer, ClientCommand};
use hallpin_simulation::keys;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

use super::results::Outcome;
use super::shared::{Pending, Shared, ANSWER_GRACE};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the next attempt after a failed connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Unwritten bytes above which the connection takes no further requests.
const MAX_UNWRITTEN_BYTES: usize = 256 * 1024;

/// A request sent on this connection and not answered yet.
struct InFlightRequest {
    pending: Pending,
    /// Id of this try, sent as its opaque value.
    id: u64,
}

/// Encodes the next try of a request, with `id` as its opaque value.
pub(super) fn encode_request(shared: &Shared, pending: &Pending, id: u64) -> Vec<u8> {
    let mix = &shared.spec.mix;
    let class = &mix.classes[pending.request_spec.class];
    let opaque = format!("{id:x}");
    // The idempotency key identifies the request, not the try, so that the server can deduplicate a repeated write.
    let idempotency_key = class.writes.map(|_| format!("{:016x}", pending.request));
    let value = class.writes.map(|bytes| vec![b'x'; bytes]);
    let command = ClientCommand {
        key: &keys::wire_name(pending.request_spec.key),
        value: value.as_deref(),
        opaque: &opaque,
        class: &class.name,
        tenant: pending.request_spec.tenant.map(|tenant| mix.tenants[tenant].name.as_str()),
        wait: pending.deadline.saturating_sub(shared.now()),
        work_hint: None,
        idempotency_key: idempotency_key.as_deref(),
        retry: false,
    };
    command.to_bytes()
}

/// Serves one connection slot: connects while requests are queued, reconnects after failures, and returns when the
/// run is over.
pub(super) async fn run(shared: Rc<Shared>, slot: usize, target: SocketAddr) {
    while !shared.is_finished() {
        if !shared.has_work() {
            shared.mark_free(slot);
            shared.wait_for_work(slot).await;
            continue;
        }
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await {
            Ok(Ok(stream)) => {
                shared.results.borrow_mut().counts.connections += 1;
                let _ = stream.set_nodelay(true);
                Connection::new(&shared, slot, stream).serve().await;
            }
            _ => {
                shared.results.borrow_mut().counts.refused_connections += 1;
                sleep(RECONNECT_DELAY).await;
            }
        }
    }
}

/// Why serving a connection ended.
enum CloseReason {
    /// The connection is used up, was closed by the target while idle, or the run is over or was stopped.
    Finished,
    /// The target closed the connection with requests in flight, or sent an invalid or mismatched answer.
    Broken,
    /// The oldest request in flight was not answered in time.
    TimedOut,
}

struct Connection<'a> {
    shared: &'a Shared,
    /// Index of the connection slot within the worker thread.
    slot: usize,
    stream: TcpStream,
    /// Encoded requests that are not written yet.
    output: BytesMut,
    /// Bytes read that are not decoded yet.
    input: BytesMut,
    /// Requests taken and not answered, oldest first.
    in_flight: VecDeque<InFlightRequest>,
    /// Requests taken for this connection so far.
    requests_taken: u64,
}

impl<'a> Connection<'a> {
    fn new(shared: &'a Shared, slot: usize, stream: TcpStream) -> Self {
        let (output, input, in_flight) = (BytesMut::new(), BytesMut::new(), VecDeque::new());
        Connection { shared, slot, stream, output, input, in_flight, requests_taken: 0 }
    }

    /// Whether another request may be sent now.
    fn can_send(&self) -> bool {
        let fresh = self.shared.spec.fresh;
        let can_send =
            if fresh { self.requests_taken == 0 } else { self.in_flight.len() < self.shared.spec.pipeline };
        can_send && self.output.len() < MAX_UNWRITTEN_BYTES
    }

    /// Takes queued requests and encodes them into the output buffer while the connection may send.
    fn take_requests(&mut self) {
        while self.can_send() {
            let Some(mut pending) = self.shared.next_request() else { return };
            pending.tries += 1;
            let id = self.shared.next_id();
            self.output.extend_from_slice(&encode_request(self.shared, &pending, id));
            self.shared.results.borrow_mut().counts.tries += 1;
            self.in_flight.push_back(InFlightRequest { pending, id });
            self.requests_taken += 1;
        }
    }

    /// Sends requests and handles answers until the connection ends.
    async fn serve(mut self) {
        let close_reason = loop {
            self.take_requests();
            let is_used_up = self.shared.spec.fresh && self.requests_taken > 0;
            let stopped = self.shared.is_finished();
            if self.in_flight.is_empty() && (is_used_up || stopped)
                || stopped && self.shared.progress.is_stopped()
            {
                break CloseReason::Finished;
            }
            if let Some(close_reason) = self.wait_for_event().await {
                break close_reason;
            }
        };
        self.finish(&close_reason);
    }

    /// Writes pending bytes, then waits for and handles one event: readiness, queued work, or the oldest deadline.
    /// Returns why the connection must be closed, or `None` to go on.
    async fn wait_for_event(&mut self) -> Option<CloseReason> {
        // Written without waiting for readiness: the socket buffer nearly always has room.
        if !self.output.is_empty() && !self.write() {
            return Some(CloseReason::Broken);
        }
        let can_send = self.can_send();
        if can_send {
            self.shared.mark_free(self.slot);
        }
        let interest =
            if self.output.is_empty() { Interest::READABLE } else { Interest::READABLE | Interest::WRITABLE };
        let answer_deadline = self
            .in_flight
            .front()
            .map(|in_flight| self.shared.instant(in_flight.pending.deadline + ANSWER_GRACE));
        let answer_timeout = async {
            match answer_deadline {
                Some(at) => sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            ready = self.stream.ready(interest) => match ready {
                Ok(ready) if ready.is_readable() || ready.is_read_closed() => self.read(),
                Ok(_) => None,
                Err(_) => Some(CloseReason::Broken),
            },
            () = self.shared.wait_for_work(self.slot) => None,
            () = answer_timeout => Some(CloseReason::TimedOut),
        }
    }

    /// Writes as much as the socket accepts; false if the connection is broken.
    fn write(&mut self) -> bool {
        match self.stream.try_write(&self.output) {
            Ok(written) => {
                self.output.advance(written);
                true
            }
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        }
    }

    /// Reads what the socket has and handles it; returns why the connection must be closed, or `None` to go on.
    fn read(&mut self) -> Option<CloseReason> {
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => {
                Some(if self.in_flight.is_empty() { CloseReason::Finished } else { CloseReason::Broken })
            }
            Ok(_) => self.read_answers(),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => None,
            Err(_) => Some(CloseReason::Broken),
        }
    }

    /// Handles every complete answer in the input buffer; `Broken` if one is malformed or belongs to no request that it
    /// could answer.
    fn read_answers(&mut self) -> Option<CloseReason> {
        loop {
            match next_answer(&mut self.input) {
                Ok(None) => return None,
                Ok(Some(answer)) => {
                    let Some(in_flight) = self.in_flight.pop_front() else {
                        self.shared.results.borrow_mut().counts.misdelivered += 1;
                        return Some(CloseReason::Broken);
                    };
                    if !self.handle_answer(&in_flight, &answer) {
                        return Some(CloseReason::Broken);
                    }
                }
                Err(_) => {
                    self.shared.results.borrow_mut().counts.malformed += 1;
                    return Some(CloseReason::Broken);
                }
            }
        }
    }

    /// Handles the answer to the oldest request in flight; false if the answer belongs to another request.
    fn handle_answer(&self, in_flight: &InFlightRequest, answer: &Answer) -> bool {
        match answer {
            Answer::Value(_, opaque) | Answer::Receipt(_, opaque) => {
                if *opaque != format!("{:x}", in_flight.id).as_bytes() {
                    self.shared.results.borrow_mut().counts.misdelivered += 1;
                    self.shared.finish(in_flight.pending, Outcome::Broken);
                    return false;
                }
                self.shared.finish(in_flight.pending, Outcome::Completed);
            }
            Answer::Busy(retry_after) => self.shared.retry(in_flight.pending, Outcome::Refused, *retry_after),
            Answer::Failed(_) => self.shared.retry(in_flight.pending, Outcome::Failed, None),
        }
        true
    }

    /// Ends the connection. Requests in flight on it are retried, except one that timed out and those that are left when
    /// the run is stopped, which end.
    fn finish(self, close_reason: &CloseReason) {
        if matches!(close_reason, CloseReason::Broken) {
            self.shared.results.borrow_mut().counts.broken_connections += 1;
        }
        for (n, in_flight) in self.in_flight.into_iter().enumerate() {
            match close_reason {
                // Only the oldest request timed out; those queued behind it merely lost their connection.
                CloseReason::TimedOut if n == 0 => self.shared.finish(in_flight.pending, Outcome::TimedOut),
                CloseReason::Finished => self.shared.finish(in_flight.pending, Outcome::Unsent),
                _ => self.shared.retry(in_flight.pending, Outcome::Broken, None),
            }
        }
    }
}

//! The remainder of a long value, forwarded as the client reads it, and how long a cache server may take for it.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hallpin_balancer::ServerId;
use tokio::io::AsyncReadExt;
use tokio::time::{timeout_at, Instant};

use super::connection::Connection;
use super::pool::Upstream;
use crate::memory::MemoryReservation;
use crate::transfer::{time_at_min_rate, STALL_TIMEOUT};

/// Buffer space reserved for a read, so that a long value does not arrive in many small ones.
pub(super) const READ_CHUNK_BYTES: usize = 8 * 1024;

/// Memory of a long value on its way: what is read at a time, and unsent output.
pub(super) const STREAM_BYTES: usize = READ_CHUNK_BYTES + MAX_STREAM_OUTPUT_BYTES;
/// Most unsent output of a long value: what [`MAX_UNSENT_BODY_BYTES`] allows, one more piece, and the rest of a block.
const MAX_STREAM_OUTPUT_BYTES: usize = MAX_UNSENT_BODY_BYTES + 2 * READ_CHUNK_BYTES;
/// Unsent bytes of a long value at which no more of it is read from its cache server. The system buffers more.
pub const MAX_UNSENT_BODY_BYTES: usize = 8 * 1024;

/// Why the rest of a long value does not reach its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BrokenBody {
    #[error("the cache server's connection ended")]
    ConnectionEnded,
    #[error("the value lacks its terminator")]
    MissingTerminator,
    #[error("the cache server sent nothing, or too little, for too long")]
    ServerTooSlow,
    #[error("the quota of the cache server's connection was revoked")]
    QuotaRevoked,
}

/// The remainder of a long value. It is read as the client takes it, so that a slow client slows its cache server
/// down and only one piece is held in memory.
pub struct BodyStream {
    upstream: Rc<Upstream>,
    server: ServerId,
    connection: Connection,
    buf: BytesMut,
    /// Bytes of the value that have not been returned yet.
    remaining: usize,
    /// Since when the next bytes are waited for.
    waiting_since: Option<Instant>,
    /// Total time spent waiting for the server and the bytes received meanwhile: together they bound a trickle. The
    /// time that the client takes between pieces is not counted.
    total_wait: Duration,
    received: usize,
    memory: MemoryReservation,
}

impl std::fmt::Debug for BodyStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} bytes of {}", self.remaining, self.server.0)
    }
}

impl BodyStream {
    pub(super) fn new(
        upstream: Rc<Upstream>,
        server: ServerId,
        connection: Connection,
        buf: BytesMut,
        remaining: usize,
        memory: MemoryReservation,
    ) -> Self {
        BodyStream {
            upstream,
            server,
            connection,
            buf,
            remaining,
            waiting_since: None,
            total_wait: Duration::ZERO,
            received: 0,
            memory,
        }
    }

    /// The next piece, or `None` once the value is complete. Dropping the future loses nothing.
    ///
    /// # Errors
    /// [`BrokenBody`] if the value ends early, lacks its terminator or takes too long, or if the connection's quota is
    /// revoked.
    pub async fn next(&mut self) -> Result<Option<Bytes>, BrokenBody> {
        loop {
            let ready = self.remaining.min(self.buf.len());
            if ready > 0 {
                self.remaining -= ready;
                return Ok(Some(self.buf.split_to(ready).freeze()));
            }
            if self.remaining == 0 && self.buf.len() >= 2 {
                let end = self.buf.split_to(2);
                return if end == b"\r\n"[..] { Ok(None) } else { Err(BrokenBody::MissingTerminator) };
            }
            let waiting_since = *self.waiting_since.get_or_insert_with(Instant::now);
            self.buf.reserve(READ_CHUNK_BYTES);
            let read_deadline = waiting_since + self.read_timeout();
            if read_deadline <= Instant::now() {
                return Err(BrokenBody::ServerTooSlow);
            }
            let revoked = self.connection.revoked();
            let read = timeout_at(read_deadline, self.connection.stream.read_buf(&mut self.buf));
            let read = tokio::select! {
                biased;
                () = revoked => return Err(BrokenBody::QuotaRevoked),
                read = read => read,
            };
            match read {
                Ok(Ok(read)) if read > 0 => {
                    self.total_wait += waiting_since.elapsed();
                    self.received += read;
                    self.waiting_since = None;
                }
                Ok(_) => return Err(BrokenBody::ConnectionEnded),
                Err(_) => return Err(BrokenBody::ServerTooSlow),
            }
        }
    }

    /// How long the server may take for its next piece, however little time its client or this process has left, as only
    /// the first bytes of a long value are timed: at most the stall timeout, and no more than keeps the total
    /// wait within the stall timeout plus the time that the bytes received so far take at the minimum rate.
    fn read_timeout(&self) -> Duration {
        let allowed = STALL_TIMEOUT + time_at_min_rate(self.received as u64);
        allowed.saturating_sub(self.total_wait).min(STALL_TIMEOUT)
    }

    /// Ends a complete value and returns its connection to the cache for another attempt. Its memory is needed until the
    /// output is sent.
    pub fn finish(self) -> MemoryReservation {
        let BodyStream { upstream, server, connection, buf, memory, .. } = self;
        if buf.is_empty() {
            upstream.cache_connection(&server, connection);
        }
        memory
    }
}

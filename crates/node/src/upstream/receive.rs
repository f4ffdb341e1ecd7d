//! Receiving an answer within the memory budget.

use std::io::{self, ErrorKind};
use std::time::Duration;

use bytes::BytesMut;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use super::body_stream::READ_CHUNK_BYTES;
use super::call::UpstreamCall;
use super::connection::ConnectionSlot;
use super::pool::Upstream;
use crate::buffer::append_exact;
use crate::memory::{MemoryReservation, MemoryUse};

/// Answers up to this size are part of the memory reserved for their request.
pub const SMALL_ANSWER_BYTES: usize = 2 * 1024;
/// At most one of so many connections to cache servers waits for memory; the others serve what needs none.
const MEMORY_WAIT_DIVISOR: usize = 32;
/// An attempt stops waiting for memory this long before its end, which would be taken for its server's time-out.
const MEMORY_WAIT_MARGIN: Duration = Duration::from_millis(10);

/// Reads available bytes into `buf`, which grows to `needed` bytes if it is smaller, and to no more than what was read.
/// Nothing is allocated while the peer is waited for.
pub(super) async fn read_into(stream: &TcpStream, buf: &mut BytesMut, needed: usize) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        let mut chunk = [0; READ_CHUNK_BYTES];
        match stream.try_read(&mut chunk) {
            Ok(read) => {
                append_exact(buf, &chunk[..read], needed);
                return Ok(read);
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

impl Upstream {
    /// Reserves memory for an answer, and waits for it if only few attempts do. Meanwhile the answer stays with its cache
    /// server. Returns `None` if others need the connection, or if the attempt's time is over: the node's own shortage
    /// says nothing about the server.
    pub(super) async fn reserve_answer(
        &self,
        call: &UpstreamCall,
        bytes: usize,
    ) -> Option<MemoryReservation> {
        let memory = self.budget.memory();
        let is_next = || call.gone.is_next_answer(call.request);
        if let Some(reserved) = memory.try_reserve_for(MemoryUse::Answer, bytes, is_next()) {
            return Some(reserved);
        }
        let waiting = ConnectionSlot::take(&self.waiting_for_memory);
        if self.waiting_for_memory.get() > self.budget.max_server_connections().div_ceil(MEMORY_WAIT_DIVISOR)
        {
            return None;
        }
        let until = call.until.checked_sub(MEMORY_WAIT_MARGIN).unwrap_or(call.until);
        let reserved = timeout_at(until, memory.reserve(MemoryUse::Answer, bytes, is_next)).await.ok();
        drop(waiting);
        reserved
    }
}

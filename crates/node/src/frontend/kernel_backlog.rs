//! What the system holds of a client's answers while the process stops. The system goes on sending it after the process
//! has ended, so in a stop it gets all that it has room for.

use std::io::{self, ErrorKind};
use std::time::Duration;

use hallpin_protocol::MAX_VALUE_BYTES;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use socket2::{Domain, SockRef, Socket, Type};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::client::Client;
use crate::transfer::{time_at_min_rate, STALL_TIMEOUT};

/// Bytes that the system may hold for a client beyond the client's receive window. By default it holds some MiB: a
/// client that reads steadily would then seem to read nothing while part of these drains, and one that has most of
/// its answer still to read would seem to have it all.
pub(super) const MAX_KERNEL_UNSENT_BYTES: u32 = 64 * 1024;
/// The limit in a stop: only the system's own send buffer.
const UNLIMITED_UNSENT_BYTES: u32 = i32::MAX as u32;
/// The send buffer that holds the longest value, which the system doubles for what it needs itself.
const WANTED_SEND_BUFFER_BYTES: usize = MAX_VALUE_BYTES;
/// Time between two looks, while a value comes in pieces, whether the system has sent what it took.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Output beyond the usual limit that the system took.
#[derive(Clone, Copy, Debug)]
pub(super) struct KernelBacklog {
    since: Instant,
    /// Bytes written to the client before.
    written_before: u64,
    /// Whether the usual limit is out of force, as there is more to pass on.
    is_limit_lifted: bool,
    looked_at: Instant,
}

impl KernelBacklog {
    /// The state of a connection whose output the usual limit holds up. The system's buffer for it becomes large enough
    /// for the longest value, if it may.
    fn start(stream: &TcpStream, now: Instant, bytes_written: u64) -> Self {
        let socket = SockRef::from(stream);
        if socket.send_buffer_size().is_ok_and(|size| size < max_send_buffer()) {
            let _ = socket.set_send_buffer_size(WANTED_SEND_BUFFER_BYTES);
        }
        Self::new(now, bytes_written)
    }

    fn new(now: Instant, bytes_written: u64) -> Self {
        KernelBacklog { since: now, written_before: bytes_written, is_limit_lifted: false, looked_at: now }
    }

    /// Lifts the usual limit, or sets it again.
    fn set_lifted(&mut self, stream: &TcpStream, lifted: bool) {
        if std::mem::replace(&mut self.is_limit_lifted, lifted) != lifted {
            limit_unsent(stream, if lifted { UNLIMITED_UNSENT_BYTES } else { MAX_KERNEL_UNSENT_BYTES });
        }
    }

    /// When the client will have read too little: how far it has read shows only at the end.
    fn stall_deadline(&self, bytes_written: u64) -> Instant {
        let held = bytes_written - self.written_before + u64::from(MAX_KERNEL_UNSENT_BYTES);
        self.since + time_at_min_rate(held) + STALL_TIMEOUT
    }
}

/// Limits what the system holds for a client. If the system does not support the limit, it buffers more, and the times
/// that depend on it are coarser.
pub(super) fn limit_unsent(stream: &TcpStream, bytes: u32) {
    let _ = SockRef::from(stream).set_tcp_notsent_lowat(bytes);
}

/// The largest send buffer that the system grants on request; 0 if it cannot be told. A smaller request than what the
/// system gives by itself would shrink a buffer, so a socket that is not used is asked.
fn max_send_buffer() -> usize {
    let granted = || -> io::Result<usize> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_send_buffer_size(WANTED_SEND_BUFFER_BYTES)?;
        socket.send_buffer_size()
    };
    granted().unwrap_or(0)
}

/// Whether the system holds less than the limit. If that cannot be told, nothing is waited for.
fn has_capacity(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::OUT)];
    let result = poll(&mut polled, Some(&Timespec { tv_sec: 0, tv_nsec: 0 }));
    !matches!(result, Ok(0))
}

/// Waits until the system holds less than the limit in force.
pub(super) async fn drained(stream: &TcpStream) {
    while stream.writable().await.is_ok() {
        let look = || if has_capacity(stream) { Ok(()) } else { Err(ErrorKind::WouldBlock.into()) };
        if stream.try_io(Interest::WRITABLE, look).is_ok() {
            return;
        }
    }
}

impl Client {
    /// In a stop: passes output on to the system beyond the usual limit, and notes when the system has sent it.
    pub(super) fn update_kernel_backlog(&mut self, now: Instant) {
        if self.kernel_backlog.is_none() && !self.output.is_empty() {
            self.send_available();
            if self.output.is_empty() {
                return;
            }
            let backlog = KernelBacklog::start(&self.stream, now, self.bytes_written);
            self.kernel_backlog = Some(backlog);
        }
        let Some(backlog) = &mut self.kernel_backlog else { return };
        // Between the pieces of a value the look is not repeated for each of them.
        let is_look_due = self.body.is_none() || backlog.looked_at + LOOK_INTERVAL <= now;
        let lifts_limit = !self.output.is_empty() || !is_look_due;
        backlog.set_lifted(&self.stream, lifts_limit);
        if !lifts_limit {
            backlog.looked_at = now;
            if has_capacity(&self.stream) {
                self.kernel_backlog = None;
            }
        }
    }

    /// Whether the system has yet to send what it took beyond the usual limit, and there is no more to pass on.
    pub(super) fn awaits_drain(&self) -> bool {
        self.kernel_backlog.is_some_and(|backlog| !backlog.is_limit_lifted)
    }

    /// Whether answers ahead of the next command may not be through when the process is killed: a command that is started
    /// then could run and never be answered.
    pub(super) fn answers_may_be_cut(&self) -> bool {
        let is_ending = self.phases.borrow().answer_deadline.is_some();
        is_ending && (self.body.is_some() || (self.kernel_backlog.is_some() && !self.output.is_empty()))
    }

    /// When the client will have read too little of what the system took in a stop.
    pub(super) fn kernel_stall_deadline(&self) -> Option<Instant> {
        self.kernel_backlog.map(|backlog| backlog.stall_deadline(self.bytes_written))
    }
}

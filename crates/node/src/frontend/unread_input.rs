//! Input that is left unread. The client's end lies behind it, and stays with the client's system if this one has no room:
//! then nobody knows whether the client is still there.

use std::mem::MaybeUninit;
use std::time::Duration;

use rustix::io::ioctl_fionread;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tracing::debug;

use super::client::Client;
use crate::budget::ReceiveBufferReservation;

/// Receive buffer that is asked for where a client's input is left unread: more than usual clients pipeline. The system
/// doubles it for what it needs itself.
const WANTED_RECEIVE_BUFFER_BYTES: usize = 2 << 20;
/// Receive buffer that the limit on all of them counts for such a connection.
const ENLARGED_RECEIVE_BUFFER_BYTES: usize = 2 * WANTED_RECEIVE_BUFFER_BYTES;
/// Part of the receive buffer from which on the system may take no more: small segments take several times their bytes.
const FULL_FRACTION: usize = 4;
/// Time between two looks at input that is left unread, as its arrival is not reported: half of what an attempt may begin
/// late.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// A receive buffer that was enlarged, and what it was before.
pub(super) struct EnlargedReceiveBuffer {
    size_before: usize,
    _reservation: ReceiveBufferReservation,
}

/// Whether the system may have no room for more input, so that the client's end may not have arrived. If that cannot be
/// told, the end counts as visible.
fn is_nearly_full(stream: &TcpStream) -> bool {
    let unread = ioctl_fionread(stream).unwrap_or(0);
    let capacity = SockRef::from(stream).recv_buffer_size().unwrap_or(usize::MAX);
    unread >= (capacity / FULL_FRACTION) as u64
}

impl Client {
    /// Looks at input that is left unread: makes room for the client's end behind it, or notes that it may be hidden.
    /// Without more room the system may hold the rest back however little is unread, as it waits for a whole segment.
    pub(super) fn look_at_unread_input(&mut self, leaves_unread: bool) {
        let has_room = !leaves_unread
            || ((self.enlarged_receive_buffer.is_some() || self.enlarge_receive_buffer())
                && !is_nearly_full(&self.stream));
        if self.gone.set_end_hidden(!has_room) == has_room {
            let unread = ioctl_fionread(&self.stream).unwrap_or(0);
            debug!(has_room, unread, pending = self.pending.len(), "client's end behind unread input");
        }
    }

    /// Enlarges the receive buffer if the limit allows it; returns whether it did.
    fn enlarge_receive_buffer(&mut self) -> bool {
        let budget = &self.frontend.budget;
        let Some(reservation) = budget.try_reserve_receive_buffer(ENLARGED_RECEIVE_BUFFER_BYTES) else {
            return false;
        };
        let socket = SockRef::from(&self.stream);
        let Ok(size_before) = socket.recv_buffer_size() else { return false };
        let is_small = size_before < ENLARGED_RECEIVE_BUFFER_BYTES;
        if is_small && socket.set_recv_buffer_size(WANTED_RECEIVE_BUFFER_BYTES).is_err() {
            return false;
        }
        self.enlarged_receive_buffer = Some(EnlargedReceiveBuffer { size_before, _reservation: reservation });
        // The client's system learns of the room with the next receive call, also one that takes nothing.
        let _ = socket.peek(&mut [MaybeUninit::uninit()]);
        true
    }

    /// Gives back an enlarged receive buffer of a connection between requests.
    pub(super) fn restore_receive_buffer(&mut self) {
        if let Some(enlarged) = self.enlarged_receive_buffer.take() {
            let _ = SockRef::from(&self.stream).set_recv_buffer_size(enlarged.size_before / 2);
        }
    }

    /// When to look again at input that is left unread.
    pub(super) fn next_look(&self, leaves_unread: bool, now: Instant) -> Option<Instant> {
        (leaves_unread && !self.pending.is_empty()).then(|| now + LOOK_INTERVAL)
    }
}

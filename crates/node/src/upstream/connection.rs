//! One connection to a cache server, its slot among the open connections, and what a peek at it shows.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::plane::CountedConnection;

/// How long after an answer without an opaque id a duplicate answer to the same command may arrive. Far longer than
/// the milliseconds that a duplicate takes: a command that it would wrongly report as never run can use another
/// connection.
pub(super) const DUPLICATE_ANSWER_WINDOW: Duration = Duration::from_millis(250);
/// How long after an answer with the opaque id of its command a duplicate answer to that command may arrive.
/// A few milliseconds are usual; a longer window would make every write open its own connection.
pub(super) const NAMED_DUPLICATE_WINDOW: Duration = Duration::from_millis(50);

/// One of a number that is counted, such as the open connections, until it is dropped.
pub(super) struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    pub(super) fn take(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        ConnectionSlot(open.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Waits until the quota that counts this connection is revoked, so that the connection has to be closed.
pub(super) fn revoked(opened: Option<&CountedConnection>) -> impl Future<Output = ()> {
    let permit = opened.map(|opened| opened.permit.clone());
    async move {
        match permit {
            Some(permit) => permit.cut().await,
            None => std::future::pending().await,
        }
    }
}

/// What a peek shows on a connection with no outstanding command.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum PeerState {
    Quiet,
    /// The peer has closed the connection and nothing is left to read.
    Closed,
    /// The peer has sent something unrequested, or the connection is broken.
    Unusable,
}

/// Classifies the result of `recv(2)`. A call interrupted by a signal is repeated.
fn classify_peek(mut peek: impl FnMut() -> io::Result<usize>) -> PeerState {
    loop {
        match peek() {
            Ok(0) => return PeerState::Closed,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return PeerState::Quiet,
            _ => return PeerState::Unusable,
        }
    }
}

/// Whether the server had capacity for the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// No answer has arrived yet.
    Unknown,
    /// The only answer so far was `busy`. If the peer then closes, the server had no capacity for the connection.
    Rejected,
    Admitted,
}

/// A connection to a cache server.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// The connection's quota use, if quotas are configured.
    pub(super) opened: Option<CountedConnection>,
    /// The opaque id of the last command; a late answer to it may still arrive.
    pub(super) last_opaque: Option<Bytes>,
    /// From when on an answer without an opaque id can only belong to the next command. `None` until an answer that
    /// carries its id has arrived, as answers come in the order of their commands.
    unambiguous: Option<Instant>,
    /// Since when the server may count the connection as idle.
    pub(super) last_used: Instant,
    pub(super) admission: Admission,
    pub(super) _slot: ConnectionSlot,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, opened: Option<CountedConnection>, slot: ConnectionSlot) -> Self {
        let now = Instant::now();
        let (unambiguous, admission) = (Some(now), Admission::Unknown);
        Connection { stream, opened, last_opaque: None, unambiguous, last_used: now, admission, _slot: slot }
    }

    /// Records an answer. `named` tells whether it carries its opaque id; one without an id may be a duplicate of the
    /// answer to the previous command.
    pub(super) fn answered(&mut self, named: bool) {
        let now = Instant::now();
        self.last_used = now;
        self.unambiguous = if named {
            Some(now + NAMED_DUPLICATE_WINDOW)
        } else {
            self.is_unambiguous().then(|| now + DUPLICATE_ANSWER_WINDOW)
        };
    }

    /// Whether an answer without an opaque id would belong to the next command.
    pub(super) fn is_unambiguous(&self) -> bool {
        self.unambiguous.is_some_and(|from| from <= Instant::now())
    }

    /// Peeks at what the peer has done unrequested. Asks the kernel, as the runtime may not have been notified yet.
    pub(super) fn peek(&self) -> PeerState {
        classify_peek(|| socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]))
    }

    /// Whether the server rejected the first command and closed the connection for lack of capacity.
    pub(super) fn was_rejected_for_capacity(&self) -> bool {
        self.admission == Admission::Rejected && self.peek() == PeerState::Closed
    }

    /// Waits until the connection has to be closed.
    pub(super) fn revoked(&self) -> impl Future<Output = ()> {
        revoked(self.opened.as_ref())
    }

    /// Whether the connection is within its quota at the current time.
    pub(super) fn is_within_quota(&self) -> bool {
        self.opened.as_ref().is_none_or(CountedConnection::is_within_quota)
    }

    /// Whether the connection has to be closed.
    pub(super) fn is_revoked(&self) -> bool {
        self.opened.as_ref().is_some_and(|opened| opened.permit.is_cut())
    }

    /// Tells the quota whether a command is in flight.
    pub(super) fn set_busy(&self, busy: bool) {
        if let Some(opened) = &self.opened {
            opened.permit.set_busy(busy);
        }
    }
}

/// A cached connection.
pub(super) struct IdleConnection {
    pub(super) connection: Connection,
    /// When the connection was cached; it is reused no sooner than `SETTLE_TIME` after this.
    pub(super) since: Instant,
}

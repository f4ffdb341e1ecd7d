//! One connection to a cache server, its place among the open ones, and whose fault it is where none comes up.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::plane::Opened;

/// Whether connecting failed for want of something of this machine's own, which says nothing of the server.
pub(super) fn own_limit(error: &io::Error) -> bool {
    use io::ErrorKind::{AddrInUse, AddrNotAvailable, OutOfMemory, ResourceBusy};
    // EMFILE, ENFILE and ENOBUFS have no kind of their own.
    matches!(error.raw_os_error(), Some(24 | 23 | 105))
        || matches!(error.kind(), AddrInUse | AddrNotAvailable | OutOfMemory | ResourceBusy)
}

/// So long after an answer that names no id the same may come once more. Much more than the milliseconds that a
/// second answer takes: for what it would pass off as never run there are other connections.
pub(super) const ECHO: Duration = Duration::from_millis(250);

/// A place among the open connections, taken before connecting and given back when dropped.
pub(super) struct Slot(Rc<Cell<usize>>);

impl Slot {
    pub(super) fn take(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Slot(open.clone())
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Waits until the part of a budget has ended that a connection is counted in, and it has to be closed.
pub(super) fn cut(opened: Option<&Opened>) -> impl Future<Output = ()> {
    let mark = opened.map(|opened| opened.mark.clone());
    async move {
        match mark {
            Some(mark) => mark.cut().await,
            None => std::future::pending().await,
        }
    }
}

pub(super) struct Connection {
    pub(super) stream: TcpStream,
    /// Its count in a budget, where there are budgets.
    pub(super) opened: Option<Opened>,
    /// The id of its last command, of which an answer may still come.
    pub(super) last: Option<Bytes>,
    /// From when on an answer that names no id can only be the next command's own; `None` until one that does name
    /// its id has come, as answers follow the order of their commands.
    sure: Option<Instant>,
    /// No answer has come on it.
    pub(super) new: Cell<bool>,
    pub(super) _slot: Slot,
}

impl Connection {
    pub(super) fn new(stream: TcpStream, opened: Option<Opened>, slot: Slot) -> Self {
        let sure = Some(Instant::now());
        Connection { stream, opened, last: None, sure, new: Cell::new(true), _slot: slot }
    }

    /// An answer has come, which names its command or may be a second one to the command before.
    pub(super) fn answered(&mut self, named: bool) {
        let now = Instant::now();
        self.sure = if named { Some(now) } else { self.is_sure().then(|| now + ECHO) };
    }

    /// Whether an answer without an id would be the next command's own.
    pub(super) fn is_sure(&self) -> bool {
        self.sure.is_some_and(|from| from <= Instant::now())
    }

    /// Whether the peer has closed it, with nothing more to read.
    pub(super) fn ended(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        matches!(peeked, Ok(0))
    }

    /// Waits until it has to be closed.
    pub(super) fn cut(&self) -> impl Future<Output = ()> {
        cut(self.opened.as_ref())
    }

    /// Whether it is within its part of a budget, by the clock of now.
    pub(super) fn holds(&self) -> bool {
        self.opened.as_ref().is_none_or(Opened::holds)
    }

    /// Whether it has to be closed.
    pub(super) fn is_cut(&self) -> bool {
        self.opened.as_ref().is_some_and(|opened| opened.mark.is_cut())
    }

    pub(super) fn set_busy(&self, busy: bool) {
        if let Some(opened) = &self.opened {
            opened.mark.set_busy(busy);
        }
    }

    /// Whether the peer has neither closed it nor said anything unasked. The kernel is asked, as the
    /// runtime may not have heard yet.
    pub(super) fn quiet(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }
}

pub(super) struct Idle {
    pub(super) connection: Connection,
    pub(super) since: Instant,
}

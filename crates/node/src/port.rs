//! Binds the addresses that the node listens on, with retries while an earlier process still holds an address or the
//! machine is short of descriptors or memory.

#[cfg(test)]
pub(crate) mod tests;

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream, UnixListener, UnixStream};
use tokio::time::{sleep, Instant};
use tracing::warn;

use crate::system_error::{classify, report, ErrorClass, Operation, SystemCall};

/// Length of the accept queue, in connections.
pub const BACKLOG: u32 = 1024;
/// How long binding is retried. A process that shuts down is killed less than 4 s after it was asked to stop, so an
/// address held for longer belongs to a process that stays; by then this start is too late in any case.
const BIND_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before binding is retried.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds a listener to the address. If `shared`, other processes may bind it too (SO_REUSEPORT).
pub fn bind(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Binds a listener as [`bind`] does, and retries while another process holds the address or the machine lacks
/// descriptors or memory.
///
/// # Errors
/// The last error if retrying is of no use or has taken too long.
pub async fn bind_when_free(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    retry_bind(address, || bind(address, shared)).await
}

async fn retry_bind(
    address: SocketAddr,
    mut bind: impl FnMut() -> io::Result<TcpListener>,
) -> io::Result<TcpListener> {
    let since = Instant::now();
    let mut address_in_use_logged = false;
    loop {
        match bind() {
            Err(error) if is_retryable_bind_error(&error) && since.elapsed() < BIND_TIMEOUT => {
                if error.kind() != ErrorKind::AddrInUse {
                    report(Operation::Listen, &error, "trying again");
                } else if !std::mem::replace(&mut address_in_use_logged, true) {
                    warn!("{address} is held by another process; waiting until it is released");
                }
                sleep(RETRY_DELAY).await;
            }
            bound => return bound,
        }
    }
}

/// Whether binding an address that failed with this error may succeed later.
pub fn is_retryable_bind_error(error: &io::Error) -> bool {
    match classify(SystemCall::Listen, error) {
        ErrorClass::RetryNow | ErrorClass::LocalShortage => true,
        ErrorClass::PeerFault | ErrorClass::Fatal => false,
    }
}

/// A source of incoming connections. Tests implement it to inject failures of `accept`.
pub trait Accept {
    type Stream;

    /// Accepts the next connection.
    async fn accept(&self) -> io::Result<Self::Stream>;
}

impl Accept for TcpListener {
    type Stream = TcpStream;

    async fn accept(&self) -> io::Result<TcpStream> {
        TcpListener::accept(self).await.map(|(stream, _)| stream)
    }
}

impl Accept for UnixListener {
    type Stream = UnixStream;

    async fn accept(&self) -> io::Result<UnixStream> {
        UnixListener::accept(self).await.map(|(stream, _)| stream)
    }
}

impl<L: Accept> Accept for Rc<L> {
    type Stream = L::Stream;

    async fn accept(&self) -> io::Result<L::Stream> {
        L::accept(self).await
    }
}

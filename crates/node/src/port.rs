//! Addresses that the node listens at, and what it does while an earlier process still holds one.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};
use tokio::time::{sleep, Instant};
use tracing::warn;

/// Connections that may wait to be accepted.
pub const BACKLOG: u32 = 1024;
/// A process that ends holds what it has until the kill at the longest, under 4 s after it was told to. What is held
/// for longer is held by one that stays; by then this start has come too late in any case.
const HELD: Duration = Duration::from_secs(10);
/// Wait before trying again.
const AGAIN: Duration = Duration::from_millis(50);

/// A listener at this address, where others may listen too if it is shared.
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

/// The same as soon as no other process holds the address, or that it is held.
pub async fn bind_when_free(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let since = Instant::now();
    let mut said = false;
    loop {
        match bind(address, shared) {
            Err(error) if error.kind() == ErrorKind::AddrInUse && since.elapsed() < HELD => {
                if !std::mem::replace(&mut said, true) {
                    warn!("{address} is held by another process; waiting for that to end");
                }
                sleep(AGAIN).await;
            }
            bound => return bound,
        }
    }
}

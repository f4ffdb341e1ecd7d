//! Loopback sockets: free ports, listeners that accept, listeners that drop connections, and connection resets.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

/// Length of the accept queue.
const BACKLOG: u32 = 1024;
/// Delay before a failed bind or accept is repeated; also the time limit for a connection that fills a queue.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Finds this many free TCP ports at a loopback address. The ports are not held after the return, so no other
/// program of the machine should use the address.
///
/// # Errors
/// If a socket cannot be bound.
pub fn reserve_ports(ip: Ipv4Addr, count: usize) -> io::Result<Vec<SocketAddr>> {
    // All sockets stay open until the last is bound, so that no port is returned twice.
    let listeners: Vec<_> =
        (0..count).map(|_| std::net::TcpListener::bind((ip, 0))).collect::<Result<_, _>>()?;
    listeners.iter().map(std::net::TcpListener::local_addr).collect()
}

/// Listens at this address; a failed bind is repeated until it succeeds, as an earlier listener may still
/// hold the address.
pub async fn listen(address: SocketAddr) -> TcpListener {
    listen_with(address, BACKLOG).await
}

/// Lets no connection to this address be established, and never returns: the accept queue has one place and is full, so
/// that the kernel drops further attempts.
pub async fn drop_connections(address: SocketAddr) {
    let listener = listen_with(address, 0).await;
    let mut fillers = Vec::new();
    // The first connection fills the queue; one that is not established in time shows that it is full.
    while let Ok(Ok(filler)) = timeout(RETRY_DELAY, TcpStream::connect(address)).await {
        fillers.push(filler);
    }
    std::future::pending::<()>().await;
    drop((listener, fillers));
}

/// Makes the close of a connection send a reset, as when a process dies (`SO_LINGER` of zero).
pub fn reset_on_close(stream: &TcpStream) {
    // The error is ignored: the connection may be gone already.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn listen_with(address: SocketAddr, backlog: u32) -> TcpListener {
    let bind = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(backlog)
    };
    loop {
        match bind() {
            Ok(listener) => return listener,
            // An earlier listener may still hold the address.
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}

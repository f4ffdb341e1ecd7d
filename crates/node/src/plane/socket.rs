//! The plane's UDP socket: bounded batches of reads, and the mapping between addresses and nodes.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hallpin_membership::envelope::MAX_DATAGRAM;
use hallpin_membership::names::NodeId;
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::warn;

use crate::port::is_retryable_bind_error;
use crate::system_error::{classify, report, ErrorClass, Operation, SystemCall};

/// Most datagrams read in one batch, so that requests are processed in between.
const MAX_BATCH: usize = 32;
/// Pause after a full batch: it bounds the share of the single core that a flood takes. The kernel drops what its
/// buffer cannot hold meanwhile.
const BATCH_PAUSE: Duration = Duration::from_millis(1);
/// Interval of attempts to bind an address, which a process that is ending may still hold.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after a read that failed for lack of memory or that cannot succeed.
const ERROR_PAUSE: Duration = Duration::from_millis(50);

/// The configured addresses by node, and the reverse.
pub struct Addresses {
    by_node: Vec<SocketAddr>,
    by_address: HashMap<SocketAddr, NodeId>,
}

impl Addresses {
    pub fn new(by_node: Vec<SocketAddr>) -> Self {
        // `Setup::read` has checked that the number of addresses fits a node number.
        let by_address =
            by_node.iter().zip(0..).map(|(address, number)| (*address, NodeId(number))).collect();
        Addresses { by_node, by_address }
    }
}

/// The bound socket.
pub struct Socket {
    inner: UdpSocket,
    addresses: Addresses,
}

impl Socket {
    /// Binds the address; retries while it is in use or the machine is short of descriptors or memory.
    ///
    /// # Errors
    /// Returns errors that do not pass with time, such as an address that is not this machine's.
    pub async fn bind(listen: SocketAddr, addresses: Addresses) -> io::Result<Self> {
        let inner = retry_bind(listen, async || UdpSocket::bind(listen).await).await?;
        Ok(Socket { inner, addresses })
    }

    /// Waits until a datagram can be read.
    pub async fn readable(&self) {
        if self.inner.readable().await.is_err() {
            sleep(BATCH_PAUSE).await;
        }
    }

    /// Reads one batch of datagrams. Returns the pause before the next read, if one is required.
    pub fn read(&self, mut each: impl FnMut(Option<NodeId>, &[u8])) -> Option<Duration> {
        let each = |from, bytes: &[u8]| each(self.addresses.by_address.get(&from).copied(), bytes);
        read_batch(|buffer| self.inner.try_recv_from(buffer), each)
    }

    /// Sends a datagram; returns false where it was lost, which callers treat like loss on the network.
    pub fn send(&self, to: NodeId, bytes: &[u8]) -> bool {
        let address = self.addresses.by_node.get(usize::from(to.0));
        address.is_some_and(|address| send(|| self.inner.try_send_to(bytes, *address)))
    }
}

async fn retry_bind(
    listen: SocketAddr,
    mut bind: impl AsyncFnMut() -> io::Result<UdpSocket>,
) -> io::Result<UdpSocket> {
    let mut address_in_use_logged = false;
    loop {
        match bind().await {
            Err(error) if is_retryable_bind_error(&error) => {
                if error.kind() != io::ErrorKind::AddrInUse {
                    report(Operation::Listen, &error, "retrying the bind");
                } else if !std::mem::replace(&mut address_in_use_logged, true) {
                    warn!(%listen, "the plane's address is in use; waiting for it");
                }
                sleep(BIND_RETRY_INTERVAL).await;
            }
            bound => return bound,
        }
    }
}

fn read_batch(
    mut receive: impl FnMut(&mut [u8]) -> io::Result<(usize, SocketAddr)>,
    mut each: impl FnMut(SocketAddr, &[u8]),
) -> Option<Duration> {
    // One byte more than the limit, so that an oversized datagram is recognised.
    let mut buffer = [0; MAX_DATAGRAM + 1];
    for _ in 0..MAX_BATCH {
        match receive(&mut buffer) {
            Ok((length, from)) => each(from, &buffer[..length]),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return None,
            Err(error) => match classify(SystemCall::Transfer, &error) {
                // Reports a datagram sent earlier, such as to a port without a listener; the next read is not affected.
                ErrorClass::RetryNow | ErrorClass::PeerFault => {}
                ErrorClass::LocalShortage | ErrorClass::Fatal => {
                    report(Operation::ReceiveDatagram, &error, "reading again after a pause");
                    return Some(ERROR_PAUSE);
                }
            },
        }
    }
    Some(BATCH_PAUSE)
}

/// Sends, with one retry if interrupted by a signal.
fn send(mut send: impl FnMut() -> io::Result<usize>) -> bool {
    let sent = send().or_else(|error| match classify(SystemCall::Transfer, &error) {
        ErrorClass::RetryNow => send(),
        _ => Err(error),
    });
    match sent {
        Ok(_) => true,
        Err(error) => {
            if error.kind() != io::ErrorKind::WouldBlock {
                report(Operation::SendDatagram, &error, "the datagram is lost");
            }
            false
        }
    }
}

//! Datagrams between nodes, with one relay socket for each ordered pair of nodes.
//!
//! A node sends to the relay address that stands for a peer, and the peer receives the datagram from the relay address
//! that stands for the sender, as with address translation on the platform.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::sleep;

use super::network::LinkDirection;
use super::{Fate, Network, Site};
use crate::trace::{Event, Recorder};

/// Maximum length in bytes of a datagram that the relay forwards in full, far above the protocol's maximum.
const MAX_RELAYED_BYTES: usize = 2048;

/// The relay's sockets could not be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot open the relay sockets between nodes: {0}")]
pub struct RelaySocketError(#[from] io::Error);

/// The relay sockets between all nodes.
#[derive(Debug)]
pub struct DatagramMesh {
    /// Each node's listen address for datagrams.
    listen_addresses: Vec<SocketAddr>,
    /// `sockets[a][b]` is the socket at which node a reaches node b; for a = b it is unused.
    sockets: Vec<Vec<Rc<UdpSocket>>>,
}

impl DatagramMesh {
    /// Opens the sockets for as many nodes as there are addresses, each at its own loopback address.
    ///
    /// # Errors
    /// Fails if a socket cannot be opened.
    pub async fn bind(ips: &[Ipv4Addr]) -> Result<Self, RelaySocketError> {
        let count = ips.len();
        // Held until all other sockets are bound, so that no port is assigned twice, and then released for the nodes.
        let listeners: Vec<_> =
            ips.iter().map(|ip| std::net::UdpSocket::bind((*ip, 0))).collect::<io::Result<_>>()?;
        let listen_addresses =
            listeners.iter().map(std::net::UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let mut sockets = Vec::with_capacity(count);
        for ip in ips {
            let mut row = Vec::with_capacity(count);
            for _ in 0..count {
                row.push(Rc::new(UdpSocket::bind((*ip, 0)).await?));
            }
            sockets.push(row);
        }
        Ok(DatagramMesh { listen_addresses, sockets })
    }

    /// A node's listen address for datagrams.
    pub fn listen(&self, node: usize) -> SocketAddr {
        self.listen_addresses[node]
    }

    /// The addresses at which one node reaches every node, its own listen address included.
    ///
    /// # Errors
    /// Fails if the system does not report the address of a socket.
    pub fn peers(&self, of: usize) -> io::Result<Vec<SocketAddr>> {
        let address = |(to, socket): (usize, &Rc<UdpSocket>)| {
            if to == of {
                Ok(self.listen_addresses[of])
            } else {
                socket.local_addr()
            }
        };
        self.sockets[of].iter().enumerate().map(address).collect()
    }

    /// Forwards datagrams between nodes, each ordered pair in its own task, until the tasks are dropped.
    pub fn run(self: &Rc<Self>, network: &Network, recorder: &Rc<Recorder>) {
        for from in 0..self.listen_addresses.len() {
            for to in (0..self.listen_addresses.len()).filter(|to| *to != from) {
                let direction = network.direction(Site::Node(from), Site::Node(to), 0);
                tokio::task::spawn_local(self.clone().carry(from, to, direction, recorder.clone()));
            }
        }
    }

    /// Sends a node a datagram that appears to come from another node, regardless of the link's conditions.
    ///
    /// # Errors
    /// Fails if the system does not accept the datagram.
    pub async fn forge(&self, as_from: usize, to: usize, bytes: &[u8]) -> io::Result<()> {
        self.sockets[to][as_from].send_to(bytes, self.listen_addresses[to]).await.map(drop)
    }

    async fn carry(
        self: Rc<Self>,
        from: usize,
        to: usize,
        mut direction: LinkDirection,
        recorder: Rc<Recorder>,
    ) {
        let mut buffer = vec![0; MAX_RELAYED_BYTES];
        loop {
            // After a send to a node that is down the next call fails, but the socket stays usable.
            let Ok((bytes, sender)) = self.sockets[from][to].recv_from(&mut buffer).await else { continue };
            if sender != self.listen_addresses[from] {
                continue;
            }
            let (fate, copies) = direction.draw_fate();
            recorder.record(Event::Datagram { from: Site::Node(from), to: Site::Node(to), bytes, fate });
            for delay in copies {
                let (mesh, datagram) = (self.clone(), buffer[..bytes].to_vec());
                if delay == Duration::ZERO && fate != Fate::Held {
                    mesh.deliver(from, to, &datagram).await;
                } else {
                    tokio::task::spawn_local(async move {
                        sleep(delay).await;
                        mesh.deliver(from, to, &datagram).await;
                    });
                }
            }
        }
    }

    async fn deliver(&self, from: usize, to: usize, datagram: &[u8]) {
        // The datagram is lost if the node is down.
        let _ = self.sockets[to][from].send_to(datagram, self.listen_addresses[to]).await;
    }
}

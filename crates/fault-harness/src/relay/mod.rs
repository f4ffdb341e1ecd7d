//! The links between nodes, boxes and the endpoint list, with conditions for each direction.

mod fate;
mod network;
mod tcp;
mod udp;

pub use fate::{Conditions, Fate};
pub use network::{Network, Site};
pub use tcp::TcpLink;
pub use udp::{DatagramMesh, RelaySocketError};

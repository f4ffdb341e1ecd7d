//! Communication between nodes: the datagram format, membership, and the merged view of nodes and boxes.
//!
//! Pure: no clock, socket, thread or global. Time, randomness and datagrams come in as arguments; the same inputs give
//! the same outputs byte for byte.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod digest;
pub mod envelope;
pub mod facts;
pub mod machine;
mod membership;
mod message;
pub mod names;
pub mod peers;
mod rate;
pub mod view;

pub use config::{Bounds, ConfigError, PeersConfig, Timing};
pub use facts::{BoxEvidence, BoxIncarnation, OwnObservation, PeersEvent};
pub use peers::Peers;

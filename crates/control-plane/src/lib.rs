//! The plane between nodes: membership, placement agreement and budgets over one datagram format and one membership
//! view, and the fleet file that configures it.
//!
//! Pure: no clock, socket, thread or global state. Time and datagrams are arguments; the caller sends and receives.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod counters;
pub mod datagram_filter;
pub mod file;
pub mod plane;
mod token_bucket;

pub use counters::Counters;
pub use datagram_filter::DatagramFilter;
pub use file::FleetFile;
pub use plane::{Plane, PlaneEvent, PlaneOutput, Rate};

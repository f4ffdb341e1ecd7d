//! The nodes' processes: their configuration and state files, their process generations, and the signals sent to them.

mod config;
mod files;
mod host;

pub use config::config;
pub use files::change;
pub use host::{Host, HostError, Place, PlaneFiles};

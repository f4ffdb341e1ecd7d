//! The nodes' processes: their configuration and state files, their process generations, and the signals sent to them.

mod config;
mod files;
mod host;

pub use config::config;
pub use files::apply_state_change;
pub use host::{ControlPlaneFiles, Host, HostError, NodeAddresses};

//! Runs simulation scenarios, in virtual time or against real nodes on loopback sockets, and returns their verdicts.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod footprint;
mod sockets;
mod trace_file;
mod virtual_time;

pub use footprint::Footprint;
pub use sockets::{agent, loopback, process};
pub use sockets::{run_on_sockets, SocketsError, SocketsOptions};
pub use trace_file::TraceFile;
pub use virtual_time::{run_all, run_scenario, RunError, RunResult};

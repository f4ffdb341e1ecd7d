//! Fault-injection test harness: runs several real nodes against fake cache boxes, discovery, planner and clients, and
//! injects faults into every link between them.
//!
//! [`harness::play`] runs a scenario file; tests drive [`harness::Harness`] directly. The invariant checker judges a
//! run only by what the fakes observed from outside, never by what a node reports about itself.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod judge;
pub mod process;
pub mod relay;
pub mod rig;
pub mod spec;
pub mod stand_in;
pub mod trace;

pub use judge::Report;
pub use rig::{block_on, play, Options, Rig, RigError};
pub use spec::Spec;

//! Fault-injection test harness: runs several real nodes against fake cache boxes, discovery, planner and clients, and
//! injects faults into every link between them.
//!
//! [`harness::play`] runs a scenario file; tests drive [`harness::Harness`] directly. The invariant checker judges a
//! run only by what the fakes observed from outside, never by what a node reports about itself.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fakes;
pub mod harness;
pub mod invariants;
pub mod process;
pub mod relay;
pub mod spec;
pub mod trace;

pub use harness::{block_on, play, Harness, HarnessError, Options};
pub use invariants::Report;
pub use spec::Spec;

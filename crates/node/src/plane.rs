//! Runs the plane between nodes: owns its state machines, socket and timer. The driver passes in endpoint lists and
//! attempt outcomes, and receives events for the balancer. Off unless a fleet file is given.

mod boxes;
mod events;
mod evidence_timer;
mod machines;
mod metrics;
mod observations;
mod permits;
mod refusal_log;
mod runtime;
mod setup;
mod socket;
mod start;
mod state;
#[cfg(test)]
mod tests;
mod usage;
mod weights;

pub use boxes::SentAttempt;
pub use permits::{CountedConnection, QuotaUse};
pub use runtime::PlaneRuntime;
pub use setup::Setup;

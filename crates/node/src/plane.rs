//! Runs the plane between nodes: owns its state machines, socket and timer. The driver passes in endpoint lists and
//! attempt outcomes, and receives events for the balancer. Off unless a fleet file is given.

mod boxes;
mod evidence_timer;
mod fleet;
mod machines;
mod metrics;
mod news;
mod permits;
mod refusal_log;
mod setup;
mod socket;
mod start;
mod state;
#[cfg(test)]
mod tests;
mod told;
mod usage;
mod weights;

pub use boxes::SentAttempt;
pub use fleet::PlaneRuntime;
pub use permits::{CountedConnection, QuotaUse};
pub use setup::Setup;

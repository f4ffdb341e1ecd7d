//! A leader lease: at most one of the configured nodes holds it at a time, granted by a majority of them.
//!
//! # Guarantees
//!
//! - **Safety.** No two nodes hold the lease at the same instant, whatever is lost, duplicated, delayed or reordered,
//!   and whichever node restarts without its state, as long as every clock keeps to the configured drift bound.
//! - **Fencing.** [`HeldLease::epoch`] is greater than that of every earlier lease of any node, so a receiver can
//!   reject what an earlier holder sent.
//! - **Liveness.** While a majority of the nodes can reach each other, one of the candidates gets the lease within a
//!   few terms, and a holder renews it before it expires.
//!
//! # Source
//!
//! PaxosLease (Trencseni, Gazso, Reinhardt 2012) and Chubby's master lease (Burrows 2006), without a disk: a candidate
//! requests votes, each vote is a promise to vote for nobody else for one term by the voter's clock, and a majority of
//! votes is a lease for one term by the holder's clock, counted from before the votes were requested. A voter that has
//! just started votes for nobody for one term, so that what it promised in an earlier incarnation has expired.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use hallpin_leader_lease::{Candidacy, LeaderLease, LeaseConfig};
//! use hallpin_membership::names::{Incarnation, NodeId, NodeIncarnation};
//!
//! # fn main() -> Result<(), hallpin_leader_lease::ConfigError> {
//! let node = |number: u16| NodeIncarnation { node: NodeId(number), incarnation: Incarnation(1) };
//! let term = Duration::from_secs(2);
//! let config = |number| LeaseConfig { this: node(number), configured: 3, term, drift_ppm: 200 };
//! let mut candidate = LeaderLease::new(config(0), Duration::ZERO, 1)?;
//! let mut voter = LeaderLease::new(config(1), Duration::ZERO, 2)?;
//!
//! // Votes are given once a term has passed since the start.
//! let now = 2 * term;
//! candidate.set_candidacy(Candidacy::Standing);
//! candidate.tick(now);
//! for (_, request) in candidate.take_outbox() {
//!     voter.receive(now, node(0), request);
//! }
//! for (_, vote) in voter.take_outbox() {
//!     candidate.receive(now, node(1), vote);
//! }
//! assert!(candidate.held(now).is_some());
//! assert!(candidate.held(now + term).is_none(), "it expires unless it is renewed");
//! # Ok(())
//! # }
//! ```
//!
//! Pure: no clock, socket, thread or global.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod candidate;
mod clock_drift;
mod config;
mod leader_lease;
mod message;
mod voter;
mod voting_round;

#[cfg(test)]
mod tests;

pub use candidate::{Candidacy, HeldLease};
pub use clock_drift::ClockDrift;
pub use config::{ConfigError, LeaseConfig, MAX_CONFIGURED};
pub use leader_lease::LeaderLease;
pub use message::LeaseMessage;

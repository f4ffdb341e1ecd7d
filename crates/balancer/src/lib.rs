//! Load-balancing decisions of a proxy that spreads keys over cache servers in front of a slow origin.
//!
//! The crate is a sans-IO state machine. A host passes [`Event`]s to a [`Balancer`] and carries out the [`Action`]s
//! that it returns. It has no clock, no threads and no I/O; the same events give the same actions.
//!
//! ```
//! use hallpin_balancer::*;
//!
//! # fn main() -> Result<(), SettingsError> {
//! let read = Class {
//!     name: "read".into(),
//!     latency_objective: 0.3,
//!     deadline: 1.0,
//!     priority_weight: 1.0,
//!     late_weight_share: 0.2,
//!     effect: Effect::Idempotent,
//!     deduplication_scope: DeduplicationScope::All,
//!     deduplication_window: 0.0,
//!     streamed: false,
//! };
//! let settings = Settings {
//!     balancers: 1,
//!     classes: vec![read],
//!     tenants: vec![],
//!     membership: Membership::Pushed,
//!     cache: CacheMode::Through,
//!     weights: WeightSource::Off,
//!     guarantees: Guarantees {
//!         answer_grace: 0.02,
//!         poll_interval: 10.0,
//!         initial_capacity_share: 0.3,
//!         slow_start_duration: 8.0,
//!         drain_grace: 0.5,
//!         overload_multiple: 3.0,
//!         overload_window: 1.0,
//!     },
//!     limits: Limits { cancel: true, max_attempts: 3, hedging: true, ..Limits::default() },
//!     event_interval: 0.005,
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! let server = EndpointEntry {
//!     server: ServerId("10.0.0.1:8080".into()),
//!     state: ServerState::Ready,
//!     weight: 1.0,
//!     ..EndpointEntry::default()
//! };
//! balancer.handle(0.0, Event::Endpoints(EndpointUpdate::Full(vec![server.clone()])), &mut actions);
//!
//! // A request arrives; the balancer asks the host to send it.
//! let request = NewRequest {
//!     id: RequestId(1),
//!     time_left: 1.0,
//!     class: Some(ClassId(0)),
//!     tenant: None,
//!     key: Some(Key(7)),
//!     write: false,
//!     work_hint: None,
//! };
//! actions.clear();
//! balancer.handle(0.1, Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Send { server: s, .. } if *s == server.server)));
//!
//! // The server answers; the client has its answer and no action follows.
//! let outcome = Outcome {
//!     request: RequestId(1),
//!     attempt: AttemptId(0),
//!     status: Status::Success,
//!     elapsed: 0.02,
//!     finished: true,
//!     cache_note: Some(CacheNote::Hit),
//! };
//! actions.clear();
//! balancer.handle(0.12, Event::Outcome(outcome), &mut actions);
//! assert!(actions.is_empty());
//! # Ok(())
//! # }
//! ```
//!
//! All decisions are in `src/balance/`, one file for each subject; the types of the interface are in
//! `src/interface/`. `src/balancer.rs` passes events in and actions out; `src/settings.rs` reads the settings.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

// Lets the unit tests share helpers with the integration tests.
#[cfg(test)]
extern crate self as hallpin_balancer;

mod balance;
mod balancer;
mod interface;
mod key_owner;
mod settings;

pub use balancer::Balancer;
pub use interface::*;
pub use key_owner::key_owner;
pub use settings::NameIndex;

//! Simulated environment of a node, without clocks or sockets: cache boxes, the origin (`planner`), the endpoint list,
//! clients, scheduled faults (`incident`), and the invariant checker (`invariants`).
//!
//! A [`scenario`] and a seed give a [`run_spec::RunSpec`]. A [`world::World`] runs it with a [`policy::Policy`] and
//! records the events in a [`trace::Sink`], such as an [`invariants::InvariantChecker`]. The same inputs give the same
//! trace on every machine.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cache_box;
pub mod clients;
pub mod event_queue;
pub mod faults;
pub mod history;
pub mod invariants;
pub mod keys;
pub mod list;
mod locate;
pub mod origin;
pub mod plane;
pub mod planner;
pub mod policy;
pub mod random;
pub mod range;
pub mod run_spec;
pub mod scenario;
pub mod store;
pub mod time;
pub mod trace;
pub mod world;

//! A versioned placement table that every depot prepares before any of them switches to it.
//!
//! One coordinator at a time, fenced by the leader lease, prepares a version at every node. It decides the version once
//! every node either holds it or no longer has a lease on its table. See `docs/design/accord.md`.
//!
//! Pure: no clock, socket, thread or global.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod config;
mod coordinator;
mod events;
mod fetch;
mod message;
#[cfg(test)]
mod model;
mod pages;
mod peer;
mod placement;
mod protocol;
mod replica;
mod table;
#[cfg(test)]
mod tests;

pub use config::{ConfigError, PlacementConfig, StoredPlacement};
pub use events::{Metrics, PlacementEvent, PlacementState};
pub use placement::Placement;
pub use table::{Table, TableEntry, TableId, MAX_ENTRIES, MAX_SERVER};

//! Settings, events and actions: all types that pass between a [`Balancer`](crate::Balancer) and its host.
//!
//! This folder contains no decisions. Times are in seconds on the host's clock.

mod actions;
mod classes;
mod events;
mod fleet;
mod names;
mod roster;
mod settings;
mod settings_error;
mod sizes;

pub use actions::Action;
pub use classes::{Class, Effect, Group, Tenant};
pub use events::{CacheNote, Event, NewRequest, Outcome, Status};
pub use fleet::{FleetNews, ServerEvidence, TableEntry};
pub use names::{AttemptId, ClassId, Key, RequestId, Seconds, ServerId, TenantId, TimerToken};
pub use roster::{RosterEntry, RosterNews, ServerState};
pub use settings::{CacheMode, Guarantees, Limits, Membership, Settings, WeightSource};
pub use settings_error::SettingsError;
pub use sizes::Sizes;

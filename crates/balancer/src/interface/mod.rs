//! Settings, events and actions: all types that pass between a [`Balancer`](crate::Balancer) and its host.
//!
//! This folder contains no decisions. Times are in seconds on the host's clock.

mod actions;
mod classes;
mod endpoint_list;
mod events;
mod fleet;
mod identifiers;
mod settings;
mod settings_error;
mod sizes;

pub use actions::Action;
pub use classes::{Class, DeduplicationScope, Effect, Tenant};
pub use endpoint_list::{EndpointEntry, EndpointUpdate, ServerState};
pub use events::{CacheNote, Event, NewRequest, Outcome, Status};
pub use fleet::{FleetUpdate, ServerReport, TableEntry};
pub use identifiers::{AttemptId, ClassId, Key, RequestId, Seconds, ServerId, TenantId, TimerToken};
pub use settings::{CacheMode, Guarantees, Limits, Membership, Settings, WeightSource};
pub use settings_error::SettingsError;
pub use sizes::Sizes;

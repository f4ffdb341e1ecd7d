//! Persists the state of a node that stays valid after its process ends, in an embedded database: decides which parts
//! of a stored state may be used again, and which incarnation a node may use.
//!
//! Decisions are made without I/O: [`validity`] checks which parts of a state may be used, [`incarnation`] chooses the
//! next incarnation. [`row_database`] holds rows in a database over any storage backend, and [`Store`] combines them
//! over a folder. Leases are void after a restart, so only types that implement [`Persistent`] can be stored.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod aside;
mod bounded_file;
mod error;
pub mod file_system;
mod frame;
pub mod incarnation;
mod lock;
mod names;
mod reason;
mod restored;
pub mod row_database;
mod rows;
mod snapshot;
mod store;
pub mod validity;

pub use error::StoreError;
pub use names::{Identity, Limits, Section};
pub use reason::SetAsideReason;
pub use restored::Restored;
pub use snapshot::{Persistent, Snapshot, Stored};
pub use store::Store;

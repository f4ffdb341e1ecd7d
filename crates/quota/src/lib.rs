//! Divides capacities over nodes and tenants by leases that expire; the sum of allotments never exceeds a capacity.
//!
//! Every configured node has a safe minimum of each capacity without a lease. The remainder is leased out by one
//! grantor, the holder of a leader lease (`hallpin-leader-lease`). No grant outlives that lease, so grants of two
//! grantors are never in force together. Nodes report their tenants' demand; the grantor divides by weighted max-min
//! fairness.
//!
//! Pure: no clock, socket, thread or global state.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod budgets;
mod config;
mod contracts;
mod demand;
pub mod gate;
mod grantor;
mod leases;
mod max_min;
mod message;
mod names;
mod node_quota;
mod quota_page;
mod report;

pub use budgets::{Budgets, BudgetsEvent};
pub use config::{BudgetsConfig, ConfigError};
pub use contracts::{ContractError, Contracts, Tenant, MAX_TENANTS};
pub use names::{Allotment, Resource, TenantIndex};

//! Identifiers of resources and tenants, and what a node may use of a resource.

use std::time::Duration;

use hallpin_membership::names::Moment;
use serde::{Deserialize, Serialize};

/// Identifies a divided resource by a hash that is the same at every node, such as the connections of a box, the
/// planner's fetches, the work of a box that is warming up, or retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Resource(pub u64);

/// A tenant's index in this node's [`Contracts`](crate::Contracts); meaningless at other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantIndex(pub u8);

/// What this node may use of a resource for one tenant, at the time of the query.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Allotment {
    /// Concurrent uses by the tenant.
    pub max_uses: u32,
    /// Concurrent uses by all tenants of this node together; at least the sum of their `max_uses`.
    pub node_max_uses: u32,
    /// When the leased portion ends, by this node's clock. `None`: all of it is the safe minimum, which never ends.
    pub expires_at: Option<Moment>,
    /// Set where the tenant's share of the safe minimum is below one: one use beyond `max_uses` may begin at this
    /// interval, within `node_max_uses`.
    pub min_interval: Option<Duration>,
}

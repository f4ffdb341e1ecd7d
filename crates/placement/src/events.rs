//! Events for the rest of the node and messages to other nodes; both are queued here until they are taken.

use hallpin_membership::names::NodeId;

use crate::message::Message;
use crate::table::Table;

/// A change of this node's table or lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum PlacementEvent {
    /// The node must place by this table from now on.
    Switch(Table),
    /// The node holds all of a version and waits until it is decided.
    Prepared {
        /// Version of the table.
        version: u64,
    },
    /// A version that the node held will not come into force.
    Dropped {
        /// Version of the table.
        version: u64,
    },
    /// The lease has expired: other nodes may switch without this node, which still places by its last table.
    LeaseExpired,
    /// The node has a lease again.
    LeaseRegained,
}

/// This node's state towards the table in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PlacementState {
    /// The node has a lease and places by the table in force; no other node switches without it.
    InForce,
    /// As `InForce`, and the node knows of the next version.
    Preparing,
    /// The lease has expired by the node's own clock, and no coordinator is heard. The node places by its last table;
    /// others may have a newer one.
    LeaseExpired,
    /// The node has no lease, either not yet or not any more, and can get one from a coordinator.
    CatchingUp,
}

/// Counters of one node since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Metrics {
    /// Switches to another table.
    pub switches: u64,
    /// Expiries of the lease.
    pub lease_expirations: u64,
    /// Versions decided while this node was the coordinator.
    pub decided: u64,
    /// Lists rejected because they had more than `MAX_ENTRIES` entries or an id that was empty or too long.
    pub lists_rejected: u64,
}

/// Queued outputs, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Outbox {
    pub sends: Vec<(NodeId, Message)>,
    pub events: Vec<PlacementEvent>,
}

impl Outbox {
    pub fn send(&mut self, to: NodeId, message: Message) {
        self.sends.push((to, message));
    }
}

//! The control plane between simulated nodes: which parts are on, the plane of one node, and its measurements.

mod boxes;
mod node;
mod tally;

use hallpin_membership::ConfigError as MembershipError;
use hallpin_placement::ConfigError as PlacementError;

pub use boxes::SentAttempt;
pub use node::{NodePlane, NodePosition, PlaneNotification};
pub use tally::{RevisionSpread, Tally};

/// Which parts of the control plane are on in a scenario.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Switch {
    /// None: every node uses only its own endpoint list and attempts.
    #[default]
    Off,
    /// Membership, and the peers' evidence about boxes.
    Peers,
    /// Membership, the peers' evidence about boxes, and a placement table that all nodes agree on.
    Table,
}

/// Why a plane cannot be created.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlaneError {
    /// More nodes than the 16-bit node number in datagrams allows.
    #[error("at most 65,535 nodes expected, got {0}")]
    TooManyNodes(usize),
    /// Invalid configuration of the membership protocol.
    #[error("membership: {0}")]
    Peers(#[from] MembershipError),
    /// Invalid configuration of the placement table.
    #[error("table: {0}")]
    Placement(#[from] PlacementError),
}

//! The plane between the nodes of a world: which parts of it are on, a node's own, and what it is measured by.

mod boxes;
mod node;
mod tally;

use hallpin_membership::ConfigError as PeersError;
use hallpin_placement::ConfigError as PlacementError;

pub use boxes::Sent;
pub use node::{NodePlane, Seat, Told};
pub use tally::{Spread, Tally};

/// Which parts of the plane the nodes of a day have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Switch {
    /// None: every node goes by its own list and experience.
    #[default]
    Off,
    /// Membership, and what peers found of boxes.
    Peers,
    /// That, and a placement table that all agree on.
    Table,
}

/// A plane that cannot be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlaneError {
    /// More nodes than datagrams can number.
    #[error("at most 65,535 nodes expected, got {0}")]
    Nodes(usize),
    /// Of membership.
    #[error("membership: {0}")]
    Peers(#[from] PeersError),
    /// Of the table.
    #[error("table: {0}")]
    Placement(#[from] PlacementError),
}

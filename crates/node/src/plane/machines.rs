//! The plane type of a node, with its state machines.

use hallpin_control_plane::Plane;
use hallpin_placement::Placement;
use hallpin_quota::Budgets;

/// The plane with placement agreement and budgets.
pub type NodePlane = Plane<Placement, Budgets>;

//! Identifiers of nodes, incarnations and zones, and the type of a point in time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A point on a node's own monotonic clock: the time since its process started. Points of two processes, or of two
/// incarnations of one node, must never be compared; only durations may be sent to other nodes.
pub type Moment = Duration;

/// Index of a node in the configuration's `peers`, from 0; the same in every incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u16);

/// A depot, as the index of its name among the deployment's zones, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ZoneId(pub u16);

/// Identifies one start of a node's process. It grows with each start, even without stored state: the greater of the
/// stored one plus 1 and the wall clock's milliseconds at the start, which all machines read alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One incarnation of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// The node.
    pub node: NodeId,
    /// The start of its process.
    pub incarnation: Incarnation,
}

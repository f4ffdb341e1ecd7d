//! The owner of a state, its sections and its limits.

use std::time::Duration;

use hallpin_membership::names::NodeId;
use serde::{Deserialize, Serialize};

/// The owner of a state. A state of another owner is never used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The federation; the same number as in each datagram's header.
    pub realm: u32,
    /// The node within the federation.
    pub node: NodeId,
}

/// A section of a snapshot, with one owner, which defines its encoding and its format number. The incarnation is not
/// in a section: the store owns it and writes it before the node sends its first message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Section {
    /// The membership view, and what was merged from other nodes' gossip.
    View,
    /// The placement table in force, with its epoch and version.
    Table,
    /// Learnt limits of the cache servers and the origin.
    Limits,
    /// Granted quota that this node had in use, and that other nodes may still count as used by it.
    Debts,
    /// The epochs that this node observed or voted for in leader leases.
    Seat,
}

/// Limits of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of the database file in bytes; a longer file is set aside. A snapshot may have a sixteenth of
    /// it, because a commit writes the new state beside the old one, in pages of powers of two, and the file grows by
    /// doubling. From 192 KiB on there is always room for that; with less, commits may fail.
    pub max_bytes: u64,
    /// Maximum age of a section; an older one is set aside.
    pub max_age: Duration,
    /// The most that the wall clock is assumed to step back, over all processes of the node together. A state taken
    /// later than now by more than this is from the future. A process that does not know its predecessor is silent for
    /// twice this time.
    pub max_clock_step_back: Duration,
    /// Maximum number of files kept after being set aside; at least 1.
    pub max_aside_files: u8,
}

impl Limits {
    /// Maximum length of an encoded snapshot in bytes, header included.
    pub fn max_snapshot_bytes(&self) -> u64 {
        self.max_bytes / 16
    }
}

impl Default for Limits {
    /// 1 MiB, 10 minutes, half a second, 3 files.
    fn default() -> Self {
        Limits {
            max_bytes: 1 << 20,
            max_age: Duration::from_secs(600),
            max_clock_step_back: Duration::from_millis(500),
            max_aside_files: 3,
        }
    }
}

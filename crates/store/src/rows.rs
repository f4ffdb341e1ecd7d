//! The two rows of a state: the incarnation of the process, and the snapshot. Each names its owner.

use std::collections::BTreeMap;
use std::time::Duration;

use hallpin_membership::names::Incarnation;
use serde::{Deserialize, Serialize};

use crate::names::{Identity, Section};

/// The newest row format that can be read, and the one that is written.
pub(crate) const FORMAT: u16 = 1;

/// The incarnation of the process that last used the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct IncarnationRow {
    pub(crate) identity: Identity,
    pub(crate) incarnation: Incarnation,
    /// The incarnation followed a stored one, or its silence is over: the next one may be chosen from this row alone.
    pub(crate) settled: bool,
}

/// All sections, with the epoch and the wall time at which they were taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotRow {
    pub(crate) identity: Identity,
    pub(crate) epoch: u64,
    pub(crate) taken_unix_ms: u64,
    pub(crate) sections: BTreeMap<Section, EncodedSection>,
}

/// A section as its owner encoded it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct EncodedSection {
    pub(crate) format: u16,
    /// Age when the snapshot was taken; in restored state, the age now.
    pub(crate) age: Duration,
    pub(crate) bytes: Vec<u8>,
}

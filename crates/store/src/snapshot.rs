//! Snapshots, and the trait of the types that may be stored in them.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::names::Section;
use crate::rows::EncodedSection;

/// A type whose values stay valid after the process ends. Lease types must not implement it: a lease is void once its
/// holder stops, and only what the node may still owe for it (a debt) is stored. No lease type implements this trait,
/// so none can be put into a snapshot:
///
/// ```compile_fail
/// #[derive(serde::Serialize, serde::Deserialize)]
/// struct Lease {
///     until: hallpin_membership::names::Moment,
/// }
/// hallpin_store::Stored::new(Lease { until: Default::default() });
/// ```
///
/// A value holds durations and never a [`Moment`](hallpin_membership::names::Moment), which means nothing to the next
/// process. An owner adds [`Stored::age`] when it takes a value back.
pub trait Persistent: Serialize + DeserializeOwned {
    /// The section that holds the value. A section has one owner, so no two types name the same one.
    const SECTION: Section;
    /// The owner's own format number, raised by 1 with each change of the type's shape.
    const FORMAT: u16;

    /// Decodes a value of a format up to [`Persistent::FORMAT`]; `None` if it cannot be decoded. The default decodes
    /// only the newest format; an owner that changes its type's shape decodes the older ones here.
    fn read(format: u16, bytes: &[u8]) -> Option<Self> {
        if format != Self::FORMAT {
            return None;
        }
        match postcard::take_from_bytes(bytes) {
            Ok((value, [])) => Some(value),
            _ => None,
        }
    }
}

/// A value to store, or one that was stored, with its age, which grows also while no process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stored<T: Persistent> {
    /// The value.
    pub value: T,
    /// The value's age.
    pub age: Duration,
}

impl<T: Persistent> Stored<T> {
    /// A value of age 0.
    pub fn new(value: T) -> Self {
        Stored { value, age: Duration::ZERO }
    }
}

/// All values that are stored together. A commit replaces the whole snapshot stored before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    pub(crate) taken_unix_ms: u64,
    pub(crate) epoch: u64,
    pub(crate) sections: BTreeMap<Section, EncodedSection>,
}

impl Snapshot {
    /// A snapshot without sections, taken now (wall clock, milliseconds since the Unix epoch) under the placement
    /// table's epoch.
    pub fn new(taken_unix_ms: u64, epoch: u64) -> Self {
        Snapshot { taken_unix_ms, epoch, sections: BTreeMap::new() }
    }

    /// Encodes a value into its section and replaces the previous one. Returns false, and changes nothing, if the
    /// value cannot be serialised.
    pub fn put<T: Persistent>(&mut self, stored: &Stored<T>) -> bool {
        let Ok(bytes) = postcard::to_stdvec(&stored.value) else { return false };
        self.sections.insert(T::SECTION, EncodedSection { format: T::FORMAT, age: stored.age, bytes });
        true
    }
}

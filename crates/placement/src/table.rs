//! Placement tables: their entries, their order by age, and the digest that identifies an array of entries.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

/// Most servers in a table.
pub const MAX_ENTRIES: usize = 4096;
/// Greatest length of a server's id, in bytes.
pub const MAX_SERVER: usize = 64;

/// A server and its share of the array.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TableEntry {
    /// Id of the server in the endpoint list, 1 to [`MAX_SERVER`] bytes.
    pub server: String,
    /// Weight in thousandths.
    pub weight_milli: u32,
}

/// The table by which all nodes place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Table {
    /// Fencing number of the coordinator that proposed the table.
    pub epoch: u64,
    /// Grows by 1 from table to table; a pair (epoch, version) identifies one table only.
    pub version: u64,
    /// Revision of the discovery's list from which the table was made.
    pub revision: u64,
    /// At most [`MAX_ENTRIES`] entries, sorted by id, each id once.
    pub entries: Arc<[TableEntry]>,
}

impl Table {
    /// Returns the XXH3 hash of the entries: tables with the same digest make the same array.
    pub fn digest(&self) -> u64 {
        digest(&self.entries)
    }

    /// Returns the id of the table.
    pub fn id(&self) -> TableId {
        TableId { epoch: self.epoch, version: self.version }
    }
}

/// Identifies a table. The greater id is the newer table, whichever coordinators proposed the two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TableId {
    /// See [`Table::epoch`].
    pub epoch: u64,
    /// See [`Table::version`].
    pub version: u64,
}

/// A table without its entries, short enough for a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct TableHeader {
    pub id: TableId,
    /// Revision of the endpoint list from which the table was made.
    pub revision: u64,
    /// See [`Table::digest`].
    pub digest: u64,
}

/// Selects the newer of two table headers.
pub(crate) trait NewerOf {
    fn newer_of(self, other: Self) -> Self;
}

impl NewerOf for Option<TableHeader> {
    fn newer_of(self, other: Self) -> Self {
        if self.map(|header| header.id) < other.map(|header| header.id) {
            other
        } else {
            self
        }
    }
}

/// Entries with their precomputed digest.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Array {
    pub digest: u64,
    pub entries: Arc<[TableEntry]>,
}

impl Array {
    pub fn new(entries: Vec<TableEntry>) -> Self {
        Array { digest: digest(&entries), entries: entries.into() }
    }
}

/// A table of which this node has all entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LocalTable {
    pub header: TableHeader,
    pub table: Table,
}

impl LocalTable {
    pub fn new(header: TableHeader, array: &Array) -> Self {
        let TableId { epoch, version } = header.id;
        let table = Table { epoch, version, revision: header.revision, entries: array.entries.clone() };
        LocalTable { header, table }
    }

    pub fn of(table: Table) -> Self {
        LocalTable {
            header: TableHeader { id: table.id(), revision: table.revision, digest: table.digest() },
            table,
        }
    }

    pub fn array(&self) -> Array {
        Array { digest: self.header.digest, entries: self.table.entries.clone() }
    }
}

/// Returns whether entries are sorted by id, without duplicates and within the bounds.
pub(crate) fn is_sound(entries: &[TableEntry]) -> bool {
    entries.len() <= MAX_ENTRIES
        && entries.iter().all(|entry| (1..=MAX_SERVER).contains(&entry.server.len()))
        && entries.is_sorted_by(|one, other| one.server < other.server)
}

/// Returns the XXH3 hash over each entry's id length in bytes, id and weight.
pub(crate) fn digest(entries: &[TableEntry]) -> u64 {
    let mut bytes = Vec::with_capacity(entries.len() * 24);
    for entry in entries {
        bytes.extend_from_slice(&(entry.server.len() as u64).to_le_bytes());
        bytes.extend_from_slice(entry.server.as_bytes());
        bytes.extend_from_slice(&entry.weight_milli.to_le_bytes());
    }
    XxHash3_64::oneshot(&bytes)
}

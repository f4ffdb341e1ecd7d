//! Infers from outside which placement table a node has used for an attempt, as far as possible.
//!
//! A table consists of the boxes that were ready on the endpoint list at some revision. A node sends the first attempt
//! of a request to the owner of its key in the table that it uses, if the owner has capacity; where several tables have
//! the same owner for a key, the attempt fits all of them.

use std::collections::{BTreeMap, BTreeSet};

use hallpin_balancer::{key_owner, Key, ServerId, TableEntry};
use hallpin_simulation::list::Phase;

use crate::spec::Spec;
use crate::trace::{Event, Record};

/// Maximum number of distinguished tables. The oldest are kept; later changes of the list are ignored.
const MAX_TABLES: usize = 64;

/// Number of consecutive attempts that must fit only older tables before a node counts as lagging: an attempt that
/// finds no capacity at the key's owner goes elsewhere, sometimes to the owner in an older table.
const MIN_CONSECUTIVE: u32 = 3;

/// For each node the number of consecutive attempts that fit only older tables.
#[derive(Default)]
pub(super) struct LaggingNodes(BTreeMap<usize, u32>);

impl LaggingNodes {
    /// Counts an attempt that distinguishes tables, and returns whether the node counts as lagging.
    pub fn count_attempt(&mut self, node: usize, older: bool) -> bool {
        let consecutive = self.0.entry(node).or_default();
        *consecutive = if older { *consecutive + 1 } else { 0 };
        *consecutive >= MIN_CONSECUTIVE
    }
}

/// The first attempt of a request by a node, and the indices of the tables that it fits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Placement {
    pub node: usize,
    pub key: u64,
    pub by: Vec<usize>,
}

/// The placement tables of a run, in order, as they follow from the endpoint list.
pub(super) struct TableHistory {
    weights: Vec<f64>,
    ready: BTreeSet<usize>,
    tables: Vec<BTreeSet<usize>>,
    owners: BTreeMap<(usize, u64), Option<usize>>,
    /// Ids of the reads that a box has received.
    received: BTreeSet<u64>,
    /// Number of first attempts that went to no table's owner of the key, and of all first attempts.
    unplaced: (u64, u64),
}

impl TableHistory {
    pub fn new(spec: &Spec) -> Self {
        TableHistory {
            weights: spec.each_box().map(|group| f64::from(group.slots)).collect(),
            ready: BTreeSet::new(),
            tables: Vec::new(),
            owners: BTreeMap::new(),
            received: BTreeSet::new(),
            unplaced: (0, 0),
        }
    }

    /// Number of tables, of first attempts that went to no table's owner, and of all first attempts.
    pub fn counts(&self) -> (usize, u64, u64) {
        (self.tables.len(), self.unplaced.0, self.unplaced.1)
    }

    /// Processes a record; for the first attempt of a read, returns the tables that it fits.
    pub fn observe(&mut self, record: &Record) -> Option<Placement> {
        match record.event {
            Event::Listed { of, phase, .. } => {
                match phase {
                    Phase::Ready => self.ready.insert(of),
                    Phase::Draining | Phase::Gone => self.ready.remove(&of),
                };
                // Before the load starts, only the latest table counts.
                if self.received.is_empty() {
                    self.tables.clear();
                    self.owners.clear();
                }
                if self.tables.len() < MAX_TABLES && self.tables.last() != Some(&self.ready) {
                    self.tables.push(self.ready.clone());
                }
                None
            }
            Event::Attempt { of, node, id, key, write: false, .. } if self.received.insert(id) => {
                let by: Vec<usize> =
                    (0..self.tables.len()).filter(|t| self.owner(*t, key) == Some(of)).collect();
                self.unplaced = (self.unplaced.0 + u64::from(by.is_empty()), self.unplaced.1 + 1);
                Some(Placement { node, key, by })
            }
            _ => None,
        }
    }

    fn owner(&mut self, table: usize, key: u64) -> Option<usize> {
        let TableHistory { weights, tables, owners, .. } = self;
        *owners.entry((table, key)).or_insert_with(|| {
            let entry =
                |of: &usize| TableEntry { server: ServerId(format!("b{of}").into()), weight: weights[*of] };
            let entries: Vec<TableEntry> = tables[table].iter().map(entry).collect();
            key_owner(&entries, Key(key))?.0.strip_prefix('b')?.parse().ok()
        })
    }
}

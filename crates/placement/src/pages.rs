//! Splits the changes between two arrays into pages that fit a datagram.

use std::cmp::Ordering;

use serde::{Deserialize, Serialize};

use crate::table::{TableEntry, MAX_ENTRIES};

/// Most pages of one set of changes: every entry removed and every entry new, with ids of the greatest length.
pub(crate) const MAX_PAGES: u16 = (2 * MAX_ENTRIES / 2) as u16;
/// Bytes of changes in a page: a payload less the page's other fields at their longest.
const MAX_CHANGE_BYTES: usize = 195;

/// The new weight of one server; `None` removes the server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct Change {
    pub server: String,
    pub weight_milli: Option<u32>,
}

impl Change {
    /// Upper bound of the encoded size in bytes.
    fn size(&self) -> usize {
        self.server.len() + 2 + 6
    }
}

/// Returns the changes that turn `base` into `target`, sorted by id.
pub(crate) fn changes(base: &[TableEntry], target: &[TableEntry]) -> Vec<Change> {
    let (mut old, mut new) = (base.iter().peekable(), target.iter().peekable());
    let mut changes = Vec::new();
    loop {
        let order = match (old.peek(), new.peek()) {
            (None, None) => return changes,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(old), Some(new)) => old.server.cmp(&new.server),
        };
        let gone = if order.is_le() { old.next() } else { None };
        let here = if order.is_ge() { new.next() } else { None };
        match (gone, here) {
            (Some(gone), None) => changes.push(Change { server: gone.server.clone(), weight_milli: None }),
            (gone, Some(here)) if gone.is_none_or(|gone| gone.weight_milli != here.weight_milli) => {
                changes.push(Change { server: here.server.clone(), weight_milli: Some(here.weight_milli) });
            }
            _ => {}
        }
    }
}

/// Splits changes into pages; without changes there is one empty page.
pub(crate) fn pack(changes: Vec<Change>) -> Vec<Vec<Change>> {
    let mut pages = vec![Vec::new()];
    let mut remaining_bytes = MAX_CHANGE_BYTES;
    for change in changes {
        let size = change.size();
        if size > remaining_bytes {
            pages.push(Vec::new());
            remaining_bytes = MAX_CHANGE_BYTES;
        }
        remaining_bytes -= size;
        if let Some(page) = pages.last_mut() {
            page.push(change);
        }
    }
    pages
}

/// Applies changes to `base`. Both must be sorted by id. Unsorted changes from another node give an invalid array,
/// which the caller's check of the digest detects.
pub(crate) fn apply<'a>(base: &[TableEntry], changes: impl Iterator<Item = &'a Change>) -> Vec<TableEntry> {
    let mut entries = Vec::with_capacity(base.len());
    let mut old = base.iter().peekable();
    for change in changes {
        while let Some(unchanged) = old.next_if(|entry| entry.server < change.server) {
            entries.push(unchanged.clone());
        }
        old.next_if(|entry| entry.server == change.server);
        if let Some(weight_milli) = change.weight_milli {
            entries.push(TableEntry { server: change.server.clone(), weight_milli });
        }
    }
    entries.extend(old.cloned());
    entries
}

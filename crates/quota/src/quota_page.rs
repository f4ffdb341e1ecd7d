//! Packs a number for each resource and tenant into small datagrams: each page is self-contained for a range of
//! resources and holds one row per class (all resources of one capacity) plus the rows that differ from their class.

use serde::{Deserialize, Serialize};

use crate::names::Resource;

/// Numbers by tenant, in the order of the sender's contracts.
pub(crate) type Row = Vec<u32>;

/// Numbers for the resources from `from` to `to`, both included. Valid without the other pages, which may be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct QuotaPage {
    pub(crate) from: u64,
    pub(crate) to: u64,
    /// Rows by capacity, for all resources of that capacity.
    classes: Vec<(u32, Row)>,
    /// Rows by resource; these override the row of the class.
    rows: Vec<(u64, Row)>,
}

impl QuotaPage {
    pub(crate) fn covers(&self, resource: Resource) -> bool {
        (self.from..=self.to).contains(&resource.0)
    }

    /// Greatest number of tenants in any row of the page.
    pub(crate) fn longest_row(&self) -> usize {
        let classes = self.classes.iter().map(|(_, row)| row.len());
        classes.chain(self.rows.iter().map(|(_, row)| row.len())).max().unwrap_or(0)
    }

    /// The row of a resource within the page's range.
    pub(crate) fn row(&self, resource: Resource, capacity: u32) -> Option<&Row> {
        let own = self.rows.iter().find(|(key, _)| *key == resource.0).map(|(_, row)| row);
        own.or_else(|| self.class(capacity))
    }

    /// The row of all resources of a capacity that the page does not list.
    pub(crate) fn class(&self, capacity: u32) -> Option<&Row> {
        self.classes.iter().find(|(key, _)| *key == capacity).map(|(_, row)| row)
    }
}

/// Builds at most `max_pages` pages of at most `max_bytes` each for a range of resources. `rows` holds the resources
/// that differ from their class, in ascending order; where they do not all fit, the last ones are left out.
pub(crate) fn pages(
    range: (u64, u64),
    classes: &[(u32, Row)],
    rows: Vec<(u64, Row)>,
    max_bytes: usize,
    max_pages: usize,
) -> Vec<QuotaPage> {
    let new_page = |from| QuotaPage { from, to: range.1, classes: classes.to_vec(), rows: Vec::new() };
    let row_bytes = |row: &Row| {
        varint_bytes(row.len() as u64) + row.iter().map(|n| varint_bytes((*n).into())).sum::<usize>()
    };
    let header_bytes = 2 * varint_bytes(u64::MAX)
        + 2
        + classes.iter().map(|(key, row)| varint_bytes((*key).into()) + row_bytes(row)).sum::<usize>();
    let (mut finished, mut current, mut used_bytes) = (Vec::new(), new_page(range.0), header_bytes);
    for (key, row) in rows {
        let entry_bytes = varint_bytes(key) + row_bytes(&row);
        if used_bytes + entry_bytes > max_bytes && !current.rows.is_empty() {
            let next_page = new_page(key);
            current.to = key - 1;
            finished.push(std::mem::replace(&mut current, next_page));
            used_bytes = header_bytes;
        }
        if finished.len() == max_pages {
            return finished;
        }
        used_bytes += entry_bytes;
        current.rows.push((key, row));
    }
    finished.push(current);
    finished
}

/// Encoded size of a number in `postcard`, in bytes of seven bits each.
fn varint_bytes(number: u64) -> usize {
    (64 - number.leading_zeros() as usize).div_ceil(7).max(1)
}

//! Encodes this node's demand for the grantor in a few pages.

use std::collections::BTreeMap;

use crate::demand::quantize;
use crate::grantor::{capacities_by_frequency, MAX_CLASSES};
use crate::names::Resource;
use crate::quota_page::{pages, QuotaPage, Row};

/// Most pages of one report, which is the number of datagrams that a node sends in each period.
pub(crate) const MAX_PAGES: usize = 4;
/// Highest coarseness that demand is quantized with to make a report fit.
const MAX_COARSENESS: u32 = 3;

/// Builds pages with the demand for every resource. Where these are more than [`MAX_PAGES`], demand is quantized more
/// coarsely, so that more rows equal that of their class.
pub(crate) fn demand_pages(
    capacities: &BTreeMap<Resource, u32>,
    demands: &BTreeMap<Resource, Row>,
    max_bytes: usize,
) -> Vec<QuotaPage> {
    let encode = |coarseness| {
        let quantized = |row: &Row| row.iter().map(|demand| quantize(*demand, coarseness)).collect();
        build_pages(
            capacities,
            &demands.iter().map(|(resource, row)| (*resource, quantized(row))).collect(),
            max_bytes,
        )
    };
    let mut encoded = encode(0);
    for coarseness in 1..=MAX_COARSENESS {
        if encoded.len() <= MAX_PAGES {
            break;
        }
        encoded = encode(coarseness);
    }
    encoded.truncate(MAX_PAGES);
    encoded
}

fn build_pages(
    capacities: &BTreeMap<Resource, u32>,
    demands: &BTreeMap<Resource, Row>,
    max_bytes: usize,
) -> Vec<QuotaPage> {
    let of_capacity = |capacity: u32| {
        demands.iter().filter(move |(resource, _)| capacities.get(resource) == Some(&capacity))
    };
    let classes: Vec<(u32, Row)> = capacities_by_frequency(capacities)
        .into_iter()
        .take(MAX_CLASSES)
        .filter_map(|capacity| Some((capacity, most_common(of_capacity(capacity).map(|(_, row)| row))?)))
        .collect();
    let row_of_class = |resource: &Resource| {
        let capacity = capacities.get(resource)?;
        classes.iter().find(|(class, _)| class == capacity).map(|(_, row)| row)
    };
    let exceptions = demands.iter().filter(|(resource, row)| row_of_class(resource) != Some(*row));
    let rows = exceptions.map(|(resource, row)| (resource.0, row.clone())).collect();
    pages((0, u64::MAX), &classes, rows, max_bytes, usize::MAX)
}

/// The most common row; among equally common rows the smallest.
fn most_common<'a>(rows: impl Iterator<Item = &'a Row>) -> Option<Row> {
    let mut counts: BTreeMap<&Row, usize> = BTreeMap::new();
    rows.for_each(|row| *counts.entry(row).or_default() += 1);
    let highest = counts.values().max().copied()?;
    counts.into_iter().find(|(_, count)| *count == highest).map(|(row, _)| row.clone())
}

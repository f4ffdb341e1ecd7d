//! Estimates each tenant's demand at this node from what it asks for: rises at once, decays slowly.

use std::collections::BTreeMap;
use std::time::Duration;

use hallpin_membership::names::Moment;

use crate::names::{Resource, TenantIndex};

/// Upper bound of a single demand.
const MAX_DEMAND: u32 = 1 << 20;
/// [`quantize`] reports demands up to this number exactly at coarseness 0; each degree of coarseness halves it.
const MAX_EXACT_DEMAND: u32 = 8;

#[derive(Clone, Copy, Debug, Default)]
struct DemandEstimate {
    /// Estimated demand at `updated_at`.
    level: f64,
    updated_at: Moment,
}

impl DemandEstimate {
    /// The level at `now`: unchanged for one `span` after the last update, then falls linearly to zero over the next.
    fn decayed(&self, now: Moment, span: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at).saturating_sub(span);
        self.level * (1.0 - (elapsed.as_secs_f64() / span.as_secs_f64()).min(1.0))
    }

    /// Raises the level to `demand` at once, or lowers it towards `demand` in proportion to the time since the
    /// last update: fully after one `span`.
    fn record(&mut self, now: Moment, demand: u32, span: Duration) {
        let elapsed = now.saturating_sub(self.updated_at);
        let old_weight = 1.0 - (elapsed.as_secs_f64() / span.as_secs_f64()).min(1.0);
        let demand = f64::from(demand.min(MAX_DEMAND));
        self.level = demand.max(demand + (self.level - demand) * old_weight);
        self.updated_at = now;
    }
}

/// Demand estimates of all tenants for all resources.
#[derive(Clone, Debug, Default)]
pub(crate) struct DemandTracker {
    /// Estimates by resource, and within it by tenant index.
    rows: BTreeMap<Resource, Vec<DemandEstimate>>,
}

impl DemandTracker {
    pub(crate) fn record(
        &mut self,
        now: Moment,
        key: (Resource, TenantIndex),
        demand: u32,
        span: Duration,
        tenants: usize,
    ) {
        let row = self.rows.entry(key.0).or_default();
        row.resize(tenants, DemandEstimate::default());
        if let Some(estimate) = row.get_mut(usize::from(key.1 .0)) {
            estimate.record(now, demand, span);
        }
    }

    /// The demand of each tenant for a resource at `now`, before [`quantize`].
    pub(crate) fn row(&self, now: Moment, resource: Resource, span: Duration, tenants: usize) -> Vec<u32> {
        let row = self.rows.get(&resource);
        let level = |index| {
            row.and_then(|row| row.get(index)).map_or(0.0, |old: &DemandEstimate| old.decayed(now, span))
        };
        (0..tenants).map(|index| level(index).ceil() as u32).collect()
    }

    /// Drops the estimates of resources that are not known.
    pub(crate) fn retain(&mut self, is_known: impl Fn(Resource) -> bool) {
        self.rows.retain(|resource, _| is_known(*resource));
    }

    /// Moves each tenant's estimate to its new index. Where two tenants get the same index, the greater estimate stays.
    pub(crate) fn remap_tenants(&mut self, new_indexes: &[usize]) {
        for row in self.rows.values_mut() {
            let before = std::mem::take(row);
            for (estimate, &index) in before.into_iter().zip(new_indexes) {
                row.resize(row.len().max(index + 1), DemandEstimate::default());
                if estimate.level >= row[index].level {
                    row[index] = estimate;
                }
            }
        }
    }
}

/// Rounds a demand up to the next step, so that similar demands are reported as equal and leave some headroom. A step
/// is an eighth of the next lower power of two; each degree of `coarseness` doubles its width, up to powers of two.
pub(crate) fn quantize(demand: u32, coarseness: u32) -> u32 {
    if demand <= MAX_EXACT_DEMAND >> coarseness {
        return demand;
    }
    let unit = 1 << demand.ilog2().saturating_sub(3u32.saturating_sub(coarseness));
    demand.div_ceil(unit) * unit
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn demand_rises_at_once_and_decays_within_two_spans() {
        let (span, key) = (Duration::from_secs(1), (Resource(1), TenantIndex(1)));
        let (mut demand, at) = (DemandTracker::default(), Duration::from_secs(10));
        demand.record(at, key, 40, span, 2);
        assert_eq!(demand.row(at + span, key.0, span, 2), [0, 40]);
        assert_eq!(demand.row(at + span * 3 / 2, key.0, span, 2), [0, 20]);
        assert_eq!(demand.row(at + span * 2, key.0, span, 2), [0, 0]);
        demand.record(at + span / 2, key, 0, span, 2);
        assert_eq!(demand.row(at + span / 2, key.0, span, 2), [0, 20]);
        demand.record(at + span, key, 31, span, 2);
        assert_eq!(demand.row(at + span, key.0, span, 2), [0, 31]);
    }

    #[test]
    fn quantized_demand_is_never_below_the_demand() {
        let quantized = |coarseness| [0, 1, 3, 8, 9, 17, 31, 1000].map(|demand| quantize(demand, coarseness));
        assert_eq!(quantized(0), [0, 1, 3, 8, 9, 18, 32, 1024]);
        assert_eq!(quantized(3), [0, 1, 4, 8, 16, 32, 32, 1024]);
    }
}

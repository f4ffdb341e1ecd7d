//! One node's entry in the grantor's ledger: its demand, its targets and its grants in force.

use hallpin_membership::names::{Moment, NodeIncarnation};

use super::slots::SlotSources;
use crate::quota_page::Row;

/// Most grants stored separately for a node; further ones are merged into the last, with the maximum of size and
/// expiry.
const MAX_GRANTS: usize = 8;

#[derive(Clone, Debug)]
pub(crate) struct Account {
    /// The node and the newest incarnation that reported.
    pub(crate) life: NodeIncarnation,
    /// When the node last reported its demand.
    pub(crate) last_report_at: Moment,
    /// Requests of the node in this round.
    pub(crate) requests: u32,
    /// Demand by slot.
    pub(crate) demands: Vec<Row>,
    /// By slot: the node's share in the last division, beyond its safe minimum.
    pub(crate) targets: Vec<Row>,
    /// By slot: the maximum over all grants in force, as it is not known which of them the node uses.
    pub(crate) reserved: Vec<u32>,
    active_grants: Vec<ActiveGrant>,
}

#[derive(Clone, Debug)]
struct ActiveGrant {
    /// Latest time at which the node may still use the grant, by the grantor's clock.
    expires_at: Moment,
    /// Granted amount by slot, summed over tenants.
    counts: Vec<u32>,
}

impl Account {
    pub(crate) fn new(life: NodeIncarnation, now: Moment, slots: usize) -> Self {
        let (demands, targets) = (vec![Row::new(); slots], vec![Row::new(); slots]);
        Account {
            life,
            last_report_at: now,
            requests: 0,
            demands,
            targets,
            reserved: vec![0; slots],
            active_grants: Vec::new(),
        }
    }

    /// Whether any grant may still be in force.
    pub(crate) fn has_active_grants(&self) -> bool {
        !self.active_grants.is_empty()
    }

    /// Drops grants that are certainly over.
    pub(crate) fn expire(&mut self, now: Moment) {
        let before = self.active_grants.len();
        self.active_grants.retain(|grant| now < grant.expires_at);
        if self.active_grants.len() < before {
            self.recompute_reserved();
        }
    }

    /// Records a grant of `counts` by slot until `expires_at`, by the grantor's clock.
    pub(crate) fn record_grant(&mut self, expires_at: Moment, counts: Vec<u32>) {
        if self.active_grants.len() < MAX_GRANTS {
            self.active_grants.push(ActiveGrant { expires_at, counts });
        } else if let Some(last) = self.active_grants.last_mut() {
            last.expires_at = last.expires_at.max(expires_at);
            last.counts.iter_mut().zip(counts).for_each(|(count, more)| *count = (*count).max(more));
        }
        self.recompute_reserved();
    }

    /// Whether every grant gives the same amount for both slots, or zero where there is no other slot.
    pub(crate) fn has_equal_grants(&self, index: usize, other: Option<usize>) -> bool {
        self.active_grants
            .iter()
            .all(|grant| grant.counts[index] == other.map_or(0, |other| grant.counts[other]))
    }

    /// Moves all values to a new slot order; `sources` lists the old slots of each new one.
    pub(crate) fn remap_slots(&mut self, sources: &SlotSources) {
        let first_source =
            |rows: &[Row], from: &Vec<usize>| from.first().map_or(Row::new(), |&index| rows[index].clone());
        self.demands = sources.iter().map(|from| first_source(&self.demands, from)).collect();
        self.targets = sources.iter().map(|from| first_source(&self.targets, from)).collect();
        for grant in &mut self.active_grants {
            let highest_count =
                |from: &Vec<usize>| from.iter().map(|&index| grant.counts[index]).max().unwrap_or(0);
            grant.counts = sources.iter().map(highest_count).collect();
        }
        self.recompute_reserved();
        self.reserved.resize(sources.len(), 0);
    }

    /// Moves tenants to the indexes that new contracts give them.
    pub(crate) fn remap_tenants(&mut self, new_indexes: &[usize], tenants: usize) {
        for row in self.demands.iter_mut().chain(&mut self.targets) {
            let mut remapped = vec![0; tenants];
            for (count, &new_index) in row.iter().zip(new_indexes) {
                remapped[new_index] += count;
            }
            *row = remapped;
        }
    }

    fn recompute_reserved(&mut self) {
        let slots = self.demands.len();
        let highest_count =
            |index: usize| self.active_grants.iter().map(|grant| grant.counts[index]).max().unwrap_or(0);
        self.reserved = (0..slots).map(highest_count).collect();
    }
}

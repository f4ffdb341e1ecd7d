//! What this node may use: its safe minimums, divided by its own tenants' demand, plus its leases.

use std::collections::BTreeMap;
use std::time::Duration;

use hallpin_membership::names::Moment;

use crate::config::BudgetsConfig;
use crate::contracts::Contracts;
use crate::demand::DemandTracker;
use crate::leases::Leases;
use crate::names::{Allotment, Resource, TenantIndex};
use crate::quota_page::Row;

/// One node's settings, capacities, demand and leases.
#[derive(Clone, Debug)]
pub(crate) struct NodeQuota {
    pub(crate) config: BudgetsConfig,
    pub(crate) contracts: Contracts,
    pub(crate) capacities: BTreeMap<Resource, u32>,
    pub(crate) demands: DemandTracker,
    pub(crate) leases: Leases,
}

impl NodeQuota {
    /// The demand of all tenants of this node at `now`, by resource.
    pub(crate) fn current_demands(&self, now: Moment) -> BTreeMap<Resource, Row> {
        self.capacities.keys().map(|resource| (*resource, self.row(now, *resource))).collect()
    }

    /// What the tenant may use at `now`; nothing for an unknown resource or tenant.
    pub(crate) fn allotment(&self, now: Moment, resource: Resource, tenant: TenantIndex) -> Allotment {
        let index = usize::from(tenant.0);
        let Some(&capacity) =
            self.capacities.get(&resource).filter(|_| index < self.contracts.tenants().len())
        else {
            return Allotment::default();
        };
        let demands = self.row(now, resource);
        let safe_minimum = self.config.safe_minimum(capacity);
        let own_minimum = self.contracts.divide(safe_minimum, &demands);
        let (leased_row, expires_at) = self.leased(now, resource, capacity, &demands);
        let max_uses = own_minimum[index] + leased_row[index];
        let min_interval =
            (max_uses == 0 && safe_minimum > 0).then(|| self.min_interval(safe_minimum, index, &demands));
        Allotment {
            max_uses,
            node_max_uses: safe_minimum + leased_row.iter().sum::<u32>(),
            expires_at,
            min_interval,
        }
    }

    /// The demand of this node's tenants for a resource.
    fn row(&self, now: Moment, resource: Resource) -> Row {
        self.demands.row(now, resource, self.config.period(), self.contracts.tenants().len())
    }

    /// The leased quota of a resource by tenant, with its expiry. A lease that was granted under other contracts is
    /// divided again by the contracts in force here.
    fn leased(
        &self,
        now: Moment,
        resource: Resource,
        capacity: u32,
        demands: &[u32],
    ) -> (Row, Option<Moment>) {
        let Some((lease, row)) = self.leases.find(now, resource, capacity) else {
            return (vec![0; self.contracts.tenants().len()], None);
        };
        let total = row.iter().sum::<u32>();
        let same_contracts =
            lease.contracts == self.contracts.digest() && row.len() == self.contracts.tenants().len();
        let row = if same_contracts { row.clone() } else { self.contracts.divide(total, demands) };
        (row, (total > 0).then_some(lease.expires_at))
    }

    /// Interval at which a tenant may begin a use where its share of the safe minimum is below one: the report period
    /// divided by that fair share, as if each use lasted one period.
    fn min_interval(&self, safe_minimum: u32, index: usize, demands: &[u32]) -> Duration {
        let tenants = self.contracts.tenants();
        let has_demand =
            |other: usize| other == index || demands.get(other).is_some_and(|demand| *demand > 0);
        let shares: u32 =
            (0..tenants.len()).filter(|other| has_demand(*other)).map(|other| tenants[other].share).sum();
        let fair_share = f64::from(safe_minimum) * f64::from(tenants[index].share) / f64::from(shares);
        self.config.period().div_f64(fair_share)
    }
}

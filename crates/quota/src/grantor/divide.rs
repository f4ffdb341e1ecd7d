//! Computes targets: divides each resource among tenants by share, then each tenant's quota among nodes by demand.

use std::collections::BTreeMap;

use hallpin_membership::names::NodeId;

use super::account::Account;
use super::slots::{Slot, Slots};
use crate::config::BudgetsConfig;
use crate::contracts::Contracts;
use crate::max_min::{max_min, Claim};
use crate::quota_page::Row;

/// Sets the targets of all nodes. A resource whose demand equals that of its class at every node gets the class's
/// result.
pub(crate) fn divide(
    config: &BudgetsConfig,
    contracts: &Contracts,
    slots: &mut Slots,
    accounts: &mut BTreeMap<NodeId, Account>,
    rotation: usize,
) {
    let mut accounts: Vec<&mut Account> = accounts.values_mut().collect();
    for index in 0..slots.len() {
        let slot = slots.at(index);
        let equal_class = slots.class_index(slot).filter(|&class| {
            class < index && accounts.iter().all(|account| account.demands[class] == account.demands[index])
        });
        if let Some(class) = equal_class {
            accounts.iter_mut().for_each(|account| account.targets[index] = account.targets[class].clone());
            slots.set_satisfied(index, slots.at(class).satisfied.clone());
            continue;
        }
        let demands: Vec<&Row> = accounts.iter().map(|account| &account.demands[index]).collect();
        let (rows, satisfied) = divide_slot(config, contracts, slot, &demands, rotation);
        slots.set_satisfied(index, satisfied);
        accounts.iter_mut().zip(rows).for_each(|(account, row)| account.targets[index] = row);
    }
}

/// Divides one slot's leasable amount. Returns each node's targets by tenant, beyond its safe minimum, and for each
/// tenant whether its demand is met.
fn divide_slot(
    config: &BudgetsConfig,
    contracts: &Contracts,
    slot: &Slot,
    demands: &[&Row],
    rotation: usize,
) -> (Vec<Row>, Vec<bool>) {
    let tenants = contracts.tenants();
    let safe_minimum = config.safe_minimum(slot.capacity);
    // How each node divides its own safe minimum among its tenants.
    let minimum_shares: Vec<Row> = demands.iter().map(|row| contracts.divide(safe_minimum, row)).collect();
    let demand = |node: usize, tenant: usize| demands[node].get(tenant).copied().unwrap_or(0);
    let claims = |tenant: usize| -> Vec<Claim> {
        let nodes = 0..demands.len();
        nodes
            .map(|node| Claim {
                weight: 1,
                floor: minimum_shares[node][tenant],
                demand: demand(node, tenant),
            })
            .collect()
    };
    let tenant_claims: Vec<Claim> = (0..tenants.len())
        .map(|tenant| {
            let claims = claims(tenant);
            let floor = claims.iter().map(|claim| claim.floor.min(claim.demand)).sum();
            let total_demand = claims.iter().map(|claim| claim.demand).sum();
            Claim { weight: tenants[tenant].share, floor, demand: total_demand }
        })
        .collect();
    let amounts = max_min(slot.leasable, &tenant_claims, rotation);
    let satisfied = tenant_claims
        .iter()
        .zip(&amounts)
        .map(|(claim, amount)| claim.floor + amount >= claim.demand)
        .collect();
    let mut rows = vec![vec![0; tenants.len()]; demands.len()];
    for (tenant, amount) in amounts.into_iter().enumerate() {
        for (node, count) in max_min(amount, &claims(tenant), rotation).into_iter().enumerate() {
            rows[node][tenant] = count;
        }
    }
    (rows, satisfied)
}

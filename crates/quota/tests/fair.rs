//! Fairness among tenants: shares hold under another tenant's overload, unused quota is lent out, and loans return
//! within a lease.

mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{SimulatedFleet, A, B};
use hallpin_quota::{Resource, TenantIndex};

const BOX: Resource = Resource(7);
const CAPACITY: u32 = 1200;
/// Shares of A and B are 2 to 1.
const SHARE_OF_B: u32 = CAPACITY / 3;
const LEASE_MS: u64 = 2000;

/// A fleet after four leases with the given total demand of A and B, spread evenly over the nodes.
fn settled(nodes: u16, a: u32, b: u32, seed: u64) -> SimulatedFleet {
    let mut fleet =
        SimulatedFleet::new(nodes, Duration::from_millis(LEASE_MS), BTreeMap::from([(BOX, CAPACITY)]), seed);
    fleet.loss_probability = 0.01;
    fleet.start_all();
    fleet.run(4 * LEASE_MS, |_, tenant| demand_per_node(nodes, tenant, a, b), |_| ());
    fleet
}

/// Demand of a tenant at each node if `a` and `b` are the total demands of A and B, spread evenly.
fn demand_per_node(nodes: u16, tenant: TenantIndex, a: u32, b: u32) -> u32 {
    [a, b, 0][usize::from(tenant.0)].div_ceil(nodes.into())
}

#[test]
fn an_eightfold_overload_takes_nothing_from_a_tenant_within_its_share() {
    for (nodes, seed) in [5, 15].into_iter().flat_map(|nodes| (0..10).map(move |seed| (nodes, seed))) {
        let mut fleet = settled(nodes, 600, SHARE_OF_B * 9 / 10, seed);
        let alone = fleet.tenant_max_uses(BOX, B);
        let (mut lowest, mut total_used, mut steps) = (u32::MAX, 0, 0);
        fleet.run(
            5 * LEASE_MS,
            |_, tenant| demand_per_node(nodes, tenant, 8 * 800, SHARE_OF_B * 9 / 10),
            |fleet| {
                lowest = lowest.min(fleet.tenant_max_uses(BOX, B));
                total_used += fleet.total_max_uses(BOX);
                steps += 1;
            },
        );
        let total_used = f64::from(total_used) / f64::from(steps) / f64::from(CAPACITY);
        println!("{nodes} nodes, seed {seed}: B had {alone} before, at least {lowest} under overload; {total_used} of the capacity allotted");
        assert!(lowest >= SHARE_OF_B * 9 / 10 && total_used >= 0.9, "{lowest} {total_used}");
    }
}

#[test]
fn unused_quota_is_lent_and_returns_within_a_lease() {
    for (nodes, seed) in [5, 15].into_iter().flat_map(|nodes| (0..10).map(move |seed| (nodes, seed))) {
        let mut fleet = settled(nodes, 8 * 800, 0, seed);
        let lent = fleet.tenant_max_uses(BOX, A);
        assert!(lent * 10 >= CAPACITY * 9, "{lent} lent of what B leaves unused");
        let (mut recovered_after, start) = (None, fleet.now);
        fleet.run(
            2 * LEASE_MS,
            |_, tenant| demand_per_node(nodes, tenant, 8 * 800, SHARE_OF_B * 9 / 10),
            |fleet| {
                let has_recovered = fleet.tenant_max_uses(BOX, B) >= SHARE_OF_B * 9 / 10;
                recovered_after =
                    recovered_after.filter(|_| has_recovered).or(has_recovered.then_some(fleet.now - start));
            },
        );
        let ms = recovered_after.expect("the quota never recovered") / fleet::NS_PER_MS;
        println!("{nodes} nodes, seed {seed}: recovered after {ms} ms");
        assert!(ms <= LEASE_MS, "{ms}");
    }
}

#[test]
fn the_node_with_all_the_demand_gets_the_quota_and_another_replaces_it_when_it_dies() {
    let mut fleet =
        SimulatedFleet::new(5, Duration::from_millis(LEASE_MS), BTreeMap::from([(BOX, CAPACITY)]), 3);
    fleet.start_all();
    let demand_of = |node: usize| move |at: usize, _| if at == node { 1000 } else { 20 };
    fleet.run(4 * LEASE_MS, demand_of(3), |_| ());
    let clock = fleet.nodes[3].clock(fleet.now);
    let allotted = fleet.nodes[3].budgets.allotment(clock, BOX, A).node_max_uses;
    assert!(allotted >= CAPACITY / 2, "{allotted}");
    fleet.nodes[3].down = true;
    fleet.refresh_views();
    fleet.run(2 * LEASE_MS, demand_of(1), |fleet| assert!(fleet.total_max_uses(BOX) <= CAPACITY));
    let clock = fleet.nodes[1].clock(fleet.now);
    assert!(fleet.nodes[1].budgets.allotment(clock, BOX, A).node_max_uses >= allotted * 9 / 10);
}

#[test]
fn allotments_recover_after_the_grantor_dies() {
    let mut fleet = settled(5, 8 * 800, 300, 4);
    let grantor = fleet.nodes[1].budgets.grantor().unwrap().0;
    fleet.nodes[usize::from(grantor.0)].down = true;
    fleet.refresh_views();
    let (mut lowest, mut recovered_after, start) = (u32::MAX, None, fleet.now);
    fleet.run(
        4 * LEASE_MS,
        |_, tenant| demand_per_node(5, tenant, 8 * 800, 300),
        |fleet| {
            lowest = lowest.min(fleet.total_max_uses(BOX));
            let has_recovered = fleet.total_max_uses(BOX) * 10 >= CAPACITY * 9;
            recovered_after =
                recovered_after.filter(|_| has_recovered).or(has_recovered.then_some(fleet.now - start));
        },
    );
    let ms = recovered_after.expect("the quota never recovered") / fleet::NS_PER_MS;
    println!("at least {lowest} allotted, nine tenths of the capacity again after {ms} ms");
    assert!(lowest >= CAPACITY / 5, "safe minimums do not end");
    assert!(ms <= 2 * LEASE_MS, "{ms}");
}

#[test]
fn changed_shares_and_removed_tenants_take_effect_under_full_demand() {
    let mut fleet = settled(5, 8 * 800, 8 * 800, 5);
    let before = (fleet.tenant_max_uses(BOX, A), fleet.tenant_max_uses(BOX, B));
    for node in &mut fleet.nodes {
        let clock = node.clock(fleet.now);
        node.budgets.set_contracts(clock, fleet::contracts(1, 2));
    }
    fleet.run(2 * LEASE_MS, |_, _| 2000, |fleet| assert!(fleet.total_max_uses(BOX) <= CAPACITY));
    let after = (fleet.tenant_max_uses(BOX, A), fleet.tenant_max_uses(BOX, B));
    println!("{before:?} at 2 to 1, {after:?} at 1 to 2");
    assert!(before.0 * 9 >= CAPACITY * 5 && after.1 * 9 >= CAPACITY * 5, "{before:?} {after:?}");
    let only_a = "version = 1\nrevision = 3\n[others]\nshare = 1\n[[tenants]]\nname = \"a\"\nshare = 9\n";
    let only_a = hallpin_quota::Contracts::parse(only_a).unwrap();
    assert_eq!(
        (only_a.tenant("b"), only_a.tenant("a")),
        (TenantIndex(1), A),
        "a removed tenant maps to `others`"
    );
    for node in &mut fleet.nodes {
        let clock = node.clock(fleet.now);
        node.budgets.set_contracts(clock, only_a.clone());
    }
    let mut lowest = u32::MAX;
    fleet.run(
        2 * LEASE_MS,
        |_, _| 2000,
        |fleet| {
            assert!(fleet.total_max_uses(BOX) <= CAPACITY);
            lowest = lowest.min(fleet.tenant_max_uses(BOX, A));
        },
    );
    assert!(lowest * 9 >= CAPACITY * 2, "{lowest}: a reload removes no tenant's quota");
    let (a, others) = (fleet.tenant_max_uses(BOX, A), fleet.tenant_max_uses(BOX, TenantIndex(1)));
    println!("{a} and {others} at 9 to 1");
    assert!(a * 10 >= CAPACITY * 8 && others * 20 >= CAPACITY, "{a} {others}");
}

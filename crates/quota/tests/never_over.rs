//! The sum of allotments at one true time never exceeds the capacity, whatever datagrams are lost, late or partitioned,
//! and whichever nodes are paused or restarted without state.

mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{SimulatedFleet, A, B, NS_PER_MS};
use hallpin_quota::{Resource, TenantIndex};
use rand::RngExt;

/// True clock drift in millionths; the settings allow for the larger of this and 20,000.
const DRIFTS: [u32; 3] = [10_000, 20_000, 200_000];

fn fleet(seed: u64) -> SimulatedFleet {
    let capacities = BTreeMap::from([(Resource(1), 24), (Resource(2), 24), (Resource(9), 61)]);
    let mut fleet = SimulatedFleet::new(3 + (seed % 5) as u16, Duration::from_secs(1), capacities, seed);
    let drift = DRIFTS[seed as usize / 5 % 3];
    fleet.true_drift_ppm = drift;
    fleet.config.drift_ppm = drift.max(20_000);
    fleet.loss_probability = (seed % 4) as f64 * 0.1;
    fleet.start_all();
    fleet
}

fn inject_fault(fleet: &mut SimulatedFleet) {
    let (node_count, node) = (fleet.nodes.len(), fleet.rng.random_range(0..fleet.nodes.len()));
    match fleet.rng.random_range(0..7) {
        0 => fleet.restart(node),
        1 => fleet.nodes[node].paused_until = fleet.now + fleet.rng.random_range(0..3_000) * NS_PER_MS,
        2 => fleet.partition_below = fleet.rng.random_range(0..node_count),
        3 => fleet.corrupt_view(node),
        4 => fleet.refresh_views(),
        5 => {
            let known_capacities: BTreeMap<Resource, u32> =
                fleet.capacities.clone().into_iter().filter(|_| fleet.rng.random_bool(0.7)).collect();
            let clock = fleet.nodes[node].clock(fleet.now);
            fleet.nodes[node].budgets.set_capacities(clock, &known_capacities);
        }
        _ => {
            let clock = fleet.nodes[node].clock(fleet.now);
            let share = fleet.rng.random_range(1..3);
            fleet.nodes[node].budgets.set_contracts(clock, fleet::contracts(share, 1));
        }
    }
}

fn set_random_demand(fleet: &mut SimulatedFleet) {
    let node = fleet.rng.random_range(0..fleet.nodes.len());
    let clock = fleet.nodes[node].clock(fleet.now);
    for resource in [1, 2, 9].map(Resource) {
        for tenant in [A, B, TenantIndex(2)] {
            let demand = fleet.rng.random_range(0..40);
            fleet.nodes[node].budgets.record_demand(clock, resource, tenant, demand);
        }
    }
}

/// Checks all allotments of this moment; returns the amount allotted of resource 9.
fn check_allotments(fleet: &SimulatedFleet, seed: u64) -> u64 {
    for (&resource, &capacity) in &fleet.capacities {
        let total_max_uses = fleet.total_max_uses(resource);
        assert!(
            total_max_uses <= capacity,
            "seed {seed}: {total_max_uses} allotted of a capacity of {capacity} at {} ns",
            fleet.now
        );
        for node in &fleet.nodes {
            let clock = node.clock(fleet.now);
            let allotment = |tenant| node.budgets.allotment(clock, resource, TenantIndex(tenant));
            assert!(
                (0..3).map(|tenant| allotment(tenant).max_uses).sum::<u32>() <= allotment(0).node_max_uses,
                "seed {seed}"
            );
        }
    }
    fleet.total_max_uses(Resource(9)).into()
}

#[test]
fn the_sum_of_allotments_never_exceeds_the_capacity() {
    let (mut allotted, mut possible) = (0, 0);
    for seed in 0..RUNS {
        let mut fleet = fleet(seed);
        while fleet.now < 8_000 * NS_PER_MS {
            fleet.late_probability = if fleet.now < 6_500 * NS_PER_MS { 0.1 } else { 0.0 };
            if fleet.rng.random_bool(0.2) {
                set_random_demand(&mut fleet);
            }
            if fleet.now < 6_500 * NS_PER_MS && fleet.rng.random_bool(0.02) {
                inject_fault(&mut fleet);
            }
            fleet.step();
            allotted += check_allotments(&fleet, seed);
            possible += 61;
        }
    }
    println!("{RUNS} runs, {} of the capacity allotted", allotted as f64 / possible as f64);
    assert!(allotted * 3 > possible, "too little was granted to exercise the invariant");
}

/// Fewer runs in debug builds, which are slower.
const RUNS: u64 = if cfg!(debug_assertions) { 60 } else { 600 };

/// Three nodes, of which only those marked know box 9; [`run_with_demand`] has the third demand all of boxes 1 to 3.
fn fleet_with_different_lists(knows_box_nine: [bool; 3], seed: u64) -> SimulatedFleet {
    let capacities: BTreeMap<Resource, u32> = [1, 2, 3, 9].map(|id| (Resource(id), 24)).into();
    let mut fleet = SimulatedFleet::new(3, Duration::from_secs(1), capacities, seed);
    fleet.start_all();
    for (node, knows_box_nine) in knows_box_nine.into_iter().enumerate() {
        set_list(&mut fleet, node, knows_box_nine);
    }
    fleet
}

fn set_list(fleet: &mut SimulatedFleet, node: usize, lists_box_nine: bool) {
    let clock = fleet.nodes[node].clock(fleet.now);
    let known_capacities: BTreeMap<Resource, u32> = fleet
        .capacities
        .clone()
        .into_iter()
        .filter(|(resource, _)| lists_box_nine || resource.0 != 9)
        .collect();
    fleet.nodes[node].budgets.set_capacities(clock, &known_capacities);
}

fn run_with_demand(fleet: &mut SimulatedFleet, ms: u64, seed: u64, demand_for_nine: impl Fn(usize) -> u32) {
    let until = fleet.now + ms * NS_PER_MS;
    while fleet.now < until {
        for node in 0..3 {
            let clock = fleet.nodes[node].clock(fleet.now);
            for resource in [1, 2, 3, 9].map(Resource) {
                let demand = if resource.0 == 9 { demand_for_nine(node) } else { 40 * u32::from(node == 2) };
                fleet.nodes[node].budgets.record_demand(clock, resource, A, demand);
            }
        }
        fleet.step();
        check_allotments(fleet, seed);
    }
}

#[test]
fn a_box_that_the_grantor_learns_of_late_counts_as_lent_like_its_class() {
    for seed in 0..20 {
        let mut fleet = fleet_with_different_lists([false, true, true], seed);
        run_with_demand(&mut fleet, 4_000, seed, |node| 40 * u32::from(node == 2));
        assert!(
            fleet.total_max_uses(Resource(9)) >= 20,
            "a box that the grantor does not list is lent like its class"
        );
        // The node with the leases on box 9 is partitioned and keeps them.
        fleet.partition_below = 2;
        set_list(&mut fleet, 0, true);
        run_with_demand(&mut fleet, 1_500, seed, |node| 40 * u32::from(node == 1));
    }
}

#[test]
fn a_box_removed_only_at_the_grantor_stays_in_its_ledger() {
    for seed in 0..20 {
        let mut fleet = fleet_with_different_lists([true; 3], seed);
        run_with_demand(&mut fleet, 4_000, seed, |node| 40 * u32::from(node == 1));
        set_list(&mut fleet, 0, false);
        run_with_demand(&mut fleet, 3_000, seed, |node| 40 * u32::from(node == 1));
    }
}

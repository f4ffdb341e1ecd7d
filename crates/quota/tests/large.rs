//! 300 nodes and 200 boxes: datagrams per second, and utilization of the capacities.

mod fleet;

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{SimulatedFleet, A};
use hallpin_quota::Resource;
use rand::RngExt;

const NODES: u16 = 300;

#[test]
fn at_300_nodes_and_200_boxes_datagrams_are_few_and_capacities_are_utilized() {
    let boxes = (0..200u64).map(|index| (Resource(index.wrapping_mul(0x9e37_79b9_7f4a_7c15)), 1200));
    let capacities: BTreeMap<Resource, u32> = boxes.collect();
    let hot: Vec<Resource> = capacities.keys().copied().take(10).collect();
    let mut fleet = SimulatedFleet::new(NODES, Duration::from_secs(4), capacities.clone(), 1);
    fleet.loss_probability = 0.01;
    fleet.start_all();
    let mut utilization = Vec::new();
    let mut before = Vec::new();
    while fleet.now < 12_000 * fleet::NS_PER_MS {
        if fleet.now == 8_000 * fleet::NS_PER_MS {
            before = fleet.sent.clone();
        }
        if fleet.now.is_multiple_of(500 * fleet::NS_PER_MS) {
            // Each node has a demand of 2 and 1 for every box, and more for ten hot boxes.
            fleet.set_demands(|_, tenant| if tenant == A { 2 } else { 1 });
            for node in 0..usize::from(NODES) {
                let clock = fleet.nodes[node].clock(fleet.now);
                for &resource in &hot {
                    let demand = fleet.rng.random_range(4..9);
                    fleet.nodes[node].budgets.record_demand(clock, resource, A, demand);
                }
            }
        }
        fleet.step();
        if fleet.now >= 8_000 * fleet::NS_PER_MS && fleet.now.is_multiple_of(500 * fleet::NS_PER_MS) {
            for &resource in [hot[0], hot[9]].iter().chain(capacities.keys().nth(100)) {
                let total_max_uses = fleet.total_max_uses(resource);
                assert!(total_max_uses <= 1200, "{total_max_uses}");
                if hot.contains(&resource) {
                    utilization.push(f64::from(total_max_uses) / 1200.0);
                }
            }
        }
    }
    let sent = fleet.sent.iter().zip(&before).map(|(after, before)| (after.0 - before.0, after.1 - before.1));
    let mut rates: Vec<(u64, u64)> = sent.map(|(count, bytes)| (count / 4, bytes / 4)).collect();
    rates.sort_unstable();
    let total = rates.iter().fold((0, 0), |sum, rate| (sum.0 + rate.0, sum.1 + rate.1));
    let lowest = utilization.iter().copied().fold(1.0, f64::min);
    let mean = utilization.iter().sum::<f64>() / utilization.len() as f64;
    println!(
        "a node (median) {:?}, the grantor {:?}, all {total:?} (datagrams, payload bytes) per second",
        rates[150], rates[299]
    );
    println!("allotted at hot boxes: {mean} of the capacity, at least {lowest}");
    assert!(rates[299].0 <= 1000 && rates[150].0 <= 10 && mean >= 0.9, "{rates:?} {mean}");
}

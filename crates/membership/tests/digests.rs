//! Reports about boxes: counted once, expired by the receiver's clock, separated by incarnation, and never mixed with
//! the receiver's own observations.

mod common;

use common::{config, fact, ms, node_incarnation, World};
use hallpin_membership::machine::Output;
use hallpin_membership::names::NodeId;
use hallpin_membership::{BoxEvidence, BoxIncarnation, Peers};

const BOX: BoxIncarnation = BoxIncarnation { id: 0xb0c5, started_unix_ms: 1000 };

/// Returns the payloads that a node sends to node 0 while it observes a box.
fn payloads(node: u16, incarnation: u64, facts: &[(u64, (u32, u32, u32))]) -> Vec<Vec<u8>> {
    let mut peers = Peers::new(config(node, incarnation, 4), 1, ms(0), &[]).unwrap();
    let mut payloads = Vec::new();
    for (at, (answered, silent, in_flight)) in facts {
        peers.observe(ms(*at), fact(BOX.id, BOX.started_unix_ms, *answered, *silent, *in_flight));
        for step in 0..90 {
            peers.tick(ms(at + step * 10));
        }
        payloads.extend(peers.take_outputs().into_iter().filter_map(|output| match output {
            Output::Send { to: NodeId(0), payload } => Some(payload),
            _ => None,
        }));
    }
    assert!(payloads.len() >= 2 * facts.len(), "{}", payloads.len());
    payloads
}

fn evidence(silent: u16, answering: u16, in_flight: u32) -> Vec<BoxEvidence> {
    vec![BoxEvidence { of: BOX, silent, answering, in_flight }]
}

#[test]
fn a_report_counts_once_however_often_and_in_whatever_order_it_arrives() {
    let payloads = payloads(1, 1, &[(0, (4, 0, 2)), (1000, (0, 0, 6)), (3100, (0, 3, 7))]);
    let orders: [Vec<usize>; 4] = [
        (0..payloads.len()).collect(),
        (0..payloads.len()).rev().collect(),
        (0..payloads.len()).chain(0..payloads.len()).chain(0..payloads.len()).collect(),
        (0..payloads.len()).map(|i| (i * 7 + 3) % payloads.len()).chain([payloads.len() - 1, 0]).collect(),
    ];
    for order in orders {
        let mut peers = Peers::new(config(0, 1, 4), 1, ms(0), &[]).unwrap();
        order.iter().for_each(|at| peers.receive(ms(10), node_incarnation(1, 1), &payloads[*at]).unwrap());
        assert_eq!(peers.evidence(ms(10)), evidence(1, 0, 7), "order {order:?}");
    }
}

#[test]
fn reports_expire_by_the_receivers_clock_and_own_observations_are_not_counted() {
    let mut peers = Peers::new(config(0, 1, 4), 1, ms(0), &[]).unwrap();
    for node in 1..4 {
        let payload = &payloads(node, 1, &[(0, (0, 2, 1))])[0];
        peers.receive(ms(5000), node_incarnation(node, 1), payload).unwrap();
    }
    peers.observe(ms(5000), fact(BOX.id, BOX.started_unix_ms, 9, 0, 50));
    assert_eq!(peers.evidence(ms(5000)), evidence(3, 0, 3));
    assert_eq!(peers.evidence(ms(6500)), evidence(3, 0, 3));
    assert_eq!(peers.evidence(ms(7001)), []);
}

#[test]
fn reports_of_earlier_incarnations_of_a_reporter_or_a_box_are_dropped() {
    let mut peers = Peers::new(config(0, 1, 4), 1, ms(0), &[]).unwrap();
    let (first, second) = (payloads(1, 1, &[(0, (0, 2, 1))]), payloads(1, 2, &[(0, (5, 0, 3))]));
    peers.receive(ms(0), node_incarnation(1, 1), &first[0]).unwrap();
    peers.receive(ms(0), node_incarnation(1, 2), &second[0]).unwrap();
    assert!(peers.receive(ms(0), node_incarnation(1, 1), &first[1]).is_err());
    assert_eq!(peers.evidence(ms(0)), evidence(0, 1, 3));
    peers.observe(ms(0), fact(BOX.id, BOX.started_unix_ms + 1, 1, 0, 0));
    assert_eq!(peers.evidence(ms(0)), [], "evidence of an earlier incarnation of the box");
}

#[test]
fn one_peers_claim_of_a_newer_incarnation_does_not_void_the_others_reports() {
    let mut world = World::settled(5, 4);
    for node in 1..4 {
        world.call(node, |peers, now| peers.observe(now, fact(BOX.id, BOX.started_unix_ms, 0, 3, 1)));
    }
    world.call(4, |peers, now| peers.observe(now, fact(BOX.id, u64::MAX, 1, 0, 0)));
    world.run(ms(700));
    let merged = world.call(0, |peers, now| peers.evidence(now));
    let of_box =
        |of: BoxIncarnation| merged.iter().find(|evidence| evidence.of == of).map(|found| found.silent);
    assert_eq!(of_box(BOX), Some(3), "{merged:?}");
}

#[test]
fn a_change_reaches_all_nodes_soon() {
    for (nodes, within) in [(5u16, 400), (15, 1000), (30, 2000)] {
        let mut worst = ms(0);
        for seed in 0..5 {
            let mut world = World::settled(nodes, seed);
            (1..4).for_each(|node| {
                world.call(node, |peers, now| peers.observe(now, fact(BOX.id, 1000, 0, 3, 1)));
            });
            let silent = |w: &World, at: u16| {
                let node = &w.nodes[&at].peers;
                node.evidence(w.now - w.started_at(at)).first().map_or(0, |found| found.silent)
            };
            let all =
                |w: &World| (0..nodes).all(|at| silent(w, at) >= if (1..4).contains(&at) { 1 } else { 2 });
            worst = worst.max(world.until(ms(2000), all).expect("the silence reports did not reach all"));
        }
        println!("two of three silence reports known to all {nodes} nodes: worst {worst:?}");
        assert!(worst <= ms(within));
    }
}

//! Owners of keys, and overflow from an owner at its cap.

use std::collections::{BTreeMap, BTreeSet};

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

fn owners(entries: Vec<EndpointEntry>, seed: u64) -> Vec<ServerId> {
    let mut node = Node::with(settings(), seed, entries);
    (0..2000).map(|n| node.owner(n, n * 7919)).collect()
}

#[test]
fn nodes_with_different_seeds_and_list_orders_agree_on_every_owner() {
    let mut backwards = fleet(10);
    backwards.reverse();
    assert_eq!(owners(fleet(10), 1), owners(backwards, 2));
}

#[test]
fn a_removed_server_moves_its_own_keys_only() {
    let (before, after) = (owners(fleet(10), 1), owners(fleet(9), 1));
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a).count();
    assert!(moved > 0);
    assert!(before.iter().zip(&after).all(|(b, a)| b == a || *b == id(10)));
    assert!(after.iter().all(|a| *a != id(10)));
}

#[test]
fn the_keys_of_a_removed_server_spread_over_the_others() {
    let (before, after) = (owners(fleet(10), 1), owners(fleet(9), 1));
    let new_owners: BTreeSet<_> =
        before.iter().zip(after).filter(|(b, _)| **b == id(10)).map(|(_, a)| a).collect();
    assert!(new_owners.len() >= 7, "{} new owners", new_owners.len());
}

#[test]
fn keys_are_spread_evenly_and_by_weight() {
    let mut counts: BTreeMap<ServerId, usize> = BTreeMap::new();
    owners(fleet(10), 1).into_iter().for_each(|h| *counts.entry(h).or_default() += 1);
    assert!(counts.len() == 10 && counts.values().all(|&c| (100..340).contains(&c)), "{counts:?}");

    let mut entries = fleet(10);
    entries[0].weight = 300.0;
    entries[1..].iter_mut().for_each(|e| e.weight = 100.0);
    let mut node = Node::with(Settings { weights: WeightSource::Nominal, ..settings() }, 1, entries);
    let heavy = (0..2000).filter(|&n| node.owner(n, n * 7919) == id(1)).count();
    assert!((380..620).contains(&heavy), "a quarter of 2000 expected, got {heavy}");
}

#[test]
fn an_owner_at_its_cap_overflows_by_key_to_many_servers_within_their_caps() {
    let mut node = Node::with(settings(), 1, fleet(10));
    let owner = node.owner(1, 1);
    let mut load: BTreeMap<ServerId, usize> = BTreeMap::new();
    let mut overflow = BTreeSet::new();
    // Keys of one owner, each asked for once and never answered.
    let keys: Vec<u64> = (2..4000).filter(|&k| node.owner(k, k) == owner).take(28).collect();
    for (n, key) in keys.into_iter().enumerate() {
        for server in sent(&node.request(read(10_000 + n as u64, key))) {
            *load.entry(server.clone()).or_default() += 1;
            if server != owner {
                overflow.insert(server);
            }
        }
    }
    // max(floor, ceil((1 + 0.7) * 28 / 10)) with a floor of 8 over two nodes.
    assert_eq!(load[&owner], 5, "{load:?}");
    assert!(load.values().all(|&n| n <= 5), "{load:?}");
    assert!(overflow.len() >= 5, "overflow to {} servers", overflow.len());
}

#[test]
fn a_hot_key_overflows_before_its_owner_is_at_its_cap() {
    let mut node = Node::with(settings(), 1, fleet(10));
    let owner = node.owner(1, 42);
    let servers: Vec<_> = (2..12).flat_map(|n| sent(&node.request(read(n, 42)))).collect();
    let at_owner = servers.iter().filter(|s| **s == owner).count();
    assert!(at_owner <= 3 && servers.len() > at_owner, "{at_owner} of {}", servers.len());
}

/// Separate owners in each zone would mean as many copies of a key, and as many fetches from the origin.
#[test]
fn a_key_has_the_same_owner_for_the_nodes_of_all_zones() {
    let settings_for_zone = |zone: &str| {
        let json = format!(
            r#"{{"balancers":2,"locality":"{zone}","membership-mode":"pushed","prices":{{"cross-zone":0.1}},
            "grades":[{{"name":"read","effect":"free","hard-limit-s":2.0}}],"limits":{{"max-attempts":3}},
            "guarantees":{{"grace-to-answer-s":0.02,"ask-every-s":10,"cold-from":0.3,"ramp-time-s":8,
                "drain-grace-s":0.5,"fall-multiple":3,"fall-s":1}}}}"#
        );
        Settings::from_json(&serde_json::from_str(&json).expect("JSON")).expect("settings")
    };
    let owners = |zone| -> Vec<ServerId> {
        let mut node = Node::with(settings_for_zone(zone), 1, fleet(12));
        (0..60).map(|n| node.owner(n, n * 7919)).collect()
    };
    assert_eq!(owners("here"), owners("there"));
}

#[test]
fn servers_of_a_slow_kind_own_fewer_keys_unless_weights_are_nominal() {
    let share_of_slow = |weights| {
        let slow = |n: u64| n.is_multiple_of(2);
        let kind = |n| EndpointEntry { kind: if slow(n) { "b" } else { "a" }.into(), ..entry(n) };
        let mut node = Node::with(Settings { weights, ..settings() }, 1, (1..=12).map(kind).collect());
        for n in 0..200 {
            let server = sent(&node.request(read(n, n * 7919)));
            let is_slow = (1..=12).filter(|&n| slow(n)).any(|n| server.contains(&id(n)));
            node.now += if is_slow { 0.12 } else { 0.03 };
            node.serve(n);
        }
        node.advance(0.5);
        let owners: Vec<_> = (1000..1400).map(|n| node.owner(n, n * 7919)).collect();
        owners.iter().filter(|s| (1..=12).filter(|&n| slow(n)).any(|n| **s == id(n))).count()
    };
    let (learnt, nominal) = (share_of_slow(WeightSource::Off), share_of_slow(WeightSource::Nominal));
    assert!(learnt < 140 && nominal > 160, "{learnt} and {nominal} of 400");
}

#[test]
fn a_key_requested_again_at_once_starts_at_the_next_probe() {
    let mut node = Node::with(settings(), 1, fleet(16));
    let owner = node.owner(1, 42);
    node.flush_recent_keys();
    let servers: BTreeSet<ServerId> = (2..5)
        .flat_map(|n| {
            let servers = sent(&node.request(read(n, 42)));
            node.serve(n);
            servers
        })
        .collect();
    assert!(servers.contains(&owner) && servers.len() >= 2, "{servers:?}");
}

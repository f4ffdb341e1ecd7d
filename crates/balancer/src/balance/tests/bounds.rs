//! Bounds of the tables and behaviour at each bound. docs/hardening-review.md lists the bounds.

use super::common::{self, entry, id, read, sent, settings};
use super::{audit, end, fleet, out, settled};
use crate::balance::dispatch::HOLD_TIME;
use crate::balance::key_locations::MAX_LOCATIONS;
use crate::balance::server::Server;
use crate::balance::{SWEEP, TICK};
use crate::interface::*;

#[test]
fn places_are_forgotten_oldest_first_at_their_bound() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let most = MAX_LOCATIONS as u64;
    for n in 1..=2 * most {
        node.now += 1e-5;
        node.request(read(n, n));
        end(&mut node, n, 0, Status::Success, true);
        node.sends.clear();
    }
    audit(&node);
    let state = &node.balancer.0;
    let known = |key: u64| (1..=8).any(|n| state.is_cached(&(Key(key), id(n))));
    assert!(known(2 * most) && known(2 * most - most / 2 + 1) && !known(1) && !known(most - 1));
}

/// In a cold fleet no server takes overflow, so while the owner of a key is at its cap all further probes
/// fail.
#[test]
fn behind_the_last_jump_a_request_is_held_and_then_refused_with_advice() {
    let mut limits = settings().limits;
    limits.max_retry_after = 1.0;
    let cold = fleet(8).into_iter().map(|e| RosterEntry { started: Some(100.0), ..e }).collect();
    let mut node = common::Node::with(Settings { limits, ..settings() }, 1, cold);
    let keys: Vec<u64> =
        (1..=800).filter(|key| node.home_if_sent(1000 + key, *key) == Some(id(3))).take(6).collect();
    node.forget();
    let goes: Vec<bool> = keys.iter().map(|k| !sent(&node.request(read(*k, *k))).is_empty()).collect();
    assert_eq!(goes, [true, true, true, true, false, false], "the floor of the cap");
    // Capacity frees: the first held request is sent; the other stays held and is rejected in time, with
    // `retry_after`.
    let served = end(&mut node, keys[0], 0, Status::Success, true);
    assert_eq!(sent(&served), [id(3)]);
    assert_eq!(out(&node, keys[4]), [0]);
    let refusals = node.pass(settings().classes[0].aim * HOLD_TIME + TICK);
    let advice = refusals.iter().find_map(|a| match a {
        Action::Refuse { request, retry_after } if request.0 == keys[5] => *retry_after,
        _ => None,
    });
    assert!(advice.is_some_and(|after| after > 0.0 && after <= 1.0), "{refusals:?}");
    for key in &keys[1..5] {
        end(&mut node, *key, 0, Status::Success, true);
    }
    settled(&mut node);
}

#[test]
fn a_server_that_leaves_with_attempts_out_is_kept_until_they_end_and_no_longer() {
    let mut node = common::Node::with(settings(), 1, fleet(4));
    let (keys, home) = (1..=40, node.home(1000, 7));
    keys.for_each(|n| drop(node.request(read(n, 7 + n))));
    node.event(Event::Roster(RosterNews::Full(fleet(5).into_iter().filter(|e| e.server != home).collect())));
    audit(&node);
    // Listed again under the same id: its attempts in flight still count.
    node.event(Event::Roster(RosterNews::Full(fleet(5))));
    audit(&node);
    node.event(Event::Roster(RosterNews::Full(vec![])));
    for n in 1..=40 {
        end(&mut node, n, 0, Status::Success, true);
    }
    node.event(Event::Roster(RosterNews::Full(vec![])));
    settled(&mut node);
    let servers = &node.balancer.0.servers;
    assert_eq!((servers.len(), servers.point_count()), (0, 0));
}

#[test]
fn kinds_go_with_their_last_server_and_a_quick_one_that_left_slows_nobody() {
    let mut node = common::Node::with(settings(), 1, fleet(4));
    let of = |kind: &str, n| RosterEntry { kind: kind.into(), ..entry(n) };
    let mut request = 0;
    let mut ask = |node: &mut common::Node, took: Seconds| {
        for _ in 0..200 {
            request += 1;
            node.request(read(request, request));
            node.now += took;
            node.serve(request);
        }
    };
    for day in 0..50 {
        node.event(Event::Roster(RosterNews::Full(
            (1..=4).map(|n| of(&format!("quick-{day}"), n)).collect(),
        )));
        ask(&mut node, 0.001);
    }
    node.event(Event::Roster(RosterNews::Full((1..=4).map(|n| of("slow", n)).collect())));
    ask(&mut node, 0.1);
    node.pass(2.0 * SWEEP);
    audit(&node);
    let servers = &node.balancer.0.servers;
    assert_eq!(servers.kind_count(), 1);
    let all_active = |server: &Server| server.active_points() == server.points();
    assert!(
        servers.iter().all(|(_, server)| all_active(server)),
        "all of one kind, and each has all its points"
    );
}

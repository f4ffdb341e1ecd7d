//! Recovery after faults.

use super::common::{self, entry, id, read, settings};
use super::{audit, end, fleet, out, settled};
use crate::balance::retry_budget::RETRY_PRICE;
use crate::balance::{DUE_TIMER, SWEEP, TICK};
use crate::interface::*;

/// The probe queue contains each ejected server once, however often it is ejected and readmitted.
#[test]
fn a_server_that_comes_back_and_fails_again_is_counted_as_out_once() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let mut request = 0;
    for _ in 0..6 {
        for n in [1, 2] {
            let state = &mut node.balancer.0;
            state.now = node.now;
            state.eject(&id(n));
        }
        audit(&node);
        assert_eq!(node.balancer.members(), (8, 2));
        node.event(Event::Probed { server: id(1), status: Status::Success });
        node.event(Event::Probed { server: id(2), status: Status::Success });
        audit(&node);
        assert_eq!(node.balancer.members(), (8, 0));
        request += 1;
        node.request(read(request, request));
        node.serve(request);
    }
    settled(&mut node);
}

#[test]
fn keys_are_back_home_once_a_server_that_was_away_is_warm() {
    let ramp = settings().guarantees.ramp;
    let keys = |node: &mut common::Node, from: u64| -> Vec<ServerId> {
        (0..100).map(|key| node.home(from + key, key)).collect()
    };
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let before = keys(&mut node, 1);
    // Gone and back cold, drained and ready again; then, below, ejected and readmitted.
    let started = RosterEntry { started: Some(node.now), ..entry(3) };
    let drained = RosterEntry { state: ServerState::Draining, ..entry(3) };
    let absent = fleet(8).into_iter().filter(|e| e.server != id(3)).collect();
    for (n, news) in [RosterNews::Full(absent), RosterNews::Delta(vec![drained])].into_iter().enumerate() {
        node.event(Event::Roster(news));
        let away = keys(&mut node, 1000 * (n as u64 + 1));
        assert!(!away.contains(&id(3)) && away.iter().zip(&before).all(|(a, b)| a == b || *b == id(3)));
        node.event(Event::Roster(RosterNews::Delta(vec![started.clone()])));
        node.pass(ramp + SWEEP);
        assert_eq!(keys(&mut node, 1000 * (n as u64 + 1) + 500), before);
    }
    node.balancer.0.eject(&id(3));
    node.pass(1.0);
    node.event(Event::Probed { server: id(3), status: Status::Success });
    node.pass(ramp + SWEEP);
    assert_eq!(keys(&mut node, 9000), before);
    settled(&mut node);
}

/// The origin fails and recovers: its limit falls to 1 at the least and is restored by the answers that
/// follow.
#[test]
fn the_fetch_limit_and_the_retry_budget_recover() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let mut request = 0;
    let mut spell = |node: &mut common::Node, rounds: u32, status: Status| {
        for _ in 0..rounds {
            for _ in 0..8 {
                request += 1;
                node.request(read(request, request));
            }
            node.now += 0.3;
            let open: Vec<u64> = node.balancer.0.requests.keys().map(|id| id.0).collect();
            for n in open {
                for attempt in out(node, n) {
                    end(node, n, attempt, status, status == Status::Success);
                }
            }
            node.pass(0.6);
        }
    };
    spell(&mut node, 40, Status::Error);
    let state = &node.balancer.0;
    let (low, tokens) = (state.origin.limit(), state.retry_budget.tokens());
    assert!((1.0..4.0).contains(&low) && tokens < 1.0, "{low}, {tokens}");
    spell(&mut node, 60, Status::Success);
    let state = &node.balancer.0;
    let limit = state.origin.limit();
    assert!(limit > 6.0 && state.retry_budget.affords(RETRY_PRICE), "{limit}");
    spell(&mut node, 1, Status::Success);
    node.pass(3.0);
    audit(&node);
}

/// A read that waits for another's fetch is sent on its own once that fetch is late, so that it is served in
/// time.
#[test]
fn a_read_behind_a_fetch_that_is_late_goes_its_own_way() {
    let mut limits = settings().limits;
    limits.second_copies = false;
    let mut node = common::Node::with(Settings { limits, ..settings() }, 1, fleet(8));
    node.request(read(1, 7));
    node.request(read(2, 7));
    assert_eq!((out(&node, 1).len(), out(&node, 2).len()), (1, 0));
    node.now += 0.8;
    node.event(Event::Timer(DUE_TIMER));
    node.pass(TICK);
    assert_eq!(out(&node, 2).len(), 1, "it waits as long as a silent server does");
    let asked = |request| node.balancer.0.requests[&RequestId(request)].attempts[0].server.clone();
    assert_ne!(asked(2), asked(1), "it asks the same server");
    audit(&node);
}

//! Recovery after faults.

use super::common::{self, entry, id, read, settings};
use super::{assert_idle, attempts_in_flight, check_invariants, end_attempt, fleet};
use crate::balance::retry_budget::RETRY_COST;
use crate::balance::{DUE_TIMER, SWEEP_INTERVAL, TICK_INTERVAL};
use crate::interface::*;

/// The probe queue contains each ejected server once, however often it is ejected and readmitted.
#[test]
fn a_server_that_is_readmitted_and_fails_again_is_ejected_once() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let mut request = 0;
    for _ in 0..6 {
        for n in [1, 2] {
            let state = &mut node.balancer.0;
            state.now = node.now;
            state.eject(&id(n));
        }
        check_invariants(&node);
        assert_eq!(node.balancer.member_counts(), (8, 2));
        node.event(Event::HealthChecked { server: id(1), status: Status::Success });
        node.event(Event::HealthChecked { server: id(2), status: Status::Success });
        check_invariants(&node);
        assert_eq!(node.balancer.member_counts(), (8, 0));
        request += 1;
        node.request(read(request, request));
        node.serve(request);
    }
    assert_idle(&mut node);
}

#[test]
fn keys_return_to_their_owner_once_it_is_warm_again() {
    let ramp = settings().guarantees.slow_start_duration;
    let keys = |node: &mut common::Node, from: u64| -> Vec<ServerId> {
        (0..100).map(|key| node.owner(from + key, key)).collect()
    };
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let before = keys(&mut node, 1);
    // Gone and back cold, drained and ready again; then, below, ejected and readmitted.
    let started = EndpointEntry { started: Some(node.now), ..entry(3) };
    let drained = EndpointEntry { state: ServerState::Draining, ..entry(3) };
    let absent = fleet(8).into_iter().filter(|e| e.server != id(3)).collect();
    for (n, update) in
        [EndpointUpdate::Full(absent), EndpointUpdate::Delta(vec![drained])].into_iter().enumerate()
    {
        node.event(Event::Endpoints(update));
        let owners_while_away = keys(&mut node, 1000 * (n as u64 + 1));
        assert!(
            !owners_while_away.contains(&id(3))
                && owners_while_away.iter().zip(&before).all(|(a, b)| a == b || *b == id(3))
        );
        node.event(Event::Endpoints(EndpointUpdate::Delta(vec![started.clone()])));
        node.advance(ramp + SWEEP_INTERVAL);
        assert_eq!(keys(&mut node, 1000 * (n as u64 + 1) + 500), before);
    }
    node.balancer.0.eject(&id(3));
    node.advance(1.0);
    node.event(Event::HealthChecked { server: id(3), status: Status::Success });
    node.advance(ramp + SWEEP_INTERVAL);
    assert_eq!(keys(&mut node, 9000), before);
    assert_idle(&mut node);
}

/// The origin fails and recovers: the fetch limit falls, but never below 1, and the answers that follow
/// raise the limit again and refill the retry budget.
#[test]
fn the_fetch_limit_and_the_retry_budget_recover() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let mut request = 0;
    let mut run_rounds = |node: &mut common::Node, rounds: u32, status: Status| {
        for _ in 0..rounds {
            for _ in 0..8 {
                request += 1;
                node.request(read(request, request));
            }
            node.now += 0.3;
            let open: Vec<u64> = node.balancer.0.requests.keys().map(|id| id.0).collect();
            for n in open {
                for attempt in attempts_in_flight(node, n) {
                    end_attempt(node, n, attempt, status, status == Status::Success);
                }
            }
            node.advance(0.6);
        }
    };
    run_rounds(&mut node, 40, Status::Error);
    let state = &node.balancer.0;
    let (low_limit, tokens) = (state.origin.limit(), state.retry_budget.tokens());
    assert!((1.0..4.0).contains(&low_limit) && tokens < 1.0, "{low_limit}, {tokens}");
    run_rounds(&mut node, 60, Status::Success);
    let state = &node.balancer.0;
    let limit = state.origin.limit();
    assert!(limit > 6.0 && state.retry_budget.affords(RETRY_COST), "{limit}");
    run_rounds(&mut node, 1, Status::Success);
    node.advance(3.0);
    check_invariants(&node);
}

/// A read that waits for another request's fetch is sent on its own once that fetch is late, so that the
/// read is served in time.
#[test]
fn a_read_that_waits_for_a_late_fetch_is_sent_on_its_own() {
    let mut limits = settings().limits;
    limits.hedging = false;
    let mut node = common::Node::with(Settings { limits, ..settings() }, 1, fleet(8));
    node.request(read(1, 7));
    node.request(read(2, 7));
    assert_eq!((attempts_in_flight(&node, 1).len(), attempts_in_flight(&node, 2).len()), (1, 0));
    node.now += 0.8;
    node.event(Event::Timer(DUE_TIMER));
    node.advance(TICK_INTERVAL);
    assert_eq!(attempts_in_flight(&node, 2).len(), 1, "the read waits for the silent server");
    let server_of = |request| node.balancer.0.requests[&RequestId(request)].attempts[0].server.clone();
    assert_ne!(server_of(2), server_of(1), "both reads were sent to the same server");
    check_invariants(&node);
}

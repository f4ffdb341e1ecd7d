//! Tests of the balancer's internal state: its tables agree with each other, and nothing is left over.

#[path = "../../../tests/common/mod.rs"]
mod common;

mod bounds;
mod churn;
mod interruptions;
mod recovery;
mod ring;

use std::collections::BTreeMap;

use common::entry;

use super::key_locations::MAX_LOCATIONS;
use super::key_popularity::HOT_KEY_FACTOR;
use super::retry_budget::MAX_TOKENS;
use super::{BalancerState, TICK_INTERVAL};
use crate::interface::*;

pub(super) fn fleet(n: u64) -> Vec<EndpointEntry> {
    (1..=n).map(entry).collect()
}

/// Checks that counts agree with each other and with the attempts in flight, and that no table holds stale
/// entries.
pub(super) fn check_invariants(node: &common::Node) {
    let state = &node.balancer.0;
    check_attempts(state);
    check_ejections(state);
    assert!(
        state.timers.requests().all(|id| state.requests.contains_key(id)),
        "a timer of a request that no longer exists"
    );
    assert!(state.timers.len() <= 2 * state.requests.len());
    assert!(state.key_locations.len() <= MAX_LOCATIONS);
    // The recent requests are trimmed only when the next request arrives, so the bound follows from the
    // largest fleet of these tests: 8 servers.
    let (recent_requests, recent_keys) = state.popularity.sizes();
    assert!(recent_requests as f64 <= 8.0 / HOT_KEY_FACTOR + 1.0);
    assert!(recent_keys <= recent_requests);
    let points: usize = state.servers.iter().map(|(_, server)| usize::from(server.points())).sum();
    assert_eq!(state.servers.point_count(), points);
    let is_listed = |kind: &String| state.servers.iter().any(|(_, server)| server.entry().kind == *kind);
    assert!(state.servers.kinds().all(is_listed), "a kind without servers");
    assert!((0.0..=MAX_TOKENS).contains(&state.retry_budget.tokens()));
}

fn check_attempts(state: &BalancerState) {
    let mut out: BTreeMap<&ServerId, u32> = BTreeMap::new();
    let attempts =
        || state.requests.values().flat_map(|request| &request.attempts).filter(|a| a.is_in_flight());
    attempts().for_each(|attempt| *out.entry(&attempt.server).or_default() += 1);
    for (id, server) in state.servers.iter() {
        assert_eq!(server.in_flight(), out.get(id).copied().unwrap_or(0), "in flight at {id:?}");
    }
    assert_eq!(state.servers.in_flight(), out.values().sum::<u32>(), "in flight at all servers");
    let at_origin = attempts().filter(|attempt| attempt.to_origin).count();
    assert_eq!(state.origin.in_flight() as usize, at_origin, "in flight at the origin");
    for leader in state.origin.leaders() {
        let request = &state.requests[leader];
        assert!(
            request.attempts.iter().any(|a| a.to_origin && a.is_in_flight()),
            "a fetch whose leader has no attempt in flight"
        );
    }
}

fn check_ejections(state: &BalancerState) {
    let mut to_probe: Vec<&ServerId> = state.outliers.ejected().collect();
    to_probe.sort();
    let is_ejected = state.servers.iter().filter(|(_, server)| server.is_ejected());
    let mut ejected: Vec<&ServerId> = is_ejected.map(|(id, _)| id).collect();
    ejected.sort();
    assert_eq!(to_probe, ejected, "the probe queue contains each ejected server once");
}

/// Checks that no request is in flight, held, scheduled or waiting for a fetch.
pub(super) fn assert_idle(node: &mut common::Node) {
    node.advance(TICK_INTERVAL);
    check_invariants(node);
    let state = &node.balancer.0;
    assert!(state.requests.is_empty(), "{} requests left", state.requests.len());
    assert_eq!((state.servers.in_flight(), state.timers.len(), state.origin.len()), (0, 0, 0));
    assert_eq!(state.held.len(), 0);
}

/// Ends the attempt with this number.
pub(super) fn end_attempt(
    node: &mut common::Node,
    request: u64,
    attempt: u32,
    status: Status,
    finished: bool,
) -> Vec<Action> {
    let elapsed = node.now - node.sends[&RequestId(request)][attempt as usize].1;
    let outcome = Outcome {
        request: RequestId(request),
        attempt: AttemptId(attempt),
        status,
        elapsed,
        finished,
        cache_note: Some(CacheNote::Miss),
    };
    node.event(Event::Outcome(outcome))
}

pub(super) fn attempts_in_flight(node: &common::Node, request: u64) -> Vec<u32> {
    let request = node.balancer.0.requests.get(&RequestId(request));
    request.into_iter().flat_map(|request| request.in_flight()).map(|attempt| attempt.0).collect()
}

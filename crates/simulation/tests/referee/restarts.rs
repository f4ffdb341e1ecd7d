//! Restarts: nine in ten restarted nodes must be ready within 10 s.

use hallpin_simulation::invariants::Rule;
use hallpin_simulation::trace::Event;

use crate::events::*;

/// Restarts of a running node, each with its time in milliseconds until it is ready.
fn restarts(ready_after: &[u64]) -> Vec<(u64, Event)> {
    let mut events = vec![(0, Event::NodeUp { node: 0 }), (20_000, Event::NodeReady { node: 0 })];
    let mut at = 20_000;
    for after in ready_after {
        events.push((at + 1, Event::NodeDown { node: 0, planned: false }));
        events.push((at + 2, Event::NodeUp { node: 0 }));
        at += 2 + after;
        events.push((at, Event::NodeReady { node: 0 }));
    }
    events
}

#[test]
fn nine_in_ten_restarted_nodes_are_ready_within_10_s() {
    let of = |late: usize, all: usize| {
        let after: Vec<u64> = (0..all).map(|n| if n < late { 10_001 } else { 10 }).collect();
        restarts(&after)
    };
    assert_clean("none at all", of(0, 0));
    assert_clean("within the time", restarts(&[10_000]));
    assert_clean("one in ten later", of(1, 10));
    assert_violates("one in nine", Rule::Ready, of(1, 9));
    assert_violates("two in nineteen", Rule::Ready, of(2, 19));
    let never = |down: u64| {
        let start =
            vec![(20_001, Event::NodeDown { node: 0, planned: false }), (20_002, Event::NodeUp { node: 0 })];
        with(with(restarts(&[]), start), vec![(down, Event::NodeDown { node: 0, planned: false })])
    };
    assert_clean("killed before its time was over", never(30_002));
    assert_violates("not ready when it was killed", Rule::Ready, never(30_003));
    let mut open = never(40_000);
    open.pop();
    assert_violates("not ready by the end of the run", Rule::Ready, open);
}

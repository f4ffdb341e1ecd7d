//! Overload of cold boxes and of the planner.

use hallpin_simulation::invariants::Rule;
use hallpin_simulation::list::Phase;
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::Event;

use crate::events::*;

#[test]
fn nodes_notified_of_a_cold_start_are_at_fault_for_the_overload() {
    let start = Time(10_000 * MS);
    let up = Event::BoxUp {
        of: 0,
        capacity: 2.0,
        size: 1.0,
        cold: true,
        from: 0.1,
        ramp: Span::from_millis(20_000),
    };
    let fall = |informed: u64, unaware: u64| {
        let reach = |n: u64, node| (10_600 + n, Event::Reached { to: 0, node, work: 1000.0, read: true });
        let mut events = vec![(10_000, up.clone()), (10_500, box_notified(0, Phase::Ready, Some(start)))];
        events.extend((0..informed).map(|n| reach(n, 0)));
        events.extend((0..unaware).map(|n| reach(n, 1)));
        with(events, vec![(11_500, Event::BoxCrashed { of: 0 })])
    };
    assert_violates("all informed", Rule::Cold, fall(100, 0));
    assert_violates("over two thirds informed", Rule::Cold, fall(101, 50));
    let verdict = assert_clean("two thirds informed", fall(100, 50));
    assert_eq!(verdict.crashed_boxes, 1);
}

#[test]
fn stopping_the_planner_by_misses_at_cold_boxes_is_a_violation() {
    let events_until_planner_stop = |cold: u64, warm: u64, reads: u64| {
        let up = |of, cold, from| Event::BoxUp {
            of,
            capacity: 2.0,
            size: 1.0,
            cold,
            from,
            ramp: Span::from_millis(20_000),
        };
        let mut events = vec![(0, up(0, false, 1.0)), (10_000, up(1, true, 0.5))];
        events.extend(
            (0..reads).map(|n| (10_100 + n, Event::Reached { to: 0, node: 0, work: 1.0, read: true })),
        );
        let call = |cold| Event::PlannerCalled { by: usize::from(cold), write: false, cold };
        events.extend((0..cold).map(|n| (10_500 + n, call(true))));
        events.extend((0..warm).map(|n| (10_500 + n, call(false))));
        with(events, vec![(12_000, Event::PlannerStopped { overdriven: true })])
    };
    assert_violates("mostly cold misses", Rule::Cold, events_until_planner_stop(400, 100, 300));
    assert_clean("few cold misses", events_until_planner_stop(100, 400, 10));
    // A half-warm box beside a warm one accounts for about a third of 900 reads.
    assert_clean("no more than the box accounts for", events_until_planner_stop(300, 300, 900));
    let mut events = events_until_planner_stop(400, 100, 300);
    events.last_mut().expect("the stop").1 = Event::PlannerStopped { overdriven: false };
    assert_clean("a fault event stopped it", events);
}

/// A box that is allowed N requests, N at least 30, tolerates N + 2 sqrt(N) + 2 requests of mean work; one
/// more is an overload.
#[test]
fn a_cold_box_is_overloaded_beyond_its_limit_and_the_first_overload_counts() {
    let day = day();
    let start = Time(10_000 * MS);
    let (from, ramp) = (0.1, Span::from_millis(20_000));
    let up = Event::BoxUp { of: 0, capacity: 2.0, size: 1.0, cold: true, from, ramp };
    let mean = day.mean_work().0 as f64;
    // At 600 ms after the start: 3 times the capacity of 2 cores x (0.1 + 0.9 x 0.03) over 3 s.
    let n = day.rules.fall_multiple * 2.0 * 0.127 * day.rules.fall_for.as_secs() / (mean / 1e6);
    let tolerated = (n + 2.0 * n.sqrt() + 2.0).floor() as u64;
    assert!(n > 30.0, "{n}: {tolerated}");
    let pushed = |informed: u64, unaware: u64| {
        let reach = |node| (10_600, Event::Reached { to: 0, node, work: mean, read: true });
        let mut events = vec![(10_000, up.clone()), (10_500, box_notified(0, Phase::Ready, Some(start)))];
        events.extend((0..unaware).map(|_| reach(1)));
        events.extend((0..informed).map(|_| reach(0)));
        events
    };
    assert_clean("at the limit", pushed(tolerated, 0));
    assert_violates("one over the limit", Rule::Cold, pushed(tolerated + 1, 0));
    assert_violates("far over the limit, one violation", Rule::Cold, pushed(3 * tolerated, 0));
    let third = tolerated.div_ceil(3) + 1;
    assert_clean("a third from nodes that were not notified", pushed(tolerated + 1 - third, third));
    let apart = |ms: u64| {
        let mut events = pushed(tolerated, 0);
        events.push((10_600 + ms, Event::Reached { to: 0, node: 0, work: mean, read: true }));
        events
    };
    assert_violates("within the time window", Rule::Cold, apart(1));
    assert_clean("outside the time window", apart(3001));
}

/// The limit applies to the sum over all nodes: with 30 nodes it is the same as with one.
#[test]
fn a_cold_box_is_overloaded_by_the_sum_over_all_nodes() {
    const NODES: usize = 30;
    let mut day = day();
    day.nodes = vec![0; NODES];
    let start = Time(10_000 * MS);
    let (from, ramp) = (0.1, Span::from_millis(20_000));
    let up = Event::BoxUp { of: 0, capacity: 2.0, size: 1.0, cold: true, from, ramp };
    let mean = day.mean_work().0 as f64;
    let n = 3.0 * 2.0 * 0.127 * 3.0 / (mean / 1e6);
    assert!(n > 30.0, "{n}");
    let tolerated = (n + 2.0 * n.sqrt() + 2.0).floor() as usize;
    let pushed = |requests: usize| {
        let notified = |node| Event::Notified { node, of: 0, phase: Phase::Ready, started: Some(start) };
        let mut events = vec![(10_000, up.clone())];
        events.extend((0..NODES).map(|node| (10_500, notified(node))));
        let reached = |n| Event::Reached { to: 0, node: n % NODES, work: mean, read: true };
        events.extend((0..requests).map(|n| (10_600, reached(n))));
        check(&day, &events).violations.into_iter().collect::<Vec<_>>()
    };
    assert_eq!(pushed(tolerated), [], "one or two from each, at the limit");
    assert_eq!(pushed(tolerated + 1), [(Rule::Cold, 1)], "one over the limit");
}

/// The limit is N + 2 sqrt(N) + 2 from 30 allowed requests on and N + 3 sqrt(N) + 3 below that, for any settings and
/// any number of nodes.
#[test]
fn a_cold_box_allowed_few_requests_tolerates_three_roots_and_three_more() {
    const FROM: f64 = 0.1;
    let start = Time(10_000 * MS);
    let ramp = Span::from_millis(20_000);
    // Share of its capacity that the box has 600 ms after its start.
    let present = FROM + (1.0 - FROM) * 0.03;
    for (nodes, multiple, fall_for) in [(1, 3.0, 3000), (1, 1.5, 500), (12, 2.0, 1000), (300, 3.0, 3000)] {
        let mut day = day();
        day.nodes = vec![0; nodes];
        day.rules.fall_multiple = multiple;
        day.rules.fall_for = Span::from_millis(fall_for);
        let mean = day.mean_work().0 as f64;
        let broken = |allowed: f64, requests: usize| {
            let capacity = allowed * mean / 1e6 / (multiple * present * day.rules.fall_for.as_secs());
            let up = Event::BoxUp { of: 0, capacity, size: 1.0, cold: true, from: FROM, ramp };
            let notified = |node| Event::Notified { node, of: 0, phase: Phase::Ready, started: Some(start) };
            let mut events = vec![(10_000, up)];
            events.extend((0..nodes).map(|node| (10_500, notified(node))));
            let reached = |n| Event::Reached { to: 0, node: n % nodes, work: mean, read: true };
            events.extend((0..requests).map(|n| (10_600, reached(n))));
            check(&day, &events).violations.into_iter().collect::<Vec<_>>()
        };
        // Limits: 0.5 + 2.1 + 3, 12 + 10.4 + 3, 29.9 + 16.4 + 3, and 30.1 + 11.0 + 2.
        for (allowed, tolerated) in [(0.5, 5), (12.0, 25), (29.9, 49), (30.1, 43)] {
            let day = format!("{nodes} nodes, {multiple} times in {fall_for} ms, allowed {allowed}");
            assert_eq!(broken(allowed, tolerated), [], "{day}: at the bound");
            assert_eq!(broken(allowed, tolerated + 1), [(Rule::Cold, 1)], "{day}: one over");
        }
    }
}

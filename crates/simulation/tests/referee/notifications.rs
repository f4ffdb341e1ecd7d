//! Time from which a change of the endpoint list counts as notified, for drains and cold starts.

use hallpin_simulation::invariants::Rule;
use hallpin_simulation::list::Phase;
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::{AttemptOutcome, Event, TryOutcome};

use crate::events::*;

/// A node that has the box listed as ready, and a request that it sends there.
fn sends(at: u64) -> Vec<(u64, Event)> {
    vec![
        (0, box_notified(0, Phase::Ready, None)),
        (at, asked(1, READ)),
        (at, accepted(1, 1, at + 1000)),
        (at, sent(1, 0, 0)),
        (at + 5, answered(1, TryOutcome::Completed)),
        (at + 5, ended(1, 0, AttemptOutcome::Success)),
    ]
}

fn available(phase: Phase, asked: bool) -> Event {
    Event::ChangeAvailable { node: 0, of: 0, phase, started: None, asked }
}

fn silent(waits: Option<u64>) -> Event {
    Event::WatchSilent { node: 0, waits: waits.map(Span::from_millis) }
}

/// Checks that with these events a drain counts as notified at this time: an attempt is allowed until one second later.
fn counts_from(what: &str, at: u64, events: Vec<(u64, Event)>) {
    assert_clean(what, with(events.clone(), sends(at + 1000)));
    assert_violates(what, Rule::Drain, with(events, sends(at + 1001)));
}

#[test]
fn a_pushed_change_counts_once_the_agent_has_it_and_a_polled_one_6_s_later() {
    counts_from("pushed", 2000, vec![(2000, available(Phase::Draining, false))]);
    counts_from("polled", 8000, vec![(2000, available(Phase::Draining, true))]);
    let replaced =
        vec![(2000, available(Phase::Draining, true)), (3000, box_notified(0, Phase::Ready, None))];
    assert_clean("notified of a later change", with(replaced, sends(20_000)));
}

#[test]
fn a_change_missed_by_a_silent_watch_counts_after_6_s_or_2_s_after_the_wait() {
    for asked in [false, true] {
        let missed = |waits| vec![(1000, silent(waits)), (1500, available(Phase::Draining, asked))];
        let usual = if asked { 7500 } else { 7000 };
        // Within an answer's body or between two answers no call is waiting.
        counts_from("in the body, between answers", usual, missed(None));
        counts_from("before the head, a short wait", usual, missed(Some(3000)));
        counts_from("before the head, a long wait", 13_000, missed(Some(10_000)));
        let again = with(missed(None), vec![(4000, available(Phase::Gone, asked))]);
        counts_from("a second change gives no more time", usual, again);
    }
    let opened = vec![
        (1000, silent(None)),
        (1500, available(Phase::Draining, false)),
        (3000, Event::WatchOpened { node: 0 }),
    ];
    let arrived = with(opened.clone(), vec![(3000, box_notified(0, Phase::Draining, None))]);
    counts_from("a change that arrives counts at once", 3000, arrived);
    let later = vec![
        (1000, silent(None)),
        (3000, Event::WatchOpened { node: 0 }),
        (3500, available(Phase::Draining, false)),
    ];
    counts_from("a watch that is open again", 3500, later);
}

#[test]
fn a_new_process_is_notified_at_once_and_a_reconfigured_one_after_4_s() {
    let hup = |at| vec![(1000, Event::Reconfigured { node: 0 }), (at, available(Phase::Draining, false))];
    counts_from("after SIGHUP", 5000, hup(2000));
    counts_from("long after SIGHUP", 9000, hup(9000));
    // The node's previous process had the silent watch; the agent has the drain when the new process starts.
    let mut restarted = vec![(1000, silent(Some(10_000))), (1500, available(Phase::Draining, false))];
    restarted.push((2000, Event::NodeDown { node: 0, planned: false }));
    restarted.push((2500, Event::NodeUp { node: 0 }));
    restarted.push((2500, box_notified(0, Phase::Ready, None)));
    restarted.push((2500, available(Phase::Draining, false)));
    counts_from("from the first moment of a new process", 2500, restarted);
}

#[test]
fn a_node_knows_of_a_cold_start_once_it_counts_as_notified() {
    let start = Time(10_000 * MS);
    let ramp = Span::from_millis(20_000);
    let up = Event::BoxUp { of: 0, capacity: 2.0, size: 1.0, cold: true, from: 0.1, ramp };
    let change =
        Event::ChangeAvailable { node: 0, of: 0, phase: Phase::Ready, started: Some(start), asked: false };
    let pushed = |at: u64| {
        let mut events = vec![(9000, silent(None)), (10_000, up.clone()), (10_100, change.clone())];
        events.extend((0..1000).map(|_| (at, Event::Reached { to: 0, node: 0, work: 50_000.0, read: true })));
        events
    };
    assert_clean("the node's watch is silent", pushed(14_999));
    assert_violates("6 s after it fell silent", Rule::Cold, pushed(15_000));
}

#[test]
fn after_a_failed_call_available_changes_count_within_6_s_despite_longer_times() {
    let failed = |at| vec![(at, Event::CallFailed { node: 0 })];
    // A silent call with a long wait would allow until 13 s.
    let waits = vec![(1000, silent(Some(10_000))), (1500, available(Phase::Draining, true))];
    counts_from("abandoned while it was silent", 7500, with(waits.clone(), failed(1600)));
    counts_from("its wait applies while it is in flight", 13_000, waits);
    let rejected =
        with(failed(1000), vec![(1100, silent(Some(10_000))), (1500, available(Phase::Draining, true))]);
    counts_from("rejected before there was a change", 7500, rejected);
    // When discovery is reachable again, its state is recorded as available; the deadline of the first closing change
    // stays.
    let down = vec![(1500, available(Phase::Draining, true)), (5000, available(Phase::Gone, true))];
    counts_from("the first closing change counts", 7500, with(failed(1000), down));
    let opened = vec![
        (1000, Event::CallFailed { node: 0 }),
        (2000, Event::WatchOpened { node: 0 }),
        (2100, silent(Some(10_000))),
        (2500, available(Phase::Draining, true)),
    ];
    counts_from("a watch that was opened since has its own time", 14_100, opened);
    let pushed = with(failed(1000), vec![(2000, available(Phase::Draining, false))]);
    counts_from("a pushed change still counts at once", 2000, pushed);
}

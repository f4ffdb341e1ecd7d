//! Planned restarts, silent watches and new processes in virtual time, with timings of the node that keep or violate
//! the rules.

use hallpin_simulation::invariants::{InvariantChecker, Rule, Verdict};
use hallpin_simulation::policy;
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::Time;
use hallpin_simulation::trace::{Event, Sink};
use hallpin_simulation::world::World;

/// Runs a scenario, and returns its events and the checker's result.
fn run(scenario: &str, seed: u64) -> (Vec<(Time, Event)>, Verdict) {
    let scenario = Scenario::parse(scenario).expect("a scenario");
    let day = scenario.draw(seed).expect("a day");
    let (mut events, mut checker) = (Vec::new(), InvariantChecker::new(&day));
    let sink = |at: Time, event: &Event| {
        events.push((at, event.clone()));
        checker.record(at, event);
    };
    let _ = World::new(&day, &policy::balancer_policy, sink).expect("a world").run();
    (events, checker.verdict())
}

/// All nodes restart one after another while the planner is silent, so that requests that need a fetch stay open up to
/// their deadline of 2 s.
fn restarts(parting: &str) -> String {
    format!(
        r#"version = 1
length = "12s"
[nodes]
count = 4
{parting}
[clients]
rate = 200.0
entry = "front"
retries = 0
try_share = 1.0
[[incidents]]
kind = "planner-silent"
at = "2s"
lasts = "9s"
[[incidents]]
kind = "node-restart"
at = "3s"
part = 1.0
each = "1500ms"
kill = true
"#
    )
}

#[test]
fn a_node_that_closes_connections_too_late_loses_requests_at_the_kill() {
    for seed in 1..=2 {
        let (events, valid) = run(&restarts(""), seed);
        assert!(valid.is_clean(), "seed {seed}: {:?}", valid.first_violations);
        let stops: Vec<Time> = events
            .iter()
            .filter_map(|(at, e)| matches!(e, Event::Stopping { node: 0 }).then_some(*at))
            .collect();
        let after = |ms: u64| Time(stops[0].0 + ms * 1000);
        let taken = |from: u64, to: u64| {
            let is = |at: Time, e: &Event| {
                matches!(e, Event::TryAccepted { node: 0, .. }) && (after(from)..after(to)).contains(&at)
            };
            events.iter().filter(|(at, e)| is(*at, e)).count()
        };
        assert!(taken(400, 600) > 0, "seed {seed}: kept connections go on when no new ones come");
        assert_eq!(taken(601, 2700), 0, "seed {seed}: and are closed before the kill");
        let (_, late) = run(&restarts("parting = \"1500ms\""), seed);
        assert_eq!(
            late.violations.keys().collect::<Vec<_>>(),
            [&Rule::Lost],
            "seed {seed}: {:?}",
            late.first_violations
        );
        assert!(
            late.first_violations.iter().all(|b| b.what.contains("was cut off")),
            "seed {seed}: {:?}",
            late.first_violations
        );
    }
}

#[test]
fn a_node_that_closes_connections_at_once_leaves_new_ones_unanswered() {
    let (events, verdict) = run(&restarts("parting = \"0s\""), 1);
    let dropped = events.iter().filter(|(_, e)| matches!(e, Event::Dropped { .. })).count();
    assert!(dropped > 0, "of {}", verdict.all_requests.requests);
    let lost: Vec<_> = verdict.violations.into_iter().collect();
    assert_eq!(lost, [(Rule::Lost, dropped as u64)], "each is lost: {:?}", verdict.first_violations);
}

/// Half of the boxes drain while the watches of all nodes are silent, until the nodes reopen them.
fn silences(reopens: &str, waits: &str) -> String {
    format!(
        r#"version = 1
length = "24s"
[nodes]
count = 3
{reopens}
[list]
notice = "500ms"
spread = "200ms"
[clients]
rate = 100.0
[[incidents]]
kind = "silent-watch"
at = "3s"
part = 1.0
{waits}
[[incidents]]
kind = "drain"
at = "3500ms"
lasts = "20s"
part = 0.5
"#
    )
}

#[test]
fn a_silent_watch_that_is_not_reopened_in_time_violates_the_drain_rule() {
    for (reopens, waits, violates) in [
        ("", "", false),
        ("reopens = \"5500ms\"", "", false),
        ("reopens = \"8s\"", "", true),
        ("reopens = \"8s\"", "by = \"6s\"", false),
        ("reopens = \"11s\"", "by = \"6s\"", true),
    ] {
        let (events, verdict) = run(&silences(reopens, waits), 1);
        let count = |is: &dyn Fn(&Event) -> bool| events.iter().filter(|(_, e)| is(e)).count();
        assert_eq!(count(&|e| matches!(e, Event::WatchSilent { .. })), 3);
        let missed = count(&|e| matches!(e, Event::ChangeAvailable { .. }));
        assert!(missed > 0 || reopens.is_empty(), "{reopens}: no change was missed");
        let violated: Vec<&Rule> = verdict.violations.keys().collect();
        let expected: &[&Rule] = if violates { &[&Rule::Drain] } else { &[] };
        assert_eq!(violated, expected, "{reopens}, {waits}: {:?}", verdict.first_violations);
    }
}

/// A silent call with a long wait is abandoned while discovery is down: a change that discovery had before counts 6 s
/// after discovery had it, however long the wait.
#[test]
fn after_a_call_abandoned_in_an_outage_earlier_changes_count_within_6_s() {
    let day = |reopens: &str, lasts: &str| {
        let outage = format!("[[incidents]]\nkind = \"list-outage\"\nat = \"10s\"\nlasts = \"{lasts}\"\n");
        silences(&format!("reopens = \"{reopens}\""), "by = \"30s\"") + &outage
    };
    for (reopens, lasts, failed, violates) in [
        ("8s", "900ms", 0, false),
        // Abandoned at 11 s, and repeated only at 19 s.
        ("8s", "2s", 3, true),
        // Abandoned at 11 s and at 12 s, and answered right after the outage.
        ("1s", "2500ms", 3 * 2, false),
    ] {
        let (events, verdict) = run(&day(reopens, lasts), 1);
        let calls = events.iter().filter(|(_, e)| matches!(e, Event::CallFailed { .. })).count();
        assert_eq!(calls, failed, "{reopens}, {lasts}");
        let violated: Vec<&Rule> = verdict.violations.keys().collect();
        let expected: &[&Rule] = if violates { &[&Rule::Drain] } else { &[] };
        assert_eq!(violated, expected, "{reopens}, {lasts}: {:?}", verdict.first_violations);
    }
}

/// Boxes drain while all nodes are down, with and without an outage of the endpoint list: the agent notifies a new
/// process at once, and all nodes right after an outage.
#[test]
fn a_new_process_is_notified_at_once_and_right_after_an_outage() {
    let day = |outage: &str| {
        format!(
            r#"version = 1
length = "20s"
[nodes]
count = 3
[list]
notice = "500ms"
spread = "1s"
[clients]
rate = 100.0
[[incidents]]
kind = "node-death"
at = "3s"
lasts = "5s"
part = 1.0
[[incidents]]
kind = "drain"
at = "4s"
lasts = "12s"
part = 0.5
{outage}
"#
        )
    };
    let outage = "[[incidents]]\nkind = \"list-outage\"\nat = \"6500ms\"\nlasts = \"4s\"\n";
    for (outage, since) in [("", 8_000_000), (outage, 10_500_000)] {
        let (events, verdict) = run(&day(outage), 1);
        assert!(verdict.is_clean(), "{:?}", verdict.first_violations);
        let drains =
            |e: &Event| matches!(e, Event::Notified { phase: hallpin_simulation::list::Phase::Draining, .. });
        let first = events.iter().find(|(_, e)| drains(e)).expect("a notification of the drains").0;
        assert_eq!(first, Time(since), "at once, and not up to the spread later");
        let notified = events.iter().filter(|(at, e)| drains(e) && at.0 == since).count();
        assert_eq!(notified % 3, 0, "all nodes");
    }
}

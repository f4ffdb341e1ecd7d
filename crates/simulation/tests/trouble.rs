//! Faults of whole depots, of shares of the fleet, and in steps: each affects only its targets, and the balancer keeps
//! the rules under the worst of them.

use std::collections::HashSet;

use hallpin_simulation::invariants::{InvariantChecker, Loss, Verdict};
use hallpin_simulation::list::Phase;
use hallpin_simulation::policy;
use hallpin_simulation::run_spec::RunSpec;
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::{AttemptOutcome, Event, Sink, TryOutcome};
use hallpin_simulation::world::World;

/// A run of 12 s; its incidents begin at 3 s.
fn day(rest: &str, seed: u64) -> RunSpec {
    let text = format!("version = 1\nlength = \"12s\"\n[nodes]\ncount = 8\n[clients]\nrate = 150.0\n{rest}");
    Scenario::parse(&text).expect("a scenario").draw(seed).expect("a day")
}

fn incident(kind: &str, rest: &str) -> String {
    format!("[[incidents]]\nkind = \"{kind}\"\nat = \"3s\"\n{rest}\n")
}

fn run(day: &RunSpec) -> (Vec<(Time, Event)>, Verdict) {
    let (mut events, mut checker) = (Vec::new(), InvariantChecker::new(day));
    let sink = |at: Time, event: &Event| {
        events.push((at, event.clone()));
        checker.record(at, event);
    };
    let _ = World::new(day, &policy::balancer_policy, sink).expect("a world").run();
    (events, checker.verdict())
}

fn at(ms: u64) -> Time {
    Time::ZERO + Span::from_millis(ms)
}

/// Each of these runs keeps the rules, on two seeds.
#[test]
fn the_balancer_keeps_the_rules_under_severe_faults() {
    let silent_depot = incident("silent", "lasts = \"5s\"\ndepot = \"any\"");
    let cut_off = incident("cut-off", "lasts = \"5s\"\ndepot = \"any\"");
    for (what, rest) in [
        ("no node runs for a second", incident("node-death", "lasts = \"1s\"\npart = 1.0")),
        ("a list without ready boxes", incident("drain", "lasts = \"2s\"\npart = 1.0")),
        ("a depot lost while another is cut off", format!("{silent_depot}{cut_off}")),
        ("all nodes restarted at once", incident("node-restart", "part = 1.0\neach = \"100ms\"")),
        (
            "boxes replaced twice within the list's delay",
            "[list]\nadd = \"2s\"\nnotice = \"2s\"\n".to_string()
                + &incident("replace", "lasts = \"300ms\"\npart = 0.5\nrounds = 2"),
        ),
        (
            "more connections than boxes accept",
            "[[boxes]]\nkind = \"large\"\ncount = 8\nconnections_per_core = 1.0\n".to_string(),
        ),
        (
            "half of the boxes killed",
            incident("kill", "lasts = \"2s\"\npart = 0.5\neach = \"1s\"\nsteps = 3"),
        ),
        ("answers lost", incident("lost-answers", "share = 0.3")),
        ("connections reset", incident("resets", "share = 0.3")),
        (
            "late lists",
            incident("late-list", "by = \"4s\"") + &incident("kill", "lasts = \"1s\"\npart = 0.3"),
        ),
        ("impatient clients", incident("impatient", "share = 0.5\nfactor = 10.0")),
        ("hasty clients", incident("hasty", "share = 0.6\nby = \"60ms\"\nrounds = 20")),
        ("boxes that fail", incident("erring", "share = 0.7\npart = 0.5")),
    ] {
        for seed in 1..=2 {
            let (_, verdict) = run(&day(&rest, seed));
            assert!(verdict.is_clean(), "{what}, seed {seed}: {:?}", verdict.first_violations);
            assert!(verdict.all_requests.requests > 1000, "{what}, seed {seed}");
        }
    }
}

#[test]
fn no_try_is_accepted_while_no_node_runs() {
    let (events, verdict) = run(&day(&incident("node-death", "lasts = \"1s\"\npart = 1.0"), 1));
    let taken =
        |e: &&(Time, Event)| matches!(e.1, Event::TryAccepted { .. }) && e.0 > at(3000) && e.0 < at(4000);
    assert_eq!(events.iter().filter(taken).count(), 0);
    assert!(verdict.losses.contains_key(&Loss::NodeDown));
    assert!(events.iter().any(|(t, e)| *t > at(4000) && matches!(e, Event::TryAccepted { .. })));
}

#[test]
fn without_ready_boxes_requests_are_rejected_at_once() {
    let (events, _) = run(&day(&incident("drain", "lasts = \"8s\"\npart = 1.0"), 1));
    let told = |e: &Event| matches!(e, Event::Notified { phase: Phase::Draining, .. });
    let last = events.iter().rfind(|(_, e)| told(e)).expect("told").0;
    let drained = last + Span::from_millis(1000);
    let later = events.iter().filter(|(t, _)| *t > drained);
    assert!(later.clone().all(|(_, e)| !matches!(e, Event::Sent { .. })));
    assert!(later.clone().any(|(_, e)| matches!(e, Event::Answered { how: TryOutcome::Rejected, .. })));
}

#[test]
fn a_silent_depot_affects_exactly_its_boxes() {
    let day = day(&incident("silent", "lasts = \"4s\"\ndepot = \"east\""), 1);
    let (events, _) = run(&day);
    let mut down: Vec<usize> = events
        .iter()
        .filter_map(|(_, e)| match e {
            Event::BoxDown { of } => Some(*of),
            _ => None,
        })
        .collect();
    down.sort_unstable();
    let east: Vec<usize> = (0..day.boxes.len()).filter(|b| day.boxes[*b].depot == 1).collect();
    assert_eq!(down, east);
}

#[test]
fn a_one_way_cut_drops_only_outgoing_traffic() {
    let day = day(&incident("cut-off", "depot = \"north\"\none_way = true"), 1);
    let (events, _) = run(&day);
    // After the attempts in flight at the cut have ended, and before all idle connections are used up.
    let after: Vec<&Event> =
        events.iter().filter(|(t, _)| *t > at(3100) && *t < at(6000)).map(|(_, e)| e).collect();
    let is_north = |depot: usize| depot == 0;
    let reached = after.iter().any(|e| {
        matches!(e, Event::Reached { to, node, read: true, .. }
            if is_north(day.boxes[*to].depot) && !is_north(day.nodes[*node]))
    });
    assert!(reached, "traffic into the depot arrives");
    let out = after.iter().any(|e| {
        matches!(e, Event::Reached { to, node, .. }
            if !is_north(day.boxes[*to].depot) && is_north(day.nodes[*node]))
    });
    assert!(!out, "traffic out of the depot is dropped");
}

#[test]
fn a_late_list_affects_only_its_depot_and_keeps_its_order() {
    let rest = "[list]\nnotice = \"500ms\"\nspread = \"100ms\"\nadd = \"500ms\"\n".to_string()
        + &incident("late-list", "by = \"3s\"\ndepot = \"south\"")
        + &incident("kill", "lasts = \"2s\"\nboxes = 1");
    let day = day(&rest, 1);
    let (events, _) = run(&day);
    let first = |south: bool, wanted: Phase| {
        let told = |(t, e): &(Time, Event)| match e {
            Event::Notified { node, phase, .. } if *t > at(3000) && *phase == wanted => {
                ((day.nodes[*node] == 2) == south).then_some(*t)
            }
            _ => None,
        };
        events.iter().find_map(told).expect("told")
    };
    assert!(first(false, Phase::Gone) < at(3700) && first(true, Phase::Gone) >= at(6500));
    assert!(
        first(true, Phase::Ready) > first(true, Phase::Gone),
        "the depot receives past changes, not the current state"
    );
}

#[test]
fn answers_are_lost_and_connections_reset_at_the_configured_rate() {
    for (kind, how) in [("lost-answers", AttemptOutcome::TimedOut), ("resets", AttemptOutcome::Broken)] {
        let (events, _) = run(&day(&incident(kind, "share = 1.0"), 1));
        let later = events.iter().filter(|(t, _)| *t > at(3500));
        let ends = |wanted: AttemptOutcome| {
            later.clone().filter(|(_, e)| matches!(e, Event::Ended { how, .. } if *how == wanted)).count()
        };
        assert_eq!(ends(AttemptOutcome::Success), 0, "{kind}");
        assert!(ends(how) > 50, "{kind}");
    }
}

#[test]
fn traffic_shifts_to_the_nodes_of_a_depot_and_back() {
    let day = day(&incident("shift", "lasts = \"4s\"\ndepot = \"north\"\nfactor = 4.0"), 1);
    let (events, _) = run(&day);
    // First tries only: rejected clients retry.
    let mut asked = HashSet::new();
    let first = |(t, e): &(Time, Event)| match e {
        Event::TryAccepted { ask, node, .. } if asked.insert(*ask) => Some((*t, day.nodes[*node] == 0)),
        _ => None,
    };
    let first: Vec<(Time, bool)> = events.iter().filter_map(first).collect();
    let rate = |from: u64, until: u64, north: bool| {
        let inside = first.iter().filter(|(t, to)| *t > at(from) && *t < at(until) && *to == north);
        inside.count() as f64 / (until - from) as f64
    };
    let north = rate(3500, 7000, true) / rate(0, 3000, true);
    assert!((2.5..6.0).contains(&north), "{north}");
    let others = rate(3500, 7000, false) / rate(0, 3000, false);
    assert!((0.7..1.4).contains(&others), "{others}");
    let after = rate(8000, 12000, true) / rate(0, 3000, true);
    assert!((0.5..1.6).contains(&after), "{after}");
}

#[test]
fn steps_affect_each_target_once_and_rounds_replace_replacements() {
    let rest = incident("node-death", "lasts = \"1s\"\npart = 1.0\neach = \"1s\"\nsteps = 4");
    let scheduled: Vec<(Time, String)> =
        day(&rest, 1).fault_events.iter().map(|i| (i.at, i.incident.to_string())).collect();
    let steps: Vec<(Time, String)> =
        [3000, 4000, 5000, 6000].map(|ms| (at(ms), "2 nodes die".to_string())).to_vec();
    assert_eq!(scheduled, steps);
    let replaced = day(&incident("replace", "lasts = \"1s\"\nboxes = 2\nrounds = 3"), 1);
    assert_eq!(replaced.boxes.len(), 12 + 2 * 3);
    assert_eq!(replaced.fault_events.len(), 3 * 2, "a drain and a join for each round");
    let drains: Vec<Time> = replaced.fault_events.iter().step_by(2).map(|i| i.at).collect();
    assert!(drains.windows(2).all(|pair| pair[1] > pair[0] + Span::from_millis(1000)), "{drains:?}");
}

#[test]
fn invalid_incidents_are_rejected_with_their_location() {
    for (rest, path, message) in [
        (incident("silent", "depot = \"west\"\nboxes = 4"), "boxes", "at most 3"),
        (incident("silent", "depot = \"moon\""), "depot", "name of a depot"),
        (incident("cut-off", "lasts = \"1s\""), "depot", "expected for an incident"),
        (incident("late-list", "lasts = \"1s\""), "by", "expected for an incident"),
        (incident("lost-answers", "share = 1.5"), "share", "0 to 1"),
        (incident("node-death", "part = 1.1"), "part", "0 to 1"),
        (incident("kill", "lasts = \"1s\"\npart = 0.5\nsteps = 2"), "steps", "`each`"),
        (incident("kill", "lasts = \"1s\"\npart = 0.5\neach = \"1s\"\nsteps = 0"), "steps", "at least 1"),
        (incident("replace", "lasts = \"1s\"\npart = 0.5\nrounds = 0"), "rounds", "at least 1"),
        (incident("resets", "share = 0.1\ndepot = \"north\""), "depot", "does not belong"),
    ] {
        let text = format!("version = 1\nlength = \"12s\"\n{rest}");
        let error = Scenario::parse(&text).expect_err(&rest);
        assert_eq!(error.path, format!("incidents[0].{path}"), "{rest}: {error}");
        assert!(error.what.contains(message), "{rest}: {error}");
        assert!(error.line > 2, "{error}");
    }
}

/// Hasty clients retry at once, whatever the advised delay, while their request has time left; the other clients are
/// unchanged.
#[test]
fn hasty_clients_use_short_tries_and_retry_at_once() {
    let tries_of_the_busiest = |rest: &str| {
        let (events, verdict) = run(&day(rest, 1));
        assert!(verdict.is_clean(), "{:?}", verdict.first_violations);
        let mut tries = std::collections::BTreeMap::<u64, Vec<Time>>::new();
        for (t, e) in &events {
            if let Event::TryAccepted { ask, .. } = e {
                tries.entry(*ask).or_default().push(*t);
            }
        }
        tries.into_values().max_by_key(Vec::len).expect("some ask")
    };
    let hasty = incident("hasty", "share = 0.5\nby = \"30ms\"\nrounds = 9");
    let tries = tries_of_the_busiest(&hasty);
    assert_eq!(tries.len(), 10);
    let gaps = tries.windows(2).map(|w| w[1].since(w[0]));
    assert!(gaps.clone().all(|gap| gap <= Span::from_millis(40)), "{:?}", gaps.collect::<Vec<_>>());
    assert!(tries_of_the_busiest("").len() < 10);
}

/// A slow writer's deadline runs from its first byte; the node gets the time that is left after the last byte.
#[test]
fn the_deadline_of_slow_writers_runs_from_their_first_byte() {
    let slow = incident("slow-writers", "share = 0.5\nby = \"400ms\"");
    for seed in 1..=3 {
        let (events, verdict) = run(&day(&slow, seed));
        assert!(verdict.is_clean(), "seed {seed}: {:?}", verdict.first_violations);
        let mut asked = std::collections::BTreeMap::<u64, Time>::new();
        let mut writing = Vec::<Span>::new();
        for (t, e) in &events {
            match e {
                Event::RequestStarted { ask, .. } => drop(asked.insert(*ask, *t)),
                // The first try of each request.
                Event::TryAccepted { ask, .. } => {
                    writing.extend(asked.remove(ask).map(|first| t.since(first)))
                }
                _ => {}
            }
        }
        let longest = writing.iter().max().expect("some tries are accepted");
        assert!((Span::from_millis(350)..Span::from_millis(410)).contains(longest), "{longest}");
        let share =
            writing.iter().filter(|w| **w > Span::from_millis(1)).count() as f64 / writing.len() as f64;
        assert!((0.3..0.45).contains(&share), "seed {seed}: {share}");
    }
}

//! Full simulated runs: deterministic for a seed, and without rule violations under any fault.

use std::collections::BTreeSet;

use hallpin_balancer::{
    self as decisions, Action, AttemptId, EndpointUpdate, RequestId, ServerId, TimerToken,
};
use hallpin_simulation::invariants::{InvariantChecker, Loss, Rule, Verdict};
use hallpin_simulation::policy::{self, Policy, WorldView};
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::Time;
use hallpin_simulation::trace::{AttemptOutcome, Event, Line, TryOutcome};
use hallpin_simulation::world::World;

fn scenario(incidents: &str) -> Scenario {
    let text =
        format!("version = 1\nlength = \"20s\"\n[nodes]\ncount = 3\n[clients]\nrate = 120.0\n{incidents}");
    Scenario::parse(&text).expect("a scenario")
}

fn trace(incidents: &str, seed: u64) -> (String, Verdict) {
    let day = scenario(incidents).draw(seed).expect("a day");
    let (mut text, mut checker) = (String::new(), InvariantChecker::new(&day));
    let sink = |at: Time, event: &Event| {
        let line = Line { at, event: event.clone() };
        text.push_str(&serde_json::to_string(&line).expect("a line"));
        text.push('\n');
        hallpin_simulation::trace::Sink::record(&mut checker, at, event);
    };
    let _ = World::new(&day, &policy::balancer_policy, sink).expect("a world").run();
    (text, checker.verdict())
}

const ALL_INCIDENTS: &str = r#"
[[incidents]]
kind = "silent"
at = "3s"
lasts = "6s"
boxes = 1
[[incidents]]
kind = "slow"
at = "4s"
lasts = "6s"
boxes = 2
factor = 6.0
[[incidents]]
kind = "heavy"
at = "5s"
lasts = "5s"
class = "lookup"
share = 0.02
factor = 10.0
[[incidents]]
kind = "node-death"
at = "6s"
lasts = "3s"
nodes = 1
[[incidents]]
kind = "list-outage"
at = "7s"
lasts = "4s"
[[incidents]]
kind = "planner-slow"
at = "8s"
lasts = "2s"
factor = 2.0
[[incidents]]
kind = "partition"
at = "9s"
lasts = "2s"
depots = ["north", "east"]
[[incidents]]
kind = "replace"
at = "10s"
lasts = "2s"
boxes = 2
each = "1s"
same_address = true
[[incidents]]
kind = "node-restart"
at = "12s"
nodes = 1
[[incidents]]
kind = "burst"
at = "13s"
lasts = "2s"
factor = 2.0
share = 0.3
keys = 5
"#;

#[test]
fn a_seed_determines_the_trace_on_any_thread() {
    let (first, _) = trace(ALL_INCIDENTS, 1);
    let others: Vec<String> = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..3).map(|_| scope.spawn(|| trace(ALL_INCIDENTS, 1).0)).collect();
        threads.into_iter().map(|t| t.join().expect("a trace")).collect()
    });
    assert!(others.iter().all(|other| *other == first));
    assert_ne!(trace(ALL_INCIDENTS, 2).0, first);
}

/// The digest of one short trace is the same on every machine and at every optimisation level.
#[test]
fn a_trace_is_the_same_on_every_machine() {
    let (text, _) = trace("", 7);
    let digest = twox_hash::XxHash3_64::oneshot(text.as_bytes());
    let lines = text.lines().count();
    assert!(lines > 10_000, "{lines}");
    // The digest changes with the simulation model or the balancer, never with the machine.
    let known = include_str!("trace-digest.txt").trim();
    assert_eq!(format!("{digest:016x}"), known, "{lines} lines");
}

#[test]
fn the_balancer_keeps_the_rules_under_many_faults() {
    for seed in 1..=6 {
        let (_, verdict) = trace(ALL_INCIDENTS, seed);
        assert!(verdict.is_clean(), "seed {seed}: {:?}", verdict.first_violations);
        assert_eq!(verdict.stale, 0, "seed {seed}");
    }
}

#[test]
fn a_node_crash_loses_open_requests_and_breaks_no_rule() {
    let node_death = "[[incidents]]\nkind = \"node-death\"\nat = \"5s\"\nlasts = \"5s\"\nnodes = 3\n";
    let (text, verdict) = trace(node_death, 3);
    assert!(verdict.is_clean(), "{:?}", verdict.first_violations);
    assert_eq!(text.matches("\"node-down\"").count(), 3);
    assert_eq!(text.matches("\"node-up\"").count(), 6);
    let seconds = &verdict.seconds;
    let share = |from: usize, to: usize| {
        let (served, asked) =
            seconds[from..to].iter().fold((0.0, 0.0), |a, s| (a.0 + s.served, a.1 + s.asked));
        served / asked
    };
    assert!(share(6, 9) < 0.05 && share(12, 18) > 0.8, "down {} and back {}", share(6, 9), share(12, 18));
}

#[test]
fn abandoned_requests_need_no_answer() {
    let mut scenario = scenario("");
    scenario.clients.abandons = hallpin_simulation::range::Range::single(0.3);
    let day = scenario.draw(1).expect("a day");
    let checker =
        World::new(&day, &policy::balancer_policy, InvariantChecker::new(&day)).expect("a world").run().sink;
    let verdict = checker.verdict();
    assert!(verdict.is_clean(), "{:?}", verdict.first_violations);
    assert!(verdict.losses.contains_key(&Loss::NoAnswer), "{:?}", verdict.losses);
}

/// Overlapping incidents on one box: it stays silent until the last silence has ended, and restarts once.
#[test]
fn overlapping_incidents_on_one_box_restart_it_once() {
    let incidents = r#"
[[boxes]]
kind = "only"
count = 1
cores = 24.0
waiting_per_core = 10.0
[[incidents]]
kind = "silent"
at = "3s"
lasts = "4s"
boxes = 1
[[incidents]]
kind = "slow"
at = "4s"
lasts = "12s"
boxes = 1
factor = 2.0
[[incidents]]
kind = "silent"
at = "5s"
lasts = "5s"
boxes = 1
"#;
    let (text, verdict) = trace(incidents, 2);
    assert!(verdict.is_clean(), "{:?}", verdict.first_violations);
    let at = |event: &str| -> Vec<u64> {
        let line = |line: &str| serde_json::from_str::<Line>(line).expect("a line").at.0;
        text.lines().filter(|l| l.contains(event)).map(line).collect()
    };
    assert_eq!(at("\"box-down\""), [3_000_000]);
    assert_eq!(at("\"box-up\""), [0, 10_000_000], "one restart, after the later silence has ended");
}

/// A client gives up a try and retries while the box still works on the first one: each try gets at most one answer.
#[test]
fn a_retry_during_its_first_try_is_answered_once() {
    let mut scenario =
        scenario("[[incidents]]\nkind = \"slow\"\nat = \"2s\"\nlasts = \"15s\"\npart = 1.0\nfactor = 12.0\n");
    scenario.clients.rate = hallpin_simulation::range::Range::single(20.0);
    scenario.clients.retries = hallpin_simulation::range::Range::single(2);
    let day = scenario.draw(4).expect("a day");
    let (mut tries, mut received, mut retries) =
        (std::collections::BTreeMap::new(), std::collections::BTreeMap::new(), 0);
    let mut checker = InvariantChecker::new(&day);
    let sink = |at: Time, event: &Event| {
        match event {
            Event::TryAccepted { ask, .. } => {
                let tries = tries.entry(*ask).or_insert(0);
                *tries += 1;
                retries += u32::from(*tries > 1);
            }
            Event::Received { ask, .. } => *received.entry(*ask).or_insert(0) += 1,
            _ => {}
        }
        hallpin_simulation::trace::Sink::record(&mut checker, at, event);
    };
    let _ = World::new(&day, &policy::balancer_policy, sink).expect("a world").run();
    let verdict = checker.verdict();
    assert!(verdict.is_clean(), "{:?}", verdict.first_violations);
    assert!(retries > 20, "{retries} retries");
    assert!(received.values().all(|n| *n == 1));
}

/// Cancels each first attempt after a fixed time and sends the request to another box.
#[derive(Default)]
struct FixedTimeout {
    servers: Vec<ServerId>,
    open: BTreeSet<u64>,
}

impl FixedTimeout {
    /// Seconds until the first attempt is cancelled.
    const FIRST_ATTEMPT_TIMEOUT_S: f64 = 0.03;

    fn send(&self, request: u64, attempt: u64, actions: &mut Vec<Action>) {
        let server = self.servers[(request + attempt) as usize % self.servers.len()].clone();
        actions.push(Action::Send { request: RequestId(request), server, timeout: None });
    }
}

impl Policy for FixedTimeout {
    fn handle(&mut self, _: f64, event: decisions::Event, _: &dyn WorldView, actions: &mut Vec<Action>) {
        match event {
            decisions::Event::Endpoints(EndpointUpdate::Cached(list) | EndpointUpdate::Full(list)) => {
                self.servers = list.into_iter().map(|entry| entry.server).collect();
            }
            decisions::Event::Request(new) => {
                self.open.insert(new.id.0);
                self.send(new.id.0, 0, actions);
                actions.push(Action::SetTimer {
                    token: TimerToken(new.id.0),
                    after: Self::FIRST_ATTEMPT_TIMEOUT_S,
                });
            }
            decisions::Event::Timer(TimerToken(id)) if self.open.contains(&id) => {
                actions.push(Action::Cancel { request: RequestId(id), attempt: AttemptId(0) });
                self.send(id, 1, actions);
            }
            decisions::Event::Outcome(outcome) if outcome.finished => {
                self.open.remove(&outcome.request.0);
            }
            _ => {}
        }
    }
}

/// An answer that crosses the cancellation of its attempt is dropped, and the other attempt's answer is given once.
#[test]
fn an_answer_that_crosses_a_cancel_is_dropped_and_the_request_is_answered_once() {
    let day =
        scenario("[[classes]]\nname = \"lookup\"\nwork = \"10ms\"\naim = \"500ms\"\ndeadline = \"1s\"\n")
            .draw(1)
            .expect("a day");
    let (mut events, mut checker) = (Vec::new(), InvariantChecker::new(&day));
    let sink = |at: Time, event: &Event| {
        events.push(event.clone());
        hallpin_simulation::trace::Sink::record(&mut checker, at, event);
    };
    let start = |_, _| Ok(Box::<FixedTimeout>::default() as Box<dyn Policy>);
    let _ = World::new(&day, &start, sink).expect("a world").run();
    let worked: BTreeSet<u64> = events
        .iter()
        .scan(BTreeSet::new(), |worked, event| {
            let crossed = match event {
                Event::Worked { id, attempt: 0, .. } => {
                    worked.insert(*id);
                    None
                }
                Event::Ended { id, attempt: 0, how } => {
                    (worked.remove(id) && *how == AttemptOutcome::Cancelled).then_some(*id)
                }
                _ => None,
            };
            Some(crossed)
        })
        .flatten()
        .collect();
    assert!(worked.len() > 5, "too few answers crossed a cancel: {}", worked.len());
    for id in worked {
        let answers: Vec<&TryOutcome> = events
            .iter()
            .filter_map(|e| match e {
                Event::Answered { id: of, how, .. } if *of == id => Some(how),
                _ => None,
            })
            .collect();
        assert!(answers.len() <= 1, "{id}: {answers:?}");
        let second = |e: &Event| matches!(e, Event::Ended { id: of, attempt: 1, .. } if *of == id);
        assert!(events.iter().any(second), "{id}: the other attempt has no outcome");
    }
    // This policy lets requests wait until their deadlines, which violates `Rule::Waited` and no other rule.
    let verdict = checker.verdict();
    assert!(verdict.violations.keys().all(|rule| *rule == Rule::Waited), "{:?}", verdict.first_violations);
}

fn run_mixed(seed: u64) -> Verdict {
    let day = Scenario::parse(include_str!("../../../scenarios/mixed.toml")).expect("a scenario").draw(seed);
    let day = day.expect("a day");
    let mut checker = InvariantChecker::new(&day);
    let sink = |at: Time, event: &Event| hallpin_simulation::trace::Sink::record(&mut checker, at, event);
    let _ = World::new(&day, &policy::balancer_policy, sink).expect("a world").run();
    checker.verdict()
}

/// Expensive requests reach boxes that restart with a cold cache: none of these boxes crashes from overload.
#[test]
fn cold_boxes_withstand_expensive_requests() {
    for seed in [11, 69, 205] {
        let verdict = run_mixed(seed);
        assert!(verdict.is_clean(), "seed {seed}: {:?}", verdict.first_violations);
    }
}

/// A box that restarts cold and slow withstands a seventh of the load of a cold one. The balancer must react to late
/// reads there, and nodes must not all send to a restarted box at once.
#[test]
fn a_cold_and_slow_box_withstands_its_load() {
    let verdict = run_mixed(115);
    assert!(verdict.is_clean(), "{:?}", verdict.first_violations);
}

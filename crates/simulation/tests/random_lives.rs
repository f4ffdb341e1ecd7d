//! Random legal event sequences for the balancer, checked by the invariant checker of simulated runs.
//!
//! The sequences are denser than any simulated run: frequent list changes, outcomes of every kind in any order, client
//! cancellations and health checks. The balancer's actions are recorded as a trace, and only the trace is checked.

use std::collections::BTreeMap;

use hallpin_balancer::{
    self as decisions, Action, AttemptId, Balancer, CacheNote, EndpointEntry, EndpointUpdate, Key,
    NewRequest, Outcome, RequestId, Seconds, ServerId, ServerState, Settings, Status, TimerToken,
};
use hallpin_simulation::invariants::{InvariantChecker, Rule, Verdict};
use hallpin_simulation::list::Phase;
use hallpin_simulation::random::RandomStream;
use hallpin_simulation::run_spec::{Effect, RunSpec};
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::{Event, Sink, TryOutcome};

/// Number of boxes on the node's list; the run has twelve boxes.
const LISTED: usize = 8;
/// Number of keys that requests are drawn from; few, so that requests share keys.
const KEYS: u64 = 50;

/// The default run, with one class for each effect: free, guarded and single-shot.
fn day() -> RunSpec {
    let mut day = Scenario::default().draw(1).expect("the defaults make a day");
    let read = day.classes[0].clone();
    day.classes = [("read", Effect::Free), ("keyed", Effect::Guarded), ("once", Effect::SingleShot)]
        .into_iter()
        .map(|(name, effect)| hallpin_simulation::run_spec::ClassSpec {
            name: name.into(),
            effect,
            ..read.clone()
        })
        .collect();
    day
}

fn entry(of: usize, state: ServerState, started: Option<Seconds>) -> EndpointEntry {
    EndpointEntry {
        server: ServerId(format!("box-{of}").as_str().into()),
        state,
        zone: if of.is_multiple_of(2) { "here" } else { "there" }.into(),
        weight: 1.0,
        kind: "box".into(),
        started,
        cell: of as u64 / 4,
    }
}

fn box_index(server: &ServerId) -> usize {
    server.0.strip_prefix("box-").and_then(|n| n.parse().ok()).expect("a box of this test")
}

fn phase(state: ServerState) -> Phase {
    match state {
        ServerState::Ready => Phase::Ready,
        ServerState::Draining => Phase::Draining,
        _ => Phase::Gone,
    }
}

/// An accepted request: the time when its client stops waiting, and the send time and outcome of each attempt.
struct OpenRequest {
    until: Seconds,
    attempts: Vec<(Seconds, Option<Status>)>,
    finished: bool,
}

/// One run of a balancer whose actions are recorded as a trace and checked. `tamper` may change the actions before
/// they are recorded and applied.
struct BalancerRun {
    balancer: Balancer,
    checker: InvariantChecker,
    rng: RandomStream,
    now: Seconds,
    open: BTreeMap<u64, OpenRequest>,
    timers: Vec<(Seconds, TimerToken)>,
    list: Vec<EndpointEntry>,
    sends: u32,
}

impl BalancerRun {
    fn new(seed: u64, day: &RunSpec) -> Self {
        let mut settings = Settings::from_json(&day.settings(0)).expect("the day's settings");
        settings.limits.health_checks = seed.is_multiple_of(2);
        let balancer = Balancer::new(settings, seed).expect("settings are valid");
        let list = (0..LISTED).map(|of| entry(of, ServerState::Ready, None)).collect();
        BalancerRun {
            balancer,
            checker: InvariantChecker::new(day),
            rng: RandomStream::new(seed, "random life"),
            now: 50.0,
            open: BTreeMap::new(),
            timers: Vec::new(),
            list,
            sends: 0,
        }
    }

    fn at(&self) -> Time {
        Time((self.now * 1e6) as u64)
    }

    fn record(&mut self, event: Event) {
        let at = self.at();
        self.checker.record(at, &event);
    }

    fn record_list_change(&mut self, entries: &[EndpointEntry]) {
        for e in entries {
            let started = e.started.map(|s| Time((s * 1e6) as u64));
            self.record(Event::Notified {
                node: 0,
                of: box_index(&e.server),
                phase: phase(e.state),
                started,
            });
        }
    }

    /// Passes one event to the balancer, and records and applies its actions.
    fn handle(&mut self, event: decisions::Event, tamper: &impl Fn(&mut Vec<Action>)) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        tamper(&mut actions);
        for action in actions {
            self.apply_action(action);
        }
    }

    fn apply_action(&mut self, action: Action) {
        match action {
            Action::Send { request, server, .. } => {
                let Some(open) = self.open.get_mut(&request.0) else { return };
                let attempt = open.attempts.len() as u32;
                open.attempts.push((self.now, None));
                self.sends += 1;
                self.record(Event::Sent {
                    id: request.0,
                    attempt,
                    node: 0,
                    to: box_index(&server),
                    crosses: false,
                    wait: None,
                });
            }
            Action::Reject { request, retry_after } => {
                self.mark_answered(request);
                let advice = retry_after.map(|s| Span((s * 1e6) as u64));
                self.record(Event::Answered {
                    id: request.0,
                    how: TryOutcome::Rejected,
                    version: None,
                    advice,
                });
            }
            Action::Fail(request) => {
                self.mark_answered(request);
                self.record(Event::Answered {
                    id: request.0,
                    how: TryOutcome::Failed,
                    version: None,
                    advice: None,
                })
            }
            Action::SetTimer { token, after } => self.timers.push((self.now + after.max(0.001), token)),
            _ => {}
        }
    }

    /// Marks a request as finally answered; later outcomes of its attempts no longer reach the client.
    fn mark_answered(&mut self, request: RequestId) {
        if let Some(open) = self.open.get_mut(&request.0) {
            open.finished = true;
        }
    }

    /// Sends a new request of a random class and key.
    fn send_request(&mut self, id: u64, tamper: &impl Fn(&mut Vec<Action>)) {
        let class = [0, 0, 1, 2][self.rng.below(4) as usize];
        let time_left = 0.05 + self.rng.below(100) as f64 * 0.01;
        let key = self.rng.below(KEYS);
        self.open
            .insert(id, OpenRequest { until: self.now + time_left, attempts: Vec::new(), finished: false });
        self.record(Event::RequestStarted { ask: id, class, tenant: None, key: key as u32, work: 50_000.0 });
        let until = Time(((self.now + time_left) * 1e6) as u64);
        self.record(Event::TryAccepted { id, ask: id, node: 0, until });
        let request = NewRequest {
            id: RequestId(id),
            time_left,
            class: Some(decisions::ClassId(class)),
            tenant: None,
            key: Some(Key(key)),
            write: class != 0,
            work_hint: None,
        };
        self.handle(decisions::Event::Request(request), tamper);
    }

    /// Ends attempts at random, and at the client's deadline at the latest, as a node does.
    fn end_attempts(&mut self, tamper: &impl Fn(&mut Vec<Action>)) {
        const STATUSES: [Status; 9] = [
            Status::Success,
            Status::Success,
            Status::Error,
            Status::Overloaded,
            Status::TimedOut,
            Status::Unreachable,
            Status::Broken,
            Status::Absent,
            Status::Unknown,
        ];
        let unfinished: Vec<(u64, usize, bool)> = self
            .open
            .iter()
            .flat_map(|(&id, r)| {
                let expired = self.now >= r.until;
                let waiting = r.attempts.iter().enumerate().filter(|(_, (_, status))| status.is_none());
                waiting.map(move |(index, _)| (id, index, expired))
            })
            .collect();
        for (id, index, expired) in unfinished {
            if !expired && self.rng.below(40) > 0 {
                continue;
            }
            let status = if expired { Status::TimedOut } else { STATUSES[self.rng.below(9) as usize] };
            let r = self.open.get_mut(&id).expect("an open request");
            let (sent, _) = r.attempts[index];
            r.attempts[index].1 = Some(status);
            let served = !r.finished && status == Status::Success;
            let finished = r.finished || served;
            r.finished = finished;
            let note = (status == Status::Success).then_some(CacheNote::Hit);
            self.record(Event::Ended { id, attempt: index as u32, how: status.into() });
            if served {
                self.record(Event::Answered {
                    id,
                    how: TryOutcome::Completed,
                    version: Some(0),
                    advice: None,
                });
            }
            let attempt = AttemptId(index as u32);
            let outcome = Outcome {
                request: RequestId(id),
                attempt,
                status,
                elapsed: self.now - sent,
                finished,
                cache_note: note,
            };
            self.handle(decisions::Event::Outcome(outcome), tamper);
        }
    }

    /// Changes the state of a random box on the list.
    fn change_box_state(&mut self, tamper: &impl Fn(&mut Vec<Action>)) {
        let of = self.rng.below(LISTED as u64) as usize;
        let states = [ServerState::Ready, ServerState::Draining, ServerState::Gone];
        let state = states[self.rng.below(3) as usize];
        self.list[of] = entry(of, state, (state == ServerState::Ready).then_some(self.now));
        let changed = vec![self.list[of].clone()];
        self.record_list_change(&changed);
        self.handle(decisions::Event::Endpoints(EndpointUpdate::Delta(changed)), tamper);
    }

    /// Advances the time by `by` seconds; timers expire and attempts end.
    fn advance(&mut self, by: Seconds, tamper: &impl Fn(&mut Vec<Action>)) {
        self.now += by;
        let now = self.now;
        let (due, waiting) = self.timers.drain(..).partition::<Vec<_>, _>(|&(at, _)| at <= now);
        self.timers = waiting;
        for (_, token) in due {
            self.handle(decisions::Event::Timer(token), tamper);
        }
        self.end_attempts(tamper);
    }

    fn step(&mut self, next_id: &mut u64, tamper: &impl Fn(&mut Vec<Action>)) {
        let by = self.rng.below(8) as f64 * 0.001;
        self.advance(by, tamper);
        match self.rng.below(10) {
            0..=5 => {
                *next_id += 1;
                self.send_request(*next_id, tamper);
            }
            6 => self.change_box_state(tamper),
            7 if self.rng.below(4) == 0 && *next_id > 0 => {
                let id = 1 + self.rng.below(*next_id);
                if self.open.get_mut(&id).is_some_and(|r| !std::mem::replace(&mut r.finished, true)) {
                    self.record(Event::Abandoned { id });
                }
                self.handle(decisions::Event::ClientLeft(RequestId(id)), tamper);
            }
            8 => {
                let server = self.list[self.rng.below(LISTED as u64) as usize].server.clone();
                self.handle(decisions::Event::HealthChecked { server, status: Status::Success }, tamper);
            }
            _ => {}
        }
    }
}

/// Runs `steps` random steps; returns the verdict and the number of attempts sent.
fn run_random_steps(seed: u64, steps: u32, tamper: impl Fn(&mut Vec<Action>)) -> (Verdict, u32) {
    let day = day();
    let mut run = BalancerRun::new(seed, &day);
    let list = run.list.clone();
    run.record_list_change(&list);
    run.handle(decisions::Event::Endpoints(EndpointUpdate::Full(list)), &tamper);
    let mut next_id = 0;
    for _ in 0..steps {
        run.step(&mut next_id, &tamper);
    }
    // No new requests while the last ones reach their deadlines.
    for _ in 0..2_000 {
        run.advance(0.001, &tamper);
    }
    run.record(Event::RunEnded);
    (run.checker.verdict(), run.sends)
}

/// The rules that a verdict reports as violated, with the first three violations as text.
fn violations(verdict: &Verdict) -> (Vec<Rule>, String) {
    let told = verdict.first_violations.iter().take(3).map(|b| format!("{:?}: {}", b.rule, b.what)).collect();
    (verdict.violations.keys().copied().collect(), told)
}

#[test]
fn rules_hold_for_random_events() {
    for seed in 1..=16 {
        let (verdict, sends) = run_random_steps(seed, 2000, |_| {});
        assert_eq!(violations(&verdict).0, [], "seed {seed}: {}", violations(&verdict).1);
        assert!(sends > 50, "seed {seed}: {sends} sends");
    }
}

/// The checker detects tampered actions: each kind of tampering violates its rule.
#[test]
fn the_checker_detects_planted_violations() {
    let send_twice = |actions: &mut Vec<Action>| {
        let sends: Vec<_> = actions.iter().filter(|a| matches!(a, Action::Send { .. })).cloned().collect();
        actions.extend(sends);
    };
    let drop_failures = |actions: &mut Vec<Action>| actions.retain(|a| !matches!(a, Action::Fail(_)));
    let reject_failures = |actions: &mut Vec<Action>| {
        for action in actions.iter_mut() {
            if let Action::Fail(request) = action {
                *action = Action::Reject { request: *request, retry_after: Some(0.1) };
            }
        }
    };
    assert!(violations(&run_random_steps(1, 3000, send_twice).0).0.contains(&Rule::Repeated));
    assert!(violations(&run_random_steps(1, 6000, drop_failures).0).0.contains(&Rule::Lost));
    assert!(violations(&run_random_steps(1, 6000, reject_failures).0).0.contains(&Rule::Repeated));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let actions = || {
        let log = std::cell::RefCell::new(String::new());
        run_random_steps(5, 3000, |actions| log.borrow_mut().push_str(&format!("{actions:?}\n")));
        log.into_inner()
    };
    assert!(actions() == actions());
}

//! Arbitrary legal event sequences of the decision module, judged by the referee that judges every emulated day.
//!
//! The module meets what no drawn day brings in such density: lists that change at each step, outcomes of every
//! kind in any order, withdrawals, probes. Its actions are written as a trace and nothing else is asked of it.

use std::collections::BTreeMap;

use hallpin_balancer::{
    self as decisions, Action, AttemptId, Balancer, CacheNote, EndpointEntry, EndpointUpdate, Key,
    NewRequest, Outcome, RequestId, Seconds, ServerId, ServerState, Settings, Status, TimerToken,
};
use hallpin_simulation::chance::Chance;
use hallpin_simulation::day::{Day, Effect};
use hallpin_simulation::list::Phase;
use hallpin_simulation::referee::{Referee, Rule, Verdict};
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::{Event, How, Sink};

/// Boxes on the node's list, of the day's twelve.
const LISTED: usize = 8;
/// Keys that requests are drawn from: few, so that requests meet.
const KEYS: u64 = 50;

/// The default day, with a class of each effect: free, guarded, single-shot.
fn day() -> Day {
    let mut day = Scenario::default().draw(1).expect("the defaults make a day");
    let read = day.classes[0].clone();
    day.classes = [("read", Effect::Free), ("keyed", Effect::Guarded), ("once", Effect::SingleShot)]
        .into_iter()
        .map(|(name, effect)| hallpin_simulation::day::ClassSpec {
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

fn box_of(server: &ServerId) -> usize {
    server.0.strip_prefix("box-").and_then(|n| n.parse().ok()).expect("a box of this test")
}

fn phase(state: ServerState) -> Phase {
    match state {
        ServerState::Ready => Phase::Ready,
        ServerState::Draining => Phase::Draining,
        _ => Phase::Gone,
    }
}

/// A request as the test keeps it: when its client stops waiting, and its attempts' outcomes so far.
struct Open {
    until: Seconds,
    attempts: Vec<(Seconds, Option<Status>)>,
    over: bool,
}

/// One life of a node, its actions written down as a trace and judged. `tamper` may change the actions before
/// they are written and carried out.
struct Life {
    balancer: Balancer,
    referee: Referee,
    chance: Chance,
    now: Seconds,
    open: BTreeMap<u64, Open>,
    timers: Vec<(Seconds, TimerToken)>,
    list: Vec<EndpointEntry>,
    sends: u32,
}

impl Life {
    fn new(seed: u64, day: &Day) -> Self {
        let mut settings = Settings::from_json(&day.settings(0)).expect("the day's settings");
        settings.limits.health_checks = seed.is_multiple_of(2);
        let balancer = Balancer::new(settings, seed).expect("settings are valid");
        let list = (0..LISTED).map(|of| entry(of, ServerState::Ready, None)).collect();
        Life {
            balancer,
            referee: Referee::new(day),
            chance: Chance::new(seed, "random life"),
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
        self.referee.record(at, &event);
    }

    fn tell(&mut self, entries: &[EndpointEntry]) {
        for e in entries {
            let started = e.started.map(|s| Time((s * 1e6) as u64));
            self.record(Event::Told { node: 0, of: box_of(&e.server), phase: phase(e.state), started });
        }
    }

    /// Hands one event to the module and writes down and carries out what it does.
    fn handle(&mut self, event: decisions::Event, tamper: &impl Fn(&mut Vec<Action>)) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        tamper(&mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
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
                    to: box_of(&server),
                    crosses: false,
                    wait: None,
                });
            }
            Action::Reject { request, retry_after } => {
                self.close(request);
                let advice = retry_after.map(|s| Span((s * 1e6) as u64));
                self.record(Event::Answered { id: request.0, how: How::Rejected, version: None, advice });
            }
            Action::Fail(request) => {
                self.close(request);
                self.record(Event::Answered { id: request.0, how: How::Failed, version: None, advice: None })
            }
            Action::SetTimer { token, after } => self.timers.push((self.now + after.max(0.001), token)),
            _ => {}
        }
    }

    /// The request has its final answer: what its attempts bring from now on is of no use to its client.
    fn close(&mut self, request: RequestId) {
        if let Some(open) = self.open.get_mut(&request.0) {
            open.over = true;
        }
    }

    /// A new request of a drawn class and key.
    fn request(&mut self, id: u64, tamper: &impl Fn(&mut Vec<Action>)) {
        let class = [0, 0, 1, 2][self.chance.below(4) as usize];
        let left = 0.05 + self.chance.below(100) as f64 * 0.01;
        let key = self.chance.below(KEYS);
        self.open.insert(id, Open { until: self.now + left, attempts: Vec::new(), over: false });
        self.record(Event::Asked { ask: id, class, tenant: None, key: key as u32, work: 50_000.0 });
        let until = Time(((self.now + left) * 1e6) as u64);
        self.record(Event::Taken { id, ask: id, node: 0, until });
        let new = NewRequest {
            id: RequestId(id),
            time_left: left,
            class: Some(decisions::ClassId(class)),
            tenant: None,
            key: Some(Key(key)),
            write: class != 0,
            work_hint: None,
        };
        self.handle(decisions::Event::Request(new), tamper);
    }

    /// Attempts end at random, and at the client's deadline at the latest, as a host sees to.
    fn outcomes(&mut self, tamper: &impl Fn(&mut Vec<Action>)) {
        const ENDS: [Status; 9] = [
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
        let out: Vec<(u64, usize, bool)> = self
            .open
            .iter()
            .flat_map(|(&id, r)| {
                let over = self.now >= r.until;
                let waiting = r.attempts.iter().enumerate().filter(|(_, (_, status))| status.is_none());
                waiting.map(move |(index, _)| (id, index, over))
            })
            .collect();
        for (id, index, over) in out {
            if !over && self.chance.below(40) > 0 {
                continue;
            }
            let status = if over { Status::TimedOut } else { ENDS[self.chance.below(9) as usize] };
            let r = self.open.get_mut(&id).expect("an open request");
            let (sent, _) = r.attempts[index];
            r.attempts[index].1 = Some(status);
            let served = !r.over && status == Status::Success;
            let finished = r.over || served;
            r.over = finished;
            let note = (status == Status::Success).then_some(CacheNote::Hit);
            self.record(Event::Ended { id, attempt: index as u32, how: status.into() });
            if served {
                self.record(Event::Answered { id, how: How::Completed, version: Some(0), advice: None });
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

    /// A box on the list changes its state.
    fn change(&mut self, tamper: &impl Fn(&mut Vec<Action>)) {
        let of = self.chance.below(LISTED as u64) as usize;
        let states = [ServerState::Ready, ServerState::Draining, ServerState::Gone];
        let state = states[self.chance.below(3) as usize];
        self.list[of] = entry(of, state, (state == ServerState::Ready).then_some(self.now));
        let changed = vec![self.list[of].clone()];
        self.tell(&changed);
        self.handle(decisions::Event::Endpoints(EndpointUpdate::Delta(changed)), tamper);
    }

    /// Time passes by `by` seconds: timers ring, attempts end.
    fn pass(&mut self, by: Seconds, tamper: &impl Fn(&mut Vec<Action>)) {
        self.now += by;
        let now = self.now;
        let (due, waiting) = self.timers.drain(..).partition::<Vec<_>, _>(|&(at, _)| at <= now);
        self.timers = waiting;
        for (_, token) in due {
            self.handle(decisions::Event::Timer(token), tamper);
        }
        self.outcomes(tamper);
    }

    fn step(&mut self, next_id: &mut u64, tamper: &impl Fn(&mut Vec<Action>)) {
        let by = self.chance.below(8) as f64 * 0.001;
        self.pass(by, tamper);
        match self.chance.below(10) {
            0..=5 => {
                *next_id += 1;
                self.request(*next_id, tamper);
            }
            6 => self.change(tamper),
            7 if self.chance.below(4) == 0 && *next_id > 0 => {
                let id = 1 + self.chance.below(*next_id);
                if self.open.get_mut(&id).is_some_and(|r| !std::mem::replace(&mut r.over, true)) {
                    self.record(Event::Abandoned { id });
                }
                self.handle(decisions::Event::ClientLeft(RequestId(id)), tamper);
            }
            8 => {
                let server = self.list[self.chance.below(LISTED as u64) as usize].server.clone();
                self.handle(decisions::Event::HealthChecked { server, status: Status::Success }, tamper);
            }
            _ => {}
        }
    }
}

/// One random life of `steps` steps; its verdict and the attempts sent.
fn play(seed: u64, steps: u32, tamper: impl Fn(&mut Vec<Action>)) -> (Verdict, u32) {
    let day = day();
    let mut life = Life::new(seed, &day);
    let list = life.list.clone();
    life.tell(&list);
    life.handle(decisions::Event::Endpoints(EndpointUpdate::Full(list)), &tamper);
    let mut next_id = 0;
    for _ in 0..steps {
        life.step(&mut next_id, &tamper);
    }
    // Nothing new comes while the last requests' time runs out.
    for _ in 0..2_000 {
        life.pass(0.001, &tamper);
    }
    life.record(Event::DayOver);
    (life.referee.verdict(), life.sends)
}

/// Which rules a verdict finds broken, with its first words on them.
fn broken(verdict: &Verdict) -> (Vec<Rule>, String) {
    let told = verdict.told.iter().take(3).map(|b| format!("{:?}: {}", b.rule, b.what)).collect();
    (verdict.breaches.keys().copied().collect(), told)
}

#[test]
fn rules_hold_in_random_lives() {
    for seed in 1..=16 {
        let (verdict, sends) = play(seed, 2000, |_| {});
        assert_eq!(broken(&verdict).0, [], "seed {seed}: {}", broken(&verdict).1);
        assert!(sends > 50, "seed {seed}: {sends} sends");
    }
}

/// The referee finds what is planted: each tampering breaks the rule that it is for.
#[test]
fn the_referee_catches_planted_violations() {
    let twice = |actions: &mut Vec<Action>| {
        let sends: Vec<_> = actions.iter().filter(|a| matches!(a, Action::Send { .. })).cloned().collect();
        actions.extend(sends);
    };
    let mute = |actions: &mut Vec<Action>| actions.retain(|a| !matches!(a, Action::Fail(_)));
    let eager = |actions: &mut Vec<Action>| {
        for action in actions.iter_mut() {
            if let Action::Fail(request) = action {
                *action = Action::Reject { request: *request, retry_after: Some(0.1) };
            }
        }
    };
    assert!(broken(&play(1, 3000, twice).0).0.contains(&Rule::Repeated));
    assert!(broken(&play(1, 6000, mute).0).0.contains(&Rule::Lost));
    assert!(broken(&play(1, 6000, eager).0).0.contains(&Rule::Repeated));
}

#[test]
fn the_same_events_give_the_same_actions() {
    let actions = || {
        let log = std::cell::RefCell::new(String::new());
        play(5, 3000, |actions| log.borrow_mut().push_str(&format!("{actions:?}\n")));
        log.into_inner()
    };
    assert!(actions() == actions());
}

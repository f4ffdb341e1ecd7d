//! Builders of events, and helpers that run the invariant checker on them.

use hallpin_simulation::invariants::{InvariantChecker, Rule, Verdict};
use hallpin_simulation::list::Phase;
use hallpin_simulation::run_spec::{Effect, RunSpec};
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::{AttemptOutcome, Event, Sink, TryOutcome};

pub const MS: u64 = 1000;
pub const READ: usize = 0;
pub const WRITE: usize = 1;
pub const ONCE: usize = 2;

/// The default scenario with seed 1, and a third class whose requests must not run twice.
pub fn day() -> RunSpec {
    let mut day = Scenario::default().draw(1).expect("the defaults make a day");
    let mut once = day.classes[READ].clone();
    (once.name, once.effect) = ("once".into(), Effect::SingleShot);
    day.classes.push(once);
    day
}

/// Runs the checker on these events, with times in milliseconds, and ends the run at 70 s.
pub fn check(day: &RunSpec, events: &[(u64, Event)]) -> Verdict {
    let mut checker = InvariantChecker::new(day);
    let mut events = events.to_vec();
    events.sort_by_key(|(at, _)| *at);
    for (at, event) in &events {
        checker.record(Time(at * MS), event);
    }
    checker.record(Time(70_000 * MS), &Event::RunEnded);
    checker.verdict()
}

pub fn box_notified(of: usize, phase: Phase, started: Option<Time>) -> Event {
    Event::Notified { node: 0, of, phase, started }
}

pub fn asked(ask: u64, class: usize) -> Event {
    Event::RequestStarted { ask, class, tenant: None, key: 7, work: 50_000.0 }
}

pub fn accepted(id: u64, ask: u64, until: u64) -> Event {
    Event::TryAccepted { id, ask, node: 0, until: Time(until * MS) }
}

pub fn sent(id: u64, attempt: u32, to: usize) -> Event {
    Event::Sent { id, attempt, node: 0, to, crosses: false, wait: None }
}

pub fn ended(id: u64, attempt: u32, how: AttemptOutcome) -> Event {
    Event::Ended { id, attempt, how }
}

pub fn answered(id: u64, how: TryOutcome) -> Event {
    let advice = (how == TryOutcome::Rejected).then_some(Span::from_millis(10));
    Event::Answered { id, how, version: (how == TryOutcome::Completed).then_some(0), advice }
}

/// A request of this class that its first attempt serves.
pub fn good(class: usize) -> Vec<(u64, Event)> {
    vec![
        (0, box_notified(0, Phase::Ready, None)),
        (0, box_notified(1, Phase::Ready, None)),
        (100, asked(1, class)),
        (101, accepted(1, 1, 1100)),
        (102, sent(1, 0, 0)),
        (150, answered(1, TryOutcome::Completed)),
        (150, ended(1, 0, AttemptOutcome::Success)),
        (151, Event::Received { ask: 1, id: 1 }),
    ]
}

pub fn with(mut events: Vec<(u64, Event)>, more: Vec<(u64, Event)>) -> Vec<(u64, Event)> {
    events.extend(more);
    events
}

/// Asserts that the events violate exactly this rule, once.
pub fn assert_violates(what: &str, rule: Rule, events: Vec<(u64, Event)>) {
    let verdict = check(&day(), &events);
    assert_eq!(
        verdict.violations.into_iter().collect::<Vec<_>>(),
        [(rule, 1)],
        "{what}: {:?}",
        verdict.first_violations
    );
}

/// Asserts that the events violate no rule, and returns the result.
pub fn assert_clean(what: &str, events: Vec<(u64, Event)>) -> Verdict {
    let verdict = check(&day(), &events);
    assert!(verdict.is_clean(), "{what}: {:?}", verdict.first_violations);
    verdict
}

//! Faults of cache servers, of the origin and of other clients don't excuse a missing final answer.

use hallpin_simulation::invariants::Rule;
use hallpin_simulation::list::Phase;
use hallpin_simulation::time::Span;
use hallpin_simulation::trace::{AttemptOutcome, Event, TryOutcome};

use crate::events::*;

/// A request that is accepted and forwarded, and another one that is answered.
fn open_request() -> Vec<(u64, Event)> {
    vec![
        (0, box_notified(0, Phase::Ready, None)),
        (100, asked(1, READ)),
        (100, asked(2, READ)),
        (101, accepted(1, 1, 1100)),
        (101, accepted(2, 2, 1100)),
        (102, sent(1, 0, 0)),
        (102, sent(2, 0, 0)),
        (140, answered(2, TryOutcome::Completed)),
        (140, ended(2, 0, AttemptOutcome::Success)),
        (141, Event::Received { ask: 2, id: 2 }),
    ]
}

/// Faults elsewhere while the request is in flight, each with its events.
fn faults() -> Vec<(&'static str, Vec<(u64, Event)>)> {
    let incident = |what: &str| vec![(150, Event::FaultBegins { incident: 0, what: what.into() })];
    let notified = |phase| vec![(150, box_notified(0, phase, None))];
    let cold_start = Event::BoxUp {
        of: 0,
        capacity: 2.0,
        size: 1.0,
        cold: true,
        from: 0.1,
        ramp: Span::from_millis(20_000),
    };
    vec![
        ("nothing", vec![]),
        ("the server vanishes", vec![(150, Event::BoxDown { of: 0 })]),
        ("the server falls", vec![(150, Event::BoxCrashed { of: 0 })]),
        ("the server comes back", vec![(150, Event::BoxDown { of: 0 }), (900, cold_start)]),
        ("the server drains", notified(Phase::Draining)),
        ("the server is gone from the list", notified(Phase::Gone)),
        ("the connection breaks", vec![(150, ended(1, 0, AttemptOutcome::Broken))]),
        ("no connection comes up", vec![(150, ended(1, 0, AttemptOutcome::Unreachable))]),
        ("the server rejects it", vec![(150, ended(1, 0, AttemptOutcome::Overloaded))]),
        ("the server fails it", vec![(150, ended(1, 0, AttemptOutcome::Error))]),
        ("the attempt times out", vec![(1000, ended(1, 0, AttemptOutcome::TimedOut))]),
        ("it was never written", vec![(150, ended(1, 0, AttemptOutcome::Void))]),
        ("the origin stops", vec![(150, Event::PlannerStopped { overdriven: false })]),
        ("discovery fails", vec![(150, Event::CallFailed { node: 0 })]),
        ("a watch falls silent", vec![(150, Event::WatchSilent { node: 0, waits: None })]),
        ("servers are silent", incident("3 boxes go silent")),
        ("answers are lost", incident("50.0 % of the answers are lost")),
        ("clients are impatient", incident("clients leave 50 % of their tries")),
        ("another client leaves", {
            vec![(120, asked(3, READ)), (121, accepted(3, 3, 1100)), (150, Event::Abandoned { id: 3 })]
        }),
        ("another client gives up", { vec![(120, asked(3, READ)), (150, Event::GaveUp { ask: 3 })] }),
        ("another node is killed", vec![(150, Event::NodeDown { node: 1, planned: false })]),
    ]
}

#[test]
fn a_request_needs_its_answer_whatever_happens_to_servers_or_to_other_clients() {
    for (what, fault) in faults() {
        let unanswered = with(open_request(), fault);
        assert_violates(what, Rule::Lost, unanswered.clone());
        let (mut in_time, mut late) = (unanswered.clone(), unanswered.clone());
        in_time.push((1120, answered(1, TryOutcome::Failed)));
        assert!(!check(&day(), &in_time).violations.contains_key(&Rule::Lost), "{what}: at the grace");
        late.push((1121, answered(1, TryOutcome::Failed)));
        assert!(check(&day(), &late).violations.contains_key(&Rule::Lost), "{what}: later");
        // The request's own client gives up, but only at its deadline.
        let waited = vec![(1100, Event::Abandoned { id: 1 }), (1101, Event::GaveUp { ask: 1 })];
        assert_violates(what, Rule::Lost, with(unanswered, waited));
    }
}

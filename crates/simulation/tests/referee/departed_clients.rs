//! Clients that have disconnected or cancelled: no attempt starts for them.

use hallpin_simulation::history::with_leeway;
use hallpin_simulation::invariants::Rule;
use hallpin_simulation::list::Phase;
use hallpin_simulation::time::Span;
use hallpin_simulation::trace::{AttemptOutcome, Event, TryOutcome};

use crate::events::*;

const LEFT: u64 = 300;

/// A request whose client leaves, and an attempt that starts `after` milliseconds later: the first or a further one.
fn attempt_after_leaving(id: u64, after: u64, first: bool) -> Vec<(u64, Event)> {
    let mut events =
        vec![(100, asked(id, READ)), (101, accepted(id, id, 1900)), (LEFT, Event::Abandoned { id })];
    if !first {
        events.extend([(102, sent(id, 0, 0)), (200, ended(id, 0, AttemptOutcome::Broken))]);
    }
    let attempt = u32::from(!first);
    events.extend([
        (LEFT + after, sent(id, attempt, 1)),
        (LEFT + after + 5, ended(id, attempt, AttemptOutcome::Success)),
    ]);
    events
}

/// Violations of `times` requests of `attempt_after_leaving`, with a leeway of 50 ms as on sockets.
fn violations(times: u64, after: u64, first: bool) -> Vec<(Rule, u64)> {
    let listed = (0..2).map(|of| (0, box_notified(of, Phase::Ready, None))).collect();
    let events = (1..=times).fold(listed, |events, id| with(events, attempt_after_leaving(id, after, first)));
    let day = with_leeway(&day(), Span::from_millis(50));
    check(&day, &events).violations.into_iter().collect()
}

#[test]
fn each_attempt_started_over_100_ms_after_its_client_left_is_a_violation() {
    for first in [true, false] {
        assert_eq!(violations(1, 101, first), [(Rule::Gone, 1)], "the first");
        assert_eq!(violations(4, 101, first), [(Rule::Gone, 4)], "and each one after it");
        assert_eq!(violations(50, 100, first), [], "crossing the disconnect within the time");
    }
}

/// A client that waited until its deadline still needs an answer within the grace period, but no attempt.
#[test]
fn no_attempt_starts_for_a_client_that_waited_until_its_deadline() {
    const UNTIL: u64 = 1100;
    let attempt_after_leaving = |after: u64| {
        vec![
            (0, box_notified(0, Phase::Ready, None)),
            (100, asked(1, READ)),
            (101, accepted(1, 1, UNTIL)),
            (UNTIL, Event::Abandoned { id: 1 }),
            (UNTIL + after, sent(1, 0, 0)),
            (UNTIL + after + 5, ended(1, 0, AttemptOutcome::Success)),
            (UNTIL + after + 5, answered(1, TryOutcome::Completed)),
        ]
    };
    let mut day = day();
    day.rules.answer_grace = Span::from_millis(500);
    for day in [day.clone(), with_leeway(&day, Span::from_millis(50))] {
        let violations =
            |after| check(&day, &attempt_after_leaving(after)).violations.into_iter().collect::<Vec<_>>();
        assert_eq!(violations(100), []);
        assert_eq!(violations(101), [(Rule::Gone, 1)]);
    }
}

/// In virtual time a node is notified at once, so no attempt can cross the disconnect and the first attempt
/// after it violates `Rule::Lost`.
#[test]
fn a_notified_node_starts_no_attempt() {
    let listed = vec![(0, box_notified(0, Phase::Ready, None)), (0, box_notified(1, Phase::Ready, None))];
    assert_violates("a first attempt", Rule::Lost, with(listed.clone(), attempt_after_leaving(1, 1, true)));
    assert_violates("a further attempt", Rule::Lost, with(listed, attempt_after_leaving(1, 1, false)));
}

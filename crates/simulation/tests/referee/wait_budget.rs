//! Wait time that an attempt carries to its cache server.

use hallpin_simulation::history::with_leeway;
use hallpin_simulation::invariants::Rule;
use hallpin_simulation::list::Phase;
use hallpin_simulation::time::Span;
use hallpin_simulation::trace::{AttemptOutcome, Event, TryOutcome};

use crate::events::*;

const UNTIL: u64 = 1900;

fn attempt_with_wait(at: u64, attempt: u32, wait: u64) -> (u64, Event) {
    let wait = Some(Span::from_millis(wait));
    (at, Event::Sent { id: 1, attempt, node: 0, to: attempt as usize, crosses: false, wait })
}

/// A request with these attempts, which stay in flight until just after its answer.
fn request(attempts: Vec<(u64, Event)>) -> Vec<(u64, Event)> {
    let ends = (0..attempts.len() as u32).map(|attempt| (1200, ended(1, attempt, AttemptOutcome::Cancelled)));
    let mut events: Vec<_> = (0..2).map(|of| (0, box_notified(of, Phase::Ready, None))).collect();
    events.extend([
        (100, asked(1, READ)),
        (101, accepted(1, 1, UNTIL)),
        (1199, answered(1, TryOutcome::Failed)),
    ]);
    events.extend(ends);
    with(events, attempts)
}

#[test]
fn every_attempt_carries_at_most_the_remaining_time_plus_the_slack() {
    let first = |wait| request(vec![attempt_with_wait(200, 0, wait)]);
    assert_clean("the first, at the slack", first(1700 + 150));
    assert_violates("the first, over it", Rule::Lost, first(1700 + 151));
    let hedge = |wait| request(vec![attempt_with_wait(200, 0, 1700), attempt_with_wait(700, 1, wait)]);
    assert_clean("a hedge, at the slack", hedge(1200 + 150));
    assert_violates("a hedge, over it", Rule::Lost, hedge(1200 + 151));
    assert_violates("a hedge that repeats the wait of the first attempt", Rule::Lost, hedge(1700));
    let retry = |wait| with(hedge(wait), vec![(600, ended(1, 0, AttemptOutcome::Broken))]);
    assert_clean("a retry, at the slack", retry(1200 + 150));
    assert_violates("a retry, over it", Rule::Lost, retry(1200 + 151));
    assert_clean("without a wait", request(vec![(200, sent(1, 0, 0)), (700, sent(1, 1, 1))]));
}

/// An attempt is seen on a socket later than it was sent, so the client has less time left.
#[test]
fn seen_through_a_socket_the_slack_includes_the_leeway() {
    let day = with_leeway(&day(), Span::from_millis(50));
    let violations = |wait| {
        let verdict = check(&day, &request(vec![attempt_with_wait(200, 0, wait)]));
        verdict.violations.into_iter().collect::<Vec<_>>()
    };
    assert_eq!(violations(1700 + 200), []);
    assert_eq!(violations(1700 + 201), [(Rule::Lost, 1)]);
}

//! Final answers, repeats, drains, prompt rejections, and worth.

use hallpin_simulation::invariants::{InvariantChecker, Loss, Rule};
use hallpin_simulation::list::Phase;
use hallpin_simulation::time::Time;
use hallpin_simulation::trace::{AttemptOutcome, Event, Sink, TryOutcome};

use crate::events::*;

#[test]
fn a_request_that_is_served_breaks_nothing_and_earns_its_worth() {
    for class in [READ, WRITE, ONCE] {
        let verdict = assert_clean("served", good(class));
        assert_eq!((verdict.all_requests.share(), verdict.classes[class].within_objective), (1.0, 1));
    }
}

#[test]
fn each_request_gets_exactly_one_final_answer_in_time() {
    let open = vec![
        (0, box_notified(0, Phase::Ready, None)),
        (100, asked(1, READ)),
        (101, accepted(1, 1, 1100)),
        (102, sent(1, 0, 0)),
    ];
    let late = |at| {
        with(
            open.clone(),
            vec![(at, answered(1, TryOutcome::Failed)), (at, ended(1, 0, AttemptOutcome::TimedOut))],
        )
    };
    assert_clean("within the grace", late(1120));
    assert_violates("no answer", Rule::Lost, open.clone());
    let after = with(good(READ), vec![(160, answered(1, TryOutcome::Failed))]);
    assert_violates("two answers", Rule::Lost, after);
    assert_violates("sent after the answer", Rule::Lost, with(good(READ), vec![(160, sent(1, 1, 1))]));
    let unsent =
        vec![(0, box_notified(0, Phase::Ready, None)), (100, asked(1, READ)), (101, accepted(1, 1, 1100))];
    let fabricated = with(unsent, vec![(150, answered(1, TryOutcome::Completed))]);
    assert_violates("completed without an attempt", Rule::Lost, fabricated);
    // A client that leaves early needs no answer; one that waits until its deadline does.
    assert_clean("left early", with(open.clone(), vec![(500, Event::Abandoned { id: 1 })]));
    assert_violates(
        "waited until the deadline",
        Rule::Lost,
        with(open.clone(), vec![(1100, Event::Abandoned { id: 1 })]),
    );
    let down = |planned| with(open.clone(), vec![(300, Event::NodeDown { node: 0, planned })]);
    let verdict =
        assert_clean("the node was killed", with(down(false), vec![(400, Event::GaveUp { ask: 1 })]));
    assert_eq!(verdict.losses.keys().collect::<Vec<_>>(), [&Loss::NodeDown]);
    assert_violates("the node exited after SIGTERM", Rule::Lost, down(true));
}

#[test]
fn an_answer_past_the_grace_period_is_late() {
    let events = vec![
        (0, box_notified(0, Phase::Ready, None)),
        (100, asked(1, READ)),
        (101, accepted(1, 1, 1100)),
        (1121, answered(1, TryOutcome::Failed)),
    ];
    let verdict = check(&day(), &events);
    // Two violations: the request's answer is overdue, and then comes after the request counts as lost.
    assert_eq!(verdict.violations.get(&Rule::Lost), Some(&2));
}

/// A slow writer's deadline counts from its first byte, whenever the last one was written.
#[test]
fn a_slow_writers_deadline_counts_from_the_first_byte_with_half_a_second_of_grace() {
    const FIRST_BYTE: u64 = 100;
    const LAST_BYTE: u64 = 450;
    const TIME: u64 = 1000;
    let mut day = day();
    day.rules.answer_grace = hallpin_simulation::time::Span::from_millis(500);
    let broken = |answer: u64| {
        let events = vec![
            (0, box_notified(0, Phase::Ready, None)),
            (FIRST_BYTE, asked(1, READ)),
            (LAST_BYTE, accepted(1, 1, FIRST_BYTE + TIME)),
            (LAST_BYTE + 1, sent(1, 0, 0)),
            (answer, answered(1, TryOutcome::Completed)),
            (answer, ended(1, 0, AttemptOutcome::Success)),
        ];
        check(&day, &events).violations.get(&Rule::Lost).copied().unwrap_or(0)
    };
    assert_eq!(broken(FIRST_BYTE + TIME + 500), 0);
    // Two violations: the request's answer is overdue, and then comes after the request counts as lost.
    assert_eq!(broken(FIRST_BYTE + TIME + 501), 2);
    assert_eq!(broken(LAST_BYTE + TIME + 500), 2, "a deadline from the last byte would be too late");
}

#[test]
fn repeats_stay_within_the_limits_of_the_class() {
    let first = |class| {
        vec![
            (0, box_notified(0, Phase::Ready, None)),
            (0, box_notified(1, Phase::Ready, None)),
            (100, asked(1, class)),
            (101, accepted(1, 1, 1900)),
            (102, sent(1, 0, 0)),
        ]
    };
    let end = |at, attempt| {
        vec![(at, ended(1, attempt, AttemptOutcome::Error)), (at + 1, answered(1, TryOutcome::Failed))]
    };
    let again = |class, how, at| {
        let repeat = vec![(at - 1, ended(1, 0, how)), (at, sent(1, 1, 1))];
        with(first(class), with(repeat, end(at + 5, 1)))
    };
    assert_clean("a read repeated", again(READ, AttemptOutcome::TimedOut, 1500));
    assert_clean(
        "a guarded write repeated within the window",
        again(WRITE, AttemptOutcome::TimedOut, 102 + 1200),
    );
    assert_violates(
        "a guarded write past the window",
        Rule::Repeated,
        again(WRITE, AttemptOutcome::TimedOut, 102 + 1201),
    );
    assert_clean(
        "a guarded write that never ran, past the window",
        again(WRITE, AttemptOutcome::Overloaded, 102 + 1201),
    );
    assert_clean("once, where it never ran", again(ONCE, AttemptOutcome::Unreachable, 300));
    assert_violates("twice, where it may have run", Rule::Repeated, again(ONCE, AttemptOutcome::Broken, 300));
    let rejected = |class, how| {
        with(first(class), vec![(200, ended(1, 0, how)), (201, answered(1, TryOutcome::Rejected))])
    };
    assert_clean("rejected, never ran", rejected(ONCE, AttemptOutcome::Overloaded));
    assert_violates("rejected, may have run", Rule::Repeated, rejected(ONCE, AttemptOutcome::TimedOut));
    assert_clean("a guarded write rejected", rejected(WRITE, AttemptOutcome::TimedOut));
    let hedged = |n: u32| {
        let hedged = (1..=n).map(|n| (110 + u64::from(n), sent(1, n, n as usize))).collect();
        let ends = (0..=n).map(|n| (200, ended(1, n, AttemptOutcome::Cancelled))).collect();
        let listed = (2..4).map(|of| (0, box_notified(of, Phase::Ready, None))).collect();
        with(
            with(first(READ), listed),
            with(with(hedged, vec![(199, answered(1, TryOutcome::Failed))]), ends),
        )
    };
    assert_clean("a hedged request", hedged(1));
    assert_violates("a third attempt at once", Rule::Repeated, hedged(2));
    let mut strict = day();
    strict.limits.second_copies = false;
    assert_eq!(
        check(&strict, &hedged(1)).violations.get(&Rule::Repeated),
        Some(&1),
        "hedged requests are not allowed"
    );
}

#[test]
fn rejections_are_answered_at_once_and_with_a_retry_after_time() {
    let aim = day().classes[READ].aim.0 / MS;
    let open =
        vec![(0, box_notified(0, Phase::Ready, None)), (100, asked(1, READ)), (101, accepted(1, 1, 1900))];
    let idle = |for_ms, how| with(open.clone(), vec![(101 + for_ms, answered(1, how))]);
    for how in [TryOutcome::Rejected, TryOutcome::Failed] {
        assert_clean("idle for half the latency objective", idle(aim / 2, how));
        assert_violates("idle for longer", Rule::Waited, idle(aim / 2 + 1, how));
    }
    let tried = |until| vec![(102, sent(1, 0, 0)), (until, ended(1, 0, AttemptOutcome::TimedOut))];
    assert_clean("an attempt was in flight", with(idle(aim, TryOutcome::Rejected), tried(101 + aim / 2)));
    assert_violates(
        "it ended long ago",
        Rule::Waited,
        with(idle(aim, TryOutcome::Rejected), tried(100 + aim / 2)),
    );
    // Another try's attempt for the same key at the same node may serve this try too.
    let other = |node| {
        let taken = Event::TryAccepted { id: 2, ask: 2, node, until: Time(1900 * MS) };
        let sent = Event::Sent { id: 2, attempt: 0, node, to: 0, crosses: false, wait: None };
        let notified = Event::Notified { node, of: 0, phase: Phase::Ready, started: None };
        let end =
            vec![(1800, answered(2, TryOutcome::Failed)), (1800, ended(2, 0, AttemptOutcome::TimedOut))];
        with(vec![(0, notified), (99, asked(2, READ)), (99, taken), (99, sent)], end)
    };
    assert_clean("an attempt for its key was in flight", with(idle(aim, TryOutcome::Rejected), other(0)));
    assert_violates(
        "an attempt for its key was in flight at another node",
        Rule::Waited,
        with(idle(aim, TryOutcome::Rejected), other(1)),
    );
    let without_advice = Event::Answered { id: 1, how: TryOutcome::Rejected, version: None, advice: None };
    assert_violates(
        "no retry-after time",
        Rule::Waited,
        with(open.clone(), vec![(110, without_advice.clone())]),
    );
    let mut without_retry_after = day();
    without_retry_after.limits.retry_after = false;
    assert!(
        check(&without_retry_after, &with(open, vec![(110, without_advice)])).is_clean(),
        "no retry-after time is required"
    );
}

#[test]
fn drains_are_honoured_from_the_first_notification() {
    let at = |at: u64| {
        let ask = vec![(at - 2, asked(1, READ)), (at - 1, accepted(1, 1, at + 1000)), (at, sent(1, 0, 0))];
        with(
            ask,
            vec![
                (at + 5, answered(1, TryOutcome::Completed)),
                (at + 5, ended(1, 0, AttemptOutcome::Success)),
            ],
        )
    };
    let listed = |phase| vec![(0, box_notified(0, Phase::Ready, None)), (1000, box_notified(0, phase, None))];
    for phase in [Phase::Draining, Phase::Gone] {
        assert_clean("within the grace", with(listed(phase), at(2000)));
        assert_violates("past the grace", Rule::Drain, with(listed(phase), at(2001)));
        let repeated = with(listed(phase), vec![(1900, box_notified(0, phase, None))]);
        assert_violates("a repetition gives no new grace", Rule::Drain, with(repeated, at(2100)));
        let back = with(listed(phase), vec![(1900, box_notified(0, Phase::Ready, None))]);
        assert_clean("ready again", with(back, at(5000)));
    }
    assert_violates("never listed", Rule::Drain, at(100));
}

#[test]
fn stale_reads_are_counted_once_the_write_was_acknowledged() {
    let write = vec![
        (0, box_notified(0, Phase::Ready, None)),
        (100, asked(1, WRITE)),
        (101, accepted(1, 1, 1100)),
        (102, sent(1, 0, 0)),
        (140, Event::Written { key: 7, version: 3 }),
        (150, Event::Answered { id: 1, how: TryOutcome::Completed, version: Some(3), advice: None }),
        (150, ended(1, 0, AttemptOutcome::Success)),
        (151, Event::Received { ask: 1, id: 1 }),
    ];
    let read = |asked_at, version| {
        vec![
            (asked_at, asked(2, READ)),
            (asked_at + 1, accepted(2, 2, 1100)),
            (asked_at + 2, sent(2, 0, 0)),
            (
                400,
                Event::Answered { id: 2, how: TryOutcome::Completed, version: Some(version), advice: None },
            ),
            (400, ended(2, 0, AttemptOutcome::Success)),
            (401, Event::Received { ask: 2, id: 2 }),
        ]
    };
    for (asked_at, version, stale) in [(200, 2, 1), (200, 3, 0), (120, 2, 0)] {
        let verdict = assert_clean("reads", with(write.clone(), read(asked_at, version)));
        assert_eq!(verdict.stale, stale, "asked at {asked_at}, version {version}");
    }
}

#[test]
fn worth_beyond_the_quota_is_reduced_and_losses_are_distinguished() {
    let mut day = day();
    day.tenants = vec![hallpin_simulation::run_spec::TenantSpec {
        name: "t".into(),
        share: 1.0,
        quota: 10.0,
        usage: 1.0,
    }];
    let ask = |n: u64| {
        (100, Event::RequestStarted { ask: n, class: READ, tenant: Some(0), key: 1, work: 50_000.0 })
    };
    let mut events: Vec<(u64, Event)> = (1..=20).map(ask).collect();
    events.extend((1..=20).map(|n| (200, Event::GaveUp { ask: n })));
    let verdict = check(&day, &events);
    let one = day.classes[READ].worth * 0.05;
    let want = one * (10.0 + 10.0 * day.goal.over_share_worth);
    assert!((verdict.all_requests.asked - want).abs() < 1e-9, "{}", verdict.all_requests.asked);
    assert_eq!(verdict.tenants[0].1.requests, 10);
    assert_eq!(verdict.losses.keys().collect::<Vec<_>>(), [&Loss::NodeDown]);
}

#[test]
fn a_trace_that_goes_back_in_time_is_a_violation() {
    let mut checker = InvariantChecker::new(&day());
    checker.record(Time(5), &Event::NodeUp { node: 0 });
    checker.record(Time(4), &Event::NodeUp { node: 1 });
    assert!(!checker.verdict().is_clean());
}

//! Rule one: each request has one final answer, in time.

use std::collections::BTreeSet;

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

#[test]
fn a_request_without_a_key_or_with_an_unknown_class_is_sent() {
    let mut node = Node::with(settings(), 1, fleet(4));
    assert_eq!(sent(&node.request(NewRequest { key: None, ..read(1, 0) })).len(), 1);
    assert_eq!(sent(&node.request(NewRequest { class: None, ..read(2, 0) })).len(), 1);
    // Requests of unknown classes never run twice.
    let after = node.outcome(2, Status::TimedOut, None);
    assert!(sent(&after).is_empty() && failed(&after));
}

#[test]
fn without_servers_a_request_is_held_for_part_of_its_latency_objective_and_then_rejected() {
    let mut node = Node::new(settings(), 1);
    assert!(sent(&node.request(read(1, 1))).is_empty());
    assert!(rejected(&node.advance(0.5)));

    let mut node = Node::new(settings(), 1);
    node.request(read(1, 1));
    let actions = node.event(Event::Endpoints(EndpointUpdate::Full(fleet(2))));
    assert_eq!(sent(&actions).len(), 1);
}

#[test]
fn every_request_is_answered_before_its_deadline_even_if_no_server_answers() {
    for class in [READ, KEYED, UNSAFE] {
        let mut node = Node::with(settings(), 1, fleet(4));
        node.request(NewRequest { class: Some(class), ..read(1, 1) });
        node.now += 1.0 - 0.01;
        let actions = node.event(Event::Timer(TimerToken(1)));
        assert!(rejected(&actions) || failed(&actions), "{class:?}");
        assert!(sent(&actions).is_empty());
        // A batch that is delivered late contains the time-out and the timer after the final answer: both are
        // ignored.
        node.now += 0.02;
        let late = node.outcome(1, Status::TimedOut, None);
        assert!(!rejected(&late) && !failed(&late) && sent(&late).is_empty());
    }
}

#[test]
fn events_of_unknown_and_ended_requests_are_ignored() {
    let mut node = Node::with(settings(), 1, fleet(4));
    assert!(node.event(Event::ClientLeft(RequestId(7))).is_empty());
    assert!(node.event(Event::Timer(TimerToken(77))).is_empty());
    assert!(node.event(Event::HealthChecked { server: id(200), status: Status::Success }).is_empty());
    assert!(node.event(Event::StreamStarted { request: RequestId(7), attempt: AttemptId(0) }).is_empty());
    let outcome = Outcome {
        request: RequestId(7),
        attempt: AttemptId(0),
        status: Status::TimedOut,
        elapsed: 0.1,
        finished: false,
        cache_note: None,
    };
    assert!(node.event(Event::Outcome(outcome.clone())).is_empty());
    node.request(read(1, 1));
    node.serve(1);
    let again = Outcome { request: RequestId(1), ..outcome };
    assert!(node.event(Event::Outcome(again)).is_empty());
}

#[test]
fn a_started_stream_is_not_ended() {
    let mut node = Node::with(settings(), 1, fleet(4));
    node.request(read(1, 1));
    node.event(Event::StreamStarted { request: RequestId(1), attempt: AttemptId(0) });
    node.now += 5.0;
    assert!(node.event(Event::Timer(TimerToken(1))).is_empty());
}

/// A hedged attempt beside the one that the client reads is useless: it is cancelled when the answer begins,
/// instead of staying in flight until its deadline.
#[test]
fn a_started_stream_cancels_the_other_attempts() {
    let mut node = Node::with(settings(), 1, fleet(8));
    node.request(read(1, 1));
    node.now += 0.51;
    assert_eq!(sent(&node.event(Event::Timer(TimerToken(1)))).len(), 1, "a hedged request");
    let stream_started = Event::StreamStarted { request: RequestId(1), attempt: AttemptId(0) };
    let cancel = Action::Cancel { request: RequestId(1), attempt: AttemptId(1) };
    assert_eq!(node.event(stream_started.clone()), [cancel]);
    assert!(node.event(stream_started).is_empty(), "attempts are cancelled once");
}

/// A thousand answered requests leave a few timers, not two thousand; a request without an answer is ended in
/// time by the timers that were set, and by nothing else.
#[test]
fn timers_do_not_outlive_their_requests_and_fire_in_time() {
    let mut node = Node::with(settings(), 1, fleet(8));
    let mut timers: Vec<Seconds> = Vec::new();
    let note = |timers: &mut Vec<Seconds>, now: Seconds, actions: &[Action]| {
        timers.extend(actions.iter().filter_map(|a| match a {
            Action::SetTimer { token: TimerToken(1), after } => Some(now + after),
            _ => None,
        }));
    };
    for n in 1..=1000 {
        let actions = node.request(read(n, n % 50));
        note(&mut timers, node.now, &actions);
        node.now += 0.0001;
        let actions = node.serve(n);
        note(&mut timers, node.now, &actions);
    }
    // Slightly more than two, as the time until an attempt is late falls while the node learns the usual
    // answer time.
    assert!((1..=12).contains(&timers.len()), "{} timers", timers.len());
    let actions = node.request(read(2000, 1));
    note(&mut timers, node.now, &actions);
    let sent_at = node.now;
    let mut ended = None;
    while let Some(at) = timers.iter().copied().reduce(f64::min) {
        timers.retain(|t| *t != at);
        // A host that counts in microseconds.
        node.now = (at * 1e6).floor() / 1e6;
        let actions = node.event(Event::Timer(TimerToken(1)));
        note(&mut timers, node.now, &actions);
        if rejected(&actions) || failed(&actions) {
            ended = Some(node.now - sent_at);
        }
        assert!(timers.len() < 13 && node.now < sent_at + 5.0);
    }
    let ended = ended.expect("the request has ended");
    assert!((0.98..=0.99001).contains(&ended), "after {ended} s");
}

/// Without a `retry_after`, rejected clients retry at once and together. The advice is never longer than
/// clients obey, and is absent where the settings allow none.
#[test]
fn a_rejection_says_when_to_retry() {
    for max_retry_after in [0.0, 0.05, 9.0] {
        let mut settings = settings();
        settings.limits.max_retry_after = max_retry_after;
        let mut node = Node::with(settings, 1, vec![]);
        let mut retry_delays = BTreeSet::new();
        for n in 0..9 {
            node.request(read(n, n));
        }
        for action in node.advance(0.5) {
            if let Action::Reject { retry_after, .. } = action {
                retry_delays.insert(retry_after.map(|wait| (wait * 1e6) as u64));
            }
        }
        match max_retry_after {
            0.0 => assert_eq!(retry_delays, BTreeSet::from([None])),
            0.05 => assert_eq!(retry_delays, BTreeSet::from([Some(50_000)])),
            _ => {
                assert!(
                    retry_delays.len() == 9 && retry_delays.iter().all(|w| w.is_some_and(|w| w < 500_000)),
                    "{retry_delays:?}"
                )
            }
        }
    }
}

/// If a client waits for less than the latency objective, the hold time is a share of the client's time.
#[test]
fn a_request_is_held_for_no_more_than_a_quarter_of_its_clients_time() {
    let held_for = |left: Seconds| {
        let mut node = Node::new(settings(), 1);
        node.request(NewRequest { time_left: left, ..read(1, 1) });
        let start = node.now;
        while !rejected(&node.advance(0.05)) {}
        node.now - start
    };
    let (long, short) = (held_for(1.0), held_for(0.2));
    assert!((0.125..=0.2).contains(&long) && short <= 0.1, "{long}, {short}");
}

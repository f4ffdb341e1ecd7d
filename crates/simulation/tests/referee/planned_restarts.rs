//! Planned restarts: which requests count as lost when a node receives SIGTERM.

use hallpin_simulation::invariants::{Loss, Rule};
use hallpin_simulation::list::Phase;
use hallpin_simulation::trace::{AttemptOutcome, Event};

use crate::events::*;

const TERM: u64 = 1000;

/// A request that arrives `after` milliseconds past SIGTERM and is open when the node goes down.
fn cut_off(after: u64, down: u64, planned: bool) -> Vec<(u64, Event)> {
    let at = TERM + after;
    vec![
        (0, box_notified(0, Phase::Ready, None)),
        (TERM, Event::Stopping { node: 0 }),
        (at, asked(1, READ)),
        (at, accepted(1, 1, at + 2000)),
        (at, sent(1, 0, 0)),
        (down, Event::NodeDown { node: 0, planned }),
    ]
}

#[test]
fn a_request_cut_off_by_the_kill_is_lost_if_it_came_late_and_failed_otherwise() {
    let kill = TERM + 2700;
    let verdict = assert_clean("within 0.7 s", cut_off(700, kill, false));
    assert_eq!(verdict.losses.keys().collect::<Vec<_>>(), [&Loss::Open], "its client is still waiting");
    let mut gave_up = cut_off(700, kill, false);
    gave_up.push((kill + 10, Event::GaveUp { ask: 1 }));
    assert_eq!(assert_clean("within 0.7 s", gave_up).losses.keys().collect::<Vec<_>>(), [&Loss::Failed]);
    assert_violates("later", Rule::Lost, cut_off(701, kill, false));
    assert_violates("the node ended by itself", Rule::Lost, cut_off(100, TERM + 2000, true));
    let mut answered_first = cut_off(900, kill, false);
    answered_first.push((kill - 1, answered(1, hallpin_simulation::trace::TryOutcome::Failed)));
    assert_clean("answered by then", answered_first);
    // For the node's next process, the 0.7 s count from the SIGTERM that this process receives.
    let mut next = vec![(0, Event::Stopping { node: 0 }), (500, Event::NodeDown { node: 0, planned: false })];
    next.push((600, Event::NodeUp { node: 0 }));
    next.extend(cut_off(700, kill, false));
    next.retain(|(at, event)| !matches!(event, Event::Notified { .. }) || *at > 0);
    next.push((700, box_notified(0, Phase::Ready, None)));
    assert_clean("by its own SIGTERM", next);
}

#[test]
fn a_request_that_is_read_and_closed_unanswered_is_lost_on_a_new_connection_too() {
    let dropping = |dropped: u64| {
        let mut events: Vec<(u64, Event)> = (1..=400).map(|n| (n, asked(n, READ))).collect();
        events.extend((1..=dropped).map(|n| (500, Event::Dropped { ask: n, node: 0 })));
        events.extend((1..=400).map(|n| (600, Event::GaveUp { ask: n })));
        events
    };
    assert_clean("closed unread, which is not recorded", dropping(0));
    assert_violates("the first of 400", Rule::Lost, dropping(1));
    assert_eq!(check(&day(), &dropping(3)).violations.get(&Rule::Lost), Some(&3), "each of them");
    // Through a socket, a request counts as accepted when its last byte is written; here it gets no answer.
    let closed = vec![
        (0, box_notified(0, Phase::Ready, None)),
        (100, asked(1, READ)),
        (101, accepted(1, 1, 1100)),
        (140, Event::GaveUp { ask: 1 }),
    ];
    assert_violates("never forwarded", Rule::Lost, closed.clone());
    let forwarded = vec![(102, sent(1, 0, 0)), (130, ended(1, 0, AttemptOutcome::Success))];
    assert_violates("forwarded and served", Rule::Lost, with(closed, forwarded));
}

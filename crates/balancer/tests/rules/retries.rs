//! Rule two: what may be retried, and how often.

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

const ALL: [Status; 10] = [
    Status::Success,
    Status::Error,
    Status::Overloaded,
    Status::TimedOut,
    Status::Unreachable,
    Status::Broken,
    Status::Cancelled,
    Status::Void,
    Status::Absent,
    Status::Unknown,
];

#[test]
fn retries_follow_the_rules_for_every_effect_and_status() {
    for status in ALL {
        for class in [READ, KEYED, UNSAFE] {
            let mut node = Node::with(settings(), 1, fleet(6));
            let first = sent(&node.request(NewRequest { class: Some(class), ..read(1, 5) }))[0].clone();
            node.now += 0.01;
            let actions = node.outcome(1, status, None);
            let retries = sent(&actions);
            if status == Status::Success {
                assert!(retries.is_empty() && !rejected(&actions) && !failed(&actions));
            } else if status.may_have_run() && class == UNSAFE {
                assert!(retries.is_empty() && !rejected(&actions), "{status:?} {actions:?}");
            } else if status.may_have_run() && class == KEYED {
                // Zones alternate by the server's number; the group is the zone.
                let in_even_zone =
                    |s: &ServerId| s.0.trim_end_matches(":80").ends_with(['0', '2', '4', '6', '8']);
                assert!(
                    retries.iter().all(|s| in_even_zone(s) == in_even_zone(&first)),
                    "{status:?} {retries:?}"
                );
                assert!(!rejected(&actions), "{status:?}");
            }
            assert!(retries.len() <= 1);
        }
    }
}

#[test]
fn a_keyed_request_is_not_repeated_after_its_window() {
    let mut node = Node::with(settings(), 1, fleet(6));
    node.request(NewRequest { class: Some(KEYED), time_left: 2.0, ..read(1, 5) });
    node.now += 1.2;
    let actions = node.outcome(1, Status::Broken, None);
    assert!(sent(&actions).is_empty());
}

#[test]
fn retries_are_budgeted() {
    let mut node = Node::with(settings(), 1, fleet(8));
    let mut retries = 0;
    for n in 0..1000 {
        let mut actions = node.request(read(n, n));
        while !sent(&actions).is_empty() {
            node.now += 0.01;
            actions = node.outcome(n, Status::Overloaded, None);
            retries += sent(&actions).len();
        }
    }
    assert!(retries <= 125, "{retries} retries of 1000 requests");
}

#[test]
fn a_silent_attempt_is_hedged_unless_its_server_answers_others() {
    let hedged = |servers: u64, answers_another: bool, effect: ClassId| {
        let mut node = Node::with(settings(), 1, fleet(servers));
        let key = (0..).find(|&k| node.owner(k, k) == id(1)).expect("a key of server one");
        let other = (key + 1..).find(|&k| node.owner(k, k) == id(1)).expect("another");
        node.flush_recent_keys();
        let mut actions = Vec::new();
        node.request(NewRequest { class: Some(effect), ..read(90_000, key) });
        if answers_another {
            node.now += 0.01;
            node.request(read(90_001, other));
            node.now += 0.01;
            node.serve(90_001);
        }
        node.now += 0.6;
        actions.extend(node.event(Event::Timer(TimerToken(1))));
        sent(&actions).len()
    };
    assert_eq!(hedged(6, false, READ), 1);
    assert_eq!(hedged(6, true, READ), 0);
    assert_eq!(hedged(6, false, UNSAFE), 0);
}

/// An error of a server that fails reads at once is not the origin's: its reads are retried elsewhere, while
/// few attempts fail. Once all fail, the fault is the origin's, and retries would only add to its load.
#[test]
fn a_read_that_a_server_fails_is_retried_elsewhere_unless_all_servers_fail() {
    let mut node = Node::with(settings(), 1, fleet(64));
    let mut run_reads = |from: u64, all: bool| {
        let (mut failed, mut served) = (0, 0);
        for n in from..from + 400 {
            let mut actions = node.request(read(n, n));
            while let [server, ..] = &sent(&actions)[..] {
                node.now += 0.02;
                let is_faulty = all || (0..8).any(|n| *server == id(n));
                let (status, note) =
                    if is_faulty { (Status::Error, None) } else { (Status::Success, Some(CacheNote::Hit)) };
                actions = node.outcome(n, status, note);
                failed += usize::from(is_faulty);
                served += usize::from(!is_faulty);
            }
        }
        (failed, served)
    };
    let (_, served) = run_reads(0, false);
    assert!(served >= 390, "{served} of 400 served, with one of eight servers faulty");
    run_reads(1000, true);
    let (failed, _) = run_reads(2000, true);
    assert!(failed <= 400, "{failed} attempts of 400 requests");
}

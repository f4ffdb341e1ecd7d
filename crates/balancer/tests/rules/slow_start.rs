//! Rule four: servers that have just started.

use std::collections::BTreeSet;

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

#[test]
fn a_just_started_server_admits_part_of_its_requests_and_more_with_age() {
    let owned = |age: Seconds| {
        let mut entries = fleet(8);
        entries[0].started = Some(100.0 - age);
        let mut node = Node::with(settings(), 1, entries);
        (0..3000).filter(|&n| node.owner(n, n) == id(1)).count()
    };
    let (cold, half, warm) = (owned(0.0), owned(4.0), owned(9.0));
    assert!(cold > 0 && cold * 3 < warm, "{cold} of {warm}");
    assert!(cold < half && half < warm, "{cold} {half} {warm}");
}

#[test]
fn a_cold_server_takes_no_overflow() {
    let mut entries = fleet(4);
    entries[0].started = Some(100.0);
    let mut node = Node::with(settings(), 1, entries.clone());
    let keys_of_cold_server: BTreeSet<u64> = (0..4000).filter(|&n| node.owner(n, n) == id(1)).collect();
    let mut node = Node::with(settings(), 1, entries);
    for n in (0..600).filter(|n| !keys_of_cold_server.contains(n)) {
        assert!(sent(&node.request(read(n, n))).iter().all(|s| *s != id(1)), "key {n}");
    }
}

/// A server that is warming up is overloaded by work, not by the number of requests: a request with a large
/// work hint goes elsewhere, unless there is no warm server.
#[test]
fn an_expensive_request_is_not_sent_to_a_warming_server() {
    let started = |all: bool| {
        let cold = move |n| EndpointEntry { started: (all || n == 3).then_some(100.0), ..entry(n) };
        let mut node = Node::with(settings(), 1, (1..=8).map(cold).collect());
        for n in 0..50 {
            node.request(NewRequest { work_hint: Some(0.05), ..read(n, n) });
            if node.sends.contains_key(&RequestId(n)) {
                node.serve(n);
            }
        }
        node
    };
    for (all, work, is_sent) in
        [(false, 0.05, true), (false, 0.3, true), (false, 1.0, false), (true, 1.0, true)]
    {
        let mut node = started(all);
        // While the node's time stands still, a request for the same key draws the same slow-start sample.
        let mut is_sent_there = |key: &u64| node.owner_if_sent(1000 + key, *key) == Some(id(3));
        let key = (0..200).find(|key| is_sent_there(key)).expect("a key that server 3 owns");
        node.flush_recent_keys();
        let to = sent(&node.request(NewRequest { work_hint: Some(work), ..read(5000, key) }));
        assert_eq!(to == [id(3)], is_sent, "all cold {all}, work {work}: {to:?}");
        assert_eq!(to.len(), 1);
    }
}

/// How many of a thousand keys a server that has just restarted owns, after a read of an unknown key took
/// long there: it was cancelled, or was served as a miss, which says nothing about the server.
fn owned_when_cold(status: Status) -> usize {
    let mut entries = fleet(8);
    entries[0].started = Some(100.0);
    let mut node = Node::with(settings(), 1, entries);
    let mut was_asked = false;
    for n in 0..1000 {
        let cold = sent(&node.request(read(n, n))).first() == Some(&id(1));
        if cold && n > 300 && !was_asked {
            // By now the node knows how long an answer usually takes.
            was_asked = true;
            node.now += 0.6;
            node.outcome(n, status, Some(CacheNote::Miss));
        } else if node.sends.contains_key(&RequestId(n)) {
            node.serve(n);
        }
    }
    assert!(was_asked, "the cold server had a read");
    node.advance(0.5);
    (10_000..11_000).filter(|&n| node.owner(n, n) == id(1)).count()
}

/// A server that is both cold and slow cannot sustain what its age allows, and most nodes only see it at keys
/// whose location they do not know.
#[test]
fn a_cold_server_at_which_reads_are_late_owns_fewer_keys() {
    let (owned_if_quick, owned_if_slow) =
        (owned_when_cold(Status::Success), owned_when_cold(Status::Cancelled));
    assert!(
        0 < owned_if_slow && owned_if_slow < owned_if_quick && owned_if_quick < 1000 / 8 / 4,
        "{owned_if_slow}, {owned_if_quick}"
    );
}

/// A fleet in which all servers have just started.
fn all_cold(settings: Settings) -> Node {
    let cold = |n| EndpointEntry { started: Some(100.0), ..entry(n) };
    Node::with(settings, 1, (1..=8).map(cold).collect())
}

/// With no warm server to take over, part of the load that the servers sustain is sent, and the rest, read or
/// write, is rejected at once with a `retry_after`.
#[test]
fn load_beyond_the_capacity_of_a_cold_fleet_is_rejected_at_once() {
    let mut limits = settings().limits;
    limits.retry_after = true;
    limits.max_retry_after = 1.0;
    let mut node = all_cold(Settings { limits, ..settings() });
    let (mut admitted, mut rejections) = (0, 0);
    for n in 0..2000 {
        let kind = [(READ, false), (KEYED, true), (UNSAFE, true)][n as usize % 3];
        let actions = node.request(NewRequest { class: Some(kind.0), write: kind.1, ..read(n, n) });
        if sent(&actions).is_empty() {
            let has_retry_after =
                |a: &Action| matches!(a, Action::Reject { retry_after: Some(wait), .. } if *wait > 0.0);
            assert!(actions.iter().any(has_retry_after), "request {n}: {actions:?}");
            rejections += 1;
        } else {
            node.serve(n);
            admitted += 1;
        }
    }
    // The servers start at a quarter of their capacity, and at first somewhat more than half of that is sent.
    assert!((250..400).contains(&admitted) && rejections + admitted == 2000, "{admitted} of 2000");
}

/// In a fleet that is warming up, retries and hedged requests go to no server but the owner: one attempt
/// each.
#[test]
fn a_failed_request_is_not_retried_at_another_warming_server() {
    let mut node = all_cold(settings());
    for n in 0..400 {
        if sent(&node.request(read(n, n))).is_empty() {
            continue;
        }
        let actions = node.outcome(n, Status::Overloaded, None);
        assert!(sent(&actions).is_empty() && rejected(&actions), "request {n}: {actions:?}");
    }
}

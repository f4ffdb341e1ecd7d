//! Load on the origin: one fetch for each key, and no more fetches at once than it sustains.

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

#[test]
fn reads_of_one_key_share_a_fetch() {
    let mut node = Node::with(settings(), 1, fleet(4));
    assert_eq!(sent(&node.request(read(1, 3))).len(), 1);
    assert!(sent(&node.request(read(2, 3))).is_empty());
    let released = node.outcome(1, Status::Success, Some(CacheNote::Miss));
    assert_eq!(sent(&released).len(), 1);
    // The location of the key is known now: reads no longer wait for one another.
    assert_eq!(sent(&node.request(read(3, 3))).len(), 1);
}

#[test]
fn failed_fetches_limit_reads_of_unknown_keys_but_not_of_known_keys() {
    let mut node = Node::with(settings(), 1, fleet(8));
    for n in 0..50 {
        node.owner(n, n);
    }
    for n in 1000..1400 {
        if !sent(&node.request(read(n, n))).is_empty() {
            node.now += 0.002;
            node.outcome(n, Status::Error, Some(CacheNote::Miss));
        }
        node.now += 0.02;
    }
    let unknown_sent = (2000..2060).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).count();
    assert!(unknown_sent < 10, "{unknown_sent} sent");
    // A known key may find its owner at its cap, and the next server on its probe sequence lacks it.
    let known_sent = (0..50).filter(|&n| !sent(&node.request(read(3000 + n, n))).is_empty()).count();
    assert!(known_sent > 40, "{known_sent} of 50 sent");
}

/// Requests beyond the origin's limit are held in order: each fetch that ends frees one, the oldest first,
/// and a write before all reads.
#[test]
fn held_fetches_are_sent_one_by_one_in_order_and_writes_first() {
    let mut node = Node::with(settings(), 1, fleet(100));
    let sent_ids: Vec<u64> = (0..100).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).collect();
    assert_eq!(sent_ids, (0..64).collect::<Vec<_>>(), "the first fetches are sent, the others held");
    for n in 100..164 {
        let write = NewRequest { class: Some(UNSAFE), write: true, ..read(n, n) };
        assert_eq!(sent(&node.request(write)).len(), 1, "the limit of writes is twice that of fetches");
    }
    let held_write = NewRequest { class: Some(UNSAFE), write: true, ..read(200, 200) };
    assert!(sent(&node.request(held_write)).is_empty());
    node.now += 0.01;
    let last_sent = |node: &Node| node.sends.keys().next_back().copied();
    let released = node.outcome(0, Status::Success, Some(CacheNote::Miss));
    assert_eq!(
        (sent(&released).len(), last_sent(&node)),
        (1, Some(RequestId(200))),
        "the write goes first, though it arrived last"
    );
    // A fetch that ends makes room for a read only once the writes, which may use twice the limit, are below
    // the limit of reads.
    let released_reads =
        (1..64).map(|n| sent(&node.outcome(n, Status::Success, Some(CacheNote::Miss))).len()).sum::<usize>();
    assert_eq!(released_reads, 0);
    let mut send_order = Vec::new();
    for n in 100..110 {
        let before: Vec<RequestId> = node.sends.keys().copied().collect();
        node.outcome(n, Status::Success, None);
        send_order.extend(node.sends.keys().filter(|id| !before.contains(id)).map(|id| id.0));
    }
    assert!(
        send_order.len() > 5 && send_order.windows(2).all(|w| w[0] < w[1]) && send_order[0] == 64,
        "{send_order:?}"
    );
}

#[test]
fn in_aside_mode_a_miss_and_a_write_go_to_the_origin_and_reads_share_the_fetch() {
    let aside = Settings { cache: CacheMode::Aside { origin_kind: "origin".into() }, ..settings() };
    let mut entries = fleet(4);
    entries.push(origin());
    let mut node = Node::with(aside, 1, entries);
    let owner = sent(&node.request(read(1, 3)))[0].clone();
    assert_ne!(owner, origin().server);
    assert_eq!(sent(&node.request(NewRequest { write: true, ..read(9, 4) })), [origin().server]);
    assert_eq!(sent(&node.request(read(2, 3))).len(), 1);
    assert_eq!(sent(&node.outcome(1, Status::Absent, Some(CacheNote::Miss))), [origin().server]);
    assert!(sent(&node.outcome(2, Status::Absent, Some(CacheNote::Miss))).is_empty());
    // The second read asks its cache server again when the fetch is over.
    assert_eq!(sent(&node.serve(1)), [owner]);
}

/// Writes reach the origin too: while it fails, writes and hedged requests must not keep it overloaded.
#[test]
fn while_the_origin_fails_writes_are_held_back_too() {
    let mut node = Node::with(settings(), 1, fleet(8));
    for n in 0..400 {
        if !sent(&node.request(read(n, n))).is_empty() {
            node.now += 0.002;
            node.outcome(n, Status::Error, Some(CacheNote::Miss));
        }
        node.now += 0.02;
    }
    let write = |n| NewRequest { class: Some(UNSAFE), write: true, ..read(n, n) };
    let writes = (2000..2060).filter(|&n| !sent(&node.request(write(n))).is_empty()).count();
    assert!((1..10).contains(&writes), "{writes} sent");
}

/// Where many nodes share an origin, each uses little of its own fetch limit. When the origin is slow, the
/// limit must be cut from the load in use; otherwise it takes tens of cuts until the limit holds back a
/// fetch.
#[test]
fn a_fetch_limit_far_above_the_load_falls_fast() {
    let mut node = Node::with(settings(), 1, fleet(8));
    for n in 0..25 {
        for m in 0..4 {
            node.request(read(n * 4 + m, n * 4 + m));
        }
        node.now += 0.9;
        for m in 0..4 {
            if node.sends.contains_key(&RequestId(n * 4 + m)) {
                node.outcome(n * 4 + m, Status::Success, Some(CacheNote::Miss));
            }
        }
    }
    let unknown_sent = (2000..2060).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).count();
    assert!(unknown_sent <= 4, "{unknown_sent} sent");
}

/// Times of single fetches vary much. With half of the fetches in time and half far too late, a limit that
/// followed their mean fell to nothing and blocked most reads for twenty seconds.
#[test]
fn fetches_half_of_which_are_in_time_do_not_lower_the_fetch_limit() {
    let mut node = Node::with(settings(), 1, fleet(16));
    for n in 0..300 {
        node.request(read(n, n));
        node.now += if n % 2 == 0 { 0.9 } else { 0.3 };
        node.outcome(n, Status::Success, Some(CacheNote::Miss));
    }
    let unknown_sent = (2000..2060).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).count();
    assert!(unknown_sent > 25, "{unknown_sent} sent");
}

/// How many unknown keys are sent at once after reads of ever new keys have all timed out 0.02 s or
/// 0.04 s before `left` was over, at one server that does or does not answer another read meanwhile.
fn sent_after_time_outs(left: Seconds, answers: bool) -> usize {
    let mut node = Node::with(settings(), 1, fleet(1));
    for n in 0..200 {
        node.request(NewRequest { time_left: left, ..read(n, n) });
        if answers && !sent(&node.request(read(10_000 + n, 10_000))).is_empty() {
            node.now += 0.02;
            node.serve(10_000 + n);
        }
        node.now += left - 0.04;
        if node.sends.contains_key(&RequestId(n)) {
            node.outcome(n, Status::TimedOut, None);
        }
    }
    node.event(Event::Endpoints(EndpointUpdate::Delta((1..64).map(entry).collect())));
    (2000..2060).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).count()
}

/// Time-outs of clients that leave before any fetch can complete say nothing about the origin.
#[test]
fn time_outs_of_clients_that_leave_early_do_not_lower_the_fetch_limit() {
    let (sent_if_early, sent_if_late) = (sent_after_time_outs(0.3, true), sent_after_time_outs(0.9, true));
    assert!(sent_if_early > 40 && sent_if_late < 10, "{sent_if_early}, {sent_if_late}");
}

/// Time-outs at a server that answers nobody say nothing about the origin either.
#[test]
fn time_outs_at_a_silent_server_do_not_lower_the_fetch_limit() {
    let (sent_if_silent, sent_if_alive) = (sent_after_time_outs(0.9, false), sent_after_time_outs(0.9, true));
    assert!(sent_if_silent > 40 && sent_if_alive < 10, "{sent_if_silent}, {sent_if_alive}");
}

/// One of many nodes knows the location of almost no key. While the origin is slow, reads that servers
/// answer from cache must not wait for the few reads that the servers fetch from the origin.
#[test]
fn a_fetch_limit_counts_reads_by_how_many_of_them_are_misses() {
    let mut node = Node::with(settings(), 1, fleet(64));
    for n in 0..400 {
        // One read of ten is a miss, and each of those is late.
        let miss = n % 10 == 0;
        if sent(&node.request(read(n, n))).is_empty() {
            continue;
        }
        node.now += if miss { 0.9 } else { 0.02 };
        node.outcome(n, Status::Success, Some(if miss { CacheNote::Miss } else { CacheNote::Hit }));
    }
    let unknown_sent = (2000..2060).filter(|&n| !sent(&node.request(read(n, n))).is_empty()).count();
    assert!(
        (5..30).contains(&unknown_sent),
        "{unknown_sent} sent: about ten for each fetch that the origin sustains"
    );
}

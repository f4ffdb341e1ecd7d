//! Which requests are rejected first: those of tenants over their quota, and those of clients that leave
//! early.

use std::collections::BTreeMap;

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

/// Only the cap binds requests within their quota: while servers can queue, none is rejected for the learnt
/// limit. A tenant over its quota gives way once the fleet is at its limits, and not before.
#[test]
fn the_learnt_limit_binds_only_requests_over_their_quota() {
    let mut node = Node::with(settings(), 1, fleet(6));
    let owners: BTreeMap<u64, ServerId> = (0..400).map(|n| (n, node.owner(n, n))).collect();
    let mut at_owner = 0;
    for n in 0..400 {
        at_owner += sent(&node.request(read(1000 + n, n))).iter().filter(|s| **s == owners[&n]).count();
    }
    let sent_count: usize = (1000..1400).filter(|&n| node.sends.contains_key(&RequestId(n))).count();
    // While few requests are in flight, the cap may pass one on to another server.
    assert!(sent_count == 400 && at_owner + 1 >= sent_count, "{at_owner} of {sent_count} at their owner");

    let tenants = vec![Tenant { name: "a".into(), quota: 1.0 }];
    let mut node = Node::with(Settings { tenants, ..settings() }, 1, fleet(6));
    let over_quota = |n| NewRequest { tenant: Some(TenantId(0)), ..read(n, n) };
    let sent_count: usize = (0..400).map(|n| sent(&node.request(over_quota(n))).len()).sum();
    assert!((24..100).contains(&sent_count), "{sent_count} sent");
}

#[test]
fn requests_over_their_tenants_quota_are_rejected_first() {
    let tenants = ["a", "b"].map(|n| Tenant { name: n.into(), quota: 20.0 }).to_vec();
    let mut node = Node::with(Settings { tenants, ..settings() }, 1, fleet(2));
    let mut served = [0; 2];
    for n in 0..60 {
        let tenant = usize::from(n % 6 == 0);
        let new = NewRequest { tenant: Some(TenantId(tenant)), ..read(n, n) };
        served[tenant] += sent(&node.request(new)).len();
        node.now += 0.001;
    }
    assert!(served[1] * 5 > served[0], "{served:?} of 50 and 10");
}

/// Requests whose clients wait for less than an answer takes, and retry at once, are admitted only as far as
/// they are served; clients that wait longer are not affected, and requests with short deadlines are admitted
/// again once they would be served.
#[test]
fn requests_with_short_deadlines_are_admitted_as_far_as_they_are_served() {
    let mut node = Node::with(settings(), 1, fleet(64));
    let mut last_id = 0;
    let mut run_rounds = |rounds: u64, left: Seconds, served: bool| {
        let (mut sent_count, mut rejected_at_once) = (0, 0);
        for _ in 0..rounds {
            last_id += 1;
            let actions = node.request(NewRequest { time_left: left, ..read(last_id, last_id) });
            rejected_at_once += usize::from(rejected(&actions));
            if sent(&actions).is_empty() {
                continue;
            }
            sent_count += 1;
            node.now += if served { 0.02 } else { left - 0.01 };
            node.outcome(
                last_id,
                if served { Status::Success } else { Status::TimedOut },
                Some(CacheNote::Hit),
            );
        }
        node.advance(1.0);
        (sent_count, rejected_at_once)
    };
    // The initial estimate of an answer's time is a quarter of the latency objective; a deadline below twice
    // that is short.
    assert_eq!(run_rounds(100, 0.2, true), (100, 0), "all are sent while they are served");
    run_rounds(300, 0.03, false);
    let (sent_count, rejected_at_once) = run_rounds(1000, 0.03, false);
    assert!((1..100).contains(&sent_count) && rejected_at_once > 900, "{sent_count}, {rejected_at_once}");
    assert_eq!(run_rounds(100, 1.0, true), (100, 0), "requests with longer deadlines are not throttled");
    run_rounds(2000, 0.03, true);
    let (sent_count, _) = run_rounds(100, 0.03, true);
    assert!(sent_count > 95, "{sent_count} of 100");
}

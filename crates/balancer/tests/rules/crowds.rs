//! Which requests are rejected first: those of tenants over their quota, and those of clients that leave
//! early.

use std::collections::BTreeMap;

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

/// Only the cap binds requests within their quota: while servers can queue, none is rejected for the learnt
/// limit. A tenant over its quota gives way once the fleet is at its limits, and not before.
#[test]
fn the_learnt_limit_binds_requests_over_the_quota_alone() {
    let mut node = Node::with(settings(), 1, fleet(6));
    let homes: BTreeMap<u64, ServerId> = (0..400).map(|n| (n, node.home(n, n))).collect();
    let mut at_home = 0;
    for n in 0..400 {
        at_home += sent(&node.request(read(1000 + n, n))).iter().filter(|s| **s == homes[&n]).count();
    }
    let all: usize = (1000..1400).filter(|&n| node.sends.contains_key(&RequestId(n))).count();
    // While few requests are in flight, the cap may pass one on to another server.
    assert!(all == 400 && at_home + 1 >= all, "{at_home} of {all} at home");

    let tenants = vec![Tenant { name: "a".into(), quota: 1.0 }];
    let mut node = Node::with(Settings { tenants, ..settings() }, 1, fleet(6));
    let over = |n| NewRequest { tenant: Some(TenantId(0)), ..read(n, n) };
    let all: usize = (0..400).map(|n| sent(&node.request(over(n))).len()).sum();
    assert!((24..100).contains(&all), "{all} sent");
}

#[test]
fn over_its_quota_a_tenant_gives_way_first() {
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
fn brief_requests_are_sent_on_as_far_as_they_are_served() {
    let mut node = Node::with(settings(), 1, fleet(64));
    let mut next = 0;
    let mut play = |rounds: u64, left: Seconds, served: bool| {
        let (mut sent_on, mut refused_at_once) = (0, 0);
        for _ in 0..rounds {
            next += 1;
            let actions = node.request(NewRequest { left, ..read(next, next) });
            refused_at_once += usize::from(refused(&actions));
            if sent(&actions).is_empty() {
                continue;
            }
            sent_on += 1;
            node.now += if served { 0.02 } else { left - 0.01 };
            node.outcome(next, if served { Status::Success } else { Status::TimedOut }, Some(CacheNote::Hit));
        }
        node.pass(1.0);
        (sent_on, refused_at_once)
    };
    // The initial estimate of an answer's time is a quarter of the latency objective; a deadline below twice
    // that is short.
    assert_eq!(play(100, 0.2, true), (100, 0), "while they are served all go");
    play(300, 0.03, false);
    let (sent_on, refused_at_once) = play(1000, 0.03, false);
    assert!((1..100).contains(&sent_on) && refused_at_once > 900, "{sent_on}, {refused_at_once}");
    assert_eq!(play(100, 1.0, true), (100, 0), "who waits is not touched");
    play(2000, 0.03, true);
    let (sent_on, _) = play(100, 0.03, true);
    assert!(sent_on > 95, "{sent_on} of 100");
}

//! Servers that fail: which are ejected, which are not, and which are readmitted.

use std::collections::BTreeSet;

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

/// Sends reads of server 1's keys that are never answered, one at a time, until it is ejected.
fn node_with_silent_server_one(settings: Settings) -> (Node, u64) {
    let mut node = Node::with(settings, 1, fleet(6));
    let keys: Vec<u64> = (0..400).filter(|&n| node.owner(n, n) == id(1)).take(8).collect();
    for (n, &key) in keys.iter().enumerate() {
        let n = 1000 + n as u64;
        node.request(read(n, key));
        node.advance(1.0);
        if node.sends.contains_key(&RequestId(n)) {
            node.outcome(n, Status::TimedOut, None);
        }
    }
    (node, keys[0])
}

#[test]
fn a_silent_server_is_ejected_and_readmitted_after_a_probe() {
    let (mut node, key) = node_with_silent_server_one(settings());
    assert!(node.advance(2.0).contains(&Action::HealthCheck(id(1))));
    assert_ne!(node.owner(2000, key), id(1));
    node.event(Event::HealthChecked { server: id(1), status: Status::Success });
    node.advance(9.0);
    assert_eq!(node.owner(2001, key), id(1));
}

#[test]
fn without_health_checks_one_read_probes_an_ejected_server() {
    let mut no_probes = settings();
    no_probes.limits.health_checks = false;
    let (mut node, _) = node_with_silent_server_one(no_probes);
    node.advance(2.0);
    let probing_reads =
        (0..50).filter(|n| sent(&node.request(read(3000 + n, 7_000_000 + n))).contains(&id(1))).count();
    assert_eq!(probing_reads, 1);
}

/// Errors of all servers at once come from the origin: ejecting servers for them only adds cache misses.
#[test]
fn errors_of_all_servers_eject_none_but_errors_of_one_server_eject_it() {
    let count_ejections = |is_faulty: &dyn Fn(&ServerId) -> bool| {
        let mut node = Node::with(settings(), 1, fleet(6));
        let mut ejections = 0;
        for n in 0..3000 {
            let mut actions = node.request(read(n, n));
            node.now += 0.01;
            while let [server, ..] = &sent(&actions)[..] {
                let status = if is_faulty(server) { Status::Error } else { Status::Success };
                actions = node.outcome(n, status, Some(CacheNote::Hit));
                let is_ejection_log = |a: &&Action| matches!(a, Action::Log(t) if t.contains("taken out"));
                ejections += actions.iter().filter(is_ejection_log).count();
            }
        }
        ejections
    };
    assert_eq!(count_ejections(&|_| true), 0);
    assert!(count_ejections(&|s| *s == id(1)) >= 1);
}

#[test]
fn most_of_a_fleet_is_never_ejected() {
    let mut node = Node::with(settings(), 1, fleet(9));
    for n in 0..200 {
        node.request(NewRequest { time_left: 1.9, ..read(n, n) });
    }
    let actions = node.advance(1.5);
    let ejection_logs =
        actions.iter().filter(|a| matches!(a, Action::Log(t) if t.contains("taken out"))).count();
    assert!(ejection_logs <= 3, "{ejection_logs} of 9");
}

/// Failures of a previous process do not count against the new one: a later start time clears them.
#[test]
fn a_restart_clears_the_failures_of_the_previous_process() {
    let mut node = Node::with(settings(), 1, fleet(6));
    let keys: Vec<u64> = (0..400).filter(|&n| node.owner(n, n) == id(1)).take(3).collect();
    for (n, &key) in keys.iter().enumerate() {
        node.request(read(1000 + n as u64, key));
        node.outcome(1000 + n as u64, Status::Unreachable, None);
        node.serve(1000 + n as u64);
    }
    assert!((0..200).all(|n| node.owner(2000 + n, n) != id(1)), "server 1 is ejected");
    let started = EndpointEntry { started: Some(node.now), ..entry(1) };
    node.event(Event::Endpoints(EndpointUpdate::Delta(vec![started])));
    assert!((0..400).any(|n| node.owner(3000 + n, n) == id(1)));
}

#[test]
fn a_node_with_little_traffic_ejects_a_dead_server_after_one_failure_and_probes_it() {
    let mut node = Node::with(settings(), 1, fleet(20));
    let n = (0..).find(|&n| node.owner(n, n) == id(1)).expect("a key of server one");
    node.flush_recent_keys();
    node.request(read(90_000, n));
    let actions = node.outcome(90_000, Status::Unreachable, None);
    assert!(actions.iter().any(|a| matches!(a, Action::Log(t) if t.contains("taken out"))));
    let probes = node.advance(3.0).iter().filter(|a| matches!(a, Action::HealthCheck(_))).count();
    assert!((2..=4).contains(&probes), "{probes} probes in 3 s");
}

/// Two dead servers of eight cause more failures than one faulty server does, and are no sign of a faulty
/// origin.
#[test]
fn several_dead_servers_fail_no_request_and_are_ejected() {
    let mut node = Node::with(settings(), 1, fleet(8));
    let mut waiting: Vec<(u64, ServerId)> = (0..24)
        .flat_map(|n| sent(&node.request(read(n, n * 7919))).into_iter().map(move |server| (n, server)))
        .collect();
    let is_dead = |server: &ServerId| *server == id(1) || *server == id(2);
    let mut ejection_logs = BTreeSet::new();
    while let Some(index) = waiting.iter().position(|(_, server)| is_dead(server)) {
        let (n, _) = waiting.remove(index);
        let actions = node.outcome(n, Status::Unreachable, None);
        assert!(!rejected(&actions), "request {n}");
        waiting.extend(sent(&actions).into_iter().map(|server| (n, server)));
        ejection_logs.extend(actions.iter().filter_map(|a| match a {
            Action::Log(text) if text.contains("taken out") => Some(text.clone()),
            _ => None,
        }));
    }
    assert!(!ejection_logs.is_empty(), "no server was ejected");
}

/// Time-outs of clients that leave before any attempt counts as late are no sign of a faulty server.
#[test]
fn time_outs_of_clients_that_leave_early_eject_no_server() {
    let ejections = |left: Seconds| {
        let mut node = Node::with(settings(), 1, fleet(8));
        let mut ejection_logs = 0;
        for n in 0..200 {
            node.request(NewRequest { time_left: left, ..read(n, n) });
            node.now += left - 0.01;
            if node.sends.contains_key(&RequestId(n)) {
                let actions = node.outcome(n, Status::TimedOut, None);
                ejection_logs +=
                    actions.iter().filter(|a| matches!(a, Action::Log(t) if t.contains("taken out"))).count();
            }
        }
        ejection_logs
    };
    assert_eq!((ejections(0.2), ejections(0.9) > 0), (0, true));
}

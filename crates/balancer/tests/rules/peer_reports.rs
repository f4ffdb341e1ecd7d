//! Input from other nodes: the common placement table, and reports on servers.

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

fn entries(servers: &[(u64, f64)]) -> Vec<TableEntry> {
    servers.iter().map(|(n, weight)| TableEntry { server: id(*n), weight: *weight }).collect()
}

fn equal_weights(servers: impl IntoIterator<Item = u64>) -> Vec<TableEntry> {
    entries(&servers.into_iter().map(|n| (n, 1.0)).collect::<Vec<_>>())
}

fn apply_table(node: &mut Node, epoch: u64, version: u64, entries: &[TableEntry]) -> Vec<Action> {
    let entries = entries.to_vec();
    node.event(Event::Fleet(FleetUpdate::Table { epoch, version, entries }))
}

/// Whether each of many keys has the owner that an array of these entries gives it.
fn owners_follow(node: &mut Node, from: u64, entries: &[TableEntry]) -> bool {
    (0..300).all(|n| Some(node.owner(from + n, n * 7919)) == key_owner(entries, Key(n * 7919)))
}

#[test]
fn the_slot_array_follows_the_newest_table_and_not_the_list() {
    let mut node = Node::with(settings(), 1, fleet(6));
    assert!(
        owners_follow(&mut node, 0, &equal_weights(1..=6)),
        "without a table, the array follows the list"
    );
    let versions = [(2, 5, 1..=5, true), (2, 4, 1..=6, false), (2, 5, 1..=6, false), (1, 9, 1..=6, false)];
    for (n, (epoch, version, servers, newer)) in (1..).zip(versions) {
        apply_table(&mut node, epoch, version, &equal_weights(servers));
        assert!(
            owners_follow(&mut node, 1000 * n, &equal_weights(1..=5)),
            "version {version} of {epoch}: {newer}"
        );
    }
    apply_table(&mut node, 3, 1, &equal_weights(1..=6));
    assert!(owners_follow(&mut node, 9000, &equal_weights(1..=6)), "the switch to a table of a later epoch");
}

/// Keys of the other servers must not move when a node's endpoint list lacks some of the table's servers.
#[test]
fn an_unavailable_server_is_skipped_without_a_change_of_the_slot_array() {
    let weights = [(1, 1.0), (2, 0.5), (3, 5.0), (4, f64::NAN), (5, 0.0), (6, 1.5)];
    let all = entries(&weights);
    let drained = EndpointEntry { state: ServerState::Draining, ..entry(3) };
    let gone = EndpointEntry { state: ServerState::Gone, ..entry(3) };
    let unknown = fleet(6).into_iter().filter(|e| e.server != id(3)).collect();
    for update in [
        EndpointUpdate::Delta(vec![drained]),
        EndpointUpdate::Delta(vec![gone]),
        EndpointUpdate::Full(unknown),
    ] {
        let mut node = Node::with(settings(), 1, fleet(6));
        apply_table(&mut node, 1, 1, &all);
        assert!(owners_follow(&mut node, 0, &all));
        node.event(Event::Endpoints(update));
        for n in 0..300 {
            let (owner, owner_by_table) = (node.owner(1000 + n, n), key_owner(&all, Key(n)));
            assert!(
                owner != id(3) && (owner_by_table == Some(id(3)) || owner_by_table.as_ref() == Some(&owner)),
                "key {n} at {owner:?}"
            );
        }
        node.event(Event::Endpoints(EndpointUpdate::Full(fleet(6))));
        assert!(owners_follow(&mut node, 2000, &all), "ready again");
    }
}

#[test]
fn a_table_without_ready_servers_is_ignored() {
    let mut node = Node::with(settings(), 1, fleet(4));
    for (version, unready) in [(1, vec![]), (2, equal_weights(7..=9))] {
        apply_table(&mut node, 1, version, &unready);
        assert!(
            owners_follow(&mut node, 1000 * version, &equal_weights(1..=4)),
            "the array follows the list meanwhile"
        );
    }
}

#[test]
fn held_requests_are_sent_when_the_table_switches() {
    // In a cold fleet no server takes overflow: a request for which the owner of its key has no capacity is
    // held.
    let cold = fleet(8).into_iter().map(|e| EndpointEntry { started: Some(100.0), ..e }).collect();
    let mut node = Node::with(settings(), 1, cold);
    apply_table(&mut node, 1, 1, &equal_weights(1..=8));
    let keys: Vec<u64> =
        (0..800).filter(|key| node.owner_if_sent(1000 + key, *key) == Some(id(3))).take(6).collect();
    node.flush_recent_keys();
    assert_eq!(keys.iter().map(|key| sent(&node.request(read(*key, *key))).len()).sum::<usize>(), 4);
    assert_eq!(sent(&apply_table(&mut node, 1, 2, &equal_weights([1, 2, 4, 5, 6, 7, 8]))).len(), 2);
}

#[test]
fn an_ejected_server_is_not_probed_while_the_table_lacks_it() {
    let mut node = Node::with(settings(), 1, fleet(6));
    let key = (0..).find(|key| key_owner(&equal_weights(1..=6), Key(*key)) == Some(id(1))).expect("a key");
    node.request(read(1, key));
    assert!(is_ejection_logged(&node.outcome(1, Status::Unreachable, None)));
    for (version, last, is_probed) in [(1, 6, true), (2, 7, false), (3, 6, true)] {
        apply_table(&mut node, 1, version, &equal_weights(if is_probed { 1..=last } else { 2..=last }));
        assert_eq!(node.advance(3.0).contains(&Action::HealthCheck(id(1))), is_probed, "version {version}");
    }
}

fn is_ejection_logged(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Log(text) if text.contains("taken out")))
}

fn apply_report(node: &mut Node, started: Option<Seconds>, silent: u16, answering: u16) {
    let evidence = ServerReport { server: id(1), started, silent, answering, in_flight: 0 };
    let actions = node.event(Event::Fleet(FleetUpdate::Servers(vec![evidence])));
    assert!(actions.is_empty() && node.balancer.member_counts().1 == 0, "reports alone eject no server");
}

/// Sends a read to server 1 and ends it with this status 0.01 s later.
fn end_read_at_server_one(node: &mut Node, request: u64, status: Status) -> Vec<Action> {
    let is_owned_by_one = |key: &u64| key_owner(&equal_weights(1..=6), Key(*key)) == Some(id(1));
    let key = (0..).filter(is_owned_by_one).nth(request as usize % 50).expect("a key");
    assert_eq!(sent(&node.request(read(request, key))), [id(1)]);
    node.now += 0.01;
    node.outcome(request, status, Some(CacheNote::Hit))
}

/// Whether one failure ejects a server on a busy node depends on what peers reported, and on what this node
/// has seen itself.
#[test]
fn one_failure_ejects_a_server_that_peers_report_silent_without_contrary_evidence() {
    type Before = fn(&mut Node);
    let started = Some(50.0);
    let cases: [(&str, bool, Before); 12] = [
        ("no report", false, |_| {}),
        ("three peers report it silent", true, |n| apply_report(n, Some(50.0), 3, 0)),
        ("two peers report it silent", false, |n| apply_report(n, Some(50.0), 2, 0)),
        ("nine peers report it silent and one had an answer", false, |n| apply_report(n, Some(50.0), 9, 1)),
        ("reports on an earlier incarnation", false, |n| apply_report(n, Some(49.0), 9, 0)),
        ("reports on an incarnation with unknown start", false, |n| apply_report(n, None, 9, 0)),
        ("expired reports", false, |n| {
            apply_report(n, Some(50.0), 9, 0);
            n.advance(5.1);
        }),
        ("a later report of an answer", false, |n| {
            apply_report(n, Some(50.0), 9, 0);
            apply_report(n, Some(50.0), 9, 1);
        }),
        ("it recently answered this node", false, |n| {
            end_read_at_server_one(n, 500, Status::Success);
            apply_report(n, Some(50.0), 9, 0);
        }),
        ("it answered this node long ago", true, |n| {
            end_read_at_server_one(n, 500, Status::Success);
            n.advance(5.1);
            apply_report(n, Some(50.0), 9, 0);
        }),
        ("it rejected a request of this node since", false, |n| {
            apply_report(n, Some(50.0), 9, 0);
            end_read_at_server_one(n, 500, Status::Overloaded);
        }),
        ("it has restarted since", false, |n| {
            apply_report(n, Some(50.0), 9, 0);
            n.event(Event::Endpoints(EndpointUpdate::Delta(vec![EndpointEntry {
                started: Some(60.0),
                ..entry(1)
            }])));
        }),
    ];
    for (description, is_ejected, before) in cases {
        let mut servers = fleet(6);
        servers[0].started = started;
        let mut node = Node::with(settings(), 1, servers);
        for n in 1000..1012 {
            node.request(read(n, n));
        }
        before(&mut node);
        assert_eq!(
            is_ejection_logged(&end_read_at_server_one(&mut node, 501, Status::Broken)),
            is_ejected,
            "{description}"
        );
    }
}

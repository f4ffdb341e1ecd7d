//! Input from other nodes: the common placement table, and reports on servers.

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

fn entries(servers: &[(u64, f64)]) -> Vec<TableEntry> {
    servers.iter().map(|(n, weight)| TableEntry { server: id(*n), weight: *weight }).collect()
}

fn even(servers: impl IntoIterator<Item = u64>) -> Vec<TableEntry> {
    entries(&servers.into_iter().map(|n| (n, 1.0)).collect::<Vec<_>>())
}

fn table(node: &mut Node, epoch: u64, version: u64, entries: &[TableEntry]) -> Vec<Action> {
    let entries = entries.to_vec();
    node.event(Event::Fleet(FleetNews::Table { epoch, version, entries }))
}

/// Whether each of many keys has the owner that an array of these entries gives it.
fn lives_by(node: &mut Node, from: u64, entries: &[TableEntry]) -> bool {
    (0..300).all(|n| Some(node.home(from + n, n * 7919)) == key_owner(entries, Key(n * 7919)))
}

#[test]
fn the_array_is_made_of_the_newest_table_and_not_of_the_list() {
    let mut node = Node::with(settings(), 1, fleet(6));
    assert!(lives_by(&mut node, 0, &even(1..=6)), "with no table, of the list");
    let versions = [(2, 5, 1..=5, true), (2, 4, 1..=6, false), (2, 5, 1..=6, false), (1, 9, 1..=6, false)];
    for (n, (epoch, version, servers, newer)) in (1..).zip(versions) {
        table(&mut node, epoch, version, &even(servers));
        assert!(lives_by(&mut node, 1000 * n, &even(1..=5)), "version {version} of {epoch}: {newer}");
    }
    table(&mut node, 3, 1, &even(1..=6));
    assert!(lives_by(&mut node, 9000, &even(1..=6)), "the switch to a table of a later epoch");
}

/// Keys of the other servers must not move when a node's endpoint list lacks some of the table's servers.
#[test]
fn who_may_not_be_sent_to_is_passed_over_at_once_in_the_same_array() {
    let weights = [(1, 1.0), (2, 0.5), (3, 5.0), (4, f64::NAN), (5, 0.0), (6, 1.5)];
    let all = entries(&weights);
    let drained = RosterEntry { state: ServerState::Draining, ..entry(3) };
    let gone = RosterEntry { state: ServerState::Gone, ..entry(3) };
    let unknown = fleet(6).into_iter().filter(|e| e.server != id(3)).collect();
    for news in [RosterNews::Delta(vec![drained]), RosterNews::Delta(vec![gone]), RosterNews::Full(unknown)] {
        let mut node = Node::with(settings(), 1, fleet(6));
        table(&mut node, 1, 1, &all);
        assert!(lives_by(&mut node, 0, &all));
        node.event(Event::Roster(news));
        for n in 0..300 {
            let (now, by_table) = (node.home(1000 + n, n), key_owner(&all, Key(n)));
            assert!(
                now != id(3) && (by_table == Some(id(3)) || by_table.as_ref() == Some(&now)),
                "key {n} at {now:?}"
            );
        }
        node.event(Event::Roster(RosterNews::Full(fleet(6))));
        assert!(lives_by(&mut node, 2000, &all), "ready again");
    }
}

#[test]
fn a_table_of_which_no_server_is_ready_holds_no_request_up() {
    let mut node = Node::with(settings(), 1, fleet(4));
    for (version, unready) in [(1, vec![]), (2, even(7..=9))] {
        table(&mut node, 1, version, &unready);
        assert!(lives_by(&mut node, 1000 * version, &even(1..=4)), "by the list meanwhile");
    }
}

#[test]
fn what_is_held_for_want_of_room_goes_with_the_switch() {
    // In a cold fleet no server takes overflow: a request for which the owner of its key has no capacity is
    // held.
    let cold = fleet(8).into_iter().map(|e| RosterEntry { started: Some(100.0), ..e }).collect();
    let mut node = Node::with(settings(), 1, cold);
    table(&mut node, 1, 1, &even(1..=8));
    let keys: Vec<u64> =
        (0..800).filter(|key| node.home_if_sent(1000 + key, *key) == Some(id(3))).take(6).collect();
    node.forget();
    assert_eq!(keys.iter().map(|key| sent(&node.request(read(*key, *key))).len()).sum::<usize>(), 4);
    assert_eq!(sent(&table(&mut node, 1, 2, &even([1, 2, 4, 5, 6, 7, 8]))).len(), 2);
}

#[test]
fn a_server_that_is_out_is_not_tried_while_the_table_lacks_it() {
    let mut node = Node::with(settings(), 1, fleet(6));
    let key = (0..).find(|key| key_owner(&even(1..=6), Key(*key)) == Some(id(1))).expect("a key");
    node.request(read(1, key));
    assert!(taken_out(&node.outcome(1, Status::Unreachable, None)));
    for (version, last, tried) in [(1, 6, true), (2, 7, false), (3, 6, true)] {
        table(&mut node, 1, version, &even(if tried { 1..=last } else { 2..=last }));
        assert_eq!(node.pass(3.0).contains(&Action::Probe(id(1))), tried, "version {version}");
    }
}

fn taken_out(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Log(text) if text.contains("taken out")))
}

fn told(node: &mut Node, started: Option<Seconds>, silent: u16, answering: u16) {
    let evidence = ServerEvidence { server: id(1), started, silent, answering, in_flight: 0 };
    let actions = node.event(Event::Fleet(FleetNews::Servers(vec![evidence])));
    assert!(actions.is_empty() && node.balancer.members().1 == 0, "hearsay alone takes nobody out");
}

/// Sends a read to server 1 and ends it with this status 0.01 s later.
fn ends(node: &mut Node, request: u64, status: Status) -> Vec<Action> {
    let of_one = |key: &u64| key_owner(&even(1..=6), Key(*key)) == Some(id(1));
    let key = (0..).filter(of_one).nth(request as usize % 50).expect("a key");
    assert_eq!(sent(&node.request(read(request, key))), [id(1)]);
    node.now += 0.01;
    node.outcome(request, status, Some(CacheNote::Hit))
}

/// Whether one failure ejects a server on a busy node depends on what peers reported, and on what this node
/// has seen itself.
#[test]
fn one_own_sign_is_enough_where_peers_found_a_server_silent_and_nothing_speaks_against_it() {
    type Before = fn(&mut Node);
    let life = Some(50.0);
    let cases: [(&str, bool, Before); 12] = [
        ("nothing was told", false, |_| {}),
        ("three found it silent", true, |n| told(n, Some(50.0), 3, 0)),
        ("two did", false, |n| told(n, Some(50.0), 2, 0)),
        ("nine did, and one had an answer", false, |n| told(n, Some(50.0), 9, 1)),
        ("of an earlier life", false, |n| told(n, Some(49.0), 9, 0)),
        ("of a life that started who knows when", false, |n| told(n, None, 9, 0)),
        ("long ago", false, |n| {
            told(n, Some(50.0), 9, 0);
            n.pass(5.1);
        }),
        ("it answers meanwhile", false, |n| {
            told(n, Some(50.0), 9, 0);
            told(n, Some(50.0), 9, 1);
        }),
        ("it answered this node", false, |n| {
            ends(n, 500, Status::Success);
            told(n, Some(50.0), 9, 0);
        }),
        ("it answered this node long before", true, |n| {
            ends(n, 500, Status::Success);
            n.pass(5.1);
            told(n, Some(50.0), 9, 0);
        }),
        ("it turned this node away since", false, |n| {
            told(n, Some(50.0), 9, 0);
            ends(n, 500, Status::Overloaded);
        }),
        ("it has started again", false, |n| {
            told(n, Some(50.0), 9, 0);
            n.event(Event::Roster(RosterNews::Delta(vec![RosterEntry { started: Some(60.0), ..entry(1) }])));
        }),
    ];
    for (what, enough, before) in cases {
        let mut servers = fleet(6);
        servers[0].started = life;
        let mut node = Node::with(settings(), 1, servers);
        for n in 1000..1012 {
            node.request(read(n, n));
        }
        before(&mut node);
        assert_eq!(taken_out(&ends(&mut node, 501, Status::Broken)), enough, "{what}");
    }
}

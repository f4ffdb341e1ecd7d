//! Service discovery: the endpoint list, a change of its address, and a node without one.

use crate::harness::*;
use crate::{slow_key_handler, start_with_one_server, unused_address};

/// The id of a server, not its address, determines which keys it owns: nodes may see one server under different
/// addresses.
#[test]
fn key_owners_follow_server_ids_not_addresses() {
    let servers =
        [FakeCacheServer::start(|_| ServerAction::Serve), FakeCacheServer::start(|_| ServerAction::Serve)];
    let members = |first: usize| {
        [member("s-1", servers[first].address, "ready"), member("s-2", servers[1 - first].address, "ready")]
    };
    let (list, discovery) = FakeDiscovery::start(&members(0));
    let node = Setup { known: members(0).join(","), ..Setup::default() }.start(discovery);
    let mut client = node.connect();
    let mut owners = |prefix: &str| -> Vec<usize> {
        let owner_of = |n: usize| {
            let id = format!("{prefix}{n}");
            assert_eq!(client.request(&read_command(&format!("key{n}"), &id, 9000)), served_answer(&id));
            let owner = servers.iter().position(|server| !server.take_commands().is_empty());
            owner.expect("no server received the request")
        };
        (0..16).map(owner_of).collect()
    };
    let before = owners("i");
    assert!(before.contains(&0) && before.contains(&1));
    list.update_and_wait(&members(1));
    let swapped: Vec<usize> = owners("j").iter().map(|owner| 1 - owner).collect();
    assert_eq!(swapped, before);
}

/// A long poll that fails in any way is repeated; the last endpoint list stays in use meanwhile.
#[test]
fn a_failed_long_poll_is_repeated() {
    let (node, first, list) = start_with_one_server(|_| ServerAction::Serve);
    let mut client = node.connect();
    list.inject_faults(&[
        Fault::Status(503),
        Fault::Reset,
        Fault::Body("{\"revision\":"),
        Fault::Body(r#"{"revision":9,"complete":true,"members":[{"id":7}]}"#),
        Fault::NoAnswer,
    ]);
    assert_eq!(client.request(&read_command("k", "k1", 9000)), served_answer("k1"));
    node.wait_for_log("unreadable list");
    node.wait_for_log("no answer in time");
    let second = FakeCacheServer::start(|_| ServerAction::Serve);
    list.update_and_wait(&[member("s-2", second.address, "ready")]);
    assert_eq!(first.take_commands().len(), 1);
    assert_eq!(client.request(&read_command("k", "k2", 9000)), served_answer("k2"));
    assert_eq!(second.take_commands().len(), 1);
}

/// Guards against a SIGHUP that ends the process, as it does without a handler, and against a new discovery address
/// whose list is ignored because its revision is lower. Requests in flight go on.
#[test]
fn sighup_changes_the_discovery_address_and_nothing_else() {
    let (release, handler) = slow_key_handler();
    let (node, first, list) = start_with_one_server(handler);
    list.update_and_wait(&[member("s-1", first.address, "ready")]);
    let mut pending = node.connect();
    pending.send(&read_command("slow", "t1", 9000));
    first.next_command();
    let mut client = node.connect();
    let setup = Setup { known: member("s-1", first.address, "ready"), ..Setup::default() };
    for invalid in ["", "{", &setup.config(unused_address()).replace("max-attempts", "most")] {
        node.reload(invalid);
        node.wait_for_log("the old configuration stands");
        assert_eq!(client.request(&read_command("k", "t2", 9000)), served_answer("t2"));
    }
    let second = FakeCacheServer::start(|_| ServerAction::Serve);
    let (moved_list, discovery) = FakeDiscovery::start(&[member("s-2", second.address, "ready")]);
    for _ in 0..9 {
        node.reload(&setup.config(discovery));
    }
    node.wait_for_log("moved");
    moved_list.wait_until_read();
    first.take_commands();
    assert_eq!(client.request(&read_command("k", "t3", 9000)), served_answer("t3"));
    assert_eq!((first.take_commands().len(), second.take_commands().len()), (0, 1));
    drop(release);
    assert_eq!(pending.read_answer(), served_answer("t1"));
    node.signal("-TERM");
    node.wait_for_log("stopping");
    node.signal("-HUP");
    drop((pending, client));
    assert_eq!(node.wait().code(), Some(0));
}

/// `mn` is answered `MN` once a server is known; until then the load balancer in front sends no clients here.
#[test]
fn a_node_without_servers_is_not_ready() {
    let server = FakeCacheServer::start(|_| ServerAction::Serve);
    let (list, discovery) = FakeDiscovery::start(&[]);
    let node = Setup::default().start(discovery);
    let mut client = node.connect();
    assert_eq!(client.request("mn\r\n"), "SERVER_ERROR not ready\r\n");
    list.update_and_wait(&[member("s-1", server.address, "ready")]);
    assert_eq!(client.request("mn\r\n"), "MN\r\n");
    assert_eq!(client.request(&read_command("k", "l1", 9000)), served_answer("l1"));
}

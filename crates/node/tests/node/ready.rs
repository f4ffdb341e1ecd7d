//! When a node is ready in each state of discovery, and a new configuration before that.

use std::net::TcpListener;

use crate::harness::*;
use crate::unused_address;

/// Starts a node with this membership mode: the list is pushed, or polled on request.
fn start(setup: &Setup, discovery: std::net::SocketAddr, membership: &str) -> Node {
    let config = setup.config(discovery).replace("\"membership-mode\":\"pushed\"", membership);
    Node::start(&write_config(&config), None, None)
}

const MEMBERSHIPS: [&str; 2] = ["\"membership-mode\":\"pushed\"", "\"membership-mode\":\"on_request\""];

/// A restarted node has the endpoint list from its configuration: it is ready at once and serves, whatever discovery
/// does.
#[test]
fn a_restarted_node_is_ready_whatever_discovery_does() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_empty_list, empty) = FakeDiscovery::start(&[]);
    for membership in MEMBERSHIPS {
        for discovery in [unused_address(), silent.local_addr().unwrap(), empty] {
            let server = FakeCacheServer::start(|_| ServerAction::Serve);
            let known = member("s-1", server.address, "ready");
            let node = start(&Setup { known, ..Setup::default() }, discovery, membership);
            let mut client = node.connect();
            assert_eq!(client.request("mn\r\n"), "MN\r\n", "{membership}");
            let answer = client.request(&read_command("k", "r1", 9000));
            // By then an empty list may have been read, which leaves no server for the request.
            let is_rejected = discovery == empty && answer == "SERVER_ERROR busy\r\n";
            assert!(is_rejected || answer == served_answer("r1"), "{membership}: {answer}");
        }
    }
}

/// A node without an endpoint list is ready as soon as discovery has named a server, however long discovery was
/// silent.
#[test]
fn a_node_without_a_list_is_ready_once_discovery_answers() {
    for membership in MEMBERSHIPS {
        let server = FakeCacheServer::start(|_| ServerAction::Serve);
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = start(&Setup::default(), silent.local_addr().unwrap(), membership);
        let mut client = node.connect();
        assert_eq!(client.request("mn\r\n"), "SERVER_ERROR not ready\r\n", "{membership}");
        let (list, _) = FakeDiscovery::start_on(silent, &[member("s-1", server.address, "ready")]);
        list.wait_until_read();
        let mut client = node.connect();
        assert_eq!(client.request("mn\r\n"), "MN\r\n", "{membership}");
        assert_eq!(client.request(&read_command("k", "r2", 9000)), served_answer("r2"), "{membership}");
    }
}

/// A new configuration takes effect before the node is ready as well as after. An unreadable or half-written one
/// leaves the last valid one in force, and the next SIGHUP is handled.
#[test]
fn a_new_configuration_before_the_list_was_read_moves_discovery() {
    let server = FakeCacheServer::start(|_| ServerAction::Serve);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Setup::default().start(silent.local_addr().unwrap());
    let (list, discovery) = FakeDiscovery::start(&[member("s-1", server.address, "ready")]);
    let valid = Setup::default().config(discovery);
    node.reload(&valid[..valid.len() / 2]);
    node.wait_for_log("the old configuration stands");
    assert_eq!(node.connect().request("mn\r\n"), "SERVER_ERROR not ready\r\n");
    for _ in 0..2 {
        node.reload(&valid);
    }
    list.wait_until_read();
    assert_eq!(node.operator_call("ready\n"), "ok ready\n");
    assert_eq!(node.connect().request(&read_command("k", "r3", 9000)), served_answer("r3"));
}

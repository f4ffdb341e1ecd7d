//! When a node is ready, at each state that discovery may be in, and what a new configuration does before that.

use std::net::TcpListener;

use crate::nowhere;
use crate::rig::*;

/// A node of this setup, whose list is pushed or asked for.
fn start(setup: &Setup, discovery: std::net::SocketAddr, membership: &str) -> Node {
    let config = setup.config(discovery).replace("\"membership-mode\":\"pushed\"", membership);
    Node::start(&write_config(&config), None, None)
}

const MEMBERSHIPS: [&str; 2] = ["\"membership-mode\":\"pushed\"", "\"membership-mode\":\"on_request\""];

/// A restarted node is given the list that it had: it is ready at once and serves, whatever discovery does.
#[test]
fn a_restarted_node_is_ready_whatever_discovery_does() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let (_empty, empty) = List::start(&[]);
    for membership in MEMBERSHIPS {
        for discovery in [nowhere(), silent.local_addr().unwrap(), empty] {
            let server = CacheServer::start(|_| Act::Serve);
            let known = member("s-1", server.address, "ready");
            let node = start(&Setup { known, ..Setup::default() }, discovery, membership);
            let mut client = node.connect();
            assert_eq!(client.ask("mn\r\n"), "MN\r\n", "{membership}");
            let answer = client.ask(&read("k", "r1", 9000));
            // By then an empty list may have been read, which names nobody to serve it.
            let refused = discovery == empty && answer == "SERVER_ERROR busy\r\n";
            assert!(refused || answer == served("r1"), "{membership}: {answer}");
        }
    }
}

/// One that is given none is ready as soon as discovery has told it of a server, however long that says nothing.
#[test]
fn a_node_without_a_list_is_ready_once_discovery_speaks() {
    for membership in MEMBERSHIPS {
        let server = CacheServer::start(|_| Act::Serve);
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let node = start(&Setup::default(), silent.local_addr().unwrap(), membership);
        let mut client = node.connect();
        assert_eq!(client.ask("mn\r\n"), "SERVER_ERROR not ready\r\n", "{membership}");
        let (list, _) = List::on(silent, &[member("s-1", server.address, "ready")]);
        list.wait();
        let mut client = node.connect();
        assert_eq!(client.ask("mn\r\n"), "MN\r\n", "{membership}");
        assert_eq!(client.ask(&read("k", "r2", 9000)), served("r2"), "{membership}");
    }
}

/// A new configuration counts before the node is ready as after; one that cannot be read, or is half written, leaves
/// the last good one, and the next word is heard.
#[test]
fn a_new_configuration_before_the_list_was_read_moves_discovery() {
    let server = CacheServer::start(|_| Act::Serve);
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Setup::default().start(silent.local_addr().unwrap());
    let (list, discovery) = List::start(&[member("s-1", server.address, "ready")]);
    let good = Setup::default().config(discovery);
    node.reload(&good[..good.len() / 2]);
    node.logged("the old configuration stands");
    assert_eq!(node.connect().ask("mn\r\n"), "SERVER_ERROR not ready\r\n");
    for _ in 0..2 {
        node.reload(&good);
    }
    list.wait();
    assert_eq!(node.call("ready\n"), "ok ready\n");
    assert_eq!(node.connect().ask(&read("k", "r3", 9000)), served("r3"));
}

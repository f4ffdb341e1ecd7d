//! More clients than file descriptors, and clients that don't read.

use std::io::Write;
use std::net::TcpStream;
use std::time::Instant;

use crate::harness::*;
use crate::start_with_one_server;

/// A flood of connections that send nothing neither closes nor delays the connections of regular clients, and leaves
/// descriptors for cache servers.
#[test]
fn a_flood_of_connections_does_not_displace_regular_clients() {
    let server = FakeCacheServer::start(|line| {
        if line.contains("held") {
            ServerAction::Ignore
        } else {
            ServerAction::Serve
        }
    });
    let known = member("s-1", server.address, "ready");
    let (_list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    let setup = Setup { sockets: 92, ulimit: Some(92), known, ..Setup::default() };
    // A long dial timeout: a slow connect on a busy machine must not count as a shortage of descriptors.
    let config = setup.config(discovery).replace("\"dial-timeout-s\":0.2", "\"dial-timeout-s\":5");
    // Connections idle for 2 s are closed first as well, so a round that took about as long proves nothing.
    for round in 0.. {
        let node = Node::start(&write_config(&config), setup.ulimit, None);
        let mut regular: Vec<Client> = (0..15).map(|_| node.connect()).collect();
        let start = Instant::now();
        let mut count_served = |name: &str| {
            let answers = regular.iter_mut().enumerate().map(|(n, client)| {
                let id = format!("{name}{round}x{n}");
                client.stream.write_all(read_command("k", &id, 9000).as_bytes()).is_ok()
                    && client.read_answer() == served_answer(&id)
            });
            answers.filter(|is_served| *is_served).count()
        };
        let before = count_served("w");
        let _flood: Vec<TcpStream> = (0..300).map(|_| TcpStream::connect(node.address).unwrap()).collect();
        let after = count_served("x");
        if start.elapsed().as_millis() < 1900 {
            assert_eq!((before, after), (15, 15), "served of 15 regular clients, before and after the flood");
            assert_eq!(node.connect().request(&read_command("k", "y", 9000)), served_answer("y"));
            break;
        }
        assert!(round < 9, "no round took less than 1.9 s");
    }
}

/// A client that doesn't read its answers must not hold up others.
#[test]
fn a_slow_reader_blocks_no_other_client() {
    let value = "v".repeat(60_000);
    let (node, server, _list) = start_with_one_server(move |line| {
        ServerAction::Reply(format!("VA 60000 O{}\r\n{value}\r\n", opaque_id(line)).into())
    });
    let mut slow = node.connect();
    let commands: String =
        (0..400).map(|n| read_command(&format!("key{n}"), &format!("n{n}"), 60_000)).collect();
    slow.send(&commands);
    server.next_command();
    let mut client = node.connect();
    // With so many requests in flight the balancer may reject one.
    let assert_valid = |answer: &str, id: &str| {
        let is_value = answer.starts_with(&format!("VA 60000 O{id}\r\n"));
        assert!(is_value || answer == "SERVER_ERROR busy\r\n", "{id}: {answer:.40}");
    };
    for n in 0..20 {
        let id = format!("o{n}");
        assert_valid(&client.request(&read_command("k", &id, 9000)), &id);
    }
    for n in 0..400 {
        assert_valid(&slow.read_answer(), &format!("n{n}"));
    }
}

/// Connections accepted by the kernel must be served: a full node closes connections between requests, the longest
/// idle first, and goes on accepting.
#[test]
fn more_clients_than_descriptors_are_served_in_turn() {
    let server = FakeCacheServer::start(|_| ServerAction::Serve);
    let known = member("s-1", server.address, "ready");
    let (_list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    // The limit comes once from the node's configuration, once from the system.
    for (sockets, ulimit) in [(62, None), (1024, Some(40))] {
        let node = Setup { sockets, ulimit, known: known.clone(), ..Setup::default() }.start(discovery);
        let mut clients: Vec<Client> = Vec::new();
        for n in 0..100 {
            let mut client = node.connect();
            let id = format!("p{n}");
            assert_eq!(client.request(&read_command("k", &id, 9000)), served_answer(&id));
            clients.push(client);
        }
        assert_eq!(clients[0].read_answer(), "", "the longest idle connection is still open");
        assert_eq!(clients[99].request("mn\r\n"), "MN\r\n");
    }
}

/// Clients may hold two thirds of the descriptors that are not reserved. If connections that served one
/// request filled that share, no client could connect any more, so such connections are closed well before
/// that and before their idle time is over.
#[test]
fn connections_that_served_one_request_are_closed_early() {
    let server = FakeCacheServer::start(|_| ServerAction::Serve);
    let known = member("s-1", server.address, "ready");
    let (_list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    let node = Setup { sockets: 240, known, ..Setup::default() }.start(discovery);
    let start = Instant::now();
    let mut clients: Vec<Client> = Vec::new();
    for n in 0..79 {
        let mut client = node.connect();
        assert_eq!(
            client.request(&read_command("k", &format!("r{n}"), 9000)),
            served_answer(&format!("r{n}"))
        );
        clients.push(client);
    }
    assert_eq!(clients[0].read_answer(), "");
    assert!(start.elapsed().as_secs() < 9, "may have been closed for its idle time alone");
    assert_eq!(clients[78].request("mn\r\n"), "MN\r\n");
}

//! Clients that send malformed commands, or none within their time.

use std::io::{Read, Write};
use std::time::Instant;

use crate::harness::*;
use crate::start_with_one_server;

#[test]
fn malformed_commands_get_an_error_and_harm_no_other_client() {
    let (node, _server, _list) = start_with_one_server(|_| ServerAction::Serve);
    let mut client = node.connect();
    for line in ["get k\r\n", "\r\n", "stats load\r\n"] {
        assert_eq!(client.request(line), "ERROR\r\n", "{line:?}");
    }
    for line in [
        "mg\r\n",
        "mg k v\r\n",
        "mg k v Oa Pc=read,d=x\r\n",
        "mg k v Oa Pc=read,d=1\n",
        "\u{fffd}\n",
        "\0\r\n",
    ] {
        let answer = client.request(line);
        assert!(answer.starts_with("CLIENT_ERROR "), "{line:?}: {answer}");
    }
    assert_eq!(client.request(&read_command("k", "m1", 9000)), served_answer("m1"));
    for text in ["ms k 70000 Oa Pc=open,d=9\r\n".to_string(), "ms k\r\n".into(), "x".repeat(5000)] {
        let mut client = node.connect();
        assert!(client.request(&text).starts_with("CLIENT_ERROR "), "{text:.20}");
        assert_eq!(client.read_answer(), "", "the connection stays open though the framing is lost");
    }
    assert_eq!(client.request(&read_command("k", "m3", 9000)), served_answer("m3"));
}

/// The node itself rejects commands that no cache server accepts: a server would reject them or close the
/// connection, and the balancer would count that against the server.
#[test]
fn commands_that_no_cache_server_accepts_are_not_forwarded() {
    let (node, server, _list) =
        start_with_one_server(
            |line| if line.contains("held") { ServerAction::Ignore } else { ServerAction::Serve },
        );
    let mut pending = node.connect();
    pending.send(&read_command("held", "u1", 9000));
    server.next_command();
    let mut client = node.connect();
    for line in [
        "mg k v Ou2 Pc=odd,t=acme,d=9000\r\n",
        "mg k v Ou1 Pc=read,t=acme,d=9000\r\n",
        "mg k v Ou2 Pc=read,t=acme,d=+9000\r\n",
        "mg k v Ou2 Pc=read,t=ac\x01me,d=9000\r\n",
        "mg k v Ou2 Pc=read,t=acm\u{e9},d=9000\r\n",
        "mg k v Ou2 Pc=read,c=open,t=acme,d=9000\r\n",
    ] {
        let answer = client.request(line);
        assert!(answer.starts_with("CLIENT_ERROR "), "{line:?}: {answer}");
    }
    // Id `u1` is free again once its pending request is gone; the rejected command with that id did not free
    // it.
    drop(pending);
    while !matches!(server.next_event(), ServerEvent::Closed(_)) {}
    for id in ["u1", "u2"] {
        assert_eq!(client.request(&read_command("k", id, 9000)), served_answer(id));
    }
    let commands = server.take_commands();
    assert!(commands.len() == 2 && commands.iter().all(|line| line.starts_with("mg k v Ou")), "{commands:?}");
}

/// A connection is closed if it brings no complete command in time: neither silence, nor half a command, nor single
/// bytes now and then keep it open. A regular idle client keeps its connection meanwhile.
#[test]
fn clients_without_a_complete_command_in_time_are_closed() {
    let (node, _server, _list) = start_with_one_server(|_| ServerAction::Serve);
    let mut regular = node.connect();
    assert_eq!(regular.request(&read_command("k", "v1", 9000)), served_answer("v1"));
    let start = Instant::now();
    let mut silent = node.connect();
    let mut half = node.connect();
    half.send("ms k 900 Ov2 Pc=open,t=acme,d=9000\r\nxx");
    let mut late = node.connect();
    assert_eq!(late.request(&read_command("k", "v3", 9000)), served_answer("v3"));
    late.send("mg k v");
    let mut dripping = node.connect();
    let mut dripping_stream = dripping.stream.try_clone().unwrap();
    std::thread::spawn(move || {
        while dripping_stream.write_all(b"m").is_ok() {
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
    });
    assert_eq!(silent.read_answer(), "", "not closed without an answer");
    for slow in [&mut half, &mut late, &mut dripping] {
        assert!(slow.read_answer().starts_with("CLIENT_ERROR "));
    }
    assert!(start.elapsed().as_secs() >= 1, "slow clients were closed too early");
    assert_eq!(regular.request(&read_command("k", "v4", 9000)), served_answer("v4"));
}

/// Closing with unread input would reset the connection, and the client would never read the error.
#[test]
fn the_error_arrives_while_the_client_still_sends() {
    let (node, _server, _list) = start_with_one_server(|_| ServerAction::Serve);
    for _ in 0..9 {
        let mut client = node.connect();
        client.send(&format!("ms k 300000 Oa Pc=open,t=acme,d=9000\r\n{}", "x".repeat(300_000)));
        let mut received = String::new();
        client.stream.read_to_string(&mut received).expect("the connection ends without a reset");
        assert!(received.starts_with("CLIENT_ERROR "), "{received}");
    }
}

/// A client that resends as soon as it is rejected must not take processor time from others.
#[test]
fn a_rejected_client_waits_for_its_next_turn() {
    let (node, _server, _list) = start_with_one_server(|_| ServerAction::Serve);
    let mut client = node.connect();
    let start = Instant::now();
    for _ in 0..6 {
        assert!(client.request("mg k v Oa Pc=odd,d=9000\r\n").starts_with("CLIENT_ERROR "));
    }
    assert!(start.elapsed().as_millis() >= 500, "{:?}", start.elapsed());
}

//! A planned stop (SIGTERM) of the node's process.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::{slow_key_handler, start_with_one_server};

/// Requests in flight are answered, new ones are served, and the node exits when no client is left.
#[test]
fn sigterm_ends_the_node_once_all_requests_are_answered() {
    let (release, handler) = slow_key_handler();
    let (node, server, _list) = start_with_one_server(handler);
    let mut pending = node.connect();
    pending.send(&read_command("slow", "q1", 9000));
    server.next_command();
    let mut idle = node.connect();
    assert_eq!(idle.request(&read_command("k", "q2", 9000)), served_answer("q2"));
    let sigterm_at = Instant::now();
    node.signal("-TERM");
    // Connections are accepted for 0.4 s more. A machine too busy to connect by then leaves nothing to check.
    let late = TcpStream::connect(node.address);
    if sigterm_at.elapsed().as_millis() < 400 {
        let mut late = Client::new(late.expect("connections are still accepted"));
        assert_eq!(late.request(&read_command("k", "q3", 9000)), served_answer("q3"));
        assert_eq!(late.read_answer(), "", "not closed between requests");
    }
    node.wait_for_log("stopping");
    assert_eq!(idle.read_answer(), "", "not closed between requests");
    drop(release);
    assert_eq!(pending.read_answer(), served_answer("q1"));
    assert_eq!(pending.read_answer(), "");
    assert_eq!(node.wait().code(), Some(0));
}

/// A stop under load answers every request that the node reads: a connection is closed between requests, never in
/// place of an answer.
#[test]
fn sigterm_under_load_leaves_no_request_unanswered() {
    // Each answer takes a moment, so that some requests are in flight at any time.
    let (node, server, _list) = start_with_one_server(|_| {
        std::thread::sleep(Duration::from_millis(20));
        ServerAction::Serve
    });
    let address = node.address;
    let (answer_sender, answers) = channel();
    let clients: Vec<_> = (0..8)
        .map(|c| {
            let answer_sender = answer_sender.clone();
            std::thread::spawn(move || {
                let mut client = Client::new(TcpStream::connect(address).unwrap());
                let mut answered = 0;
                loop {
                    let id = format!("z{c}x{answered}");
                    if client.stream.write_all(read_command("k", &id, 9000).as_bytes()).is_err() {
                        return answered;
                    }
                    let answer = client.read_answer();
                    if answer.is_empty() {
                        return answered;
                    }
                    assert!(answer == served_answer(&id) || answer == "SERVER_ERROR busy\r\n", "{answer}");
                    answered += 1;
                    let _ = answer_sender.send(());
                }
            })
        })
        .collect();
    for _ in 0..100 {
        answers.recv().unwrap();
    }
    node.signal("-TERM");
    let answered: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    assert_eq!(node.wait().code(), Some(0));
    assert!(server.take_commands().len() <= answered, "a request that reached the server has no answer");
}

/// Connections that the kernel accepts while the node's process is halted, just before it stops listening, are
/// answered as any other. Closing the listener would reset them.
#[test]
fn connections_in_the_accept_queue_are_answered_when_listening_ends() {
    // The node has to be halted while it still listens; if the machine is too busy for that, another node is started.
    let (node, _server, _list) = loop {
        let (node, server, list) = start_with_one_server(|_| ServerAction::Serve);
        let sigterm_at = Instant::now();
        node.signal("-TERM");
        node.wait_for_log("stopping");
        node.signal("-STOP");
        if sigterm_at.elapsed().as_millis() < 400 {
            break (node, server, list);
        }
    };
    let mut queued: Vec<Client> = (0..100).map(|_| node.connect()).collect();
    for (n, client) in queued.iter_mut().enumerate() {
        client.send(&read_command("k", &format!("w{n}"), 9000));
    }
    // The node stays halted until it would accept no more connections; any longer time does as well.
    std::thread::sleep(Duration::from_millis(700));
    node.signal("-CONT");
    for (n, client) in queued.iter_mut().enumerate() {
        let (id, answer) = (format!("w{n}"), client.read_answer());
        assert!(answer == served_answer(&id) || answer == "SERVER_ERROR busy\r\n", "{id}: {answer:?}");
    }
    drop(queued);
    assert_eq!(node.wait().code(), Some(0));
}

/// A second SIGTERM changes nothing, nor does one that comes before the endpoint list was ever read.
#[test]
fn a_node_that_was_never_ready_ends_after_repeated_sigterm() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let node = Setup::default().start(silent.local_addr().unwrap());
    let (mut idle, mut requesting) = (node.connect(), node.connect());
    assert_eq!(idle.request("mn\r\n"), "SERVER_ERROR not ready\r\n");
    requesting.send(&read_command("k", "n1", 9000));
    node.wait_for_metric("app_pending", 0);
    for _ in 0..2 {
        node.signal("-TERM");
    }
    node.wait_for_log("stopping");
    assert_eq!(node.operator_call("resume\n"), "fail already stopping\n");
    node.signal("-TERM");
    assert_eq!(requesting.read_answer(), "SERVER_ERROR busy\r\n", "not rejected though no server is known");
    assert_eq!(
        (idle.read_answer(), requesting.read_answer()),
        (String::new(), String::new()),
        "not closed between requests"
    );
    drop((idle, requesting));
    assert_eq!(node.wait().code(), Some(0));
}

/// An answer that was written when the process ends reaches its client completely, even one that reads slowly.
#[test]
fn a_node_exits_after_the_last_byte_of_its_answers() {
    const VALUE_LENGTH: usize = 4 << 20;
    let value = "v".repeat(VALUE_LENGTH);
    let (node, server, _list) = start_with_one_server(move |line| {
        ServerAction::Reply(format!("VA {VALUE_LENGTH} O{}\r\n{value}\r\n", opaque_id(line)).into())
    });
    let mut client = node.connect();
    client.send(&read_command("long", "e1", 9000));
    server.next_command();
    node.signal("-TERM");
    node.wait_for_log("stopping");
    // Idle connections have been closed by then; this one still awaits more bytes than the system's buffers hold.
    std::thread::sleep(Duration::from_millis(700));
    let mut received = Vec::new();
    client.stream.read_to_end(&mut received).expect("the connection ends without a reset");
    assert_eq!(received.len(), format!("VA {VALUE_LENGTH} Oe1\r\n").len() + VALUE_LENGTH + 2);
    drop(client);
    assert_eq!(node.wait().code(), Some(0));
}

//! Long values, which are streamed to clients instead of being buffered.

use std::io::Read;
use std::sync::mpsc::channel;
use std::sync::Mutex;

use crate::harness::*;
use crate::start_with_one_server;

const LONG_VALUE: usize = 4 << 20;

fn long_value() -> String {
    (0..LONG_VALUE).map(|n| char::from(b'a' + (n % 23) as u8)).collect()
}

/// A long value is streamed to its client while it arrives; behind it the connection to the cache server is reused.
#[test]
fn a_long_value_is_streamed() {
    let (release, gate) = channel();
    let gate = Mutex::new(Some(gate));
    let value = long_value();
    let (head, tail) = (value[..100_000].to_string(), value[100_000..].to_string() + "\r\n");
    let (node, server, _list) = start_with_one_server(move |line| {
        if !line.contains("long") {
            return ServerAction::Serve;
        }
        let first = format!("VA {LONG_VALUE} O{} h1\r\n{head}", opaque_id(line)).into();
        ServerAction::ReplyInTwo(first, gate.lock().unwrap().take().unwrap(), tail.clone().into())
    });
    let mut client = node.connect();
    client.send(&(read_command("long", "l1", 9000) + &read_command("k", "l2", 9000)));
    let mut beginning = vec![0; 100_000];
    client.stream.read_exact(&mut beginning).unwrap();
    let text = format!("VA {LONG_VALUE} Ol1\r\n{value}\r\n{}", served_answer("l2"));
    assert_eq!(beginning, text.as_bytes()[..beginning.len()]);
    assert_eq!(node.metric("app_completed_total{lane=\"read\"}"), 0);
    drop(release);
    let mut rest = vec![0; text.len() - beginning.len()];
    client.stream.read_exact(&mut rest).unwrap();
    assert!(rest == text.as_bytes()[beginning.len()..], "not the value as sent, followed by the next answer");
    node.wait_for_metric("app_completed_total{lane=\"read\"}", 2);
    while server.events.try_recv().is_ok() {}
    let mut new_clients: Vec<Client> = (0..2).map(|_| node.connect()).collect();
    for (n, client) in new_clients.iter_mut().enumerate() {
        let id = format!("m{n}");
        assert_eq!(client.request(&read_command("k", &id, 9000)), served_answer(&id));
    }
    assert!(
        server.events.try_iter().all(|event| !matches!(event, ServerEvent::Opened(_))),
        "a new connection was opened though idle ones exist"
    );
}

/// A value that turns out to be broken after its first byte was sent ends the client's connection, before all
/// announced bytes are sent.
#[test]
fn a_broken_long_value_closes_the_connection() {
    let value = long_value();
    for malformed in [value[..90_000].to_string(), value.clone() + "xy", value.clone() + "\n\n"] {
        let (node, _server, _list) = start_with_one_server(move |line| {
            ServerAction::ReplyAndClose(format!("VA {LONG_VALUE} O{}\r\n{malformed}", opaque_id(line)).into())
        });
        let mut client = node.connect();
        client.send(&read_command("k", "b1", 9000));
        let mut received = Vec::new();
        client.stream.read_to_end(&mut received).expect("the connection ends without a reset");
        let complete = format!("VA {LONG_VALUE} Ob1\r\n{value}\r\n");
        assert!(
            received.len() < complete.len() && complete.as_bytes().starts_with(&received),
            "{} bytes",
            received.len()
        );
        node.wait_for_metric("app_failed_total{lane=\"read\"}", 1);
        assert_eq!(node.metric("app_completed_total{lane=\"read\"}"), 0);
    }
}

/// An answer with a wrong id, without one, or with a length above the limit is detected before its first byte is
/// sent.
#[test]
fn a_long_value_is_checked_before_its_first_byte_is_sent() {
    for malformed in ["VA 4194304 Oother\r\n", "VA 4194305 Og\r\n", "VA 4194304\r\n"] {
        let value = "x".repeat(LONG_VALUE);
        let (node, server, _list) = start_with_one_server(move |line| {
            ServerAction::Reply((malformed.replace("Og", &format!("O{}", opaque_id(line))) + &value).into())
        });
        let answer = node.connect().request(&read_command("k", "c1", 2000));
        assert!(answer.starts_with("SERVER_ERROR "), "{answer:.40}");
        assert!(!server.take_commands().is_empty());
    }
}

/// Clients that don't read cost one buffer each, not a complete value.
#[test]
fn long_values_together_may_exceed_memory() {
    let value = long_value();
    let (node, _server, _list) = start_with_one_server(move |line| {
        ServerAction::Reply(format!("VA {LONG_VALUE} O{}\r\n{value}\r\n", opaque_id(line)).into())
    });
    let mut clients: Vec<Client> = (0..24).map(|_| node.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&read_command(&format!("key{n}"), &format!("y{n}"), 19_000));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        let answer = client.read_answer();
        let complete = answer.len() == format!("VA {LONG_VALUE} Oy{n}\r\n").len() + LONG_VALUE + 2;
        assert!(complete || answer.starts_with("SERVER_ERROR busy"), "{answer:.40}");
    }
    assert!(node.peak_memory_kb() < 24 << 10, "peak of {} kB for 96 MB of values", node.peak_memory_kb());
}

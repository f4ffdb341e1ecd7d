//! Values that are passed on as they come.

use std::io::Read;
use std::sync::mpsc::channel;
use std::sync::Mutex;

use crate::rig::*;
use crate::with_one;

const LONG_VALUE: usize = 4 << 20;

fn long_value() -> String {
    (0..LONG_VALUE).map(|n| char::from(b'a' + (n % 23) as u8)).collect()
}

/// A long value goes to its client as it comes, and its connection is used again behind it.
#[test]
fn a_long_value_is_passed_on_as_it_comes() {
    let (open, gate) = channel();
    let gate = Mutex::new(Some(gate));
    let value = long_value();
    let (head, tail) = (value[..100_000].to_string(), value[100_000..].to_string() + "\r\n");
    let (node, server, _list) = with_one(move |line| {
        if !line.contains("long") {
            return Act::Serve;
        }
        let first = format!("VA {LONG_VALUE} O{} h1\r\n{head}", opaque(line)).into();
        Act::SayInTwo(first, gate.lock().unwrap().take().unwrap(), tail.clone().into())
    });
    let mut client = node.connect();
    client.send(&(read("long", "l1", 9000) + &read("k", "l2", 9000)));
    let mut start = vec![0; 100_000];
    client.stream.read_exact(&mut start).unwrap();
    let text = format!("VA {LONG_VALUE} Ol1\r\n{value}\r\n{}", served("l2"));
    assert_eq!(start, text.as_bytes()[..start.len()]);
    assert_eq!(node.figure("app_completed_total{lane=\"read\"}"), 0);
    drop(open);
    let mut rest = vec![0; text.len() - start.len()];
    client.stream.read_exact(&mut rest).unwrap();
    assert!(rest == text.as_bytes()[start.len()..], "the value as it was given, then the next answer");
    node.reaches("app_completed_total{lane=\"read\"}", 2);
    while server.saw.try_recv().is_ok() {}
    let mut others: Vec<Client> = (0..2).map(|_| node.connect()).collect();
    for (n, client) in others.iter_mut().enumerate() {
        let id = format!("m{n}");
        assert_eq!(client.ask(&read("k", &id, 9000)), served(&id));
    }
    assert!(server.saw.try_iter().all(|saw| !matches!(saw, Saw::Opened(_))), "kept connections serve");
}

/// What breaks once its first byte is out ends the connection, short of what the client was told to expect.
#[test]
fn a_long_value_that_breaks_ends_the_connection() {
    let value = long_value();
    for spoilt in [value[..90_000].to_string(), value.clone() + "xy", value.clone() + "\n\n"] {
        let (node, _server, _list) = with_one(move |line| {
            Act::SayAndClose(format!("VA {LONG_VALUE} O{}\r\n{spoilt}", opaque(line)).into())
        });
        let mut client = node.connect();
        client.send(&read("k", "b1", 9000));
        let mut all = Vec::new();
        client.stream.read_to_end(&mut all).expect("an end, no reset");
        let whole = format!("VA {LONG_VALUE} Ob1\r\n{value}\r\n");
        assert!(all.len() < whole.len() && whole.as_bytes().starts_with(&all), "{} bytes", all.len());
        node.reaches("app_failed_total{lane=\"read\"}", 1);
        assert_eq!(node.figure("app_completed_total{lane=\"read\"}"), 0);
    }
}

/// A wrong id or a length over any is found before the first byte goes out.
#[test]
fn a_long_value_is_checked_before_it_goes_out() {
    for spoilt in ["VA 4194304 Oother\r\n", "VA 4194305 Og\r\n", "VA 4194304\r\n"] {
        let value = "x".repeat(LONG_VALUE);
        let (node, server, _list) = with_one(move |line| {
            Act::Say((spoilt.replace("Og", &format!("O{}", opaque(line))) + &value).into())
        });
        let answer = node.connect().ask(&read("k", "c1", 2000));
        assert!(answer.starts_with("SERVER_ERROR "), "{answer:.40}");
        assert!(!server.commands().is_empty());
    }
}

/// Clients that take nothing cost a piece of memory each, not a value.
#[test]
fn long_values_together_may_exceed_memory() {
    let value = long_value();
    let (node, _server, _list) =
        with_one(move |line| Act::Say(format!("VA {LONG_VALUE} O{}\r\n{value}\r\n", opaque(line)).into()));
    let mut clients: Vec<Client> = (0..24).map(|_| node.connect()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&read(&format!("key{n}"), &format!("y{n}"), 19_000));
    }
    for (n, client) in clients.iter_mut().enumerate() {
        let answer = client.answer();
        let whole = answer.len() == format!("VA {LONG_VALUE} Oy{n}\r\n").len() + LONG_VALUE + 2;
        assert!(whole || answer.starts_with("SERVER_ERROR busy"), "{answer:.40}");
    }
    assert!(node.peak_memory() < 24 << 10, "{} kB for 96 MB of values", node.peak_memory());
}

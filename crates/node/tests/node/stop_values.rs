//! Long values, and a process that is never killed, in a planned stop of the node's process.

use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::start_with_one_server;

/// Starts a node with one cache server and short deadlines: the kill would come 0.8 s after SIGTERM.
fn start_with_short_deadlines(
    handler: impl Fn(&str) -> ServerAction + Send + Sync + 'static,
) -> (Node, FakeCacheServer, FakeDiscovery) {
    let server = FakeCacheServer::start(handler);
    let known = member("s-1", server.address, "ready");
    let (list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    (Setup { known, deadline_s: 0.1, ..Setup::default() }.start(discovery), server, list)
}

/// Guards against values cut in an upgrade (`docs/incidents`): the process goes on for as long as a cache server gives
/// a long value, commands behind it are answered, and then the process ends.
#[test]
fn a_value_on_its_way_outlasts_the_time_of_the_last_answers() {
    const VALUE_LENGTH: usize = 200_000;
    let (node, server, _list) = start_with_short_deadlines(|line| {
        if !line.contains("long") {
            return ServerAction::Serve;
        }
        ServerAction::ReplyInPieces {
            first: format!("VA {VALUE_LENGTH} O{}\r\n", opaque_id(line)).into(),
            rest: ("v".repeat(VALUE_LENGTH) + "\r\n").into(),
            piece: VALUE_LENGTH / 40,
            pause: Duration::from_millis(50),
        }
    });
    let mut client = node.connect();
    client.send(&read_command("long", "v1", 9000));
    server.next_command();
    let sigterm_at = Instant::now();
    node.signal("-TERM");
    std::thread::sleep(Duration::from_millis(1200));
    client.send(&read_command("k", "v2", 9000));
    let value = client.read_answer();
    assert!(value.starts_with(&format!("VA {VALUE_LENGTH} Ov1\r\n")) && value.ends_with("v\r\n"));
    assert!(sigterm_at.elapsed() > Duration::from_millis(1500), "the value came too fast to show anything");
    assert_eq!(
        client.read_answer(),
        "SERVER_ERROR busy\r\n",
        "no time is left to serve what comes behind it"
    );
    assert_eq!(client.read_answer(), "");
    assert_eq!(node.wait().code(), Some(0));
}

/// Without a kill the process ends all the same, though a client never stops sending and a cache server gives a byte
/// a second.
#[test]
fn a_process_that_is_never_killed_ends() {
    let (node, server, _list) = start_with_short_deadlines(|line| {
        if !line.contains("long") {
            return ServerAction::Serve;
        }
        ServerAction::ReplyInPieces {
            first: format!("VA 100000 O{}\r\nv", opaque_id(line)).into(),
            rest: vec![b'v'; 1000],
            piece: 1,
            pause: Duration::from_millis(900),
        }
    });
    let mut waiting = node.connect();
    waiting.send(&read_command("long", "e1", 9000));
    server.next_command();
    let mut endless = TcpStream::connect(node.address).unwrap();
    let mut answers = endless.try_clone().unwrap();
    std::thread::spawn(move || std::io::copy(&mut answers, &mut std::io::sink()));
    let sending = std::thread::spawn(move || {
        let commands = read_command("k", "e2", 9000).repeat(100);
        while endless.write_all(commands.as_bytes()).is_ok() {}
    });
    node.signal("-TERM");
    assert_eq!(node.wait().code(), Some(0));
    sending.join().unwrap();
}

/// A request that comes when the kill no longer excuses it gets its whole answer before the kill: a long value, which
/// may take longer, is not begun.
#[test]
fn a_long_value_requested_late_in_a_stop_is_not_begun() {
    let (release, gate) = channel();
    let gate = std::sync::Mutex::new(Some(gate));
    let (node, server, _list) = start_with_one_server(move |line| match line.split(' ').nth(1) {
        // A hedged attempt of the slow request gets no answer.
        Some("slow") => gate.lock().unwrap().take().map_or(ServerAction::Ignore, ServerAction::ServeAfter),
        Some("long") => ServerAction::ReplyInPieces {
            first: format!("VA 100000 O{}\r\nv", opaque_id(line)).into(),
            rest: vec![b'v'; 1000],
            piece: 1,
            pause: Duration::from_millis(100),
        },
        _ => ServerAction::Serve,
    });
    let mut client = node.connect();
    client.send(&read_command("slow", "t1", 9000));
    server.next_command();
    node.signal("-TERM");
    node.wait_for_log("stopping");
    std::thread::sleep(Duration::from_millis(700));
    client.send(&(read_command("long", "t2", 9000) + &read_command("k", "t3", 9000)));
    while !server.next_command().contains("Ot2") {}
    drop(release);
    let answers: String = (0..3).map(|_| client.read_answer()).collect();
    assert_eq!(answers, served_answer("t1") + "SERVER_ERROR failed\r\n" + &served_answer("t3"));
    assert_eq!(client.read_answer(), "");
    assert_eq!(node.wait().code(), Some(0));
}

//! A stop of either process during a takeover.

use std::io::Read;
use std::net::TcpListener;
use std::os::unix::net::UnixListener;
use std::process::{Command, Stdio};

use crate::harness::*;
use crate::takeover::{slow_key_setup, start_offering};

/// A discovery that accepts connections and never answers.
fn silent_discovery() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Starts a new process at the address of the old one; it knows no server yet.
fn start_successor(old: &Node, temp_dir: &TempDir, discovery: &TcpListener) -> Node {
    let (listen, temp_dir) = (old.address.to_string(), Some(temp_dir.0.clone()));
    Setup { listen, temp_dir, ..Setup::default() }.start(discovery.local_addr().unwrap())
}

/// A new process that is stopped before it serves accepts no connection: they belong to the old one.
#[test]
fn a_successor_that_never_served_leaves_the_accept_queue_to_its_predecessor() {
    let (temp_dir, silent) = (TempDir::new(), silent_discovery());
    let (setup, discovery, _release, _server, _list) = slow_key_setup(&temp_dir);
    let old = start_offering(&setup, discovery);
    let new = start_successor(&old, &temp_dir, &silent);
    old.wait_for_log("the socket is handed over");
    // A connection made now goes to the first process that accepts.
    old.signal("-STOP");
    new.signal("-TERM");
    new.wait_for_log("stopping");
    let mut client = old.connect();
    client.send(&read_command("k", "a1", 15_000));
    assert_eq!(new.wait().code(), Some(0));
    old.signal("-CONT");
    assert_eq!(client.read_answer(), served_answer("a1"));
}

/// The old process is stopped while the new one knows no server yet: from when the old one accepts no more, the new
/// one accepts, though the old one still runs. Otherwise clients would wait in a queue that no process serves.
#[test]
fn a_process_that_ends_before_its_successor_serves_leaves_no_client_in_the_accept_queue() {
    let (temp_dir, silent) = (TempDir::new(), silent_discovery());
    let (setup, discovery, release, server, _list) = slow_key_setup(&temp_dir);
    let old = start_offering(&setup, discovery);
    let mut pending = old.connect();
    pending.send(&read_command("slow", "b1", 15_000));
    server.next_command();
    let new = start_successor(&old, &temp_dir, &silent);
    old.wait_for_log("the socket is handed over");
    old.signal("-TERM");
    new.wait_for_log("the predecessor accepts no more");
    assert_eq!(new.connect().request("mn\r\n"), "SERVER_ERROR not ready\r\n");
    assert_eq!(old.operator_call("ready\n"), "fail stopping\n", "the old process no longer runs");
    drop(release);
    assert_eq!(pending.read_answer(), served_answer("b1"));
    assert_eq!(old.wait().code(), Some(0));
    new.wait_for_log("the predecessor is gone");
}

/// The listener at the takeover path accepts and sends nothing: a stop does not wait for it, and the node never
/// listens.
#[test]
fn a_process_that_waits_for_the_socket_ends_on_sigterm() {
    let temp_dir = TempDir::new();
    let address = TcpListener::bind("127.64.0.2:0").unwrap().local_addr().unwrap();
    let takeover_listener =
        UnixListener::bind(temp_dir.0.join(format!("hallpin-{address}.takeover"))).unwrap();
    let setup = Setup { listen: address.to_string(), ..Setup::default() };
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallpin-node"));
    command.env("RELAY_CONFIG", write_config(&setup.config(address))).env("TMPDIR", &temp_dir.0);
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let (_claim, _) = takeover_listener.accept().unwrap();
    assert!(Command::new("kill").args(["-TERM", &child.id().to_string()]).status().unwrap().success());
    let mut stderr = String::new();
    child.stderr.take().unwrap().read_to_string(&mut stderr).unwrap();
    assert_eq!(child.wait().unwrap().code(), Some(0), "{stderr}");
    assert!(!stderr.contains("listening on"), "{stderr}");
}

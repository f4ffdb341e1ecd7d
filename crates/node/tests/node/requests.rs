//! Requests through the node, one at a time and pipelined on a connection.

use std::time::Instant;

use crate::harness::*;
use crate::{slow_key_handler, start_with_one_server};

#[test]
fn commands_and_answers_pass_unchanged_except_for_d() {
    let (node, server, _list) = start_with_one_server(|_| ServerAction::Serve);
    let mut client = node.connect();
    assert_eq!(client.request("mn\r\n"), "MN\r\n");
    assert_eq!(client.request("mg 7f3a v Oab Pc=read,x=1,t=acme,d=1500,size=9\r\n"), served_answer("ab"));
    assert_eq!(client.request("ms 7f3a 3 Oac Pc=save,t=acme,d=1500,k=77\r\nnew\r\n"), "HD Oac c42\r\n");
    for expected in
        ["mg 7f3a v Oab Pc=read,x=1,t=acme,d=#,size=9", "ms 7f3a 3 Oac Pc=save,t=acme,d=#,k=77new"]
    {
        let line = server.next_command();
        let remaining_ms: String =
            line.split("d=").nth(1).unwrap().chars().take_while(char::is_ascii_digit).collect();
        assert_eq!(line.replace(&format!("d={remaining_ms}"), "d=#"), expected);
        let remaining_ms: u32 = remaining_ms.parse().unwrap();
        assert!((1..1500).contains(&remaining_ms), "d={remaining_ms}");
    }
}

/// Answers come in the order of the commands, and an attempt never waits behind another: each has a connection of its
/// own, and later ones reuse idle connections.
#[test]
fn pipelined_commands_are_answered_in_order_over_reused_connections() {
    let (release, handler) = slow_key_handler();
    let (node, server, _list) = start_with_one_server(handler);
    let mut client = node.connect();
    client.send(&(read_command("slow", "a1", 9000) + &read_command("fast", "a2", 9000) + "mn\r\n"));
    let both = server.next_command() + &server.next_command();
    assert!(both.contains("Oa1") && both.contains("Oa2"), "not both attempts are in flight at once: {both}");
    drop(release);
    assert_eq!(client.read_answer(), served_answer("a1"));
    assert_eq!(client.read_answer(), served_answer("a2"));
    assert_eq!(client.read_answer(), "MN\r\n");
    for id in ["a3", "a4", "a5"] {
        assert_eq!(client.request(&read_command("fast", id, 9000)), served_answer(id));
    }
    let opened = server.events.try_iter().filter(|event| matches!(event, ServerEvent::Opened(_))).count();
    assert_eq!(opened, 0, "connections opened beyond the first two");
}

/// A connection closed by the server is not written to: the request would end in a reset, and one that is not
/// idempotent could not be sent again.
#[test]
fn a_connection_closed_by_the_server_is_not_used_again() {
    let (node, server, _list) = start_with_one_server(|_| ServerAction::Serve);
    let mut client = node.connect();
    for id in ["b1", "b2", "b3"] {
        assert_eq!(client.request(&open_command("k", id, 9000)), format!("HD O{id} c42\r\n"));
        server.close_connections();
        while !matches!(server.next_event(), ServerEvent::Closed(_)) {}
    }
}

/// Cache servers close idle connections, and a request written just then is lost; the node closes them earlier.
#[test]
fn a_connection_is_closed_before_the_server_finds_it_idle() {
    let server = FakeCacheServer::start(|_| ServerAction::Serve);
    let known = member("s-1", server.address, "ready");
    let (_list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    let node = Setup { known, idle_close_s: 0.5, ..Setup::default() }.start(discovery);
    assert_eq!(node.connect().request(&read_command("k", "c1", 9000)), served_answer("c1"));
    while server.next_event() != ServerEvent::Closed(0) {}
}

/// If the server never answers, the client gets one final answer about its deadline, and the attempt's connection is
/// closed.
#[test]
fn a_silent_server_leads_to_one_final_answer_at_the_deadline() {
    let (node, server, _list) = start_with_one_server(|_| ServerAction::Ignore);
    let mut client = node.connect();
    let sent_at = Instant::now();
    // A read may be rejected as busy; a request that may have run and is not idempotent must fail.
    client.send(&(read_command("k", "d1", 1000) + &open_command("k", "d2", 1000) + "mn\r\n"));
    assert_eq!(client.read_answer(), "SERVER_ERROR busy\r\n");
    assert_eq!(client.read_answer(), "SERVER_ERROR failed\r\n");
    assert_eq!(client.read_answer(), "MN\r\n");
    // The answers must not come well before the deadline of 1 s, as the server might still have answered. On
    // a busy machine they may come much later.
    let took = sent_at.elapsed();
    assert!(took.as_millis() > 900 && took < TEST_TIMEOUT / 2, "answered after {took:?}");
    let mut closed = 0;
    while closed < 2 {
        closed += usize::from(matches!(server.next_event(), ServerEvent::Closed(_)));
    }
}

/// A command may lie unread while the node's process is not scheduled; that time counts against the client's
/// deadline.
#[test]
fn a_scheduling_delay_of_the_node_counts_against_the_deadline() {
    let (node, server, _list) = start_with_one_server(|_| ServerAction::Serve);
    let mut client = node.connect();
    assert_eq!(client.request("mn\r\n"), "MN\r\n");
    node.signal("-STOP");
    client.send(&read_command("k", "r1", 15_000));
    // Length of the stall; any longer one does as well.
    std::thread::sleep(std::time::Duration::from_millis(500));
    node.signal("-CONT");
    assert_eq!(client.read_answer(), served_answer("r1"));
    let line = server.next_command();
    let remaining_ms: u32 = line.rsplit("d=").next().unwrap().parse().unwrap();
    assert!(remaining_ms < 14_600, "{line}");
}

/// Whatever the balancer does, a request is failed once when its deadline is over. A processing quantum of zero lets
/// this backstop come first.
#[test]
fn the_backstop_fails_requests_without_an_answer() {
    let server = FakeCacheServer::start(|_| ServerAction::Ignore);
    let known = member("s-1", server.address, "ready");
    let (_list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    let node = Setup { known, processing_quantum_s: 0.0, ..Setup::default() }.start(discovery);
    let mut client = node.connect();
    assert_eq!(client.request(&read_command("k", "e1", 300)), "SERVER_ERROR failed\r\n");
    node.wait_for_log("no answer near its deadline");
    assert_eq!(client.request("mn\r\n"), "MN\r\n");
    while server.next_event() != ServerEvent::Closed(0) {}
}

/// When a client closes its connection its attempts are cancelled.
#[test]
fn attempts_of_a_disconnected_client_are_cancelled() {
    let (node, server, _list) = start_with_one_server(|_| ServerAction::Ignore);
    let mut client = node.connect();
    client.send(&read_command("k", "f1", 600_000));
    assert!(server.next_command().contains("Of1"));
    drop(client);
    while server.next_event() != ServerEvent::Closed(0) {}
}

//! Races between a request and the close of its idle connection, whatever closes it: requests that the node has read
//! are answered, and those without an answer never reached a server.

use std::collections::HashSet;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use crate::harness::*;

/// Idle time after which a connection is closed.
const IDLE_CLOSE_AFTER: Duration = Duration::from_secs(10);
/// Time after SIGTERM at which idle connections are closed.
const STOP_CLOSE_AFTER: Duration = Duration::from_millis(600);
const CLIENTS: u32 = 80;
/// Requests are sent from this long before to this long after the close.
const SEND_SPREAD: Duration = Duration::from_millis(40);

struct IdleClient {
    connection: Client,
    id: String,
    /// When its last answer came.
    since: Instant,
}

fn idle_clients(node: &Node, count: u32) -> Vec<IdleClient> {
    let make_idle = |n: u32| {
        let (mut connection, id) = (node.connect(), format!("c{n}"));
        assert_eq!(
            connection.request(&read_command("k", &format!("first{n}"), 9000)),
            served_answer(&format!("first{n}"))
        );
        IdleClient { connection, id, since: Instant::now() }
    };
    (0..count).map(make_idle).collect()
}

/// Numbers of requests that were answered and that were not read.
#[derive(Debug, Default)]
struct Outcomes {
    answered: usize,
    unread: usize,
}

/// Sends the request of each client, spread evenly around the time of its close.
fn send_around_close(clients: &mut [IdleClient], close_time: impl Fn(&IdleClient) -> Instant) {
    for (n, idle) in (0..).zip(clients) {
        let send_at = close_time(idle) - SEND_SPREAD + SEND_SPREAD * 2 * n / CLIENTS;
        std::thread::sleep(send_at.saturating_duration_since(Instant::now()));
        // The write fails if the connection has been closed.
        let _ = std::io::Write::write_all(
            &mut idle.connection.stream,
            read_command("k", &idle.id, 9000).as_bytes(),
        );
    }
}

/// Checks that each request is answered completely, or that its connection is closed and no cache server has received
/// it.
fn check_outcomes(clients: Vec<IdleClient>, server: &FakeCacheServer) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut unanswered = Vec::new();
    for mut idle in clients {
        let answer = idle.connection.read_answer();
        if answer.is_empty() {
            unanswered.push(idle.id);
        } else {
            assert_eq!(answer, served_answer(&idle.id));
            outcomes.answered += 1;
        }
    }
    let received_ids: HashSet<String> =
        server.take_commands().iter().map(|line| opaque_id(line).to_string()).collect();
    for id in &unanswered {
        assert!(!received_ids.contains(id), "{id} reached a server and has no answer");
    }
    outcomes.unread = unanswered.len();
    outcomes
}

fn start_node_and_server(sockets: usize) -> (Node, FakeCacheServer, FakeDiscovery) {
    let server = FakeCacheServer::start(|_| ServerAction::Serve);
    let known = member("s-1", server.address, "ready");
    let (list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    (Setup { known, sockets, dial_timeout_s: 5.0, ..Setup::default() }.start(discovery), server, list)
}

/// Repeats the race until some requests came before the close and some after it, as a busy machine may delay the
/// close by more than the requests are apart. Each run is checked on its own.
fn repeat_until_both_outcomes(name: &str, run: impl Fn() -> Outcomes) {
    const MAX_RUNS: usize = 12;
    let mut runs = Vec::new();
    for _ in 0..MAX_RUNS {
        let outcomes = run();
        if outcomes.answered > 0 && outcomes.unread > 0 {
            return;
        }
        runs.push(outcomes);
    }
    panic!("{name}: no run has both answered and unread requests: {runs:?}");
}

#[test]
fn requests_racing_with_the_close_of_idle_connections_in_a_stop_are_answered_or_unread() {
    repeat_until_both_outcomes("in a stop", || {
        let (node, server, _list) = start_node_and_server(1024);
        let mut clients = idle_clients(&node, CLIENTS);
        node.signal("-TERM");
        node.wait_for_log("stopping");
        let stopping_at = Instant::now();
        send_around_close(&mut clients, |_| stopping_at + STOP_CLOSE_AFTER);
        let outcomes = check_outcomes(clients, &server);
        assert_eq!(node.wait().code(), Some(0));
        outcomes
    });
}

#[test]
fn requests_racing_with_the_idle_timeout_are_answered_or_unread() {
    repeat_until_both_outcomes("idle", || {
        let (node, server, _list) = start_node_and_server(1024);
        let mut clients = idle_clients(&node, CLIENTS);
        send_around_close(&mut clients, |idle| idle.since + IDLE_CLOSE_AFTER);
        check_outcomes(clients, &server)
    });
}

/// New connections displace those that are idle for longest, which send again just then.
#[test]
fn requests_racing_with_the_displacement_of_idle_connections_are_answered_or_unread() {
    repeat_until_both_outcomes("displaced", || {
        // Clients may use 40 of these sockets.
        let (node, server, _list) = start_node_and_server(92);
        let mut clients = idle_clients(&node, 30);
        let address = node.address;
        let new_connections = std::thread::spawn(move || {
            let connect = |_| {
                let stream = TcpStream::connect(address).unwrap();
                std::thread::sleep(Duration::from_micros(300));
                stream
            };
            (0..60).map(connect).collect::<Vec<TcpStream>>()
        });
        for idle in &mut clients {
            std::thread::sleep(Duration::from_micros(500));
            let _ = std::io::Write::write_all(
                &mut idle.connection.stream,
                read_command("k", &idle.id, 9000).as_bytes(),
            );
        }
        let outcomes = check_outcomes(clients, &server);
        drop(new_connections.join().unwrap());
        outcomes
    });
}

//! Which connections are used, cached and closed.

use hallpin_balancer::{ServerId, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

use super::super::connection::{IdleConnection, PeerState};
use super::super::pool::SETTLE_TIME;
use super::*;

/// Cost of a complete list that names only known servers; for docs/measurements/growth.md.
#[test]
#[ignore = "a measurement: run with --ignored --nocapture, in release"]
fn measure_learning_a_whole_list() {
    for servers in [12, 100, 1_000, 10_000] {
        let member = |n| format!(r#"{{"id":"box-{n:05}","host_port":"127.0.0.1:9","phase":"ready"}}"#);
        let members: Vec<String> = (0..servers).map(member).collect();
        let list = format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, members.join(","));
        let roster = Roster::from_json(list.as_bytes(), &Clock::start()).unwrap();
        let upstream = upstream(LONG, 9);
        upstream.update_endpoints(&roster);
        let mut times: Vec<Duration> = (0..9)
            .map(|_| {
                let start = std::time::Instant::now();
                upstream.update_endpoints(&roster);
                start.elapsed()
            })
            .collect();
        times.sort();
        println!("{servers} servers: median {:?}, {:?} to {:?}", times[4], times[0], times[8]);
    }
}

/// A drain is notified while an attempt waits for its connection: after the grace nothing is written, and the attempt
/// never ran.
#[tokio::test]
async fn nothing_is_written_to_a_draining_server_past_the_grace() {
    let none = Duration::ZERO;
    for (phase, grace, quantum, written) in [
        ("draining", none, none, false),
        ("gone", none, none, false),
        ("odd", none, none, false),
        ("draining", LONG, none, true),
        // A write in the last quantum may arrive after the grace.
        ("draining", LONG, LONG, false),
        ("draining", LONG, LONG / 2, true),
        ("ready", none, none, true),
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = upstream(grace, 9);
        upstream.set_quantum(quantum);
        upstream.update_endpoints(&roster(&listener, "ready"));
        let (server, call) = (ServerId("s".into()), test_call(READ));
        let attempt = upstream.attempt(&server, &call);
        let peer = async {
            let mut stream = listener.accept().await.unwrap().0;
            let mut seen = Vec::new();
            let mut byte = [0];
            while !seen.ends_with(b"\n") && matches!(stream.read(&mut byte).await, Ok(1)) {
                seen.push(byte[0]);
            }
            let _ = stream.write_all(b"SERVER_ERROR failed\r\n").await;
            seen
        };
        // The attempt starts to connect, then the notification arrives, then the connection comes up.
        tokio::pin!(attempt);
        tokio::select! {
            biased;
            ended = &mut attempt => panic!("{ended:?} before the connection was up"),
            () = std::future::ready(()) => {}
        }
        upstream.update_endpoints(&roster(&listener, phase));
        upstream.update_endpoints(&roster(&listener, phase));
        let (ended, seen) = tokio::join!(
            async {
                let ended = attempt.await;
                upstream.endpoints.borrow_mut().clear();
                ended
            },
            peer
        );
        let status = if written { Status::Error } else { Status::Unreachable };
        assert_eq!(
            (ended.status, !seen.is_empty(), call.written.get()),
            (status, written, written),
            "{phase}, {grace:?}, {quantum:?}"
        );
    }
}

/// Surplus bytes may follow an answer and would be read as the next one: a connection that has just answered is used
/// a moment later, and one that has sent more is closed.
#[tokio::test]
async fn a_connection_is_used_again_once_nothing_more_has_come() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 9);
    upstream.update_endpoints(&roster(&listener, "ready"));
    let (server, now) = (ServerId("s".into()), Instant::now());
    let connection = upstream.connect(&server, now + LONG).await.ok().unwrap();
    let mut peer = listener.accept().await.unwrap().0;
    let keep = |connection, since| {
        upstream
            .endpoints
            .borrow_mut()
            .get_mut(&server)
            .unwrap()
            .idle
            .push(IdleConnection { connection, since })
    };
    keep(connection, now);
    let connection = upstream.cached_connection(&server, true).await.expect("it has been quiet");
    assert!(now.elapsed() >= SETTLE_TIME, "it had only just answered");
    peer.write_all(b"more").await.unwrap();
    while connection.peek() == PeerState::Quiet {
        tokio::task::yield_now().await;
    }
    keep(connection, now);
    assert!(upstream.cached_connection(&server, true).await.is_none(), "it has sent more");
    assert_eq!(upstream.open_connections.get(), 0);
}

/// Neither a repeated drain nor a server that leaves before it was ever ready starts a new grace.
#[tokio::test]
async fn a_repeated_drain_notification_starts_no_new_grace() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 9);
    upstream.update_endpoints(&roster(&listener, "draining"));
    assert!(upstream.endpoints.borrow().is_empty());
}

/// At the node's own limit an idle connection is closed to make room; without one the attempt is not made, which says
/// nothing about the server.
#[tokio::test]
async fn connections_stay_within_the_budget() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 1);
    upstream.update_endpoints(&roster(&listener, "ready"));
    let server = ServerId("s".into());
    let until = Instant::now() + LONG;
    let connection = upstream.connect(&server, until).await.ok().unwrap();
    assert_eq!(upstream.connect(&server, until).await.err(), Some(Status::Void));
    upstream.cache_connection(&server, connection);
    assert!(upstream.connect(&server, until).await.is_ok());
    assert_eq!(upstream.open_connections.get(), 0);
}

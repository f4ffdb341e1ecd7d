//! Requests that are interrupted at each stage.

use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::harness::*;

/// The stage at which a request is interrupted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// Sent completely, not answered.
    Sent,
    /// Half of the answer has arrived.
    HalfAnswered,
    /// One server has rejected it, and it is at another.
    Retried,
}

/// What interrupts a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Interruption {
    /// The client closes its connection.
    ClientLeaves,
    /// The deadline passes, and the answer comes later.
    DeadlinePasses,
    /// The cache server closes its connections.
    UpstreamCloses,
}

/// Interrupts one request at a stage; returns the answers to its client, if the client has stayed. If the machine is
/// too busy to reach the stage before a deadline that is to pass, it tries again.
fn interrupt(
    stage: Stage,
    interruption: Interruption,
    command: impl Fn(&str, &str, u32) -> String,
) -> Vec<String> {
    let deadline_ms = if interruption == Interruption::DeadlinePasses { 400 } else { 15_000 };
    (0..30)
        .find_map(|_| try_interrupt(stage, interruption, &command, deadline_ms))
        .expect("the request reached no server at that stage")
}

/// One try with a deadline of `deadline_ms`; `None` if the request was answered before it reached the stage.
fn try_interrupt(
    stage: Stage,
    interruption: Interruption,
    command: impl Fn(&str, &str, u32) -> String,
    deadline_ms: u32,
) -> Option<Vec<String>> {
    let (release, gate) = channel();
    let gate = Arc::new(Mutex::new((stage == Stage::Retried, Some(gate))));
    // The server that rejected the request.
    let rejected_by = Arc::new(Mutex::new(None));
    let handler = |server_index: usize| {
        let (gate, rejected_by) = (gate.clone(), rejected_by.clone());
        move |line: &str| {
            let (rejects, answer_gate) = &mut *gate.lock().unwrap();
            if !line.contains("Ocut") {
                return ServerAction::Serve;
            }
            if std::mem::replace(rejects, false) {
                *rejected_by.lock().unwrap() = Some(server_index);
                return ServerAction::Reply(b"SERVER_ERROR busy\r\n".to_vec());
            }
            match (answer_gate.take(), stage) {
                (None, _) => ServerAction::Serve,
                (Some(gate), Stage::HalfAnswered) => {
                    ServerAction::ReplyInTwo(b"VA 5 Oc".to_vec(), gate, b"ut h1\r\nhello\r\n".to_vec())
                }
                (Some(gate), _) => ServerAction::ServeAfter(gate),
            }
        }
    };
    let servers = [FakeCacheServer::start(handler(0)), FakeCacheServer::start(handler(1))];
    let known: Vec<String> =
        servers.iter().zip(["s-1", "s-2"]).map(|(server, id)| member(id, server.address, "ready")).collect();
    let (_list, discovery) = FakeDiscovery::start(&known);
    let node = Setup { known: known.join(","), ..Setup::default() }.start(discovery);
    let mut client = node.connect();
    client.send(&command("k", "cut", deadline_ms));
    client.stream.set_nonblocking(true).unwrap();
    // Finds the server that has the request, and on which connection: that of the first command, or of the second if
    // one server is busy.
    let start = Instant::now();
    let expected_commands = 1 + usize::from(stage == Stage::Retried);
    let mut received = Vec::new();
    while received.len() < expected_commands {
        for (server_index, server) in servers.iter().enumerate() {
            if let Ok(ServerEvent::Command(connection, _)) = server.events.try_recv() {
                received.push((server_index, connection));
            }
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "the request reached no server at that stage");
        // `peek` fails while no answer has arrived.
        if received.len() < expected_commands && client.stream.peek(&mut [0]).is_ok() {
            return None;
        }
        std::thread::yield_now();
    }
    client.stream.set_nonblocking(false).unwrap();
    if stage == Stage::Retried {
        // The two events are received concurrently: the busy server has rejected the request once the other holds it.
        received.retain(|(server_index, _)| Some(*server_index) != *rejected_by.lock().unwrap());
    }
    let (server_index, connection) = received[0];
    let mut answers = Vec::new();
    match interruption {
        Interruption::ClientLeaves => drop(client),
        Interruption::UpstreamCloses => {
            servers[server_index].close_connections();
            answers.push(client.read_answer());
        }
        Interruption::DeadlinePasses => answers.push(client.read_answer()),
    }
    // Nothing is in flight: the node counts no pending request, and the attempt's connection is closed, which the
    // server notices once it has answered.
    node.wait_for_metric("app_pending", 0);
    drop(release);
    while servers[server_index].next_event() != ServerEvent::Closed(connection) {}
    let mut next = node.connect();
    assert_eq!(next.request(&read_command("k", "next", 9000)), served_answer("next"));
    Some(answers)
}

/// Whatever interrupts it at each stage, a request gets one answer, or none is due, and nothing stays in flight; a
/// request that may have run is sent again only if its class allows it.
#[test]
fn an_interrupted_request_leaves_nothing_in_flight() {
    for stage in [Stage::Sent, Stage::HalfAnswered, Stage::Retried] {
        for (interruption, read_answer, open_answer) in [
            (Interruption::ClientLeaves, None, None),
            (Interruption::DeadlinePasses, Some("SERVER_ERROR busy\r\n"), Some("SERVER_ERROR failed\r\n")),
            (Interruption::UpstreamCloses, Some(""), Some("SERVER_ERROR failed\r\n")),
        ] {
            let answers = interrupt(stage, interruption, read_command);
            match (interruption, stage) {
                // The other server serves it; one that was already rejected has no third server to go to and may be
                // rejected.
                (Interruption::UpstreamCloses, Stage::Sent | Stage::HalfAnswered) => {
                    assert_eq!(answers, [served_answer("cut")])
                }
                (Interruption::UpstreamCloses, Stage::Retried) => {
                    assert_eq!(answers, ["SERVER_ERROR busy\r\n"])
                }
                _ => assert_eq!(
                    answers,
                    read_answer.into_iter().collect::<Vec<_>>(),
                    "{stage:?} {interruption:?}"
                ),
            }
            if stage != Stage::HalfAnswered {
                let answers = interrupt(stage, interruption, open_command);
                assert_eq!(
                    answers,
                    open_answer.into_iter().collect::<Vec<_>>(),
                    "{stage:?} {interruption:?}"
                );
            }
        }
    }
}

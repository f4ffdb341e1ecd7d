//! Hedged requests and retries that fail as soon as they are sent, and requests whose deadline is over nearly as soon
//! as they arrive.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::harness::scheduling_delay::{retry_on_scheduling_delay, SchedulingDelayMonitor};
use crate::harness::*;
use crate::{start_with_one_server, unused_address};

/// How a cache server fails immediately.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FailureMode {
    /// Nothing listens at its address.
    RefusesConnections,
    /// Connections are closed as soon as they are accepted.
    ClosesConnections,
    /// The connection is closed on a command.
    ClosesOnCommand,
    /// The connection is reset on a command.
    Resets,
    /// Commands are answered with `SERVER_ERROR busy`.
    RejectsBusy,
    /// Commands are answered with `SERVER_ERROR failed`.
    AnswersFailed,
}

impl FailureMode {
    /// Whether a request that failed this way may have run.
    fn may_have_run(self) -> bool {
        matches!(self, FailureMode::ClosesOnCommand | FailureMode::Resets | FailureMode::AnswersFailed)
    }

    /// What the server does with a command.
    fn action(self) -> ServerAction {
        match self {
            FailureMode::ClosesOnCommand => ServerAction::ReplyAndClose(Vec::new()),
            FailureMode::Resets => ServerAction::Reset,
            FailureMode::RejectsBusy => ServerAction::Reply(b"SERVER_ERROR busy\r\n".to_vec()),
            _ => ServerAction::Reply(b"SERVER_ERROR failed\r\n".to_vec()),
        }
    }
}

/// Address of a listener that accepts connections and closes them.
fn start_closing_listener() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || listener.incoming().for_each(drop));
    address
}

/// Deadline of the clients' requests.
const DEADLINE_MS: u32 = 2000;
const REQUESTS: usize = 60;

/// Requests many keys of all classes; checks that each gets one final answer in time and is sent no more often than
/// allowed.
fn check_requests_with_failing_servers(
    failure: FailureMode,
    monitor: &SchedulingDelayMonitor,
) -> Result<(), String> {
    let good = FakeCacheServer::start(|_| ServerAction::Serve);
    let bad: Vec<FakeCacheServer> =
        (0..3).map(|_| FakeCacheServer::start(move |_| failure.action())).collect();
    let address = |server: &FakeCacheServer| match failure {
        FailureMode::RefusesConnections => unused_address(),
        FailureMode::ClosesConnections => start_closing_listener(),
        _ => server.address,
    };
    let mut known = vec![member("s-0", good.address, "ready")];
    known.extend((1..).zip(&bad).map(|(n, server)| member(&format!("s-{n}"), address(server), "ready")));
    let (_list, discovery) = FakeDiscovery::start(&known);
    let node = Setup { known: known.join(","), dial_timeout_s: 1.0, ..Setup::default() }.start(discovery);
    monitor.monitor(&node);
    let mut client = node.connect();
    let mut answered = 0;
    for n in 0..REQUESTS {
        let (id, key) = (format!("q{n}"), format!("key{n}"));
        let text = match n % 3 {
            0 => read_command(&key, &id, DEADLINE_MS),
            1 => open_command(&key, &id, DEADLINE_MS),
            _ => format!("ms {key} 3 O{id} Pc=save,t=acme,d={DEADLINE_MS},k=77{n}\r\nnew\r\n"),
        };
        let sent_at = Instant::now();
        let answer = client.request(&text);
        let took = sent_at.elapsed();
        let is_complete = answer == served_answer(&id) || answer == format!("HD O{id} c42\r\n");
        let is_final =
            is_complete || ["SERVER_ERROR busy\r\n", "SERVER_ERROR failed\r\n"].contains(&&*answer);
        assert!(is_final, "{failure:?}: {text:?} got {answer:?}");
        if took > Duration::from_millis(u64::from(DEADLINE_MS) + 500) {
            return Err(format!("{failure:?}: {id} was answered after {took:?}"));
        }
        answered += usize::from(is_complete);
        let sent_to_bad: usize = bad.iter().map(|server| server.take_commands().len()).sum();
        let sent = sent_to_bad + good.take_commands().len();
        assert!(sent <= 4, "{failure:?}: {id} was sent {sent} times");
        assert!(
            n % 3 != 1 || !failure.may_have_run() || sent <= 1,
            "{failure:?}: {id} may have run {sent} times"
        );
        assert!(!is_complete || sent > 0, "{failure:?}: {id} was served without an attempt");
    }
    assert!(answered > REQUESTS / 6, "{failure:?}: {answered} of {REQUESTS} were served");
    Ok(())
}

#[test]
fn retries_that_fail_immediately_leave_one_final_answer() {
    use FailureMode::*;
    for failure in
        [RefusesConnections, ClosesConnections, ClosesOnCommand, Resets, RejectsBusy, AnswersFailed]
    {
        retry_on_scheduling_delay(&format!("{failure:?}"), |monitor| {
            check_requests_with_failing_servers(failure, monitor)
        });
    }
}

/// The first attempt is delayed, and the hedged request fails as soon as it is sent: the answer to the first attempt
/// still counts.
#[test]
fn a_hedged_request_that_fails_immediately_leaves_the_first_attempt_to_answer() {
    for failure in [
        FailureMode::ClosesOnCommand,
        FailureMode::Resets,
        FailureMode::RejectsBusy,
        FailureMode::AnswersFailed,
    ] {
        let was_hedged = (0..10).any(|_| check_hedge_failure(failure));
        assert!(was_hedged, "{failure:?}: no request was hedged");
    }
}

/// Checks one request; false if it was not hedged.
fn check_hedge_failure(failure: FailureMode) -> bool {
    let (release, gate) = std::sync::mpsc::channel();
    let gate = Arc::new(Mutex::new(Some(gate)));
    let handler = || {
        let gate = gate.clone();
        move |line: &str| match line.contains("Ohedged") {
            true => gate.lock().unwrap().take().map_or_else(|| failure.action(), ServerAction::ServeAfter),
            false => ServerAction::Serve,
        }
    };
    let servers = [
        FakeCacheServer::start(handler()),
        FakeCacheServer::start(handler()),
        FakeCacheServer::start(handler()),
    ];
    let known: Vec<String> =
        (0..).zip(&servers).map(|(n, server)| member(&format!("s-{n}"), server.address, "ready")).collect();
    let (_list, discovery) = FakeDiscovery::start(&known);
    let node = Setup { known: known.join(","), dial_timeout_s: 5.0, ..Setup::default() }.start(discovery);
    let mut client = node.connect();
    // Hedged requests draw on a budget that grows with the requests served.
    for n in 0..100 {
        let id = format!("w{n}");
        assert_eq!(client.request(&read_command(&format!("key{n}"), &id, 15_000)), served_answer(&id));
    }
    servers.iter().for_each(|server| drop(server.take_commands()));
    client.send(&read_command("k", "hedged", 15_000));
    let sent_at = Instant::now();
    let mut attempts = 0;
    while attempts < 2 && sent_at.elapsed() < Duration::from_secs(3) {
        attempts += servers.iter().map(|server| server.take_commands().len()).sum::<usize>();
        std::thread::yield_now();
    }
    drop(release);
    assert_eq!(client.read_answer(), served_answer("hedged"), "{failure:?}, {attempts} attempts");
    attempts >= 2
}

/// Tolerance by which an answer may come after the client's deadline.
const LATENESS_TOLERANCE: Duration = Duration::from_millis(60);

/// Cache servers drop a request with hardly any time left without an answer: the node answers it as soon as its
/// deadline is over, whatever its class, alone and behind others on its connection, and the connection stays usable.
#[test]
fn a_dropped_request_with_a_few_milliseconds_left_is_answered_at_its_deadline() {
    let (node, server, _list) = start_with_one_server(|line| match line.contains("Okept") {
        true => ServerAction::Serve,
        false => ServerAction::Ignore,
    });
    retry_on_scheduling_delay("a few milliseconds", |monitor| {
        monitor.monitor(&node);
        let mut late_answers = Vec::new();
        let mut remaining_by_id: HashMap<String, u32> = HashMap::new();
        for deadline_ms in 1..=20 {
            for class in ["read", "open"] {
                let text = |n: usize| match class {
                    "read" => read_command("k", &format!("{class}{deadline_ms}x{n}"), deadline_ms),
                    _ => open_command("k", &format!("{class}{deadline_ms}x{n}"), deadline_ms),
                };
                let mut client = node.connect();
                for pipelined in [1, 3] {
                    let sent_at = Instant::now();
                    client.send(&(0..pipelined).map(|n| text(10 * pipelined + n)).collect::<String>());
                    for _ in 0..pipelined {
                        let answer = client.read_answer();
                        let is_final =
                            ["SERVER_ERROR busy\r\n", "SERVER_ERROR failed\r\n"].contains(&&*answer);
                        assert!(is_final, "{class} with {deadline_ms} ms: {answer:?}");
                    }
                    let lateness =
                        sent_at.elapsed().saturating_sub(Duration::from_millis(u64::from(deadline_ms)));
                    if lateness > LATENESS_TOLERANCE {
                        late_answers
                            .push(format!("{pipelined} of {class} with {deadline_ms} ms: {lateness:?} late"));
                    }
                    remaining_by_id.extend(
                        server
                            .take_commands()
                            .iter()
                            .map(|line| (opaque_id(line).into(), remaining_ms(line))),
                    );
                }
                assert_eq!(client.request("mn\r\n"), "MN\r\n");
            }
        }
        for (id, remaining) in remaining_by_id {
            let deadline_ms: u32 =
                id.trim_start_matches(char::is_alphabetic).split('x').next().unwrap().parse().unwrap();
            assert!(remaining <= deadline_ms, "{id} had {deadline_ms} ms and was sent with {remaining}");
        }
        late_answers.is_empty().then_some(()).ok_or_else(|| late_answers.join("; "))
    });
    node.wait_for_metric("app_pending", 0);
}

/// Remaining time in an attempt's `d=`, in milliseconds.
fn remaining_ms(line: &str) -> u32 {
    line.split("d=")
        .nth(1)
        .unwrap()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect::<String>()
        .parse()
        .unwrap()
}

//! Clients that stop sending in the middle of a request and stay connected: each gets an error or a close within 3 s.

use std::time::{Duration, Instant};

use crate::harness::scheduling_delay::retry_on_scheduling_delay;
use crate::harness::*;
use crate::start_with_one_server;

/// Time within which a client that stopped sending in the middle of a request gets an error or a close.
const MAX_TIME_TO_CLOSE: Duration = Duration::from_secs(3);
/// Incomplete commands, up to all but the last byte.
const INCOMPLETE_COMMANDS: [&str; 6] = [
    "m",
    "mg k v Oh1 Pc=re",
    "mg k v Oh2 Pc=read,t=acme,d=9000\r",
    "ms k 900 Oh3 Pc=open,t=acme,d=9000\r\nxx",
    "ms k 3 Oh4 Pc=open,t=acme,d=9000\r\nnew",
    "ms k 3 Oh5 Pc=open,t=acme,d=9000\r\nnew\r",
];

/// What a client has sent on its connection before the incomplete command.
#[derive(Clone, Copy, Debug)]
enum PriorTraffic {
    /// Nothing.
    Nothing,
    /// A request that was served.
    Served,
    /// A complete command in the same write.
    Pipelined,
    /// A malformed command, whose error delays the client's next turn.
    Error,
}

const ALL_PRIOR_TRAFFIC: [PriorTraffic; 4] =
    [PriorTraffic::Nothing, PriorTraffic::Served, PriorTraffic::Pipelined, PriorTraffic::Error];

struct StoppedClient {
    connection: Client,
    /// The case, for messages.
    case: String,
    /// When it stopped sending.
    since: Instant,
}

/// Connects a client that sends an incomplete command and then nothing more.
fn send_incomplete(node: &Node, prior: PriorTraffic, incomplete: &'static str) -> StoppedClient {
    let mut connection = node.connect();
    match prior {
        PriorTraffic::Nothing => connection.send(incomplete),
        PriorTraffic::Served => {
            assert_eq!(connection.request(&read_command("k", "s1", 9000)), served_answer("s1"));
            connection.send(incomplete);
        }
        PriorTraffic::Pipelined => {
            connection.send(&("mn\r\n".to_string() + incomplete));
            connection.read_answer();
        }
        PriorTraffic::Error => {
            assert!(connection.request("mg k v Oa Pc=odd,d=9000\r\n").starts_with("CLIENT_ERROR "));
            connection.send(incomplete);
        }
    }
    StoppedClient { connection, case: format!("{prior:?}, {incomplete:?}"), since: Instant::now() }
}

fn send_all_incomplete(node: &Node) -> Vec<StoppedClient> {
    ALL_PRIOR_TRAFFIC
        .iter()
        .flat_map(|prior| INCOMPLETE_COMMANDS.map(|incomplete| send_incomplete(node, *prior, incomplete)))
        .collect()
}

/// Answers that are allowed to an incomplete command.
#[derive(Clone, Copy, PartialEq)]
enum AllowedAnswers {
    /// The client took too long: a client error.
    TooSlow,
    /// Also `busy`, as the node may stop first: nothing ran, and the client may retry elsewhere.
    TooSlowOrStopping,
}

impl AllowedAnswers {
    fn contains(self, answer: &str) -> bool {
        let is_busy_at_stop = self == AllowedAnswers::TooSlowOrStopping && answer == "SERVER_ERROR busy\r\n";
        is_busy_at_stop || answer.starts_with("CLIENT_ERROR ")
    }
}

/// Checks that each client gets an error or nothing, and then a close, within this time after it stopped sending.
fn check_closed_in_time(
    clients: Vec<StoppedClient>,
    allowed: AllowedAnswers,
    time_limit: impl Fn(&StoppedClient) -> Duration,
) -> Result<(), String> {
    for mut client in clients {
        let answer = client.connection.read_answer();
        if !answer.is_empty() {
            assert!(allowed.contains(&answer), "{}: {answer}", client.case);
            assert_eq!(client.connection.read_answer(), "", "{}: open after its error", client.case);
        }
        let (took, time_limit) = (client.since.elapsed(), time_limit(&client));
        if took > time_limit {
            return Err(format!("{}: closed after {took:?}, allowed are {time_limit:?}", client.case));
        }
    }
    Ok(())
}

#[test]
fn an_incomplete_request_gets_an_error_or_a_close_within_3_s() {
    let (node, server, _list) = start_with_one_server(|_| ServerAction::Serve);
    retry_on_scheduling_delay("in mid-run", |monitor| {
        monitor.monitor(&node);
        server.take_commands();
        check_closed_in_time(send_all_incomplete(&node), AllowedAnswers::TooSlow, |_| MAX_TIME_TO_CLOSE)?;
        assert!(
            server.take_commands().iter().all(|line| line.contains("Os1")),
            "an incomplete command reached the server"
        );
        Ok(())
    });
}

#[test]
fn an_incomplete_request_is_not_awaited_longer_in_a_drain() {
    let (node, _server, _list) = start_with_one_server(|_| ServerAction::Serve);
    retry_on_scheduling_delay("in a drain", |monitor| {
        monitor.monitor(&node);
        let clients = send_all_incomplete(&node);
        assert_eq!(node.operator_call("drain\n"), "ok draining\n");
        let result = check_closed_in_time(clients, AllowedAnswers::TooSlow, |_| MAX_TIME_TO_CLOSE);
        assert!(node.operator_call("resume\n").starts_with("ok"));
        result
    });
}

/// During a stop the connections are closed at least 0.05 s before the kill, however short the deadlines are.
#[test]
fn an_incomplete_request_is_closed_before_the_kill() {
    for (deadline_s, kill_after_ms) in [(0.1, 800), (1.0, 1700), (20.0, 3700)] {
        let kill_after = Duration::from_millis(kill_after_ms);
        retry_on_scheduling_delay(&format!("in a stop with a kill after {kill_after:?}"), |monitor| {
            let server = FakeCacheServer::start(|_| ServerAction::Serve);
            let known = member("s-1", server.address, "ready");
            let (_list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
            let node = Setup { known, deadline_s, dial_timeout_s: 5.0, ..Setup::default() }.start(discovery);
            monitor.monitor(&node);
            let clients = send_all_incomplete(&node);
            let sigterm_at = Instant::now();
            node.signal("-TERM");
            let margin = Duration::from_millis(50);
            check_closed_in_time(clients, AllowedAnswers::TooSlowOrStopping, |client| {
                MAX_TIME_TO_CLOSE.min(sigterm_at + kill_after - margin - client.since)
            })?;
            assert_eq!(node.wait().code(), Some(0));
            Ok(())
        });
    }
}

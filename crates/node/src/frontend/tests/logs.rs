//! Log lines of a command: they carry the client's own id from start to answer, and the reason if it was given up.

use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;
use tracing::dispatcher::{set_default, DefaultGuard};
use tracing::{Dispatch, Level};

use super::node::Node;
use super::{settle, with_clock_held};
use crate::stop::ShutdownTimes;

const SECOND: Duration = Duration::from_secs(1);
/// The start of a command, with its id.
const PARTIAL_COMMAND: &[u8] = b"mg k v Ohalf Pc=read";

/// Captures the log lines of this thread.
#[derive(Clone, Default)]
struct Log(Arc<Mutex<Vec<u8>>>);

impl io::Write for Log {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Log {
    fn start() -> (Self, [Dispatch; 2], DefaultGuard) {
        let log = Log::default();
        let subscriber = || {
            let writer = log.clone();
            let subscriber = tracing_subscriber::fmt().with_max_level(Level::DEBUG).with_ansi(false);
            Dispatch::new(subscriber.with_writer(move || writer.clone()).finish())
        };
        // With a single dispatcher, a call site first reached by another test's thread, which has none, would be
        // cached as disabled for good.
        let dispatches = [subscriber(), subscriber()];
        let guard = set_default(&dispatches[0]);
        (log, dispatches, guard)
    }

    /// Number of lines that contain all of `parts`.
    fn count(&self, parts: &[&str]) -> usize {
        let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
        text.lines().filter(|line| parts.iter().all(|part| line.contains(part))).count()
    }
}

async fn send(client: &mut TcpStream, bytes: &[u8]) {
    client.write_all(bytes).await.unwrap();
    settle().await;
}

/// The client's id finds the lines of one request, whatever number the node gives it.
#[tokio::test(start_paused = true)]
async fn log_lines_of_a_request_carry_its_clients_id() {
    let (log, _dispatches, _guard) = Log::start();
    let node = Node::start().await;
    let scenario = async {
        let mut client = node.client().await;
        send(&mut client, b"mg k v Oown Pc=read,d=300\r\n").await;
        sleep(SECOND).await;
        with_clock_held(client.read_exact(&mut [0; 14])).await.unwrap();
        for line in [" attempt ", " outcome ", " answer "] {
            assert_eq!(log.count(&[line, "opaque=own", "request="]), 1, "{line}");
        }
        assert_eq!(log.count(&[" answer ", "opaque=own", "end=", "left="]), 1);
    };
    node.run(scenario).await;
}

/// A command that was started and gets no answer is logged once, with its id as far as it arrived and the reason.
#[tokio::test(start_paused = true)]
async fn a_command_that_is_given_up_is_logged_once_with_the_reason() {
    for reason in ["TooSlow", "ClientGone", "MadeRoom", "Stopping", "FramingLost"] {
        let (log, _dispatches, _guard) = Log::start();
        let node = Node::start().await;
        let scenario = async {
            let mut client = node.client().await;
            if reason == "FramingLost" {
                send(&mut client, &[b"ms k 300000 Obad Pc=read,d=9\r\n", PARTIAL_COMMAND].concat()).await;
            } else {
                send(&mut client, PARTIAL_COMMAND).await;
            }
            match reason {
                "TooSlow" => sleep(3 * SECOND).await,
                "MadeRoom" => assert!(node.frontend.make_room()),
                "Stopping" => {
                    node.frontend.lifecycle.stop(false, ShutdownTimes::of(SECOND / 5));
                    sleep(SECOND).await;
                }
                _ => {}
            }
            settle().await;
            drop(client);
            settle().await;
            sleep(3 * SECOND).await;
            let id = if reason == "FramingLost" { "bad" } else { "half" };
            let line = ["command given up", &format!("reason={reason}")];
            assert_eq!(log.count(&line), 1, "{reason}");
            assert_eq!(log.count(&[&format!("opaque={id}")]), 1, "{reason}");
        };
        node.run(scenario).await;
    }
}

/// A request in flight whose client disconnects is logged with the reason, and by the driver with its id.
#[tokio::test(start_paused = true)]
async fn a_request_whose_client_disconnects_is_logged_with_its_id() {
    let (log, _dispatches, _guard) = Log::start();
    let node = Node::start().await;
    let scenario = async {
        let mut client = node.client().await;
        send(&mut client, b"mg k v Oown Pc=read,d=300\r\n").await;
        drop(client);
        settle().await;
        assert_eq!(log.count(&["request given up", "reason=ClientGone"]), 1);
        assert_eq!(log.count(&["withdrawn", "opaque=own", "left=0.2"]), 1);
    };
    node.run(scenario).await;
}

/// A command that crosses with the end of its connection is logged with its id: its client has to send it again.
#[tokio::test(start_paused = true)]
async fn a_command_read_after_the_end_is_logged_with_its_id() {
    let (log, _dispatches, _guard) = Log::start();
    let node = Node::start().await;
    let scenario = async {
        let mut client = node.client().await;
        send(&mut client, b"mg k v Oown Pc=read,d=300\r\n").await;
        // Past the answer at the deadline and the idle timeout.
        sleep(11 * SECOND).await;
        with_clock_held(client.read_to_end(&mut Vec::new())).await.unwrap();
        send(&mut client, b"mg k v Olate Pc=read,d=300\r\n").await;
        let line = ["command given up", "opaque=late", "reason=ReadAfterEnd", "elapsed=0.0"];
        assert_eq!(log.count(&line), 1);
    };
    node.run(scenario).await;
}

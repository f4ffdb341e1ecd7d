//! Shared helpers for the upstream tests.

mod blocked_writes;
mod budgeted;
mod cut_values;
mod deadlines;
mod dial;
mod duplicate_answers;
mod idle_closes;
mod keep_alive;
mod last_byte;
mod long_values;
mod pooling;
mod scheduling_delays;

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use hallpin_balancer::{AttemptId, RequestId};
use hallpin_protocol::{next_input, Command, Input};
use tokio::net::TcpListener;
use tokio::time::{advance, Instant};

use super::keep_alive::KeepAlive;
use super::{Bounds, Upstream, UpstreamCall};
use crate::budget::Budget;
use crate::clock::Clock;
use crate::config::{Limits, RESERVED_DESCRIPTORS};
use crate::message::ClientState;
use crate::metrics::Metrics;
use crate::roster::Roster;

const LONG: Duration = Duration::from_secs(20);

/// An upstream with at most `max_connections` connections.
fn upstream(grace: Duration, max_connections: usize) -> Rc<Upstream> {
    let limits = Limits { sockets: RESERVED_DESCRIPTORS + 3 * max_connections, ..Limits::default() };
    Rc::new(Upstream::new(
        Bounds { dial_timeout: LONG, idle_timeout: LONG, grace },
        Budget::new(&limits),
        Metrics::new([]),
    ))
}

fn roster(listener: &TcpListener, phase: &str) -> Roster {
    let address = listener.local_addr().unwrap();
    let member = format!(r#"{{"id":"s","host_port":"{address}","phase":"{phase}"}}"#);
    let list = format!(r#"{{"revision":1,"complete":false,"members":[{member}]}}"#);
    Roster::from_json(list.as_bytes(), &Clock::start()).unwrap()
}

fn command(text: &str) -> Command {
    match next_input(&mut BytesMut::from(text)) {
        Some(Input::Command(command)) => *command,
        other => panic!("{other:?}"),
    }
}

/// The first attempt of a request that may be repeated at any time.
pub(crate) fn test_call(text: &str) -> UpstreamCall {
    UpstreamCall {
        request: RequestId(1),
        command: Rc::new(command(text)),
        attempt: AttemptId(0),
        is_first: true,
        until: Instant::now() + LONG,
        repeat_window: None,
        executions: Rc::default(),
        written: Rc::default(),
        gone: ClientState::default(),
    }
}

impl Upstream {
    /// Simulates a process that is not scheduled for a while. The clock has to be paused.
    pub(super) async fn delay_write(&self) {
        if !self.injected_write_delay.get().is_zero() {
            advance(self.injected_write_delay.get()).await;
        }
    }
}

pub(crate) const READ: &str = "mg k v Oa Pc=read,d=60000\r\n";

//! Nodes that communicate over real loopback sockets, in one process.

mod budgets;
mod membership;
mod tables;
mod utilization;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use hallpin_balancer::{FleetUpdate, Settings};
use hallpin_control_plane::FleetFile;
use hallpin_membership::names::{NodeId, ZoneId};
use hallpin_quota::Contracts;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::JoinHandle;
use tokio::time::timeout;

use super::{PlaneRuntime, Setup};
use crate::clock::Clock;
use crate::message::Message;
use crate::metrics::{MemberCounts, Metrics};
use crate::roster::Roster;

/// Only a failing test waits this long.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Loopback addresses unique among tests: the address from the process id, and a new port for each.
fn addresses(count: usize) -> Vec<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(20_000);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    let port = || NEXT.fetch_add(1, Ordering::Relaxed);
    (0..count).map(|_| SocketAddr::from(([127, high.max(1), low, 1], port()))).collect()
}

struct Node {
    plane_runtime: Rc<PlaneRuntime>,
    metrics: Rc<Metrics>,
    task: JoinHandle<()>,
    messages: UnboundedReceiver<Message>,
}

impl Node {
    fn start(peers: &[SocketAddr], number: u16) -> Self {
        Self::start_with(peers, number, "version = 1\nrealm = \"test\"\n[table]\n", None)
    }

    fn start_with(
        peers: &[SocketAddr],
        number: u16,
        file: &str,
        contracts: Option<(PathBuf, Contracts)>,
    ) -> Self {
        let file = FleetFile::parse(file).unwrap();
        let (this, zone, listen) = (NodeId(number), ZoneId(0), peers[usize::from(number)]);
        let setup =
            Setup { file, contracts, state: None, listen, peers: peers.to_vec(), this, zone, zones: 1 };
        let metrics = Metrics::new([]);
        let (sender, messages) = unbounded_channel();
        let settings = Settings::default();
        let plane_runtime = PlaneRuntime::new(setup, &settings, u64::from(number), &metrics, sender).unwrap();
        let task = tokio::task::spawn_local(plane_runtime.clone().run());
        Node { plane_runtime, metrics, task, messages }
    }

    /// A list of `boxes` boxes, numbered from 0, all at one address.
    fn roster(&self, revision: u64, boxes: usize, at: SocketAddr) -> Roster {
        let member = |n| format!(r#"{{"id":"s-{n}","host_port":"{at}","phase":"ready"}}"#);
        let members: Vec<String> = (0..boxes).map(member).collect();
        let list = format!(r#"{{"revision":{revision},"complete":true,"members":[{}]}}"#, members.join(","));
        Roster::from_json(list.as_bytes(), &Clock::start()).unwrap()
    }

    fn list_at(&self, revision: u64, boxes: usize, at: SocketAddr) {
        self.plane_runtime.apply_roster(&self.roster(revision, boxes, at));
    }

    fn list(&self, revision: u64, boxes: usize) {
        self.list_at(revision, boxes, SocketAddr::from(([127, 0, 0, 1], 9)));
    }

    /// The next table that the balancer is notified of: epoch, version and number of boxes.
    async fn table(&mut self) -> (u64, u64, usize) {
        loop {
            let message =
                timeout(TEST_TIMEOUT, self.messages.recv()).await.expect("a table").expect("a message");
            if let Message::Fleet(FleetUpdate::Table { epoch, version, entries }) = message {
                return (epoch, version, entries.len());
            }
        }
    }

    fn metric(&self, name: &str) -> u64 {
        let text = self.metrics.render(MemberCounts::default());
        let value = |line: &str| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok();
        text.lines().find_map(value).unwrap_or_else(|| panic!("no {name} in {text}"))
    }
}

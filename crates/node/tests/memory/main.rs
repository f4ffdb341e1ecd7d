//! Peak memory of the node's real binary, read from outside, while clients do what makes it hold most, and how ordinary
//! clients fare beside them. The bound is the limit in the node's settings.

mod crowd;
mod discovery_lists;
// The harness is shared with other targets.
#[allow(dead_code)]
#[path = "../harness/mod.rs"]
mod harness;
mod large_fleets;
mod many_clients;
mod one_client;
mod ordinary_clients;
mod restarts;

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use harness::*;
use ordinary_clients::OrdinaryClients;

/// The least memory that the pages name, in MB.
const LEAST_MEMORY_MB: usize = 32;
/// Descriptors of the incident's settings.
const SOCKETS: usize = 1024;
/// Clients of a crowd: as many as the node takes at a time, and some more.
const CROWD: usize = 700;
/// Longest value of a command.
const COMMAND_VALUE: usize = 64 * 1024;

/// Held by each test: their crowds would delay one another.
fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A node with the least memory, the server behind it and ordinary clients in front of it.
struct Bench {
    node: Node,
    ordinary: OrdinaryClients,
    _server: FakeCacheServer,
    _list: FakeDiscovery,
    _alone: MutexGuard<'static, ()>,
}

impl Bench {
    /// Starts the node with a server that has this handler.
    fn start(handler: impl Fn(&str) -> ServerAction + Send + Sync + 'static) -> Self {
        let _alone = run_alone();
        let server = FakeCacheServer::start(handler);
        let known = member("s-1", server.address, "ready");
        let (list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
        let node = least_memory_setup(&known).start(discovery);
        let ordinary = OrdinaryClients::start(node.address);
        Bench { node, ordinary, _server: server, _list: list, _alone }
    }

    fn address(&self) -> SocketAddr {
        self.node.address
    }

    /// Checks the node's peak memory and what became of the ordinary clients' requests.
    #[track_caller]
    fn check(self) {
        let results = self.ordinary.finish();
        let peak_kb = self.node.peak_memory_kb();
        eprintln!("peak {peak_kb} kB of {} kB, {results:?}", LEAST_MEMORY_MB << 10);
        assert!(peak_kb <= (LEAST_MEMORY_MB << 10) as u64, "a peak of {peak_kb} kB");
        results.assert_served_on();
    }
}

/// A setup with the least memory and the incident's descriptors.
fn least_memory_setup(known: &str) -> Setup {
    Setup {
        memory_mb: LEAST_MEMORY_MB,
        sockets: SOCKETS,
        known: known.into(),
        dial_timeout_s: 5.0,
        ..Setup::default()
    }
}

/// Whether a command is one of the ordinary clients'.
fn is_ordinary(line: &str) -> bool {
    line.contains("Oord")
}

/// A write of the longest value.
fn longest_write(client: usize, id: &str) -> Vec<u8> {
    let mut text =
        format!("ms key{client} {COMMAND_VALUE} O{id}x{client} Pc=open,t=acme,d=15000\r\n").into_bytes();
    text.resize(text.len() + COMMAND_VALUE, b'v');
    text.extend_from_slice(b"\r\n");
    text
}

//! The node's real binary between fake cache servers, a fake service discovery and test clients, over loopback
//! sockets.

mod address_in_use;
mod close_races;
mod configuration;
mod connection_limits;
mod departed_clients;
mod discovery;
mod discovery_outage;
#[path = "../harness/mod.rs"]
mod harness;
mod hidden_ends;
mod immediate_failures;
mod interrupted_requests;
mod kill;
mod kill_long_values;
mod long_values;
mod malformed;
mod operators;
mod outcomes;
mod partial_requests;
mod ready;
mod reloads;
mod requests;
mod reused_addresses;
mod slow_servers;
mod stop;
mod stop_values;
mod takeover;
mod takeover_stop;

use std::net::TcpListener;
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;

use harness::*;

/// Starts a node with one cache server that has this handler.
fn start_with_one_server(
    handler: impl Fn(&str) -> ServerAction + Send + Sync + 'static,
) -> (Node, FakeCacheServer, FakeDiscovery) {
    let server = FakeCacheServer::start(handler);
    let (list, discovery) = FakeDiscovery::start(&[member("s-1", server.address, "ready")]);
    let known = member("s-1", server.address, "ready");
    (Setup { known, ..Setup::default() }.start(discovery), server, list)
}

/// Handler that serves each command at once, except for the first with the key `slow`: that one is served when the
/// returned sender is dropped.
fn slow_key_handler() -> (Sender<()>, impl Fn(&str) -> ServerAction + Send + Sync + 'static) {
    let (release, gate) = channel();
    let gate = Mutex::new(Some(gate));
    let handler = move |line: &str| match line.contains("slow") {
        true => ServerAction::ServeAfter(gate.lock().unwrap().take().unwrap()),
        false => ServerAction::Serve,
    };
    (release, handler)
}

/// An address at which nothing listens.
fn unused_address() -> std::net::SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

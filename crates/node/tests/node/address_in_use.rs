//! Addresses that another process still holds when the node starts.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};

use crate::harness::*;
use crate::unused_address;

/// A node's process and its log from the first line on.
struct StartingNode {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
}

impl StartingNode {
    fn start(config: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallpin-node"));
        command.env("RELAY_CONFIG", write_config(config)).env_remove("TMPDIR");
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        StartingNode { log: BufReader::new(child.stderr.take().unwrap()), child }
    }

    /// Reads up to the log line that contains `text`; none of the lines up to it may contain `not_before`.
    fn wait_for_line(&mut self, text: &str, not_before: &str) {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "the log ended before {text:?}");
            assert!(!line.contains(not_before), "{line}");
        }
    }
}

impl Drop for StartingNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Binds an address as an unrelated process would.
fn hold_address() -> (TcpListener, SocketAddr) {
    let held = TcpListener::bind("127.64.0.3:0").unwrap();
    let address = held.local_addr().unwrap();
    (held, address)
}

/// An ending process holds its address until it has exited: the node started in its place waits for that.
#[test]
fn a_node_waits_for_an_address_in_use() {
    let (held, address) = hold_address();
    let setup = Setup { listen: address.to_string(), ..Setup::default() };
    let mut node = StartingNode::start(&setup.config(unused_address()));
    node.wait_for_line("is held by another process", "listening on");
    drop(held);
    node.wait_for_line("listening on", "is held by another process");
    let mut client = Client::new(TcpStream::connect(address).unwrap());
    assert_eq!(client.request("mn\r\n"), "SERVER_ERROR not ready\r\n");
}

/// Clients are served while the operators' address is still held.
#[test]
fn a_node_serves_while_the_operators_address_is_in_use() {
    let ((held, operator), server) = (hold_address(), FakeCacheServer::start(|_| ServerAction::Serve));
    let known = member("s-1", server.address, "ready");
    let (_list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    let (free, listen) = hold_address();
    drop(free);
    let config = Setup { known, listen: listen.to_string(), ..Setup::default() }.config(discovery);
    let config = config.replace("\"operator\":\"127.0.0.1:0\"", &format!("\"operator\":\"{operator}\""));
    let mut node = StartingNode::start(&config);
    node.wait_for_line("listening on", "operators call at");
    let mut client = Client::new(TcpStream::connect(listen).unwrap());
    assert_eq!(client.request(&read_command("k", "h1", 9000)), served_answer("h1"));
    drop(held);
    node.wait_for_line("operators call at", "listening on");
    assert_eq!(Client::new(TcpStream::connect(operator).unwrap()).request("ready\n"), "ok ready\n");
}

//! Addresses that an earlier process still holds when the node starts.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};

use crate::nowhere;
use crate::rig::*;

/// A node of its own, and what it says from its first line on.
struct Starting {
    child: Child,
    log: BufReader<std::process::ChildStderr>,
}

impl Starting {
    fn with(config: &str) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallpin-node"));
        command.env("RELAY_CONFIG", write_config(config)).env_remove("TMPDIR");
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        Starting { log: BufReader::new(child.stderr.take().unwrap()), child }
    }

    /// Reads on to the line that holds this text, which none of these before it may.
    fn says(&mut self, text: &str, not_before: &str) {
        let mut line = String::new();
        while !line.contains(text) {
            line.clear();
            assert!(self.log.read_line(&mut line).unwrap() > 0, "it says {text}");
            assert!(!line.contains(not_before), "{line}");
        }
    }
}

impl Drop for Starting {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Takes an address as a process of another kind does.
fn hold() -> (TcpListener, SocketAddr) {
    let held = TcpListener::bind("127.64.0.3:0").unwrap();
    let address = held.local_addr().unwrap();
    (held, address)
}

/// A process that ends holds its address until it has: the node that is started anew waits for that.
#[test]
fn a_node_waits_for_an_address_that_is_held() {
    let (held, address) = hold();
    let setup = Setup { listen: address.to_string(), ..Setup::default() };
    let mut node = Starting::with(&setup.config(nowhere()));
    node.says("is held by another process", "listening on");
    drop(held);
    node.says("listening on", "is held by another process");
    let mut client = Client::over(TcpStream::connect(address).unwrap());
    assert_eq!(client.ask("mn\r\n"), "SERVER_ERROR not ready\r\n");
}

/// Clients do not wait for the operators' address.
#[test]
fn a_node_serves_while_the_operators_address_is_held() {
    let ((held, operator), server) = (hold(), CacheServer::start(|_| Act::Serve));
    let known = member("s-1", server.address, "ready");
    let (_list, discovery) = List::start(std::slice::from_ref(&known));
    let (free, listen) = hold();
    drop(free);
    let config = Setup { known, listen: listen.to_string(), ..Setup::default() }.config(discovery);
    let config = config.replace("\"operator\":\"127.0.0.1:0\"", &format!("\"operator\":\"{operator}\""));
    let mut node = Starting::with(&config);
    node.says("listening on", "operators call at");
    let mut client = Client::over(TcpStream::connect(listen).unwrap());
    assert_eq!(client.ask(&read("k", "h1", 9000)), served("h1"));
    drop(held);
    node.says("operators call at", "listening on");
    assert_eq!(Client::over(TcpStream::connect(operator).unwrap()).ask("ready\n"), "ok ready\n");
}

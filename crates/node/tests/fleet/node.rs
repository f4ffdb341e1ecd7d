//! A node with the plane between nodes enabled, as a child process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};

use crate::harness::{self, TEST_TIMEOUT};

/// Path of the node's binary.
pub const BIN: &str = env!("CARGO_BIN_EXE_hallpin-node");

/// Writes a fleet file (the operators' settings) under a name unique to the test.
pub fn fleet_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = path.join(format!("fleet-{}-{name}.toml", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

/// Fleet file with the required fields alone.
pub const MINIMAL_FLEET_FILE: &str = "version = 1\nrealm = \"test\"\n";

/// Configuration of a node whose plane listens at `own`, with these peers.
pub fn config(discovery: SocketAddr, known: String, own: SocketAddr, peers: &[SocketAddr]) -> String {
    let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
    let plane = format!("{{\"peer_listen\":\"{own}\",\"peers\":[{}],", peers.join(","));
    let setup = harness::Setup { known, ..harness::Setup::default() };
    setup.config(discovery).replacen('{', &plane, 1)
}

/// A running node, killed on drop.
pub struct Node {
    child: Child,
    pub address: SocketAddr,
    pub operator: SocketAddr,
    pub log: Receiver<String>,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Node {
    /// Starts a node and waits until its plane is on.
    pub fn start(config: &Path, fleet: &Path) -> Self {
        let mut command = Command::new(BIN);
        command.env_remove("TMPDIR").env_remove("RELAY_CONFIG").env_remove("HALLPIN_LOG");
        command.arg("--config").arg(config).arg("--fleet").arg(fleet).arg("--end-with-input");
        let mut child = command.stdin(Stdio::piped()).stderr(Stdio::piped()).spawn().unwrap();
        let (line_sender, log) = channel();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        std::thread::spawn(move || lines.map_while(Result::ok).for_each(|line| drop(line_sender.send(line))));
        let wait_for_line = |prefix: &str| loop {
            let line: String =
                log.recv_timeout(TEST_TIMEOUT).expect("no matching log line within the timeout");
            if let Some((_, rest)) = line.split_once(prefix) {
                return rest.to_owned();
            }
        };
        let (address, operator) = (wait_for_line("listening on "), wait_for_line("operators call at "));
        wait_for_line("the plane between nodes is on");
        Node { child, address: address.parse().unwrap(), operator: operator.parse().unwrap(), log }
    }

    /// All metrics of `show-stat` with integer values.
    pub fn metrics(&self) -> Vec<(String, u64)> {
        let mut stream = TcpStream::connect(self.operator).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(b"show-stat\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let parse_metric =
            |line: &str| Some((line.split_once(' ')?.0.into(), line.split_once(' ')?.1.parse().ok()?));
        text.lines().filter_map(parse_metric).collect()
    }
}

/// Sum of the metrics whose name starts with `prefix`.
pub fn sum(metrics: &[(String, u64)], prefix: &str) -> u64 {
    metrics.iter().filter(|(name, _)| name.starts_with(prefix)).map(|(_, value)| value).sum()
}

//! The node's log: its two formats, its filter, and a reader of the log that goes away.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};

/// A node without cache servers, killed when the test ends.
struct Node {
    child: Child,
    config: std::path::PathBuf,
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

fn start(name: &str, arguments: &[&str], filter: Option<&str>) -> (Node, BufReader<ChildStderr>) {
    let unused_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = std::env::temp_dir().join(format!("hallpin-log-{}-{name}.json", std::process::id()));
    let settings = r#"{"balancers":1,"grades":[{"name":"read","hard-limit-s":1.0}],"membership-mode":"pushed",
        "limits":{"max-attempts":3,"dial-timeout-s":0.2},"guarantees":{"grace-to-answer-s":0.02,"ask-every-s":10,"cold-from":0.12,
        "ramp-time-s":23,"drain-grace-s":1,"fall-multiple":3,"fall-s":3}}"#;
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","operator":"127.0.0.1:0","discovery":"{unused_address}","seed":"1","settings":{settings}}}"#
    );
    std::fs::write(&config, text).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_hallpin-node"));
    command.env_remove("TMPDIR").env_remove("RELAY_CONFIG").env_remove("HALLPIN_LOG");
    filter.map(|filter| command.env("HALLPIN_LOG", filter));
    command.args(["--config", config.to_str().unwrap()]).args(arguments).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let log = BufReader::new(child.stderr.take().unwrap());
    (Node { child, config }, log)
}

fn operator_call(operator: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(operator).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// Reads the operators' address from the log line that names it.
fn read_operator_address(log: &mut BufReader<ChildStderr>) -> SocketAddr {
    loop {
        let mut line = String::new();
        assert!(
            log.read_line(&mut line).unwrap() > 0,
            "the log ended before the line with the operators' address"
        );
        if let Some((_, rest)) = line.split_once("operators call at ") {
            return rest
                .trim_end()
                .trim_end_matches(|c| "\"}".contains(c))
                .split('"')
                .next()
                .unwrap()
                .parse()
                .unwrap();
        }
    }
}

/// When the reader of the log is gone (or the disk is full), lines are lost and the node goes on serving.
#[test]
fn a_log_without_a_reader_loses_only_its_lines() {
    let (_node, mut log) = start("gone", &[], None);
    let operator = read_operator_address(&mut log);
    drop(log);
    for _ in 0..3 {
        assert_eq!(operator_call(operator, "drain\n"), "ok draining\n");
        assert_eq!(operator_call(operator, "ready\n"), "fail draining\n");
    }
}

#[test]
fn json_lines_hold_level_target_and_message() {
    let (_node, mut log) = start("json", &["--log", "json"], None);
    let mut line = String::new();
    log.read_line(&mut line).unwrap();
    let event: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!((&event["level"], &event["target"]), (&"INFO".into(), &"hallpin_node".into()), "{line}");
    assert!(event["message"].as_str().unwrap().starts_with("listening on 127.0.0.1:"), "{line}");
}

#[test]
fn an_invalid_filter_is_reported() {
    let (mut node, mut log) = start("filter", &[], Some("hallpin_node=loud"));
    let mut text = String::new();
    log.read_to_string(&mut text).unwrap();
    assert!(text.contains("HALLPIN_LOG") && text.lines().count() == 1, "{text}");
    assert_eq!(node.child.wait().unwrap().code(), Some(2));
}

#[test]
fn the_filter_selects_the_lines() {
    let (_node, mut log) = start("quiet", &[], Some("hallpin_node=warn"));
    let mut line = String::new();
    log.read_line(&mut line).unwrap();
    assert!(line.contains("WARN") && line.contains("the list held stands"), "{line}");
}

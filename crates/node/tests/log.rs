//! The node's log: its two forms, its filter, and what becomes of the node when nobody takes its lines.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};

/// A node without servers, ended with the test.
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
    let nowhere = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = std::env::temp_dir().join(format!("hallpin-log-{}-{name}.json", std::process::id()));
    let settings = r#"{"balancers":1,"grades":[{"name":"read","hard-limit-s":1.0}],"membership-mode":"pushed",
        "limits":{"max-attempts":3,"dial-timeout-s":0.2},"guarantees":{"grace-to-answer-s":0.02,"ask-every-s":10,"cold-from":0.12,
        "ramp-time-s":23,"drain-grace-s":1,"fall-multiple":3,"fall-s":3}}"#;
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","operator":"127.0.0.1:0","discovery":"{nowhere}","seed":"1","settings":{settings}}}"#
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

fn call(operator: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(operator).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// The operators' address, from the line that tells it.
fn operator(log: &mut BufReader<ChildStderr>) -> SocketAddr {
    loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).unwrap() > 0, "the node says where operators call");
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

/// A reader that is gone, as a full disk, loses the lines and not the node.
#[test]
fn a_log_that_nobody_takes_costs_lines_and_nothing_else() {
    let (_node, mut log) = start("gone", &[], None);
    let operator = operator(&mut log);
    drop(log);
    for _ in 0..3 {
        assert_eq!(call(operator, "drain\n"), "ok draining\n");
        assert_eq!(call(operator, "ready\n"), "fail draining\n");
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
fn a_filter_that_cannot_be_read_is_named() {
    let (mut node, mut log) = start("filter", &[], Some("hallpin_node=loud"));
    let mut text = String::new();
    log.read_to_string(&mut text).unwrap();
    assert!(text.contains("HALLPIN_LOG") && text.lines().count() == 1, "{text}");
    assert_eq!(node.child.wait().unwrap().code(), Some(2));
}

#[test]
fn the_filter_says_what_is_told() {
    let (_node, mut log) = start("quiet", &[], Some("hallpin_node=warn"));
    let mut line = String::new();
    log.read_line(&mut line).unwrap();
    assert!(line.contains("WARN") && line.contains("the list held stands"), "{line}");
}

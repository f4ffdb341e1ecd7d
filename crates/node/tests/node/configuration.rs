//! Errors in the node's configuration and how they are reported.

use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

use crate::harness::*;
use crate::unused_address;

/// Runs a node that must refuse to start; returns its only log line, written before it starts anything.
fn startup_error(mut command: Command) -> String {
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut stderr = BufReader::new(child.stderr.take().unwrap());
    let mut text = String::new();
    stderr.read_line(&mut text).unwrap();
    // Killed here, as a node that starts would run on.
    let is_listening = text.contains("listening on");
    if is_listening {
        child.kill().unwrap();
    }
    stderr.read_to_string(&mut text).unwrap();
    let code = child.wait().unwrap().code();
    assert_eq!((code, text.lines().count(), is_listening), (Some(2), 1, false), "{text}");
    text
}

#[test]
fn an_invalid_configuration_is_reported_in_one_line() {
    let valid = Setup::default().config(unused_address());
    let run = |path: Option<&std::path::Path>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallpin-node"));
        command.env_remove("RELAY_CONFIG");
        path.map(|path| command.env("RELAY_CONFIG", path));
        startup_error(command)
    };
    let mut unset = Command::new(env!("CARGO_BIN_EXE_hallpin-node"));
    unset.env("RELAY_CONFIG", write_config(&valid.replace("\"operator\":\"127.0.0.1:0\",", "")));
    unset.env("RELAY_OPERATOR", "here");
    assert!(startup_error(unset).contains("RELAY_OPERATOR"));
    assert!(run(None).contains("RELAY_CONFIG"));
    assert!(run(Some("no/such/file".as_ref())).contains("no/such/file"));
    for (from, to, expected) in [
        ("\"name\"", "name", "line 1 column 2"),
        ("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"xyz\"", "seed"),
        ("\"seed\":\"8c1f30d27a5be964\",", "", "seed"),
        ("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"", "listen: "),
        ("\"operator\":\"127.0.0.1:0\"", "\"operator\":7", "operator: "),
        ("\"operator\":\"127.0.0.1:0\"", "\"operator\":\"192.0.2.1:1\"", "operator 192.0.2.1:1"),
        ("\"sockets\":1024", "\"sockets\":8", "limits.sockets: "),
        ("\"memory_mb\":192", "\"memory_mb\":0", "limits.memory_mb: "),
        ("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"192.0.2.1:0\"", "listen 192.0.2.1:0"),
        ("\"balancers\":1", "\"balancers\":0", "balancers"),
        ("\"idle-close-s\":60", "\"idle-close-s\":\"x\"", "idle-close-s"),
        ("\"max-attempts\":4,", "", "max-attempts"),
        ("\"max-attempts\":4", "\"max-attempts\":0", "limits.max-attempts: at least 1 expected"),
        ("\"dial-timeout-s\":0.2,", "", "limits.dial-timeout-s: a time above 0 expected"),
        ("\"dial-timeout-s\":0.2", "\"dial-timeout-s\":-1", "connect timeout"),
        ("\"drain-grace-s\":0.5,", "", "guarantees.drain-grace-s: missing"),
        ("\"name\":\"open\"", "\"name\":\"read\"", "grades.name: each once expected, got \"read\" twice"),
        (
            "{\"name\":\"acme\"",
            "{\"name\":\"acme\",\"quota-per-s\":1.0},{\"name\":\"acme\"",
            "tenants.name: each once",
        ),
        ("\"hard-limit-s\":20", "\"hard-limit-s\":1e300", "hard-limit-s"),
        ("\"members\":[]", "\"members\":[1]", "known"),
    ] {
        let text = valid.replace(from, to);
        assert_ne!(text, valid, "{from}");
        let path = write_config(&text);
        let error = run(Some(&path));
        assert!(error.contains(expected), "{from}: {error}");
        // An address that this machine lacks is not an error of the file alone.
        let is_file_error = !expected.contains("192.0.2.1");
        assert!(!is_file_error || error.contains(path.to_str().unwrap()), "{from}: {error}");
    }
}

//! What the node is given, and how it says what is wrong with that.

use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

use crate::nowhere;
use crate::rig::*;

/// The one line of a node that does not start, and starts nothing before it says so.
fn refused(mut command: Command) -> String {
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut said = BufReader::new(child.stderr.take().unwrap());
    let mut text = String::new();
    said.read_line(&mut text).unwrap();
    // Ended here, or a node that starts would run on.
    let listens = text.contains("listening on");
    if listens {
        child.kill().unwrap();
    }
    said.read_to_string(&mut text).unwrap();
    let code = child.wait().unwrap().code();
    assert_eq!((code, text.lines().count(), listens), (Some(2), 1, false), "{text}");
    text
}

#[test]
fn a_bad_configuration_is_named_in_one_line() {
    let good = Setup::default().config(nowhere());
    let run = |path: Option<&std::path::Path>| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_hallpin-node"));
        command.env_remove("RELAY_CONFIG");
        path.map(|p| command.env("RELAY_CONFIG", p));
        refused(command)
    };
    let mut unset = Command::new(env!("CARGO_BIN_EXE_hallpin-node"));
    unset.env("RELAY_CONFIG", write_config(&good.replace("\"operator\":\"127.0.0.1:0\",", "")));
    unset.env("RELAY_OPERATOR", "here");
    assert!(refused(unset).contains("RELAY_OPERATOR"));
    assert!(run(None).contains("RELAY_CONFIG"));
    assert!(run(Some("no/such/file".as_ref())).contains("no/such/file"));
    for (from, to, names) in [
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
        let text = good.replace(from, to);
        assert_ne!(text, good, "{from}");
        let path = write_config(&text);
        let said = run(Some(&path));
        assert!(said.contains(names), "{from}: {said}");
        // An address of this machine is no matter of the file's alone.
        let of_the_file = !names.contains("192.0.2.1");
        assert!(!of_the_file || said.contains(path.to_str().unwrap()), "{from}: {said}");
    }
}

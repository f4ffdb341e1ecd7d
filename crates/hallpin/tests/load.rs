//! `hallpin load` on the command line.

mod common;

use std::io::Read;
use std::process::{Command, Stdio};
use std::time::Duration;

use common::*;
use hallpin_loadgen::load::fake_server::{Behavior, FakeServer};

fn target(behavior: Behavior) -> (FakeServer, String) {
    let fake_server = FakeServer::start(behavior, None).expect("a target");
    let address = fake_server.address.to_string();
    (fake_server, address)
}

#[test]
fn a_run_is_reported_saved_and_read_back() {
    let (_target, at) = target(Behavior::Immediate);
    let folder = Folder::new();
    let (json, log) = (folder.path("run.json"), folder.path("run.hlog"));
    let output = hallpin(&[
        "load", "--target", &at, "--rate", "500", "--length", "1s", "--wait", "20s", "--json", &json,
        "--save", &log,
    ]);
    assert_eq!(output.status.code(), Some(0), "{}{}", text(&output.stdout), text(&output.stderr));
    let report: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&json).expect("a report")).expect("JSON");
    let asked = report["counts"]["asked"].as_u64().expect("a figure");
    assert!(asked > 300 && report["outcomes"]["completed"]["requests"] == asked, "{report:#}");
    let again = hallpin(&["load", "--read", &log, &log]);
    assert_eq!(again.status.code(), Some(0));
    assert!(
        text(&again.stdout).contains(&format!("{} requests in 2.0 s", 2 * asked)),
        "{}",
        text(&again.stdout)
    );
    let complete = std::fs::read(&log).expect("a log");
    std::fs::write(&log, &complete[..complete.len() / 2]).expect("a file");
    let truncated = hallpin(&["load", "--read", &log]);
    assert_eq!(truncated.status.code(), Some(2));
    assert!(text(&truncated.stderr).contains("run.hlog: "), "{}", text(&truncated.stderr));
}

#[test]
fn a_trace_of_an_emulated_run_is_replayed() {
    let (_target, at) = target(Behavior::Immediate);
    let folder = Folder::new();
    let (scenario, trace) = (folder.file("short.toml", SHORT), folder.path("day.jsonl"));
    assert_eq!(hallpin(&["emulate", &scenario, "--trace", &trace]).status.code(), Some(0));
    let lines = std::fs::read_to_string(&trace).expect("a trace");
    let asked = lines.lines().filter(|line| line.contains("\"event\":\"asked\"")).count();
    let arguments = ["load", "--target", &at, "--trace", &trace, "--length", "10s", "--wait", "20s"];
    let output = hallpin(&arguments);
    assert!(text(&output.stdout).contains(&format!("{asked} requests")), "{}", text(&output.stdout));
    std::fs::write(&trace, format!("{lines}{{\"at\":1,\"event\":\"asked\"")).expect("a file");
    let output = hallpin(&arguments);
    assert_eq!(output.status.code(), Some(2));
    let line = lines.lines().count() + 1;
    assert!(text(&output.stderr).contains(&format!("day.jsonl:{line}:")), "{}", text(&output.stderr));
}

#[test]
fn misdelivered_answers_exit_with_1_and_invalid_arguments_with_2() {
    let (_target, at) = target(Behavior::WrongId(20));
    let output = hallpin(&["load", "--target", &at, "--rate", "300", "--length", "1s"]);
    assert_eq!(output.status.code(), Some(1), "{}", text(&output.stdout));
    for (arguments, expected) in [
        (&["load"][..], "--target"),
        (&["load", "--target", "here"], "--target here: an address and port expected"),
        (&["load", "--target", &at, "--rate", "0"], "a number above 0 expected"),
        (&["load", "--target", &at, "--bursts", "1s:2s:3"], "bursts no longer than that"),
        (&["load", "--target", &at, "--curve", "2s:1,1s:2"], "in order of time"),
        (&["load", "--target", &at, "--class", "a:x"], "a share of 0 or more expected"),
        (&["load", "--target", &at, "--connections", "0"], "connections: at least 1 expected"),
        (&["load", "--target", &at, "--trace", "none.jsonl"], "none.jsonl: "),
        (&["load", "--read", "none.hlog"], "none.hlog: "),
    ] {
        let output = hallpin(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(text(&output.stderr).contains(expected), "{arguments:?}: {}", text(&output.stderr));
    }
}

/// An interrupt ends the run early, and the results so far are reported.
#[test]
fn an_interrupt_reports_the_results_so_far() {
    let (_target, at) = target(Behavior::StallAfter(50, Duration::from_millis(1)));
    let mut child = Command::new(env!("CARGO_BIN_EXE_hallpin"))
        .args(["load", "--target", &at, "--rate", "200", "--length", "300s", "--slow", "1"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command runs");
    // Established connections from the child show that it is running.
    let port = at.rsplit(':').next().and_then(|port| port.parse::<u16>().ok()).expect("a port");
    let began = std::time::Instant::now();
    let is_connected = || {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        table.lines().filter(|line| line.contains(&format!(":{port:04X} 01"))).count() > 1
    };
    while !is_connected() {
        // Reached only if the test fails.
        assert!(began.elapsed().as_secs() < 30, "it comes up");
        std::thread::yield_now();
    }
    let pid = rustix::process::Pid::from_raw(child.id() as i32).expect("a process id");
    rustix::process::kill_process(pid, rustix::process::Signal::INT).expect("a signal");
    let mut printed = String::new();
    child.stdout.take().expect("its output").read_to_string(&mut printed).expect("text");
    assert_eq!(child.wait().expect("it ends").code(), Some(0), "{printed}");
    assert!(printed.contains("ended early") && printed.contains("completed"), "{printed}");
}

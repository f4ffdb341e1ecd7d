//! Runs on loopback sockets with real nodes: the rules are kept and no process is left behind.
//!
//! A separate test binary, so that no CPU-bound test runs at the same time.

mod common;
mod processes;

use std::process::Command;

use common::*;
use processes::*;

/// The rules are kept, a killed node restarts, and no process is left running.
#[test]
fn a_run_on_sockets_keeps_the_rules_and_leaves_no_process() {
    let folder = Folder::new();
    let file = folder.file("short.toml", SHORT);
    let (json, trace) = (folder.path("day.json"), folder.path("day.jsonl"));
    let output = hallpin(&["emulate", &file, "--sockets", "--json", &json, "--trace", &trace]);
    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{printed}{}", text(&output.stderr));
    let played: serde_json::Value =
        serde_json::from_slice(&std::fs::read(json).expect("a verdict")).expect("JSON");
    let completed = played[0]["verdict"]["classes"][0]["completed"].as_u64().expect("a figure");
    assert!(completed > 20, "{played:#}");
    let trace = std::fs::read_to_string(trace).expect("a trace");
    let nodes = |event: &str| trace.lines().filter(|line| line.contains(event)).count();
    assert_eq!((nodes("\"node-up\""), nodes("\"node-down\"")), (3, 1));
}

#[test]
fn try_prints_a_table_and_writes_a_chart() {
    let folder = Folder::new();
    let chart = folder.path("try.svg");
    let file = folder.file("short.toml", SHORT);
    let output = hallpin(&["try", "--scenario", &file, "--chart", &chart]);
    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{printed}{}", text(&output.stderr));
    assert!(printed.contains("served worth") && printed.contains("rules: "), "{printed}");
    assert!(std::fs::metadata(chart).expect("a chart").len() > 1000);
}

/// Starts a run of 300 s, which the test ends early.
fn start_long_run(folder: &Folder) -> std::process::Child {
    let file = folder.file("long.toml", &SHORT.replace("length = \"2s\"", "length = \"300s\""));
    let chart = folder.path("try.svg");
    Command::new(env!("CARGO_BIN_EXE_hallpin"))
        .args(["try", "--scenario", &file, "--chart", &chart])
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the command runs")
}

/// An interrupt ends the run early: the results so far are printed, and every node has exited.
#[test]
fn an_interrupt_ends_the_run_and_every_node() {
    let folder = Folder::new();
    let child = start_long_run(&folder);
    let node_pids = node_pids_of(&child, 2);
    let pid = rustix::process::Pid::from_raw(child.id() as i32).expect("a process id");
    rustix::process::kill_process(pid, rustix::process::Signal::INT).expect("a signal");
    let output = child.wait_with_output().expect("it ends");
    let printed = text(&output.stdout);
    assert!(output.status.code().is_some(), "it ended by itself: {printed}{}", text(&output.stderr));
    assert!(printed.contains("ended early"), "{printed}");
    assert!(node_pids.iter().all(|pid| !is_running(*pid)), "left behind: {node_pids:?}");
}

/// A command killed by SIGKILL cannot stop its nodes; they must exit when their standard input closes.
#[test]
fn killing_the_command_leaves_no_node_running() {
    let folder = Folder::new();
    let mut child = start_long_run(&folder);
    let node_pids = node_pids_of(&child, 2);
    child.kill().expect("a signal");
    child.wait().expect("it ends");
    wait_until_gone(&node_pids);
}

/// During a partition between two depots no message crosses and the rules are kept; afterwards messages cross again.
#[test]
fn a_partition_between_depots_heals() {
    let folder = Folder::new();
    let base = SHORT.split("[[incidents]]").next().expect("the part before");
    let parted = "[[incidents]]\nkind = \"partition\"\nat = \"1s\"\nlasts = \"1500ms\"\ndepots = [\"north\", \"south\"]\n";
    let base = base.replace("length = \"2s\"", "length = \"5s\"").replace("rate = 40.0", "rate = 80.0");
    let file = folder.file("parted.toml", &format!("depots = [\"north\", \"south\"]\n{base}{parted}"));
    let trace = folder.path("day.jsonl");
    let output = hallpin(&["emulate", &file, "--sockets", "--trace", &trace]);
    assert_eq!(output.status.code(), Some(0), "{}{}", text(&output.stdout), text(&output.stderr));
    let trace = std::fs::read_to_string(trace).expect("a trace");
    let lines: Vec<serde_json::Value> =
        trace.lines().map(|line| serde_json::from_str(line).expect("a line")).collect();
    let index_of =
        |event: &str| lines.iter().position(|l| l["event"] == event).unwrap_or_else(|| panic!("{event}"));
    let (begins, ends) = (index_of("begins"), index_of("ends"));
    let attempt_id = |line: &serde_json::Value| (line["id"].as_u64(), line["attempt"].as_u64());
    let crossing = |lines: &[serde_json::Value]| -> Vec<_> {
        lines.iter().filter(|l| l["event"] == "sent" && l["crosses"] == true).map(attempt_id).collect()
    };
    let received = |lines: &[serde_json::Value]| {
        let sent = crossing(lines);
        lines.iter().filter(|l| l["event"] == "worked" && sent.contains(&attempt_id(l))).count()
    };
    // Only requests sent during the partition count: those sent before it took effect may still arrive.
    let parted = &lines[begins..ends];
    assert_eq!(received(parted), 0, "of {} sent across", crossing(parted).len());
    assert!(received(&lines[ends..]) > 0, "{} were sent across afterwards", crossing(&lines[ends..]).len());
}

/// A box is replaced at its address by one with a new id; real nodes must distinguish the two.
#[test]
fn a_box_replaced_at_the_same_address_breaks_no_rule() {
    let folder = Folder::new();
    let replace = "[[incidents]]\nkind = \"replace\"\nat = \"300ms\"\nlasts = \"1200ms\"\nboxes = 2\nsame_address = true\n";
    let quick = "[list]\nadd = \"50ms\"\nnotice = \"50ms\"\nspread = \"50ms\"\n";
    // The run lasts until every try from the time of the replacement was due. Deadlines are long, because a busy
    // machine answers late.
    let base = SHORT
        .split("[[incidents]]")
        .next()
        .expect("the part before")
        .replace("length = \"2s\"", "length = \"6s\"")
        .replace("deadline = \"1s\"", "deadline = \"3s\"")
        .replace("rate = 40.0", "rate = 160.0");
    let file = folder.file("replace.toml", &format!("{base}{quick}{replace}"));
    let trace = folder.path("day.jsonl");
    let output = hallpin(&["emulate", &file, "--sockets", "--trace", &trace]);
    assert_eq!(output.status.code(), Some(0), "{}{}", text(&output.stdout), text(&output.stderr));
    let trace = std::fs::read_to_string(trace).expect("a trace");
    let cold = trace.lines().filter(|l| l.contains("\"box-up\"") && l.contains("\"cold\":true")).count();
    let sent_to_new = trace
        .lines()
        .any(|l| l.contains("\"sent\"") && (l.contains("\"to\":12,") || l.contains("\"to\":13,")));
    assert!(cold == 2 && sent_to_new, "{cold} came up cold, sent to: {sent_to_new}");
}

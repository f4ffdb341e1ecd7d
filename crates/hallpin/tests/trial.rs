//! `hallpin trial` on the command line: verdict, exit codes, output files and interruption.

#[allow(dead_code, reason = "each test file uses some of what is common")]
mod common;

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

use common::*;

/// Options that shrink the days so that each runs in a second or two.
const SMALL: [&str; 5] = ["trial", "--nodes", "8", "--soak", "20s"];

#[test]
fn a_trial_prints_a_line_for_each_day_and_writes_the_requested_files() {
    let folder = Folder::new();
    let (json, chart) = (folder.path("trial.json"), folder.path("worst.svg"));
    let more = ["--days", "soak,calm", "--seeds", "2", "--json", &json, "--chart", &chart];
    let output = hallpin(&[&SMALL[..], &more].concat());
    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{printed}{}", text(&output.stderr));
    let days: Vec<&str> = printed.lines().map(|l| l.split(' ').next().unwrap_or("")).collect();
    assert_eq!(days[..3], ["day", "calm", "soak"], "{printed}");
    assert_eq!(printed.trim_end().lines().last(), Some("trial passed"));
    let figures: serde_json::Value =
        serde_json::from_slice(&std::fs::read(&json).expect("figures")).expect("JSON");
    assert_eq!(figures["results"].as_array().map(Vec::len), Some(4));
    let served = &figures["results"][0]["module"]["served"];
    assert!(served.as_f64().is_some_and(|share| share > 0.5), "{served}");
    let drawn = std::fs::read_to_string(&chart).expect("a chart");
    assert!(drawn.contains("fleet trial") && drawn.contains("served share"));
    let again = hallpin(&[&SMALL[..], &more[..4], &["--jobs", "1"]].concat());
    assert_eq!(text(&again.stdout), printed, "the same output on one core");
}

#[test]
fn invalid_arguments_exit_with_2() {
    for arguments in [
        &["trial", "--days", "doomsday"][..],
        &["trial", "--quick", "--days", "calm"],
        &["trial", "--nodes", "0"],
        &["trial", "--seeds", "0"],
        &["trial", "--soak", "1"],
        &["trial", "--soak", "10ms"],
    ] {
        let output = hallpin(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(!output.stderr.is_empty() && output.stdout.is_empty(), "{arguments:?}");
    }
    let arguments = [&SMALL[..], &["--days", "calm", "--json", "/dev/full"]].concat();
    assert_eq!(hallpin(&arguments).status.code(), Some(2));
}

/// An interrupted trial reports the results so far and has neither passed nor failed.
#[test]
fn an_interrupted_trial_says_so_and_exits_with_2() {
    let many = [&SMALL[..], &["--days", "calm", "--seeds", "100000", "--jobs", "1"]].concat();
    let mut child = Command::new(env!("CARGO_BIN_EXE_hallpin"))
        .args(many)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("hallpin");
    // The first line on standard error is printed once the signal handlers are installed.
    let mut first = String::new();
    BufReader::new(child.stderr.take().expect("stderr")).read_line(&mut first).expect("a line");
    assert!(first.contains("100000 days") && first.contains("Ctrl-C"), "{first}");
    let pid = rustix::process::Pid::from_child(&child);
    rustix::process::kill_process(pid, rustix::process::Signal::TERM).expect("a signal");
    let output = child.wait_with_output().expect("an end");
    let printed = text(&output.stdout);
    assert_eq!(output.status.code(), Some(2), "{printed}");
    assert!(printed.contains("trial cut off after ") && printed.contains(" of 100000 days"), "{printed}");
}

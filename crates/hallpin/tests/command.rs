//! The command line as users see it: exit codes, error messages and output files.

mod common;

use std::path::PathBuf;

use common::*;

fn scenarios() -> Vec<PathBuf> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let entries = std::fs::read_dir(folder).expect("scenarios").map(|entry| entry.expect("an entry").path());
    let mut files: Vec<PathBuf> = entries.filter(|path| path.is_file()).collect();
    files.sort();
    files
}

#[test]
fn shipped_scenarios_are_valid() {
    let files = scenarios();
    assert!(files.len() >= 12, "{}", files.len());
    let names: Vec<&str> = files.iter().map(|f| f.to_str().expect("a path")).collect();
    let output = hallpin(&[&["check"], &names[..]].concat());
    assert_eq!((output.status.code(), text(&output.stdout)), (Some(0), String::new()));
}

/// The module policy keeps every rule on every scenario that runs within seconds.
#[test]
fn the_module_policy_keeps_the_rules_on_every_scenario() {
    for file in scenarios().iter().filter(|f| !f.ends_with("scale.toml")) {
        let output = hallpin(&["emulate", file.to_str().expect("a path"), "--seed", "11"]);
        let printed = text(&output.stdout);
        assert_eq!(output.status.code(), Some(0), "{}: {printed}{}", file.display(), text(&output.stderr));
        assert!(printed.contains("one final answer: kept"), "{printed}");
    }
}

#[test]
fn invalid_input_is_reported_with_its_position_and_exit_code_2() {
    let folder = Folder::new();
    let bad = folder.file("bad.toml", "version = 1\n[nodes]\ncount = 0\n");
    let expected = format!("{bad}:3:9: nodes.count: at least 1 expected, got 0");
    let checked = hallpin(&["check", &bad]);
    assert_eq!((checked.status.code(), text(&checked.stdout).trim_end()), (Some(2), &expected[..]));
    let played = hallpin(&["emulate", &bad]);
    assert_eq!(
        (played.status.code(), text(&played.stderr).trim_end()),
        (Some(2), &format!("hallpin: {expected}")[..])
    );
    let missing = hallpin(&["emulate", &folder.path("none.toml")]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(text(&missing.stderr).contains("none.toml"));
    assert_eq!(hallpin(&["emulate"]).status.code(), Some(2));
    assert_eq!(hallpin(&["node", "--config", &folder.path("none.json")]).status.code(), Some(2));
}

#[test]
fn a_trace_that_cannot_be_written_is_an_error() {
    let folder = Folder::new();
    let file = folder.file("short.toml", SHORT);
    let output = hallpin(&["emulate", &file, "--trace", "/dev/full"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(text(&output.stderr).contains("trace: "), "{}", text(&output.stderr));
}

#[test]
fn a_seed_reproduces_its_trace_and_several_seeds_are_compared() {
    let folder = Folder::new();
    let file = folder.file("short.toml", SHORT);
    let trace = |name: &str| {
        let path = folder.path(name);
        let output =
            hallpin(&["emulate", &file, "--seed", "5", "--trace", &path, "--chart", &folder.path("day.svg")]);
        assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
        std::fs::read(path).expect("a trace")
    };
    assert_eq!(trace("one.jsonl"), trace("two.jsonl"));
    let chart = std::fs::read_to_string(folder.path("day.svg")).expect("a chart");
    assert!(chart.starts_with("<svg") && chart.trim_end().ends_with("</svg>"));
    let json = folder.path("all.json");
    let output = hallpin(&["emulate", &file, "--seeds", "3", "--policy", "all", "--json", &json]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    let all: serde_json::Value =
        serde_json::from_slice(&std::fs::read(json).expect("verdicts")).expect("JSON");
    let policies: Vec<&str> =
        all.as_array().expect("a list").iter().filter_map(|p| p["policy"].as_str()).collect();
    assert_eq!(policies.len(), 24);
    assert_eq!(&policies[..4], ["module", "module", "module", "random"]);
}

/// `check` accepts a trace written by `--trace`, reports a rule that an edited one breaks, and rejects a truncated one.
#[test]
fn check_verifies_a_trace_as_a_history() {
    let folder = Folder::new();
    let (file, trace) = (folder.file("short.toml", SHORT), folder.path("day.jsonl"));
    assert_eq!(hallpin(&["emulate", &file, "--trace", &trace]).status.code(), Some(0));
    let checked = hallpin(&["check", &trace]);
    assert_eq!((checked.status.code(), text(&checked.stdout)), (Some(0), String::new()));
    let complete = std::fs::read_to_string(&trace).expect("a trace");
    let lines: Vec<&str> = complete.lines().collect();
    let answered = lines.iter().position(|line| line.contains("\"answered\"")).expect("an answer");
    let unanswered = [&lines[..answered], &lines[answered + 1..]].concat().join("\n");
    let checked = hallpin(&["check", &folder.file("mute.jsonl", &unanswered)]);
    assert_eq!(checked.status.code(), Some(1));
    assert!(text(&checked.stdout).contains("one final answer: try"), "{}", text(&checked.stdout));
    let truncated = folder.file("cut.jsonl", &lines[..5].join("\n"));
    let checked = hallpin(&["check", &truncated, &trace]);
    assert_eq!(checked.status.code(), Some(2));
    assert!(
        text(&checked.stdout).starts_with(&format!("{truncated}:6: day-over expected")),
        "{}",
        text(&checked.stdout)
    );
}

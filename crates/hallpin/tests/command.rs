//! The command as its users meet it: exit codes, errors, and days that leave nothing behind.

use std::path::PathBuf;
use std::process::{Command, Output};

fn hallpin(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_hallpin")).args(arguments).output().expect("the command runs")
}

/// A folder of the test's own.
struct Folder(tempfile::TempDir);

impl Folder {
    fn new() -> Self {
        Folder(tempfile::tempdir().expect("a folder"))
    }

    fn file(&self, name: &str, text: &str) -> String {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    fn path(&self, name: &str) -> String {
        self.0.path().join(name).to_string_lossy().into_owned()
    }
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn scenarios() -> Vec<PathBuf> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(folder).expect("scenarios").map(|entry| entry.expect("a file").path()).collect();
    files.sort();
    files
}

/// One incident, so short a day that a test can wait for it.
const SHORT: &str = r#"version = 1
name = "short"
length = "2s"

[nodes]
count = 2

[clients]
rate = 40.0

[[classes]]
name = "lookup"
work = "10ms"
aim = "500ms"
deadline = "1s"

[[incidents]]
kind = "silent"
at = "500ms"
lasts = "1s"
boxes = 1

[[incidents]]
kind = "node-death"
at = "800ms"
lasts = "400ms"
nodes = 1
"#;

#[test]
fn the_scenarios_that_we_ship_are_good() {
    let files = scenarios();
    assert!(files.len() >= 12, "{}", files.len());
    let names: Vec<&str> = files.iter().map(|f| f.to_str().expect("a path")).collect();
    let output = hallpin(&[&["check"], &names[..]].concat());
    assert_eq!((output.status.code(), text(&output.stdout)), (Some(0), String::new()));
}

/// The decision module keeps every rule on every scenario that plays in seconds.
#[test]
fn the_module_keeps_the_rules_on_every_scenario() {
    for file in scenarios().iter().filter(|f| !f.ends_with("scale.toml")) {
        let output = hallpin(&["emulate", file.to_str().expect("a path"), "--seed", "11"]);
        let told = text(&output.stdout);
        assert_eq!(output.status.code(), Some(0), "{}: {told}{}", file.display(), text(&output.stderr));
        assert!(told.contains("one final answer: kept"), "{told}");
    }
}

#[test]
fn bad_input_is_named_with_its_place_and_ends_in_2() {
    let folder = Folder::new();
    let bad = folder.file("bad.toml", "version = 1\n[nodes]\ncount = 0\n");
    let told = format!("{bad}:3:9: nodes.count: at least 1 expected, got 0");
    let checked = hallpin(&["check", &bad]);
    assert_eq!((checked.status.code(), text(&checked.stdout).trim_end()), (Some(2), &told[..]));
    let played = hallpin(&["emulate", &bad]);
    assert_eq!(
        (played.status.code(), text(&played.stderr).trim_end()),
        (Some(2), &format!("hallpin: {told}")[..])
    );
    let missing = hallpin(&["emulate", &folder.path("none.toml")]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(text(&missing.stderr).contains("none.toml"));
    assert_eq!(hallpin(&["emulate"]).status.code(), Some(2));
    assert_eq!(hallpin(&["node", "--config", &folder.path("none.json")]).status.code(), Some(2));
    let parted = "[[incidents]]\nkind = \"partition\"\nat = \"1s\"\ndepots = [\"north\", \"east\"]\n";
    let parted = folder.file(
        "parted.toml",
        &SHORT.replace("length = \"2s\"", "length = \"3s\"").replacen(
            "[[incidents]]",
            &format!("{parted}[[incidents]]"),
            1,
        ),
    );
    let played = hallpin(&["emulate", &parted, "--sockets"]);
    assert_eq!(played.status.code(), Some(2));
    assert!(text(&played.stderr).contains("in virtual time only"), "{}", text(&played.stderr));
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
fn one_seed_writes_one_trace_and_many_are_compared() {
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
    assert_eq!(policies.len(), 21);
    assert_eq!(&policies[..4], ["module", "module", "module", "random"]);
}

/// Real nodes on sockets: the rules are kept, a killed node comes back, and nothing is left running.
#[test]
fn a_day_on_sockets_keeps_the_rules_and_leaves_nothing_behind() {
    let folder = Folder::new();
    let file = folder.file("short.toml", SHORT);
    let (json, trace) = (folder.path("day.json"), folder.path("day.jsonl"));
    let output = hallpin(&["emulate", &file, "--sockets", "--json", &json, "--trace", &trace]);
    let told = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{told}{}", text(&output.stderr));
    let played: serde_json::Value =
        serde_json::from_slice(&std::fs::read(json).expect("a verdict")).expect("JSON");
    let completed = played[0]["verdict"]["classes"][0]["completed"].as_u64().expect("a figure");
    assert!(completed > 20, "{played:#}");
    let trace = std::fs::read_to_string(trace).expect("a trace");
    let nodes = |event: &str| trace.lines().filter(|line| line.contains(event)).count();
    assert_eq!((nodes("\"node-up\""), nodes("\"node-down\"")), (3, 1));
}

#[test]
fn try_leaves_a_table_and_a_chart() {
    let folder = Folder::new();
    let chart = folder.path("try.svg");
    let file = folder.file("short.toml", SHORT);
    let output = hallpin(&["try", "--scenario", &file, "--chart", &chart]);
    let told = text(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{told}{}", text(&output.stderr));
    assert!(told.contains("served worth") && told.contains("rules: "), "{told}");
    assert!(std::fs::metadata(chart).expect("a chart").len() > 1000);
}

/// The processes that a process has started, as the kernel has them.
fn children(pid: u32) -> Vec<u32> {
    let listed = std::fs::read_to_string(format!("/proc/{pid}/task/{pid}/children")).unwrap_or_default();
    listed.split_whitespace().filter_map(|pid| pid.parse().ok()).collect()
}

fn runs(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // Behind the name in brackets stands the state; what has ended and was not yet waited for runs no more.
    status.rsplit(") ").next().is_some_and(|rest| !rest.is_empty() && !rest.starts_with('Z'))
}

/// An interrupt ends the day early: what has happened is told, and every node has ended.
#[test]
fn an_interrupt_ends_the_day_and_every_node() {
    let folder = Folder::new();
    let file = folder.file("long.toml", &SHORT.replace("length = \"2s\"", "length = \"300s\""));
    let chart = folder.path("try.svg");
    let child = Command::new(env!("CARGO_BIN_EXE_hallpin"))
        .args(["try", "--scenario", &file, "--chart", &chart])
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::piped())
        .spawn()
        .expect("the command runs");
    let began = std::time::Instant::now();
    let nodes = loop {
        let nodes = children(child.id());
        // Only a failing test waits for this.
        assert!(began.elapsed().as_secs() < 30, "two nodes come up, got {nodes:?}");
        if nodes.len() == 2 {
            break nodes;
        }
        std::thread::yield_now();
    };
    let pid = rustix::process::Pid::from_raw(child.id() as i32).expect("a process id");
    rustix::process::kill_process(pid, rustix::process::Signal::INT).expect("a signal");
    let output = child.wait_with_output().expect("it ends");
    let told = text(&output.stdout);
    assert!(output.status.code().is_some(), "it ended by itself: {told}{}", text(&output.stderr));
    assert!(told.contains("ended early"), "{told}");
    assert!(nodes.iter().all(|pid| !runs(*pid)), "left behind: {nodes:?}");
}

/// A box leaves and another comes up at its address under a new id; real nodes tell them apart.
#[test]
fn a_replaced_box_at_its_predecessors_address_breaks_nothing() {
    let folder = Folder::new();
    let replace = "[[incidents]]\nkind = \"replace\"\nat = \"300ms\"\nlasts = \"1200ms\"\nboxes = 2\nsame_address = true\n";
    let quick = "[list]\nadd = \"50ms\"\nnotice = \"50ms\"\nspread = \"50ms\"\n";
    let base = SHORT
        .split("[[incidents]]")
        .next()
        .expect("the part before")
        .replace("length = \"2s\"", "length = \"4s\"");
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

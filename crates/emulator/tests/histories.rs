//! The invariant checker on recorded histories: runs of the real decision module in virtual time, one run recorded from
//! the real node on loopback, and for each rule a history with one changed record that must violate this rule alone.

use hallpin_baselines::PolicyKind;
use hallpin_emulator::run_scenario;
use hallpin_simulation::history::{check_history, HistoryError};
use hallpin_simulation::invariants::{Rule, Verdict};
use hallpin_simulation::plane::Switch;
use hallpin_simulation::scenario::Scenario;
use serde_json::{json, Value};

/// One box is drained and replaced, some go silent, a node dies and one restarts, the planner is slow, some requests
/// become expensive, and clients abandon requests.
const FAULTS: &str = include_str!("trouble.toml");

/// More requests than the boxes can serve, while two boxes drain.
const OVERLOAD: &str = r#"version = 1
length = "6s"
[nodes]
count = 2
[clients]
rate = 900.0
abandons = 0.05
[[incidents]]
kind = "drain"
at = "1s"
lasts = "4s"
boxes = 2
"#;

/// Trace lines of a run of the decision module with this seed.
fn history(scenario: &str, seed: u64) -> Vec<String> {
    let scenario = Scenario::parse(scenario).expect("a scenario");
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("day.jsonl");
    run_scenario(&scenario, seed, PolicyKind::Module, Switch::Off, Some(&path)).expect("a completed run");
    std::fs::read_to_string(path).expect("a trace").lines().map(String::from).collect()
}

fn check(lines: &[String]) -> Result<Verdict, HistoryError> {
    check_history((lines.join("\n") + "\n").as_bytes())
}

/// Rules that a history violates.
fn violated_rules(lines: &[String]) -> Vec<Rule> {
    check(lines).expect("a complete history").violations.into_keys().collect()
}

#[test]
fn runs_of_the_module_violate_no_rule() {
    for (name, scenario, seeds) in [("faults", FAULTS, 1..=16), ("overload", OVERLOAD, 1..=4)] {
        for seed in seeds {
            let lines = history(scenario, seed);
            let verdict = check(&lines).unwrap_or_else(|error| panic!("{name}, seed {seed}, line {error}"));
            assert!(verdict.is_clean(), "{name}, seed {seed}: {:?}", verdict.first_violations);
            assert!(verdict.all_requests.requests > 1000 && verdict.attempts > 1000, "{name}, seed {seed}");
            assert!(lines.iter().any(|line| line.contains("\"abandoned\"")), "{name}, seed {seed}");
        }
    }
}

fn real_node() -> Vec<String> {
    include_str!("histories/real-node.jsonl").lines().map(String::from).collect()
}

#[test]
fn a_recorded_run_of_the_real_node_violates_no_rule() {
    let verdict = check(&real_node()).unwrap_or_else(|error| panic!("line {error}"));
    assert!(verdict.is_clean(), "{:?}", verdict.first_violations);
    assert!(verdict.classes.iter().all(|class| class.completed > 0), "of each class");
    assert!(verdict.classes.iter().map(|class| class.rejected).sum::<u64>() > 0, "and rejections");
}

fn value(line: &str) -> Value {
    serde_json::from_str(line).expect("JSON")
}

/// Index of the first line with this event for which the predicate holds.
fn find(lines: &[String], event: &str, holds: impl Fn(&Value) -> bool) -> usize {
    let is = |line: &String| Some(value(line)).is_some_and(|v| v["event"] == event && holds(&v));
    lines.iter().position(is).unwrap_or_else(|| panic!("no {event} like that"))
}

fn changed(lines: &[String], at: usize, change: impl Fn(&mut Value)) -> Vec<String> {
    let mut lines = lines.to_vec();
    let mut record = value(&lines[at]);
    change(&mut record);
    lines[at] = record.to_string();
    lines
}

fn without(lines: &[String], at: usize) -> Vec<String> {
    let mut lines = lines.to_vec();
    lines.remove(at);
    lines
}

/// Inserts a record after the line at `at`, with the same time.
fn with(lines: &[String], at: usize, mut record: Value) -> Vec<String> {
    let mut lines = lines.to_vec();
    record["at"] = value(&lines[at])["at"].clone();
    lines.insert(at + 1, record.to_string());
    lines
}

/// Index of the first notification of a box as ready that is the node's last about this box, and over 1.1 s
/// after which the node still sends to the box.
fn last_notification(lines: &[String]) -> usize {
    let records: Vec<Value> = lines.iter().map(|line| value(line)).collect();
    let of =
        |told: &Value, v: &Value| v["event"] == "told" && v["node"] == told["node"] && v["of"] == told["of"];
    let late = |told: &Value, v: &Value| {
        let sent = v["event"] == "sent" && v["node"] == told["node"] && v["to"] == told["of"];
        sent && v["at"].as_u64() > told["at"].as_u64().map(|at| at + 1_100_000)
    };
    let is = |at: usize| {
        let (told, rest) = (&records[at], &records[at + 1..]);
        let ready = told["event"] == "told" && told["phase"] == "ready";
        ready && !rest.iter().any(|v| of(told, v)) && rest.iter().any(|v| late(told, v))
    };
    (0..records.len()).find(|at| is(*at)).expect("a box that is used long after it was told of")
}

/// Index of a request that reaches a new, cold box from a node that was notified of its start.
fn informed_request(lines: &[String]) -> usize {
    let records: Vec<Value> = lines.iter().map(|line| value(line)).collect();
    let first = |of: &Value| records.iter().find(|v| v["event"] == "box-up" && v["of"] == *of);
    let new = |of: &Value| first(of).is_some_and(|up| up["cold"] == true);
    let knows = |at: usize, v: &Value| {
        let told = |t: &Value| t["event"] == "told" && t["node"] == v["node"] && t["of"] == v["to"];
        records[..at].iter().any(|t| told(t) && !t["started"].is_null())
    };
    let is = |at: usize| {
        let v = &records[at];
        v["event"] == "reached" && new(&v["to"]) && knows(at, v)
    };
    (0..records.len()).find(|at| is(*at)).expect("a new box that is used")
}

/// One record is changed, removed or inserted, and the checker reports exactly the rule that this violates.
#[test]
fn one_changed_record_is_reported_as_the_rule_that_it_violates_alone() {
    for (name, good) in [("real node", real_node()), ("seed 1", history(FAULTS, 1))] {
        assert_eq!(violated_rules(&good), [], "{name}");
        let any = |_: &Value| true;
        // No final answer, and two final answers.
        let answer = find(&good, "answered", any);
        assert_eq!(violated_rules(&without(&good, answer)), [Rule::Lost], "{name}: none");
        let id = value(&good[answer])["id"].clone();
        let second = json!({"event": "answered", "id": id, "how": "failed", "version": null});
        assert_eq!(violated_rules(&with(&good, answer, second)), [Rule::Lost], "{name}: two");
        // A write may be sent twice within its deduplication window, but not a third time.
        let written = find(&good, "asked", |v| v["class"] == 1);
        let ask = value(&good[written])["ask"].clone();
        let id = value(&good[find(&good, "taken", |v| v["ask"] == ask)])["id"].clone();
        let sent = find(&good, "sent", |v| v["id"] == id);
        let answer = find(&good, "answered", |v| v["id"] == id);
        let mut copies = good.clone();
        for attempt in 1..=2 {
            let mut copy = value(&good[sent]);
            copy["attempt"] = attempt.into();
            copies = with(&copies, sent + attempt as usize - 1, copy);
            let expected: &[Rule] = if attempt == 2 { &[Rule::Repeated] } else { &[] };
            assert_eq!(violated_rules(&copies), expected, "{name}: {attempt} copies");
        }
        assert!(answer > sent);
        // The last notification about a box that the node uses later says draining in place of ready.
        let told = last_notification(&good);
        let drains = changed(&good, told, |v| v["phase"] = "draining".into());
        assert_eq!(violated_rules(&drains), [Rule::Drain], "{name}");
        // A box is overloaded and falls right after a request from a node that was notified that the box is cold.
        let reached = informed_request(&good);
        let of = value(&good[reached])["to"].clone();
        let falls = with(&good, reached, json!({"event": "box-fell", "of": of}));
        assert_eq!(violated_rules(&falls), [Rule::Cold], "{name}");
        // A rejection without retry advice.
        let rejection = find(&good, "answered", |v| v["how"] == "rejected");
        let without_advice = changed(&good, rejection, |v| v["advice"] = Value::Null);
        assert_eq!(violated_rules(&without_advice), [Rule::Waited], "{name}");
    }
}

#[test]
fn an_incomplete_or_invalid_history_is_an_error_with_its_line() {
    let good = real_node();
    let error = |lines: &[String]| check(lines).err().map(|error| (error.line, error.what));
    let head = &good[..1];
    let over = good[good.len() - 1].clone();
    let (end, sent) = (good.len(), find(&good, "sent", |_| true));
    let taken = find(&good, "taken", |_| true);
    let cases: [(&str, Vec<String>, usize, &str); 14] = [
        ("nothing", vec![], 1, "EOF"),
        ("a head alone", head.to_vec(), 2, "day-over expected"),
        ("an empty day", vec![good[0].clone(), over], 3, "nothing to judge"),
        ("no head", good[1..].to_vec(), 1, "unknown field"),
        ("another form", changed(&good, 0, |v| v["history"] = 2.into()), 1, "history: 1 expected"),
        ("an impossible day", changed(&good, 0, |v| v["scenario"]["version"] = 9.into()), 1, "version"),
        ("cut short", good[..end - 1].to_vec(), end, "day-over expected"),
        ("half a line", [&good[..9], &[good[9][..20].to_string()]].concat(), 10, "EOF"),
        ("an unknown event", changed(&good, 9, |v| v["event"] = "odd".into()), 10, "unknown variant"),
        ("back in time", changed(&good, sent, |v| v["at"] = 1.into()), sent + 1, "or later expected"),
        ("a box of no day", changed(&good, sent, |v| v["to"] = 999.into()), sent + 1, "to: below"),
        (
            "a skipped attempt",
            changed(&good, sent, |v| v["attempt"] = 1.into()),
            sent + 1,
            "attempt: 0 expected",
        ),
        ("a try of nobody", without(&good, taken), sent, "id: a try taken before expected"),
        ("more behind the end", [good.clone(), vec![good[1].clone()]].concat(), end + 1, "nothing expected"),
    ];
    for (name, lines, line, what) in cases {
        let (at, told) = error(&lines).unwrap_or_else(|| panic!("{name} passed"));
        assert!(at == line && told.contains(what), "{name}: {at}: {told}");
    }
}

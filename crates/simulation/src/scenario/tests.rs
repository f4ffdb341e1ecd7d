//! Parsing and drawing of valid scenario files, and errors of invalid ones.

use super::*;

const FILE: &str = r#"version = 1
name = "t"

[nodes]
count = 3

[[boxes]]
kind = "a"
count = 4

[[incidents]]
kind = "silent"
at = ["10s", "20s"]
lasts = "8s"
boxes = 2

[[incidents]]
kind = "drain"
at = "30s"
lasts = "5s"
boxes = 3
"#;

#[test]
fn equal_seeds_draw_equal_runs_and_other_seeds_draw_others() {
    let scenario = Scenario::parse(FILE).unwrap();
    let run_spec = scenario.draw(1).unwrap();
    assert_eq!(run_spec, scenario.draw(1).unwrap());
    assert_ne!(run_spec.fault_events, scenario.draw(2).unwrap().fault_events);
    assert!((10_000_000..=20_000_000).contains(&run_spec.fault_events[0].at.0));
    assert_eq!((run_spec.boxes.len(), run_spec.nodes.len()), (4, 3));
}

#[test]
fn the_defaults_make_a_fleet_with_valid_settings() {
    let run_spec = Scenario::parse("version = 1").unwrap().draw(1).unwrap();
    assert_eq!(run_spec.boxes.len(), 12);
    let settings = hallpin_balancer::Settings::from_json(&run_spec.settings(0)).unwrap();
    settings.validate().unwrap();
    assert_eq!(settings.classes.len(), 2);
}

#[test]
fn errors_have_line_column_and_field() {
    for (from, to, line, column, path, message) in [
        ("version = 1", "version = 2", 1, 11, "version", "1 expected, got 2"),
        ("count = 4", "count = 4\nwheels = 3", 10, 1, "boxes[0].wheels", "unknown field `wheels`"),
        ("count = 4", "count = -4", 9, 9, "boxes[0].count", "u32"),
        ("count = 3", "count = 0", 5, 9, "nodes.count", "at least 1 expected"),
        ("lasts = \"8s\"", "lasts = \"8\"", 14, 9, "incidents[0].lasts", "duration with its unit"),
        (
            "lasts = \"8s\"\n",
            "lasts = \"8s\"\nfactor = 2.0\n",
            15,
            10,
            "incidents[0].factor",
            "does not belong",
        ),
        ("boxes = 2", "boxes = 5", 15, 9, "incidents[0].boxes", "at most 4"),
        (
            "boxes = 3",
            "boxes = 3\n[[incidents]]\nkind = \"drain\"\nat = \"31s\"\nlasts = \"5s\"\nboxes = 2",
            26,
            9,
            "incidents[2].boxes",
            "5 boxes drain by then, and there are only 4",
        ),
        ("at = \"30s\"", "at = \"60s\"", 19, 6, "incidents[1].at", "before the end of the run"),
        ("kind = \"drain\"", "kind = \"dance\"", 18, 8, "incidents[1].kind", "unknown variant `dance`"),
        ("name = \"t\"", "name = t", 2, 8, "file", "invalid"),
    ] {
        let text = FILE.replacen(from, to, 1);
        assert_ne!(text, FILE, "{from}");
        let error = Scenario::parse(&text).expect_err(to);
        assert_eq!((error.line, error.column, &error.path[..]), (line, column, path), "{to}: {error}");
        assert!(error.what.contains(message), "{to}: {error}");
    }
}

#[test]
fn a_truncated_file_is_an_error_or_a_scenario_and_never_a_panic() {
    for end in 0..=FILE.len() {
        let _ = Scenario::parse(&FILE[..end]);
    }
}

#[test]
fn a_serialised_scenario_is_parsed_back() {
    let scenario = Scenario::parse(FILE).unwrap();
    let written = toml::to_string(&scenario).unwrap();
    assert_eq!(Scenario::parse(&written).unwrap(), scenario);
}

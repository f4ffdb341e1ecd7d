//! Text report of a trial: one row per scenario, the findings, and the verdict.

use std::fmt::Write;

use hallpin_simulation::invariants::Loss;

use crate::day::Day;
use crate::play::{Result, Trial};

/// Appends a row of the table.
fn write_row(out: &mut String, cells: [String; 12]) {
    let widths = [5, 7, 7, 8, 7, 7, 13, 10, 9, 10, 11, 10];
    for (n, (cell, width)) in cells.iter().zip(widths).enumerate() {
        let _ = match n {
            0 => write!(out, "{cell:<width$}"),
            _ => write!(out, "{cell:>width$}"),
        };
    }
    out.push('\n');
}

/// Table cells of a scenario over its seeds: mean values, plus the lowest share that the decision module
/// served and the highest share required of it.
fn row(day: Day, results: &[&Result]) -> [String; 12] {
    let mean = |metric: &dyn Fn(&Result) -> f64| {
        results.iter().map(|r| metric(r)).sum::<f64>() / results.len() as f64
    };
    let lowest = |metric: &dyn Fn(&Result) -> f64| results.iter().map(|r| metric(r)).fold(f64::MAX, f64::min);
    let share = |value: f64| format!("{value:.3}");
    let percent = |value: f64| format!("{:.1} %", 100.0 * value);
    [
        day.name().into(),
        results.len().to_string(),
        share(mean(&|r| r.module.g)),
        share(mean(&|r| r.module.served)),
        share(lowest(&|r| r.module.served)),
        share(results.iter().map(|r| r.required).fold(0.0, f64::max)),
        share(mean(&|r| r.late.served)),
        share(mean(&|r| r.simplest.served)),
        percent(mean(&|r| r.module.refused)),
        format!("{:.2}", mean(&|r| r.module.attempts)),
        percent(mean(&|r| r.module.timed_out)),
        format!("{:.3}", mean(&|r| r.module.connections)),
    ]
}

/// Renders the table, the decision module's losses if there are any, the findings, and the verdict as the
/// last line.
pub fn text(trial: &Trial) -> String {
    let mut out = String::new();
    let header = [
        "day",
        "seeds",
        "G",
        "served",
        "least",
        "gate",
        "late-seeing",
        "plainest",
        "refused",
        "attempts",
        "timed out",
        "new conn",
    ];
    write_row(&mut out, header.map(String::from));
    for day in Day::ALL {
        let results: Vec<&Result> = trial.results.iter().filter(|r| r.day == day).collect();
        if !results.is_empty() {
            write_row(&mut out, row(day, &results));
        }
    }
    if trial.results.iter().any(|r| !r.module.losses.is_empty()) {
        out.push_str("\nworth lost, in shares of what was asked for:\n");
        out.push_str(&losses(trial));
    }
    for r in trial.results.iter().filter(|r| !r.findings.is_empty()) {
        for finding in &r.findings {
            let _ = writeln!(out, "{} seed {}: {finding}", r.day.name(), r.seed);
        }
    }
    let verdict = match (trial.passed(), trial.is_complete()) {
        (true, _) => "trial passed".into(),
        (false, true) => format!("trial failed: {}", failing_scenarios(trial)),
        (false, false) if trial.results.iter().any(|r| !r.findings.is_empty()) => {
            format!("trial failed, and cut off after {}: {}", progress(trial), failing_scenarios(trial))
        }
        (false, false) => format!("trial cut off after {}: all completed runs passed", progress(trial)),
    };
    let _ = writeln!(out, "\n{verdict}");
    out
}

/// Number of completed and planned results.
fn progress(trial: &Trial) -> String {
    format!("{} of {} days", trial.results.len(), trial.planned)
}

/// Names of the scenarios with findings.
fn failing_scenarios(trial: &Trial) -> String {
    let mut days: Vec<&str> =
        trial.results.iter().filter(|r| !r.findings.is_empty()).map(|r| r.day.name()).collect();
    days.dedup();
    days.join(", ")
}

/// Table of the decision module's lost weighted requests by cause, as shares of what was asked for (mean over
/// the seeds).
fn losses(trial: &Trial) -> String {
    const ALL: [Loss; 7] = [
        Loss::Refused,
        Loss::RefusedLate,
        Loss::Failed,
        Loss::NoAnswer,
        Loss::NodeDown,
        Loss::Late,
        Loss::Open,
    ];
    let mut out = String::from("day    refused  refused late  failed  no answer  node down    late  open\n");
    for day in Day::ALL {
        let results: Vec<&Result> = trial.results.iter().filter(|r| r.day == day).collect();
        if results.is_empty() {
            continue;
        }
        let _ = write!(out, "{:<6}", day.name());
        for (loss, width) in ALL.into_iter().zip([8, 14, 8, 11, 11, 8, 6]) {
            let share = |r: &&&Result| r.module.losses.get(&loss).copied().unwrap_or(0.0);
            let mean = results.iter().map(|r| share(&r)).sum::<f64>() / results.len() as f64;
            let _ = write!(out, "{mean:>width$.3}");
        }
        out.push('\n');
    }
    out
}

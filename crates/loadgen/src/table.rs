//! Plain-text tables of verdicts.

use comfy_table::presets::NOTHING;
use comfy_table::{CellAlignment, Table};
use hallpin_emulator::RunResult;
use hallpin_simulation::invariants::{Rule, Verdict};

use crate::statistics::quartiles;

/// An empty table with a header; all columns but the first are aligned to the right.
fn new_table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(NOTHING).set_header(header.iter().copied());
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table
}

/// Formats microseconds as whole milliseconds.
fn format_ms(us: u64) -> String {
    format!("{:.0} ms", us as f64 / 1000.0)
}

/// Printed name of a rule of the invariant checker.
pub fn rule_name(rule: Rule) -> &'static str {
    match rule {
        Rule::Lost => "one final answer",
        Rule::Repeated => "retries within the class's limits",
        Rule::Drain => "drains respected",
        Rule::Cold => "cold boxes and planner not overloaded",
        Rule::Waited => "abandoned requests answered",
        Rule::Gone => "no attempts for departed clients",
        Rule::Ready => "restarted nodes ready in time",
    }
}

/// Summarises one run: latency and outcomes by class, totals, losses, and whether the rules were kept.
pub fn run_summary(verdict: &Verdict) -> String {
    let mut classes = new_table(&[
        "class",
        "requests",
        "served worth",
        "in time",
        "late",
        "unserved",
        "p50",
        "p99",
        "p99.9",
    ]);
    for class in &verdict.classes {
        let at = |quantile| format_ms(class.latency.value_at_quantile(quantile));
        classes.add_row([
            class.name.clone(),
            class.worth.requests.to_string(),
            format!("{:.3}", class.worth.share()),
            class.within_objective.to_string(),
            class.late.to_string(),
            class.unserved.to_string(),
            at(0.5),
            at(0.99),
            at(0.999),
        ]);
    }
    let (worst, since) = verdict.worst_window;
    let mut summary = format!(
        "{classes}\n\nserved worth {:.3}, in the worst 10 s (from {:.0} s) {worst:.3}; G {:.3} after prices of {:.3}\n\
         attempts {}, rejected {}, timed out {}; hits {:.1} %; planner calls {} (cold {}), peak {} a second, stops {}\n\
         boxes fallen {}, new connections {}, stale reads {}\n",
        verdict.all_requests.share(),
        since.as_secs(),
        verdict.score,
        verdict.prices,
        verdict.attempts,
        verdict.overloaded_attempts,
        verdict.timed_out,
        verdict.hits * 100.0,
        verdict.planner_calls,
        verdict.planner_cold,
        verdict.planner_peak,
        verdict.planner_stops,
        verdict.crashed_boxes,
        verdict.connections,
        verdict.stale,
    );
    let asked = verdict.all_requests.asked.max(1e-9);
    if !verdict.losses.is_empty() {
        let loss_share = |(loss, worth): (&hallpin_simulation::invariants::Loss, &f64)| {
            format!("{loss:?} {:.1} %", worth * 100.0 / asked)
        };
        let losses: Vec<String> = verdict.losses.iter().map(loss_share).collect();
        summary.push_str(&format!("worth lost: {}\n", losses.join(", ")));
    }
    summary.push_str(&rules_summary(verdict));
    summary
}

/// Lists each rule as kept or broken, and describes the first five violations.
pub fn rules_summary(verdict: &Verdict) -> String {
    let all = [Rule::Lost, Rule::Repeated, Rule::Drain, Rule::Cold, Rule::Waited, Rule::Gone, Rule::Ready];
    let describe = |checked: &Rule| match verdict.violations.get(checked) {
        None => format!("{}: kept", rule_name(*checked)),
        Some(times) => format!("{}: BROKEN {times} times", rule_name(*checked)),
    };
    let mut summary = format!("rules: {}\n", all.iter().map(describe).collect::<Vec<_>>().join("; "));
    for violation in verdict.first_violations.iter().take(5) {
        summary.push_str(&format!("  {}: {}\n", violation.at, violation.what));
    }
    summary
}

/// Compares policies: median and quartiles of each metric over all seeds.
pub fn comparison(played: &[RunResult]) -> String {
    let mut policies: Vec<_> = played.iter().map(|p| p.policy).collect();
    policies.dedup();
    let mut rows = new_table(&[
        "policy",
        "days",
        "G",
        "quartiles",
        "served worth",
        "hits",
        "planner/s",
        "refused",
        "days with a breach",
    ]);
    for policy in policies {
        let days: Vec<&Verdict> = played.iter().filter(|p| p.policy == policy).map(|p| &p.verdict).collect();
        let quartiles_of =
            |metric: &dyn Fn(&Verdict) -> f64| quartiles(days.iter().map(|verdict| metric(verdict)));
        let median =
            |metric: &dyn Fn(&Verdict) -> f64| quartiles_of(metric).map_or(0.0, |quartiles| quartiles.median);
        let Some(g) = quartiles_of(&|v| v.score) else { continue };
        let final_answers =
            |v: &Verdict| v.classes.iter().map(|c| c.completed + c.rejected + c.failed).sum::<u64>().max(1);
        let refused =
            |v: &Verdict| v.classes.iter().map(|c| c.rejected).sum::<u64>() as f64 / final_answers(v) as f64;
        rows.add_row([
            policy.name().to_string(),
            days.len().to_string(),
            format!("{:.3}", g.median),
            format!("{:.3} to {:.3}", g.lower_quartile, g.upper_quartile),
            format!("{:.3}", median(&|v| v.all_requests.share())),
            format!("{:.1} %", 100.0 * median(&|v| v.hits)),
            format!("{:.0}", median(&|v| v.planner_calls as f64 / v.seconds.len().max(1) as f64)),
            format!("{:.1} %", 100.0 * median(&refused)),
            days.iter().filter(|v| !v.is_clean()).count().to_string(),
        ]);
    }
    rows.to_string()
}

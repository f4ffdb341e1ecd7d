//! Acceptance criteria for a scenario of the trial, as pure functions from verdicts to findings.

mod floors;
mod growth;
mod metrics;

use hallpin_balancer::Sizes;
use hallpin_simulation::invariants::{Rule, Verdict};
use hallpin_simulation::time::Time;
use serde::Serialize;

use crate::day::Day;
pub use floors::Part;
use floors::MIN_SHARE_OF_LATE;
use growth::growing_tables;
pub use metrics::Metrics;

/// In the calm scenario, how far the served share may be below that of the simplest policy.
const CALM_MARGIN_TO_SIMPLEST: f64 = 0.05;
/// In the calm scenario, how far the served share may be below that of the late-seeing policy. The lower of the two
/// bounds applies, but at least half of the late-seeing policy's share is required.
const CALM_MARGIN_TO_LATE: f64 = 0.1;

/// An acceptance criterion that was not met.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Finding {
    /// A rule of the invariant checker was violated.
    Rule {
        /// The rule.
        rule: Rule,
        /// Number of violations.
        times: u64,
        /// Time and description of the first violation.
        first: String,
    },
    /// The served share is below the required one.
    Served {
        /// Share that was served.
        served: f64,
        /// Share that was required.
        #[serde(rename = "wanted")]
        required: f64,
    },
    /// The served share of a class, tenant or third is below its floor.
    Floor {
        /// The class, tenant or third.
        part: Part,
        /// Share that was served.
        served: f64,
        /// Share that was required.
        #[serde(rename = "wanted")]
        required: f64,
    },
    /// A table of the module kept growing during the run.
    Grew {
        /// Name of the table.
        table: &'static str,
        /// Largest number of entries in the second third of the run.
        before: usize,
        /// Largest number of entries in the last third.
        after: usize,
    },
}

impl std::fmt::Display for Finding {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Finding::Rule { rule, times, first } => write!(f, "rule {rule:?} broken {times} times: {first}"),
            Finding::Served { served, required } => {
                write!(f, "served {served:.3} of the worth, {required:.3} is required")
            }
            Finding::Floor { part, served, required } => {
                write!(f, "served {served:.3} of the worth of {part}, {required:.3} is required")
            }
            Finding::Grew { table, before, after } => {
                write!(f, "the module's {table} grew from {before} to {after} over the day")
            }
        }
    }
}

/// Share of the weighted requests that must be served in a scenario, given the shares that the late-seeing and the
/// simplest policy served.
pub fn required_share(day: Day, late: f64, simplest: f64) -> f64 {
    let half = late * MIN_SHARE_OF_LATE;
    match day {
        Day::Calm => half.max((simplest - CALM_MARGIN_TO_SIMPLEST).min(late - CALM_MARGIN_TO_LATE)),
        _ => half,
    }
}

/// Criteria that the decision module's run did not meet.
pub fn findings(
    day: Day,
    verdict: &Verdict,
    late: &Verdict,
    sizes: &[(Time, Sizes)],
    required: f64,
) -> Vec<Finding> {
    let first_violation = |rule: Rule| verdict.first_violations.iter().find(|breach| breach.rule == rule);
    let describe = |rule| first_violation(rule).map_or_else(String::new, |b| format!("{}: {}", b.at, b.what));
    let broken = verdict.violations.iter();
    let mut findings: Vec<Finding> = broken
        .map(|(rule, times)| Finding::Rule { rule: *rule, times: *times, first: describe(*rule) })
        .collect();
    let served = verdict.all_requests.share();
    if served < required {
        findings.push(Finding::Served { served, required });
    }
    findings.extend(floors::below_floor(day, verdict, late));
    if day == Day::Soak {
        findings.extend(growing_tables(sizes));
    }
    findings
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn half_of_the_late_seeing_share_is_required_and_in_calm_nearly_that_of_the_simplest() {
        assert_eq!(required_share(Day::Zone, 0.9, 0.99), 0.45);
        assert_eq!(required_share(Day::Calm, 0.98, 0.9), 0.85);
        assert!(
            (required_share(Day::Calm, 0.9, 0.97) - 0.8).abs() < 1e-12,
            "0.1 below the late-seeing policy is lower"
        );
        assert_eq!(required_share(Day::Calm, 0.9, 0.2), 0.45);
    }
}

//! The report of a run: totals, violations, and expected results that were not reached.

use serde::Serialize;

use super::{Counts, Violation, Violations};
use crate::spec::Spec;

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub name: String,
    /// Seed of all random draws.
    pub seed: u64,
    /// Totals over the run.
    pub counts: Counts,
    /// Number of violations of rules.
    #[serde(rename = "broken")]
    pub violation_count: u64,
    /// The first violations, at most 50.
    #[serde(rename = "breaches")]
    pub violations: Vec<Violation>,
    /// Results that the scenario expected and that were not reached.
    pub missing: Vec<String>,
}

impl Report {
    pub(super) fn new(spec: &Spec, counts: Counts, violations: Violations) -> Self {
        let missing = missing(spec, &counts);
        let Violations { reported, count } = violations;
        Report {
            name: spec.name.clone(),
            seed: spec.seed,
            counts,
            violation_count: count,
            violations: reported,
            missing,
        }
    }

    /// Whether no rule was violated and all expected results were reached.
    pub fn is_good(&self) -> bool {
        self.violation_count == 0 && self.missing.is_empty()
    }
}

fn missing(spec: &Spec, counts: &Counts) -> Vec<String> {
    let expected = &spec.expected;
    let (all, served) = counts.served();
    let share = served as f64 / all.max(1) as f64;
    let mut missing = Vec::new();
    if let Some(minimum) = expected.served.filter(|minimum| share < *minimum) {
        missing
            .push(format!("served: {minimum} of all requests expected, got {share:.4}: {served} of {all}"));
    }
    if let Some(minimum) = expected.requests.filter(|minimum| served < *minimum) {
        missing.push(format!("requests: {minimum} served expected, got {served}"));
    }
    if let Some(limit) =
        expected.full_service.filter(|limit| counts.full_service.is_none_or(|took| took > *limit))
    {
        let took = counts.full_service.map_or("never".into(), |took| format!("after {} s", took.as_secs()));
        missing.push(format!(
            "full_service: within {} s of the last fault expected, got {took}",
            limit.as_secs()
        ));
    }
    missing
}

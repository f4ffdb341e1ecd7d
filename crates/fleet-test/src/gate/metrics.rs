//! Metrics of one simulation run.

use std::collections::BTreeMap;

use hallpin_simulation::invariants::{ClassVerdict, Loss, Rule, Verdict};
use serde::Serialize;

/// Metrics of one simulation run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Metrics {
    /// Goal value of the run after the deducted prices.
    pub g: f64,
    /// Served share of the requests, weighted by priority.
    pub served: f64,
    /// Weighted share served in the worst 10 s.
    pub worst: f64,
    /// Weighted share served of each class.
    pub classes: Vec<(String, f64)>,
    /// Sum of the prices, which are deducted from the goal value.
    pub prices: f64,
    /// Completed, rejected and failed client tries per request.
    pub tries: f64,
    /// Attempts at boxes per request.
    pub attempts: f64,
    /// Share of the completed, rejected and failed client tries that were rejected.
    pub refused: f64,
    /// Share of the attempts that were rejected by a box.
    pub turned_away: f64,
    /// Share of the attempts that timed out.
    pub timed_out: f64,
    /// Share of the served reads that were cache hits.
    pub hits: f64,
    /// Calls to the planner per request.
    pub planner: f64,
    /// New connections per request.
    pub connections: f64,
    /// Weighted requests lost by cause, as a share of what was asked for.
    pub losses: BTreeMap<Loss, f64>,
    /// Number of violations of each rule.
    pub breaches: BTreeMap<Rule, u64>,
}

impl Metrics {
    /// Computes the metrics of a verdict.
    pub fn from_verdict(verdict: &Verdict) -> Self {
        let requests = (verdict.all_requests.requests as f64).max(1.0);
        let attempts = (verdict.attempts as f64).max(1.0);
        let sum = |of: &dyn Fn(&ClassVerdict) -> u64| verdict.classes.iter().map(of).sum::<u64>() as f64;
        let tries = sum(&|c| c.completed + c.rejected + c.failed);
        let asked = verdict.all_requests.asked.max(f64::MIN_POSITIVE);
        Metrics {
            g: verdict.score,
            served: verdict.all_requests.share(),
            worst: verdict.worst_window.0,
            classes: verdict.classes.iter().map(|c| (c.name.clone(), c.worth.share())).collect(),
            prices: verdict.prices,
            tries: tries / requests,
            attempts: verdict.attempts as f64 / requests,
            refused: sum(&|c| c.rejected) / tries.max(1.0),
            turned_away: verdict.overloaded_attempts as f64 / attempts,
            timed_out: verdict.timed_out as f64 / attempts,
            hits: verdict.hits,
            planner: verdict.planner_calls as f64 / requests,
            connections: verdict.connections as f64 / requests,
            losses: verdict.losses.iter().map(|(loss, worth)| (*loss, worth / asked)).collect(),
            breaches: verdict.violations.clone(),
        }
    }
}

//! Result of a run: violated rules, the worth that was served, and the causes of the worth that was lost.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::run_spec::{Effect, RunSpec};
use crate::time::Time;

/// The four rules, and the operators' further requirements on rejections, disconnected clients and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each accepted request gets exactly one final answer, in time. An attempt whose wait exceeds its
    /// client's remaining time, and a trace that goes back in time, count here too.
    Lost,
    /// Retries and hedged requests stay within the limits of the class.
    Repeated,
    /// Nothing new is sent to draining or removed boxes.
    Drain,
    /// Cold boxes and the planner are not overloaded.
    Cold,
    /// Rejections and failures are answered without delay, and a rejection carries a retry-after time.
    Waited,
    /// No attempt starts more than 0.1 s after its client disconnected or cancelled.
    Gone,
    /// Restarted nodes become ready in time.
    Ready,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// Violated rule.
    pub rule: Rule,
    /// Time of the violation, in microseconds.
    pub at: Time,
    /// Description of the violation.
    pub what: String,
}

/// Reason why a request earned less than its full worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// Rejected, and not retried in time.
    Refused,
    /// Rejected or failed after more than half of its time, without an attempt that reached a box.
    RefusedLate,
    /// Answered with a failure, or open at a stopping node when that node was killed.
    Failed,
    /// The client stopped waiting before an answer came.
    NoAnswer,
    /// The node was down, or ended while the request was open, except by a kill of a stopping node.
    NodeDown,
    /// Served after its latency objective.
    Late,
    /// Still open at the end of the run.
    Open,
}

/// Totals over a group of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Worth {
    /// Number of requests.
    pub requests: u64,
    /// Worth of all requests of the group.
    pub asked: f64,
    /// Worth earned by served requests.
    pub served: f64,
}

impl Worth {
    /// Served worth as a share of the worth asked for; 1 if nothing was asked for.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 {
            self.served / self.asked
        } else {
            1.0
        }
    }

    pub(super) fn add_request(&mut self, worth: f64) {
        self.requests += 1;
        self.asked += worth;
    }
}

/// Totals of one second of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Worth of the requests that started in this second.
    pub asked: f64,
    /// Worth earned by those requests.
    pub served: f64,
    /// Number of requests that started in this second.
    pub requests: u64,
    /// Attempts sent to boxes.
    pub attempts: u64,
    /// Final answers that were rejections.
    pub rejected: u64,
    /// Final answers that were failures.
    pub failed: u64,
    /// Calls to the planner.
    pub planner: u64,
    /// Calls to the planner from cold boxes.
    pub planner_cold: u64,
}

/// Result of a request class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassVerdict {
    /// Name of the class.
    pub name: String,
    /// Whether the class's requests may run more than once.
    #[serde(skip)]
    pub effect: Effect,
    /// Worth of the class's requests.
    pub worth: Worth,
    /// Requests served within the latency objective.
    #[serde(rename = "in_aim")]
    pub within_objective: u64,
    /// Requests served after the latency objective.
    pub late: u64,
    /// Requests that were not served by the end of the run.
    pub unserved: u64,
    /// Tries whose final answer was a completion.
    pub completed: u64,
    /// Tries whose final answer was a rejection.
    pub rejected: u64,
    /// Tries whose final answer was a failure.
    pub failed: u64,
    /// Latency of served requests, from the client's first try to its answer, in microseconds.
    #[serde(skip)]
    pub latency: Histogram<u64>,
}

/// Result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Score from 0 to 1: the goal's weighted mix of served shares, less the prices.
    #[serde(rename = "g")]
    pub score: f64,
    /// Number of violations of each rule.
    #[serde(rename = "breaches")]
    pub violations: BTreeMap<Rule, u64>,
    /// Descriptions of the first violations, at most 100.
    #[serde(rename = "told")]
    pub first_violations: Vec<Violation>,
    /// Totals of all requests.
    #[serde(rename = "whole")]
    pub all_requests: Worth,
    /// Served share of the worst 10 s window, and the start of that window. Windows with at most 20% of the
    /// mean window's worth are ignored.
    pub worst_window: (f64, Time),
    /// Result of each class.
    pub classes: Vec<ClassVerdict>,
    /// Name of each tenant and the totals of its requests within its quota.
    pub tenants: Vec<(String, Worth)>,
    /// Worth lost, by cause.
    pub losses: BTreeMap<Loss, f64>,
    /// Sum of the prices that are subtracted from the score.
    pub prices: f64,
    /// Attempts sent to boxes.
    pub attempts: u64,
    /// Attempts that boxes rejected as overloaded.
    #[serde(rename = "turned_away")]
    pub overloaded_attempts: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Cache hits as a share of the reads that boxes worked on.
    pub hits: f64,
    /// Calls to the planner.
    pub planner_calls: u64,
    /// Calls to the planner from cold boxes.
    pub planner_cold: u64,
    /// Number of times that the planner stopped under overload.
    pub planner_stops: u64,
    /// Largest number of calls to the planner in a second.
    pub planner_peak: u64,
    /// Number of boxes that crashed under overload while cold.
    #[serde(rename = "fallen")]
    pub crashed_boxes: u64,
    /// Connections opened to boxes.
    pub connections: u64,
    /// Tries of reads that were served a version older than the last acknowledged one when the try was
    /// accepted.
    pub stale: u64,
    /// Totals of each second.
    pub seconds: Vec<Second>,
    /// Fault events: start, end if it was recorded, and description.
    pub incidents: Vec<(Time, Option<Time>, String)>,
}

impl Verdict {
    /// Creates the result of a run without any events.
    pub(super) fn new(run_spec: &RunSpec) -> Self {
        let class = |c: &crate::run_spec::ClassSpec| ClassVerdict {
            name: c.name.clone(),
            effect: c.effect,
            worth: Worth::default(),
            within_objective: 0,
            late: 0,
            unserved: 0,
            completed: 0,
            rejected: 0,
            failed: 0,
            latency: latencies(),
        };
        Verdict {
            score: 0.0,
            violations: BTreeMap::new(),
            first_violations: Vec::new(),
            all_requests: Worth::default(),
            worst_window: (1.0, Time::ZERO),
            classes: run_spec.classes.iter().map(class).collect(),
            tenants: run_spec.tenants.iter().map(|t| (t.name.clone(), Worth::default())).collect(),
            losses: BTreeMap::new(),
            prices: 0.0,
            attempts: 0,
            overloaded_attempts: 0,
            timed_out: 0,
            hits: 0.0,
            planner_calls: 0,
            planner_cold: 0,
            planner_stops: 0,
            planner_peak: 0,
            crashed_boxes: 0,
            connections: 0,
            stale: 0,
            seconds: Vec::new(),
            incidents: Vec::new(),
        }
    }

    /// True if no rule was violated.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty()
    }
}

/// Creates a histogram of latencies from a microsecond to an hour, with three significant digits.
pub fn latencies() -> Histogram<u64> {
    // These constant bounds are valid for the crate, so the constructor can't fail.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!("constant bounds"))
}

//! Parameters of the rules, taken from the settings of a run.

use crate::run_spec::{Effect, GoalSpec, RunSpec};
use crate::time::Span;

/// Parameters of the rules for one run.
pub(super) struct RuleParameters {
    /// Each class's effect, and the window in which boxes drop its repeats.
    pub effects: Vec<(Effect, Span)>,
    /// Each class's latency objective, its worth, and the share of it that a late answer earns.
    pub objectives: Vec<(Span, f64, f64)>,
    /// Quota of each tenant, in requests per second.
    pub quotas: Vec<f64>,
    pub goal: GoalSpec,
    pub answer_grace: Span,
    pub drain_grace: Span,
    /// Multiple of its present capacity that a cold box may be sent within `fall_for`; 0 for no limit.
    pub fall_multiple: f64,
    pub fall_for: Span,
    /// Mean work of a request, in microseconds of a standard core.
    pub mean_work: f64,
    pub planner_for: Span,
    /// True if a node learns later that a client has left, so that an attempt may cross the disconnect.
    pub disconnects_cross: bool,
    /// Longest time for which an attempt may be in flight without being visible in the trace.
    pub max_unseen_time: Span,
    /// Allowed excess of an attempt's wait time over its client's remaining time.
    pub wait_slack: Span,
    pub max_attempts: u32,
    pub second_copies: bool,
    /// Rejections carry a retry-after time.
    pub sends_retry_after: bool,
    pub box_count: usize,
}

impl RuleParameters {
    pub fn new(run_spec: &RunSpec) -> Self {
        RuleParameters {
            effects: run_spec.classes.iter().map(|c| (c.effect, c.window)).collect(),
            objectives: run_spec.classes.iter().map(|c| (c.aim, c.worth, c.late_worth)).collect(),
            quotas: run_spec.tenants.iter().map(|t| t.quota).collect(),
            goal: run_spec.goal.clone(),
            answer_grace: run_spec.rules.answer_grace,
            drain_grace: run_spec.rules.drain_grace,
            fall_multiple: run_spec.rules.fall_multiple,
            fall_for: run_spec.rules.fall_for,
            mean_work: run_spec.mean_work().0 as f64,
            planner_for: run_spec.rules.planner_for,
            disconnects_cross: run_spec.rules.disconnects_cross,
            max_unseen_time: run_spec.rules.unseen,
            wait_slack: run_spec.rules.wait_slack,
            max_attempts: run_spec.limits.max_attempts,
            second_copies: run_spec.limits.second_copies,
            sends_retry_after: run_spec.limits.retry_after && !run_spec.clients.max_retry_after.is_zero(),
            box_count: run_spec.running.len().max(1),
        }
    }
}

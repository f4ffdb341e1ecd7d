//! Sections of a scenario file for the parameters of the rules and the weights of the score.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ms, s};
use crate::time::Span;

/// Parameters of the four rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct RulesFile {
    /// Time past the client's deadline until which a final answer still counts.
    pub answer_grace: Span,
    /// Time within which nodes must stop sending to a draining box.
    pub drain_grace: Span,
    /// Multiple of its present capacity that a cold box may be sent. Well beyond it the box crashes; 0 for no limit.
    pub fall_multiple: f64,
    /// Time over which the work sent to a cold box is counted.
    pub fall_for: Span,
}

impl Default for RulesFile {
    fn default() -> Self {
        RulesFile { answer_grace: ms(20), drain_grace: s(1), fall_multiple: 3.0, fall_for: s(3) }
    }
}

/// Weights and prices of the score.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct GoalFile {
    /// Weight of the served share of all requests.
    pub whole: f64,
    /// Weight of the worst 10 s window.
    pub worst_window: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served tenant, counting requests within its quota.
    pub worst_tenant: f64,
    /// Share of its worth that a request beyond its tenant's quota counts for.
    pub over_share_worth: f64,
    /// Whether worth counts per second of work; otherwise it counts per request.
    pub by_work: bool,
    /// Price of work at boxes that led to no answer, if it equals the work asked for.
    pub waste: f64,
    /// Price of failing after the latency objective, if all worth is lost that way.
    pub late_fail: f64,
    /// Price of one new connection per request.
    pub handshake: f64,
    /// Price of a mean of 100 open connections per box.
    pub connection: f64,
    /// Price of one health check per request.
    pub probe: f64,
    /// Price of one full message of 256 bytes per request.
    pub peer: f64,
    /// Price of one attempt across depots per request.
    pub cross_zone: f64,
    /// Price of one entry of the endpoint list sent to nodes per request.
    pub list: f64,
}

impl Default for GoalFile {
    fn default() -> Self {
        GoalFile {
            whole: 0.45,
            worst_window: 0.15,
            worst_class: 0.3,
            worst_tenant: 0.1,
            over_share_worth: 0.05,
            by_work: true,
            waste: 0.05,
            late_fail: 0.05,
            handshake: 0.05,
            connection: 0.05,
            probe: 0.01,
            peer: 0.01,
            cross_zone: 0.01,
            list: 0.0,
        }
    }
}

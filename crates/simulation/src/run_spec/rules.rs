//! Rules of a run, features and limits of its deployment, and weights of its score.

use crate::time::Span;

/// Parameters of the four rules.
#[derive(Clone, Debug, PartialEq)]
pub struct RulesSpec {
    /// Time past the client's deadline until which a final answer still counts.
    pub answer_grace: Span,
    /// Time within which nodes must stop sending to a draining box.
    pub drain_grace: Span,
    /// Smallest share of its capacity that a box starts with.
    pub cold_from: f64,
    /// Longest time until a started box is warm.
    pub ramp: Span,
    /// Multiple of its present capacity that a cold box may be sent within `fall_for`; 0 for no limit.
    pub fall_multiple: f64,
    /// Time over which the work sent to a cold box is counted.
    pub fall_for: Span,
    /// Multiple of its capacity at which the planner stops if it is sent that much for `planner_for`; 0 for no limit.
    pub planner_multiple: f64,
    /// Time over which the load of the planner is counted.
    pub planner_for: Span,
    /// True if a node learns of a client's disconnect with a delay, so that attempts may cross it.
    pub disconnects_cross: bool,
    /// Longest time for which an attempt may be in flight that only its node can see.
    pub unseen: Span,
    /// Allowed excess of an attempt's wait time over its client's remaining time.
    pub wait_slack: Span,
}

/// Features and limits of the deployment; the same in a scenario file and in a run.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsSpec {
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether nodes may send health checks to boxes.
    pub probes: bool,
    /// Whether nodes may send messages to each other.
    pub peers: bool,
    /// Whether two attempts of a request may be in flight at once.
    pub second_copies: bool,
    /// Whether rejections may carry a retry-after time.
    pub retry_after: bool,
    /// Maximum number of attempts for one try.
    pub max_attempts: u32,
    /// Time after which opening a connection fails.
    pub dial_timeout: Span,
    /// Time after which an unanswered health check fails.
    pub probe_timeout: Span,
    /// Whether answers carry load reports.
    pub reports: bool,
}

impl Default for LimitsSpec {
    fn default() -> Self {
        LimitsSpec {
            cancel: true,
            probes: true,
            peers: true,
            second_copies: true,
            retry_after: true,
            max_attempts: 3,
            dial_timeout: Span::from_millis(250),
            probe_timeout: Span::from_millis(400),
            reports: true,
        }
    }
}

/// Weights and prices of the score.
#[derive(Clone, Debug, PartialEq)]
pub struct GoalSpec {
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
    /// Prices that are subtracted from the score.
    pub prices: PricesSpec,
}

/// Prices of resource use. Each is multiplied by its share or rate and subtracted from the score.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PricesSpec {
    /// Price of work at boxes that led to no answer, as a share of the work asked for.
    pub waste: f64,
    /// Price of worth that ended unserved after its latency objective, as a share of the worth asked for.
    pub late_fail: f64,
    /// Price of one new connection per first try.
    pub handshake: f64,
    /// Price of a mean of 100 open connections per box.
    pub connection: f64,
    /// Price of one health check per first try.
    pub probe: f64,
    /// Price of 256 bytes of messages between nodes per first try.
    pub peer: f64,
    /// Price of one attempt across depots per first try.
    pub cross_zone: f64,
    /// Price of one entry of the endpoint list sent to nodes per first try.
    pub list: f64,
}

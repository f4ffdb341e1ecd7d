//! Request classes and tenants: latency objectives, quotas, and which requests may run twice.

use super::identifiers::Seconds;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: repeats are harmless.
    Idempotent,
    /// Carries an idempotency key: the servers of one group drop its repeats for a while.
    Deduplicated,
    /// Must never run twice. Unknown effects are handled as this one.
    NonIdempotent,
}

/// The servers among which repeats of a deduplicated request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name of the class in the settings.
    pub name: String,
    /// Latency objective: an answer within this time earns the full priority weight.
    pub latency_objective: Seconds,
    /// Time for which the client waits, over all its tries.
    pub deadline: Seconds,
    /// Priority weight of an answer within the latency objective.
    pub priority_weight: f64,
    /// Share of the priority weight that an answer after the latency objective still earns.
    pub late_weight_share: f64,
    /// Whether a request of the class may run again.
    pub effect: Effect,
    /// Where repeats are dropped, for deduplicated classes.
    pub deduplication_scope: DeduplicationScope,
    /// Time for which repeats are dropped, from the first send that may have run.
    pub deduplication_window: Seconds,
    /// Whether the answer is a stream.
    pub streamed: bool,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant in the settings.
    pub name: String,
    /// Requests a second within the quota, over all nodes.
    pub quota: f64,
}

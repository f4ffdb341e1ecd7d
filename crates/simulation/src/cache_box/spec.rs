//! Fixed properties of a box.

use serde::{Deserialize, Serialize};

use crate::store::Evict;
use crate::time::Span;

/// What determines the progress of a warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WarmBy {
    /// Linear in the time since the start, over the ramp.
    #[default]
    Time,
    /// Linear in the work done since the start, and complete at the end of the ramp at the latest.
    Work,
}

/// Fixed properties of a box.
#[derive(Clone, Debug, PartialEq)]
pub struct BoxSpec {
    /// Name of the box on the endpoint list.
    pub id: String,
    /// Machine kind.
    pub kind: String,
    /// Index of the depot.
    pub depot: usize,
    /// Number of the cell.
    pub cell: u64,
    /// Size that the box is registered with.
    pub size: f64,
    /// Address; a box that replaces another may take over the address.
    pub address: u32,
    /// Number of cores.
    pub cores: f64,
    /// Work that one core does per second, in seconds of a standard core.
    pub speed: f64,
    /// Slots: most requests in service at once, counting those that keep a slot during a write or a fetch.
    pub slots: u32,
    /// Most requests that wait for their first slot; requests whose fetch succeeded do not count.
    pub waiting: u32,
    /// Requests held per core above which efficiency drops.
    pub crowd_from: f64,
    /// Relative loss of efficiency for each request per core above `crowd_from`.
    pub crowd_loss: f64,
    /// Most open connections.
    pub connections: u32,
    /// Work to open a connection.
    pub connection_work: Span,
    /// Share of the capacity that a full connection table costs.
    pub table_tax: f64,
    /// Idle time after which the box closes a connection.
    pub idle_close: Span,
    /// Work to answer a probe.
    pub probe_work: Span,
    /// Interval between load reports.
    pub report_period: Span,
    /// Delay until a load report is visible.
    pub report_delay: Span,
    /// Relative standard deviation of the values of load reports.
    pub report_noise: f64,
    /// Share of the capacity that is available just after a start.
    pub cold_from: f64,
    /// Length of the warm-up.
    pub ramp: Span,
    /// What determines the progress of the warm-up.
    pub warm_by: WarmBy,
    /// Work allowed during the warm-up, as a multiple of the capacity available then; 0 for no limit.
    pub fall_multiple: f64,
    /// Window in which work offered during the warm-up is counted. Above the [`overload_limit`] for it,
    /// the box falls over and stays down.
    pub fall_for: Span,
    /// Mean work of a request in the scenario; the limit is counted in requests of this size.
    pub mean_work: Span,
    /// Memory for cached copies, in bytes.
    pub memory: u64,
    /// Eviction policy.
    pub evict: Evict,
    /// Time to live of a copy.
    pub ttl: Span,
    /// Most fetches in flight; a miss beyond that is rejected unless it joins a fetch in flight.
    pub fetch_places: u32,
    /// Time after which a call to the planner, a read or a write, fails the requests that wait for it.
    pub fetch_timeout: Span,
    /// Most retries of a failed read at the planner; a failed write is not retried.
    pub fetch_retries: u32,
    /// Whether misses of the same key share a fetch.
    pub joins: bool,
    /// Whether a request keeps its slot while it waits for a fetch.
    pub miss_holds: bool,
    /// Extra work of a miss, as a share of the request's work.
    pub miss_extra: f64,
    /// Whether cancelled requests that still wait for a slot are dropped.
    pub drops_cancelled: bool,
    /// Whether requests past their deadline are rejected when they get a slot.
    pub drops_expired: bool,
    /// Share of the requests that fail at the end of their service; failed planner calls are not included.
    pub error_rate: f64,
}

/// Most work that a box that warms up takes within `fall_for` without falling over, in the unit of the arguments.
///
/// With `allowed` work worth N requests of mean work from all nodes together, the limit is N + 2 √N + 2 requests, or
/// N + 3 √N + 3 for N under 30. The margin covers random variation only and does not grow with the number of nodes.
pub fn overload_limit(allowed: f64, mean: f64) -> f64 {
    let requests = allowed / mean;
    let margin = if requests < 30.0 { 3.0 } else { 2.0 };
    (requests + margin * requests.sqrt() + margin) * mean
}

impl BoxSpec {
    /// Work per second when warm, in seconds of a standard core.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed
    }
}

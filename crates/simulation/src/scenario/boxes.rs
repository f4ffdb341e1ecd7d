//! Section of a scenario file for the kinds of boxes.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ms, s};
use crate::cache_box::WarmBy;
use crate::range::{Bytes, Range};
use crate::store::Evict;
use crate::time::Span;

/// A kind of box.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BoxKind {
    /// Name of the kind.
    pub kind: String,
    /// Number of boxes that run at the start.
    pub count: Range<u32>,
    /// Number of cores.
    pub cores: Range<f64>,
    /// Speed of a core, as a multiple of a standard core.
    pub speed: Range<f64>,
    /// Size registered in the endpoint list.
    pub size: f64,
    /// Requests in service at once, per core.
    pub slots_per_core: Range<f64>,
    /// Requests that may wait for their first slot, per core.
    pub waiting_per_core: Range<f64>,
    /// Requests in service and waiting, per core, above which efficiency falls.
    pub crowd_from: Range<f64>,
    /// Share of the efficiency lost for each further request per core.
    pub crowd_loss: Range<f64>,
    /// Maximum number of open connections, per core.
    pub connections_per_core: Range<f64>,
    /// Work of a new connection.
    pub connection_work: Range<Span>,
    /// Share of the capacity that is lost when the connection table is full.
    pub table_tax: Range<f64>,
    /// Time after which idle connections are closed.
    pub idle_close: Range<Span>,
    /// Work of a health check.
    pub probe_work: Range<Span>,
    /// Interval between load reports.
    pub report_period: Range<Span>,
    /// Delay of load reports.
    pub report_delay: Range<Span>,
    /// Relative error of load reports.
    pub report_noise: Range<f64>,
    /// Share of the capacity just after a start.
    pub cold_from: Range<f64>,
    /// Time until a started box is warm.
    pub ramp: Range<Span>,
    /// What the warm-up depends on: "time" or "work".
    pub warm_by: WarmBy,
    /// Memory for cached copies.
    pub memory: Range<Bytes>,
    /// Eviction order of copies: "lru" or "fifo".
    pub evict: Evict,
    /// Time for which a copy is valid.
    pub ttl: Range<Span>,
    /// Most fetches in flight at once, per slot.
    pub fetches_per_slot: Range<f64>,
    /// Time after which a call to the planner, a read or a write, fails.
    pub fetch_timeout: Range<Span>,
    /// Maximum number of retries of a failed read at the planner; a failed write is not retried.
    pub fetch_retries: Range<u32>,
    /// Whether concurrent misses of a key share one fetch.
    pub joins: bool,
    /// Probability that, in a run, requests keep their slot while they wait for a fetch.
    pub miss_holds: f64,
    /// Additional work of a miss, as a share of the request's work.
    pub miss_extra: Range<f64>,
    /// Probability that, in a run, cancelled requests that are still waiting are dropped.
    pub drops_cancelled: f64,
    /// Whether requests are rejected if their deadline has passed when they reach a slot.
    pub drops_expired: bool,
    /// Share of requests that fail at the end of their service; failed planner calls are not included.
    pub error_rate: Range<f64>,
}

impl Default for BoxKind {
    fn default() -> Self {
        BoxKind {
            kind: "large".into(),
            count: Range::single(7),
            cores: Range::single(3.0),
            speed: Range::of(0.85, 1.1),
            size: 2.9,
            slots_per_core: Range::single(1.0),
            waiting_per_core: Range::of(1.0, 3.0),
            crowd_from: Range::single(5.0),
            crowd_loss: Range::single(0.0),
            connections_per_core: Range::of(600.0, 900.0),
            connection_work: Range::of(ms(1), ms(3)),
            table_tax: Range::of(0.03, 0.14),
            idle_close: Range::single(s(10)),
            probe_work: Range::of(Span(500), ms(1)),
            report_period: Range::of(ms(400), ms(1100)),
            report_delay: Range::of(ms(70), ms(470)),
            report_noise: Range::of(0.01, 0.075),
            cold_from: Range::of(0.12, 0.35),
            ramp: Range::of(s(14), s(23)),
            warm_by: WarmBy::Time,
            memory: Range::of(Bytes(80 << 10), Bytes(160 << 10)),
            evict: Evict::Lru,
            ttl: Range::of(s(20), s(40)),
            fetches_per_slot: Range::of(2.0, 16.0),
            fetch_timeout: Range::of(ms(600), ms(2000)),
            fetch_retries: Range::of(0, 1),
            joins: true,
            miss_holds: 0.5,
            miss_extra: Range::single(0.1),
            drops_cancelled: 0.5,
            drops_expired: false,
            error_rate: Range::of(0.0, 0.001),
        }
    }
}

impl BoxKind {
    pub(super) fn small() -> Self {
        BoxKind {
            kind: "small".into(),
            count: Range::single(5),
            cores: Range::single(2.0),
            speed: Range::of(0.51, 0.69),
            size: 1.2,
            ..BoxKind::default()
        }
    }
}

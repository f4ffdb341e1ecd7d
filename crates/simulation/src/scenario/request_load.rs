//! Sections of a scenario file for the request load: clients, keys, classes and tenants.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::{ms, s};
use crate::random::Spread;
use crate::range::{Bytes, Range};
use crate::run_spec::{Effect, Entry};
use crate::time::Span;

/// A point of the request rate's curve.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Time since the start of the run.
    pub at: Span,
    /// Multiple of the rate.
    pub times: f64,
}

/// The clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ClientsFile {
    /// Request rate over all nodes, in requests per second.
    pub rate: Range<f64>,
    /// Curve of the rate: linear between its points and constant beyond them; without points, the rate is constant.
    pub curve: Vec<Point>,
    /// How clients reach nodes: "own" for a node per client process, "front" for a load balancer that distributes
    /// tries.
    pub entry: Entry,
    /// Time after which the front detects that a node is dead or stops accepting clients.
    pub front_notice: Range<Span>,
    /// Maximum number of tries after the first one.
    pub retries: Range<u32>,
    /// Share of the class's deadline after which a client gives up a try.
    pub try_share: Range<f64>,
    /// Mean backoff before the first retry, doubled for each further one; each is varied by up to 50%.
    pub backoff: Range<Span>,
    /// Share of clients that honour the retry-after time of a rejection.
    pub honours: Range<f64>,
    /// Longest retry-after time that clients honour.
    pub most_advice: Span,
    /// Share of tries that clients abandon early.
    pub abandons: Range<f64>,
    /// Whether requests carry an estimate of their work.
    pub hints: bool,
    /// Relative error of the estimate.
    pub hint_noise: Range<f64>,
    /// Relative deviation of an attempt's work from its request's.
    pub attempt_noise: Range<f64>,
}

impl Default for ClientsFile {
    fn default() -> Self {
        ClientsFile {
            rate: Range::single(200.0),
            curve: Vec::new(),
            entry: Entry::Own,
            front_notice: Range::single(s(2)),
            retries: Range::of(1, 2),
            try_share: Range::of(0.5, 0.8),
            backoff: Range::of(ms(30), ms(240)),
            honours: Range::of(0.7, 1.0),
            most_advice: s(1),
            abandons: Range::single(0.0),
            hints: true,
            hint_noise: Range::of(0.2, 0.6),
            attempt_noise: Range::of(0.24, 0.54),
        }
    }
}

/// The keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct KeysFile {
    /// Number of keys.
    pub count: Range<u32>,
    /// Zipf exponent: popularity falls with (rank + offset) to this power.
    pub zipf: Range<f64>,
    /// Offset that flattens the head of the popularity distribution.
    pub offset: Range<f64>,
    /// Share of the ranks that move to another key, per second.
    pub drift: Range<f64>,
    /// Share of the keys that change at the planner without a write, per second.
    pub changes: Range<f64>,
    /// Mean size of a value.
    pub size: Range<Bytes>,
    /// Standard deviation of the size, as a share of the mean.
    pub size_cv: Range<f64>,
}

impl Default for KeysFile {
    fn default() -> Self {
        KeysFile {
            count: Range::of(2000, 3000),
            zipf: Range::of(0.75, 1.0),
            offset: Range::of(5.0, 16.0),
            drift: Range::of(0.0003, 0.0015),
            changes: Range::of(0.0002, 0.0015),
            size: Range::single(Bytes(600)),
            size_cv: Range::of(0.2, 0.8),
        }
    }
}

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ClassFile {
    /// Name of the class.
    pub name: String,
    /// Weight of the class in all requests.
    pub share: Range<f64>,
    /// Mean work, in time of a standard core.
    pub work: Range<Span>,
    /// Distribution of the work: "fixed", "log-normal" or "pareto".
    pub spread: Spread,
    /// Standard deviation of the work, as a share of the mean.
    pub cv: Range<f64>,
    /// Latency objective: an answer within this time earns the full worth.
    pub aim: Span,
    /// Time that the client waits, over all its tries.
    pub deadline: Span,
    /// Worth of an answer within the latency objective.
    pub worth: f64,
    /// Share of the worth that a later answer earns.
    pub late_worth: f64,
    /// Whether a request may run more than once: "free", "guarded" or "single-shot".
    pub effect: Effect,
    /// Time for which boxes drop repeats of a guarded request.
    pub window: Span,
    /// Whether requests of the class are writes.
    pub write: bool,
}

impl Default for ClassFile {
    fn default() -> Self {
        ClassFile {
            name: "lookup".into(),
            share: Range::single(0.963),
            work: Range::of(ms(34), ms(62)),
            spread: Spread::Pareto,
            cv: Range::of(1.6, 2.8),
            aim: s(1),
            deadline: s(2),
            worth: 3.0,
            late_worth: 0.0,
            effect: Effect::Free,
            window: Span::ZERO,
            write: false,
        }
    }
}

impl ClassFile {
    pub(super) fn write() -> Self {
        ClassFile {
            name: "report".into(),
            share: Range::single(0.037),
            work: Range::of(ms(54), ms(98)),
            cv: Range::of(1.4, 2.8),
            aim: ms(750),
            worth: 2.0,
            effect: Effect::Guarded,
            window: ms(1200),
            write: true,
            ..ClassFile::default()
        }
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct TenantFile {
    /// Name of the tenant.
    pub name: String,
    /// Tenant's share of the capacity.
    pub share: f64,
    /// Quota that this share amounts to, in requests per second.
    pub quota: f64,
    /// Tenant's weight in the requests that clients send.
    pub usage: Range<f64>,
}

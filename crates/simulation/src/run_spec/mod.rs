//! A run's parameters: all values that a run depends on, drawn from a scenario's ranges. A scenario and a seed always
//! give the same values.

mod incident;
mod rules;
mod settings;

use crate::cache_box::BoxSpec;
use crate::list::BoxId;
use crate::planner::PlannerSpec;
use crate::random::Spread;
use crate::time::{Span, Time};
pub use incident::{FaultEvent, HastyClients, ScheduledFault, SlowWriters, StopTimings, WatchSilence};
pub use rules::{GoalSpec, LimitsSpec, PricesSpec, RulesSpec};

/// Index of a node in the run.
pub type NodeId = usize;

/// Whether a request may run more than once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Idempotent: may run any number of times.
    #[default]
    Free,
    /// Boxes drop repeats within the class's deduplication window.
    Guarded,
    /// Must never run twice.
    SingleShot,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Share of the class in all requests.
    pub share: f64,
    /// Mean work, in time of a standard core.
    pub work: Span,
    /// Distribution of the work around its mean.
    pub spread: Spread,
    /// Standard deviation of the work, as a share of the mean.
    pub cv: f64,
    /// Latency objective: an answer within this time earns the full worth.
    pub aim: Span,
    /// Time that the client waits, over all its tries.
    pub deadline: Span,
    /// Worth of an answer within the latency objective: per second of work, or per request if the goal doesn't count
    /// by work.
    pub worth: f64,
    /// Share of the worth that a later answer earns.
    pub late_worth: f64,
    /// Whether a request may run more than once.
    pub effect: Effect,
    /// Deduplication window: time for which boxes drop repeats.
    pub window: Span,
    /// Whether requests of the class are writes.
    pub write: bool,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// Name of the tenant.
    pub name: String,
    /// Tenant's share of the capacity.
    pub share: f64,
    /// Quota that this share amounts to, in requests per second.
    pub quota: f64,
    /// Tenant's weight in the requests that clients send.
    pub usage: f64,
}

/// How clients reach nodes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// Each client process has its own node.
    #[default]
    Own,
    /// A load balancer in front distributes tries over the nodes that it considers alive.
    Front,
}

/// Behaviour of the clients.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientsSpec {
    /// Request rate over all nodes, in requests per second.
    pub rate: f64,
    /// Multiples of the rate at points in time, interpolated linearly between the points and flat beyond
    /// them.
    pub curve: Vec<(Time, f64)>,
    /// Weight of each node in the requests.
    pub node_shares: Vec<f64>,
    /// How clients reach nodes.
    pub entry: Entry,
    /// Time after which the front detects that a node is dead or stops accepting clients.
    pub front_detection_delay: Span,
    /// Maximum number of tries after the first one.
    pub retries: u32,
    /// Share of the class's deadline after which a client gives up a try.
    pub try_share: f64,
    /// Mean backoff before the first retry, doubled for each further one; each is varied by up to 50%.
    pub backoff: Span,
    /// Share of clients that honour the retry-after time of a rejection.
    pub honours: f64,
    /// Longest retry-after time that clients honour.
    pub max_retry_after: Span,
    /// Share of tries that clients abandon early, at a random point within their time.
    pub abandons: f64,
    /// Relative error of the work estimate that requests carry; `None` if they carry no estimate.
    pub hint_noise: Option<f64>,
    /// Relative deviation of an attempt's work from the request's.
    pub attempt_noise: f64,
}

/// Keys that clients request.
#[derive(Clone, Debug, PartialEq)]
pub struct KeysSpec {
    /// Number of keys.
    pub count: u32,
    /// Zipf exponent: popularity falls with (rank + offset) to this power.
    pub zipf: f64,
    /// Offset that flattens the head of the popularity distribution.
    pub offset: f64,
    /// Share of the ranks that move to another key, per second.
    pub drift: f64,
    /// Keys that change at the planner without a write, per second.
    pub changes: f64,
    /// Mean size of a value, in bytes.
    pub bytes: f64,
    /// Standard deviation of the size, as a share of the mean.
    pub bytes_cv: f64,
}

/// Delays between machines.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSpec {
    /// One-way delay within a depot.
    pub same: Span,
    /// One-way delay between depots.
    pub cross: Span,
    /// One-way delay between a client and its node.
    pub client: Span,
    /// Standard deviation of each delay, as a share of it.
    pub jitter: f64,
    /// Number of round trips to open a connection.
    pub handshake_rtts: f64,
    /// One-way delay of a message between nodes.
    pub message: Span,
    /// Share of messages between nodes that are lost.
    pub message_loss: f64,
}

/// Delays with which the endpoint list detects changes and notifies nodes.
#[derive(Clone, Debug, PartialEq)]
pub struct ListSpec {
    /// Time until a started process is listed.
    pub add: Span,
    /// Time until an ended or draining process is detected.
    pub notice: Span,
    /// Time until a machine that has stopped responding is detected.
    pub silent_detection_delay: Span,
    /// Longest time between the first and the last node's notification of a change.
    pub spread: Span,
}

/// Behaviour of a node at its listener and its watch of the endpoint list, which the simulation models without sockets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeTimings {
    /// Time after SIGTERM for which the node serves open client connections; later requests are rejected.
    pub parting: Span,
    /// Time after which a silent watch is reopened.
    pub reopens: Span,
}

/// Parameters of one run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunSpec {
    /// Name of the scenario.
    pub name: String,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Time for which clients send requests; open requests are answered after it.
    pub length: Span,
    /// Names of the depots.
    pub depots: Vec<String>,
    /// Depot of each node.
    pub nodes: Vec<usize>,
    /// All boxes of the run, including those that join later.
    pub boxes: Vec<BoxSpec>,
    /// Behaviour of nodes at their listeners and watches.
    pub node_timings: NodeTimings,
    /// Boxes that run at the start.
    pub running: Vec<BoxId>,
    /// The planner.
    pub planner: PlannerSpec,
    /// The endpoint list.
    pub list: ListSpec,
    /// The network.
    pub network: NetworkSpec,
    /// Request classes.
    pub classes: Vec<ClassSpec>,
    /// Tenants; may be empty.
    pub tenants: Vec<TenantSpec>,
    /// Clients.
    pub clients: ClientsSpec,
    /// Keys.
    pub keys: KeysSpec,
    /// Parameters of the rules.
    pub rules: RulesSpec,
    /// Features and limits of the deployment.
    pub limits: LimitsSpec,
    /// Weights and prices of the score.
    pub goal: GoalSpec,
    /// Scheduled fault events, in order of time.
    pub fault_events: Vec<ScheduledFault>,
    /// Times at which watches of the endpoint list fall silent.
    pub watch_silences: Vec<WatchSilence>,
}

impl RunSpec {
    /// Mean work of a request.
    pub fn mean_work(&self) -> Span {
        mean_work(&self.classes)
    }

    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Span {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
    }
}

/// Mean work of requests of these classes, weighted by their shares.
pub fn mean_work(classes: &[ClassSpec]) -> Span {
    let shares: f64 = classes.iter().map(|c| c.share).sum();
    let work: f64 = classes.iter().map(|c| c.share * c.work.0 as f64).sum();
    Span((work / shares.max(f64::MIN_POSITIVE)).round().max(1.0) as u64)
}

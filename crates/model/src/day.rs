//! A day: everything that a run depends on, drawn and in plain numbers. A scenario and a seed give one day.

use serde_json::{json, Value};

use crate::cache_box::BoxSpec;
use crate::chance::Spread;
use crate::list::BoxId;
use crate::planner::PlannerSpec;
use crate::time::{Span, Time};

/// Index of a node in the day.
pub type NodeId = usize;

/// May a request run more than once?
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Repeats do no harm.
    #[default]
    Free,
    /// Boxes drop repeats within the class's window.
    Guarded,
    /// Must never run twice.
    SingleShot,
}

/// A request class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Its name.
    pub name: String,
    /// Share of the requests.
    pub share: f64,
    /// Mean work, in time of a standard core.
    pub work: Span,
    /// How work is spread round it.
    pub spread: Spread,
    /// Deviation of the work, as a share of the mean.
    pub cv: f64,
    /// Answered within this time it earns its full worth.
    pub aim: Span,
    /// The client waits this long, over all its tries.
    pub deadline: Span,
    /// Worth of an answer within the aim, for each unit of work.
    pub worth: f64,
    /// Share of the worth that a later answer still earns.
    pub late_worth: f64,
    /// May it run again?
    pub effect: Effect,
    /// How long boxes drop repeats.
    pub window: Span,
    /// It writes.
    pub write: bool,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantSpec {
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// Requests a second within its share.
    pub quota: f64,
    /// Its part of the requests.
    pub usage: f64,
}

/// How clients reach nodes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize, schemars::JsonSchema,
)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// Each client process has a node of its own.
    #[default]
    Own,
    /// A front deals tries out to the nodes that it takes to be alive.
    Front,
}

/// What clients are like.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientsSpec {
    /// Requests a second, over all nodes.
    pub rate: f64,
    /// The rate's course: from each point on it is so many times as high, and even in between.
    pub curve: Vec<(Time, f64)>,
    /// Each node's part of the requests.
    pub node_shares: Vec<f64>,
    /// How clients reach nodes.
    pub entry: Entry,
    /// The front notices a dead node after this long.
    pub front_notice: Span,
    /// Further tries after the first.
    pub retries: u32,
    /// A try is given up after this share of the class's deadline.
    pub try_share: f64,
    /// First wait before a further try; doubled each time.
    pub backoff: Span,
    /// Share of clients that heed the advice of a refusal.
    pub honours: f64,
    /// Advice is heeded up to this long.
    pub most_advice: Span,
    /// Share of tries that clients abandon early, at a point drawn within their time.
    pub abandons: f64,
    /// Requests carry a guess of their work that is off by about this share; `None`: they carry none.
    pub hint_noise: Option<f64>,
    /// The work of an attempt differs from the request's by about this share.
    pub attempt_noise: f64,
}

/// The keys that clients ask for.
#[derive(Clone, Debug, PartialEq)]
pub struct KeysSpec {
    /// How many there are.
    pub count: u32,
    /// Popularity falls as (rank + offset) to the power of this.
    pub zipf: f64,
    /// Flattens the head.
    pub offset: f64,
    /// Share of the ranks that go to another key each second.
    pub drift: f64,
    /// Keys that change at the planner by themselves, a second.
    pub changes: f64,
    /// Mean bytes of a value, and their deviation as a share of it.
    pub bytes: f64,
    /// Deviation of the bytes, as a share of the mean.
    pub bytes_cv: f64,
}

/// Delays between machines.
#[derive(Clone, Debug, PartialEq)]
pub struct NetworkSpec {
    /// One way within a depot.
    pub same: Span,
    /// One way between depots.
    pub cross: Span,
    /// One way between a client and its node.
    pub client: Span,
    /// Deviation of each delay, as a share of it.
    pub jitter: f64,
    /// Round trips that a new connection takes.
    pub handshake_rtts: f64,
    /// One way for a message between nodes.
    pub message: Span,
    /// Share of messages that are lost.
    pub message_loss: f64,
}

/// How the list comes to know, and tells.
#[derive(Clone, Debug, PartialEq)]
pub struct ListSpec {
    /// A process that has started is listed after this.
    pub add: Span,
    /// One that has ended or drains is noticed after this.
    pub notice: Span,
    /// A silent machine is noticed after this.
    pub silent_notice: Span,
    /// Nodes are told at most so much after each other.
    pub spread: Span,
}

/// Figures of the four rules.
#[derive(Clone, Debug, PartialEq)]
pub struct RulesSpec {
    /// A final answer counts until this long past the client's deadline.
    pub answer_grace: Span,
    /// Sends to a draining box end within this time.
    pub drain_grace: Span,
    /// Share of its capacity that a box starts with, or more.
    pub cold_from: f64,
    /// A box is warm after this long.
    pub ramp: Span,
    /// More than this many times its present capacity ...
    pub fall_multiple: f64,
    /// ... for this long brings a cold box down.
    pub fall_for: Span,
    /// The planner stops when sent so many times its capacity ... (0: it bears all)
    pub planner_multiple: f64,
    /// ... for this long.
    pub planner_for: Span,
    /// For so long an attempt may be out that nobody but its node sees.
    pub unseen: Span,
}

/// What the deployment allows, as a scenario writes it and a day has it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize, schemars::JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsSpec {
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Boxes may be probed.
    pub probes: bool,
    /// Nodes may message each other.
    pub peers: bool,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Refusals may carry advice.
    pub retry_after: bool,
    /// Attempts for one request.
    pub max_attempts: u32,
    /// A connection not up by then fails.
    pub dial_timeout: Span,
    /// A probe without an answer by then has failed.
    pub probe_timeout: Span,
    /// Load reports come with answers.
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

/// What a result is made of.
#[derive(Clone, Debug, PartialEq)]
pub struct GoalSpec {
    /// Weight of the whole day.
    pub whole: f64,
    /// Of the worst window of 10 s.
    pub worst_window: f64,
    /// Of the worst class.
    pub worst_class: f64,
    /// Of the worst tenant, within its share.
    pub worst_tenant: f64,
    /// Worth of a request beyond its tenant's share, as a share.
    pub over_share_worth: f64,
    /// Worth counts for each unit of work; otherwise for each request.
    pub by_work: bool,
    /// Prices, each for its rate at the stated level.
    pub prices: PricesSpec,
}

/// What costs points; each is taken off times its share or rate.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PricesSpec {
    /// Work at boxes that gave no answer, as a share of the work asked for.
    pub waste: f64,
    /// Worth that ended unserved after its aim.
    pub late_fail: f64,
    /// New connections for each first try.
    pub handshake: f64,
    /// Mean open connections, for each 100 a box.
    pub connection: f64,
    /// Probes for each first try.
    pub probe: f64,
    /// Messages of 256 bytes for each first try.
    pub peer: f64,
    /// Attempts that cross depots, for each first try.
    pub cross_zone: f64,
    /// Entries of the list that nodes are told, for each first try.
    pub list: f64,
}

/// How some clients are in haste: in a fleet short of room their tries are most of the load and serve next to nobody.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Haste {
    /// Share of the clients.
    pub share: f64,
    /// How long they wait for a try.
    pub gives: Span,
    /// How often they come again, at once and whatever they are advised.
    pub again: u32,
}

/// What goes wrong, or is done on purpose, and to whom.
#[derive(Clone, Debug, PartialEq)]
pub enum Incident {
    /// Machines go silent, and come back with empty stores.
    Silent(Vec<BoxId>),
    /// Machines run so many times slower.
    Slow(Vec<BoxId>, f64),
    /// Machines fail this share of what they are asked.
    Erring(Vec<BoxId>, f64),
    /// Processes end at once, and come back with empty stores.
    Kill(Vec<BoxId>),
    /// This share of a class's requests costs so many times the usual work.
    Heavy {
        /// Index of the class.
        class: usize,
        /// Share of its requests.
        share: f64,
        /// Times the usual work.
        factor: f64,
    },
    /// Nodes die at once, and come back with their last list.
    NodeDeath(Vec<NodeId>),
    /// Nodes are told to stop, finish, and come back.
    NodeRestart(Vec<NodeId>),
    /// The list tells nothing.
    ListOutage,
    /// The planner is so many times slower.
    PlannerSlow(f64),
    /// The planner answers nothing.
    PlannerSilent,
    /// Nothing passes from the first depot of each pair to the second, but for the list.
    Partition(Vec<(usize, usize)>),
    /// The list reaches the nodes of one depot, or of all, so much later.
    LateList {
        /// Which depot; `None` for all.
        depot: Option<usize>,
        /// How much later.
        by: Span,
    },
    /// This share of the boxes' answers never arrives.
    LostAnswers(f64),
    /// This share of the requests has its connection reset when it would be answered.
    Resets(f64),
    /// This share of the messages between nodes is lost.
    LostMessages(f64),
    /// The nodes of a depot are sent so many times the requests.
    Shift {
        /// Which depot.
        depot: usize,
        /// Times the usual rate.
        factor: f64,
    },
    /// Clients have no patience.
    Impatient {
        /// Share of tries that are left early.
        share: f64,
        /// Clients come again so many times sooner.
        hurry: f64,
    },
    /// Clients give a try little time.
    Hasty(Haste),
    /// Boxes drain, and end when the incident does.
    Drain(Vec<BoxId>),
    /// Boxes start, and are on the list from then on.
    Join(Vec<BoxId>),
    /// The rate is so many times as high, and this share of all requests goes to so many keys.
    Burst {
        /// Times the usual rate.
        factor: f64,
        /// Share of the requests that goes to the keys.
        share: f64,
        /// How many keys; drawn when it begins.
        keys: u32,
    },
}

impl std::fmt::Display for Incident {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Incident::Silent(boxes) => write!(f, "{} boxes go silent", boxes.len()),
            Incident::Slow(boxes, factor) => write!(f, "{} boxes are {factor:.1} times slower", boxes.len()),
            Incident::Erring(boxes, share) => {
                write!(f, "{} boxes fail {:.0} % of the requests", boxes.len(), share * 100.0)
            }
            Incident::Kill(boxes) => write!(f, "{} boxes are killed", boxes.len()),
            Incident::Heavy { share, factor, .. } => {
                write!(f, "{:.2} % of a class cost {factor:.1} times the work", share * 100.0)
            }
            Incident::NodeDeath(nodes) => write!(f, "{} nodes die", nodes.len()),
            Incident::NodeRestart(nodes) => write!(f, "{} nodes restart", nodes.len()),
            Incident::ListOutage => f.write_str("the list is silent"),
            Incident::PlannerSlow(factor) => write!(f, "the planner is {factor:.1} times slower"),
            Incident::PlannerSilent => f.write_str("the planner is silent"),
            Incident::Partition(pairs) => parted(f, pairs),
            Incident::LateList { depot: None, by } => write!(f, "the list is {by} late"),
            Incident::LateList { depot: Some(depot), by } => {
                write!(f, "depot {depot} has the list {by} late")
            }
            Incident::LostAnswers(share) => write!(f, "{:.1} % of the answers are lost", share * 100.0),
            Incident::Resets(share) => write!(f, "{:.1} % of the requests are reset", share * 100.0),
            Incident::LostMessages(share) => write!(f, "{:.0} % of the messages are lost", share * 100.0),
            Incident::Shift { depot, factor } => write!(f, "{factor:.1} times the requests at depot {depot}"),
            Incident::Impatient { share, hurry } => {
                write!(
                    f,
                    "clients leave {:.0} % of their tries, and come again {hurry:.1} times sooner",
                    share * 100.0
                )
            }
            Incident::Hasty(Haste { share, gives, again }) => {
                let share = share * 100.0;
                write!(f, "{share:.0} % of the clients give a try {gives} and come again {again} times")
            }
            Incident::Drain(boxes) => write!(f, "{} boxes drain", boxes.len()),
            Incident::Join(boxes) => write!(f, "{} boxes join", boxes.len()),
            Incident::Burst { factor, keys, .. } => {
                write!(f, "{factor:.1} times the requests, on {keys} keys")
            }
        }
    }
}

fn parted(f: &mut std::fmt::Formatter<'_>, pairs: &[(usize, usize)]) -> std::fmt::Result {
    let common = |depot: usize| pairs.iter().all(|(from, to)| *from == depot || *to == depot);
    match *pairs {
        [(a, b)] => write!(f, "nothing passes from depot {a} to depot {b}"),
        [(a, b), (c, d)] if (a, b) == (d, c) => write!(f, "depots {a} and {b} are parted"),
        _ => match pairs.iter().flat_map(|(from, to)| [*from, *to]).find(|depot| common(*depot)) {
            Some(depot) if pairs.iter().all(|(from, _)| *from == depot) => {
                write!(f, "nothing comes out of depot {depot}")
            }
            Some(depot) => write!(f, "depot {depot} is cut off"),
            None => write!(f, "{} ways between depots are cut", pairs.len()),
        },
    }
}

/// An incident and its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Scheduled {
    /// When it begins.
    pub at: Time,
    /// How long it lasts.
    pub lasts: Span,
    /// What it is.
    pub incident: Incident,
}

/// A day.
#[derive(Clone, Debug, PartialEq)]
pub struct Day {
    /// The scenario's name.
    pub name: String,
    /// What all chance of the day comes from.
    pub seed: u64,
    /// Requests come for so long; then what is open is answered.
    pub length: Span,
    /// Depots by name.
    pub depots: Vec<String>,
    /// Each node's depot.
    pub nodes: Vec<usize>,
    /// All boxes of the day, those included that join later.
    pub boxes: Vec<BoxSpec>,
    /// Boxes that run when the day begins.
    pub running: Vec<BoxId>,
    /// The planner.
    pub planner: PlannerSpec,
    /// The list.
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
    /// The rules' figures.
    pub rules: RulesSpec,
    /// What is allowed.
    pub limits: LimitsSpec,
    /// What a result is made of.
    pub goal: GoalSpec,
    /// What happens, in order of time.
    pub incidents: Vec<Scheduled>,
}

impl Day {
    /// The longest deadline of any class.
    pub fn longest_deadline(&self) -> Span {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
    }

    /// What a node is told at its start, in the platform's words.
    pub fn settings(&self, node: NodeId) -> Value {
        let effect = |effect| match effect {
            Effect::Free => "free",
            Effect::Guarded => "guarded",
            Effect::SingleShot => "single_shot",
        };
        let grade = |c: &ClassSpec| {
            json!({
                "name": c.name, "effect": effect(c.effect), "group": "all", "streamed": false,
                "hard-limit-s": c.deadline.as_secs(), "target-s": c.aim.as_secs(),
                "importance": c.worth, "late-worth": c.late_worth, "key-ttl-s": c.window.as_secs(),
            })
        };
        let tenant = |t: &TenantSpec| json!({"name": t.name, "share": t.share, "quota-per-s": t.quota});
        let (rules, limits) = (&self.rules, &self.limits);
        let idle = self.boxes.iter().map(|b| b.idle_close).min().unwrap_or(Span::from_millis(10_000));
        json!({
            "areas": self.depots, "locality": self.depots[self.nodes[node]],
            "balancers": self.nodes.len(), "me": node, "family": "cache",
            "family-info": {
                "mode": "through", "origin-kind": -1,
                "origin-fall-multiple": rules.planner_multiple, "origin-fall-s": rules.planner_for.as_secs(),
            },
            "grades": self.classes.iter().map(grade).collect::<Vec<_>>(),
            "tenants": self.tenants.iter().map(tenant).collect::<Vec<_>>(),
            "guarantees": {
                "ask-every-s": 10.0, "cold-from": rules.cold_from, "ramp-time-s": rules.ramp.as_secs(),
                "drain-grace-s": rules.drain_grace.as_secs(), "fall-multiple": rules.fall_multiple,
                "fall-s": rules.fall_for.as_secs(), "grace-to-answer-s": rules.answer_grace.as_secs(),
            },
            "limits": {
                "cancel": limits.cancel, "probes": limits.probes, "peers": limits.peers,
                "parallel-tries": limits.second_copies, "retry-after": limits.retry_after,
                "max-attempts": limits.max_attempts, "dial-timeout-s": limits.dial_timeout.as_secs(),
                "max-retry-after-s": self.clients.most_advice.as_secs(), "idle-close-s": idle.as_secs(),
                "multiplex": 32, "max-open": 20000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 80000,
            },
            "membership-mode": "pushed", "weight-source": "nominal", "worth-by": "work", "round-s": 0.005,
            "over-share-worth": self.goal.over_share_worth,
            "prices": {"cross-zone": self.goal.prices.cross_zone, "probe": self.goal.prices.probe},
            "report": if limits.reports {
                json!({"how": "inline", "fields": ["inflight", "util", "qps"]})
            } else {
                json!({"how": "off", "fields": []})
            },
        })
    }
}

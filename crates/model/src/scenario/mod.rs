//! Scenarios: the TOML files that describe a fleet, its clients and what happens to them, with ranges that each seed
//! draws from.

mod check;
mod draw;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::cache_box::WarmBy;
use crate::chance::Spread;
use crate::day::{Effect, Entry, LimitsSpec};
use crate::range::{Bytes, Range};
use crate::store::Evict;
use crate::time::Span;

const fn ms(ms: u64) -> Span {
    Span::from_millis(ms)
}

const fn s(seconds: u64) -> Span {
    Span::from_millis(seconds * 1000)
}

/// A scenario file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// The form of this file; 1 is the only one.
    pub version: u32,
    /// A short name.
    pub name: String,
    /// What it is about, in a line.
    pub about: String,
    /// Requests come for so long.
    pub length: Range<Span>,
    /// Depots by name; boxes and nodes are dealt out to them in turn.
    pub depots: Vec<String>,
    /// The nodes.
    pub nodes: Nodes,
    /// The planner.
    pub planner: PlannerFile,
    /// The list of boxes.
    pub list: ListFile,
    /// The network.
    pub network: NetworkFile,
    /// The clients.
    pub clients: ClientsFile,
    /// The keys that they ask for.
    pub keys: KeysFile,
    /// Figures of the four rules.
    pub rules: RulesFile,
    /// What the deployment allows.
    pub limits: LimitsSpec,
    /// What a result is made of.
    pub goal: GoalFile,
    /// Kinds of boxes; without any, seven large and five small ones.
    pub boxes: Vec<BoxKind>,
    /// Request classes; without any, reads and keyed writes.
    pub classes: Vec<ClassFile>,
    /// Tenants; may be none.
    pub tenants: Vec<TenantFile>,
    /// What happens, and when.
    pub incidents: Vec<IncidentFile>,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            version: 1,
            name: "unnamed".into(),
            about: String::new(),
            length: Range::one(s(60)),
            depots: ["north", "east", "south", "west"].map(String::from).to_vec(),
            nodes: Nodes::default(),
            planner: PlannerFile::default(),
            list: ListFile::default(),
            network: NetworkFile::default(),
            clients: ClientsFile::default(),
            keys: KeysFile::default(),
            rules: RulesFile::default(),
            limits: LimitsSpec::default(),
            goal: GoalFile::default(),
            boxes: vec![BoxKind::default(), BoxKind::small()],
            classes: vec![ClassFile::default(), ClassFile::write()],
            tenants: Vec::new(),
            incidents: Vec::new(),
        }
    }
}

/// The nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Nodes {
    /// How many.
    pub count: Range<u32>,
    /// How unlike their parts of the traffic are: their deviation, as a share of the mean.
    pub unlike: Range<f64>,
}

impl Default for Nodes {
    fn default() -> Self {
        Nodes { count: Range::of(3, 5), unlike: Range::of(0.9, 1.8) }
    }
}

/// A kind of boxes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BoxKind {
    /// Its name.
    pub kind: String,
    /// How many run when the day begins.
    pub count: Range<u32>,
    /// Cores.
    pub cores: Range<f64>,
    /// What a core does, against a standard one.
    pub speed: Range<f64>,
    /// Its size on the list.
    pub size: f64,
    /// Requests in service at once, a core.
    pub slots_per_core: Range<f64>,
    /// Requests that may wait, a core.
    pub waiting_per_core: Range<f64>,
    /// Requests held a core from which on it gets less efficient.
    pub crowd_from: Range<f64>,
    /// Efficiency lost for each one more a core, as a share.
    pub crowd_loss: Range<f64>,
    /// Open connections at most, a core.
    pub connections_per_core: Range<f64>,
    /// Work that a new connection costs.
    pub connection_work: Range<Span>,
    /// Share of its capacity that a full table of connections takes.
    pub table_tax: Range<f64>,
    /// It closes connections that are idle for so long.
    pub idle_close: Range<Span>,
    /// Work that a probe costs.
    pub probe_work: Range<Span>,
    /// Load reports are made so often.
    pub report_period: Range<Span>,
    /// Load reports are told so late.
    pub report_delay: Range<Span>,
    /// Load reports are off by about this share.
    pub report_noise: Range<f64>,
    /// Share of its capacity just after a start.
    pub cold_from: Range<f64>,
    /// Warm after this long.
    pub ramp: Range<Span>,
    /// By what it warms up: "time" or "work".
    pub warm_by: WarmBy,
    /// Memory for copies.
    pub memory: Range<Bytes>,
    /// Which copy goes first: "lru" or "fifo".
    pub evict: Evict,
    /// How long a copy is good.
    pub ttl: Range<Span>,
    /// Fetches out at once, for each slot.
    pub fetches_per_slot: Range<f64>,
    /// A fetch that takes longer has failed.
    pub fetch_timeout: Range<Span>,
    /// How often a failed fetch is made again.
    pub fetch_retries: Range<u32>,
    /// Misses of one key share a fetch.
    pub joins: bool,
    /// Chance that requests of this day's boxes keep their slot while they wait for a fetch.
    pub miss_holds: f64,
    /// Work that a miss adds, as a share of the request's.
    pub miss_extra: Range<f64>,
    /// Chance that cancelled requests that still wait are dropped, on this day's boxes.
    pub drops_cancelled: f64,
    /// Requests whose deadline has passed are turned away when their turn comes.
    pub drops_expired: bool,
    /// Share of requests that end in an error.
    pub error_rate: Range<f64>,
}

impl Default for BoxKind {
    fn default() -> Self {
        BoxKind {
            kind: "large".into(),
            count: Range::one(7),
            cores: Range::one(3.0),
            speed: Range::of(0.85, 1.1),
            size: 2.9,
            slots_per_core: Range::one(1.0),
            waiting_per_core: Range::of(1.0, 3.0),
            crowd_from: Range::one(5.0),
            crowd_loss: Range::one(0.0),
            connections_per_core: Range::of(600.0, 900.0),
            connection_work: Range::of(ms(1), ms(3)),
            table_tax: Range::of(0.03, 0.14),
            idle_close: Range::one(s(10)),
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
            miss_extra: Range::one(0.1),
            drops_cancelled: 0.5,
            drops_expired: false,
            error_rate: Range::of(0.0, 0.001),
        }
    }
}

impl BoxKind {
    fn small() -> Self {
        BoxKind {
            kind: "small".into(),
            count: Range::one(5),
            cores: Range::one(2.0),
            speed: Range::of(0.51, 0.69),
            size: 1.2,
            ..BoxKind::default()
        }
    }
}

/// The planner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct PlannerFile {
    /// Fetches in work at once.
    pub places: Range<u32>,
    /// Mean time of a fetch.
    pub time: Range<Span>,
    /// Deviation of a fetch's time, as a share of the mean.
    pub cv: Range<f64>,
    /// A write takes so many times a fetch's work.
    pub write_times: Range<f64>,
    /// Calls that would wait longer are failed at once.
    pub queue: Range<Span>,
    /// Work grows by this share for each call that waits, a place.
    pub thrash: Range<f64>,
    /// It stops when sent more than this many times its capacity; 0 bears all.
    pub fall_multiple: f64,
    /// How long it must be sent that much.
    pub fall_for: Span,
    /// How long it stops.
    pub down_for: Range<Span>,
    /// How often a day it stops at most.
    pub stops: u32,
}

impl Default for PlannerFile {
    fn default() -> Self {
        PlannerFile {
            places: Range::of(20, 28),
            time: Range::of(ms(120), ms(170)),
            cv: Range::of(0.3, 0.9),
            write_times: Range::of(1.0, 2.0),
            queue: Range::of(ms(300), ms(3800)),
            thrash: Range::of(0.0, 0.1),
            fall_multiple: 2.5,
            fall_for: s(3),
            down_for: Range::of(s(3), s(8)),
            stops: 2,
        }
    }
}

/// How the list comes to know, and tells.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ListFile {
    /// A process that has started is listed after this.
    pub add: Range<Span>,
    /// One that drains or has ended is noticed after this.
    pub notice: Range<Span>,
    /// A silent machine is noticed after this.
    pub silent_notice: Range<Span>,
    /// Nodes are told at most so much after each other.
    pub spread: Range<Span>,
}

impl Default for ListFile {
    fn default() -> Self {
        ListFile {
            add: Range::of(ms(420), ms(2200)),
            notice: Range::of(ms(900), ms(3300)),
            silent_notice: Range::of(ms(7400), s(12)),
            spread: Range::of(ms(180), ms(1300)),
        }
    }
}

/// The network.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct NetworkFile {
    /// One way within a depot.
    pub same: Range<Span>,
    /// One way between depots.
    pub cross: Range<Span>,
    /// One way between a client and its node.
    pub client: Range<Span>,
    /// Deviation of each delay, as a share of it.
    pub jitter: Range<f64>,
    /// Round trips that a new connection takes.
    pub handshake_rtts: Range<f64>,
    /// One way for a message between nodes.
    pub message: Range<Span>,
    /// Share of messages that are lost.
    pub message_loss: Range<f64>,
}

impl Default for NetworkFile {
    fn default() -> Self {
        NetworkFile {
            same: Range::of(Span(90), Span(270)),
            cross: Range::of(Span(2800), Span(5200)),
            client: Range::of(Span(50), Span(90)),
            jitter: Range::of(0.1, 0.25),
            handshake_rtts: Range::of(2.0, 3.0),
            message: Range::of(Span(1600), ms(15)),
            message_loss: Range::of(0.0, 0.01),
        }
    }
}

/// A point of the day's course.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// When.
    pub at: Span,
    /// Times the rate.
    pub times: f64,
}

/// The clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ClientsFile {
    /// Requests a second, over all nodes.
    pub rate: Range<f64>,
    /// The rate's course: even between its points, flat beyond them, and none for a flat day.
    pub curve: Vec<Point>,
    /// How clients reach nodes: "own", a node for each client process, or "front", which deals tries out.
    pub entry: Entry,
    /// A front notices a dead node after this long.
    pub front_notice: Range<Span>,
    /// Further tries after the first.
    pub retries: Range<u32>,
    /// A try is given up after this share of its class's deadline.
    pub try_share: Range<f64>,
    /// First wait before a further try; doubled each time.
    pub backoff: Range<Span>,
    /// Share of clients that heed the advice of a refusal.
    pub honours: Range<f64>,
    /// Advice is heeded up to this long.
    pub most_advice: Span,
    /// Share of tries that clients leave early.
    pub abandons: Range<f64>,
    /// Requests carry a guess of their work.
    pub hints: bool,
    /// The guess is off by about this share.
    pub hint_noise: Range<f64>,
    /// An attempt's work differs from its request's by about this share.
    pub attempt_noise: Range<f64>,
}

impl Default for ClientsFile {
    fn default() -> Self {
        ClientsFile {
            rate: Range::one(200.0),
            curve: Vec::new(),
            entry: Entry::Own,
            front_notice: Range::one(s(2)),
            retries: Range::of(1, 2),
            try_share: Range::of(0.5, 0.8),
            backoff: Range::of(ms(30), ms(240)),
            honours: Range::of(0.7, 1.0),
            most_advice: s(1),
            abandons: Range::one(0.0),
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
    /// How many there are.
    pub count: Range<u32>,
    /// Popularity falls as (rank + offset) to the power of this.
    pub zipf: Range<f64>,
    /// Flattens the head.
    pub offset: Range<f64>,
    /// Share of the ranks that go to another key each second.
    pub drift: Range<f64>,
    /// Keys that change at the planner by themselves, a second, as a share of all.
    pub changes: Range<f64>,
    /// Mean size of a value.
    pub size: Range<Bytes>,
    /// Deviation of the sizes, as a share of the mean.
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
            size: Range::one(Bytes(600)),
            size_cv: Range::of(0.2, 0.8),
        }
    }
}

/// Figures of the four rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct RulesFile {
    /// A final answer counts until this long past its client's deadline.
    pub answer_grace: Span,
    /// Sends to a draining box end within this time.
    pub drain_grace: Span,
    /// A cold box falls over when sent more than this many times what it can do; 0 bears all.
    pub fall_multiple: f64,
    /// Time over which that is counted.
    pub fall_for: Span,
}

impl Default for RulesFile {
    fn default() -> Self {
        RulesFile { answer_grace: ms(20), drain_grace: s(1), fall_multiple: 3.0, fall_for: s(3) }
    }
}

/// What a result is made of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct GoalFile {
    /// Weight of the whole day.
    pub whole: f64,
    /// Weight of the worst 10 s.
    pub worst_window: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served tenant, within its share.
    pub worst_tenant: f64,
    /// Worth of requests beyond a tenant's share, as a share.
    pub over_share_worth: f64,
    /// Worth counts for each unit of work; otherwise for each request.
    pub by_work: bool,
    /// Price of work at boxes that gave no answer, at as much as was asked for.
    pub waste: f64,
    /// Price of failing after the aim, at all worth.
    pub late_fail: f64,
    /// Price of a new connection for each request.
    pub handshake: f64,
    /// Price of 100 open connections a box.
    pub connection: f64,
    /// Price of a probe for each request.
    pub probe: f64,
    /// Price of a full message for each request.
    pub peer: f64,
    /// Price of each request crossing depots once.
    pub cross_zone: f64,
    /// Price of an entry of the list told for each request.
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

/// A request class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ClassFile {
    /// Its name.
    pub name: String,
    /// Its part of the requests.
    pub share: Range<f64>,
    /// Mean work, in time of a standard core.
    pub work: Range<Span>,
    /// How work is spread: "fixed", "log-normal" or "pareto".
    pub spread: Spread,
    /// Deviation of the work, as a share of the mean.
    pub cv: Range<f64>,
    /// Answered within this time it earns its worth.
    pub aim: Span,
    /// Its client waits this long, over all tries.
    pub deadline: Span,
    /// Worth of an answer within the aim.
    pub worth: f64,
    /// Share of that which a later answer still earns.
    pub late_worth: f64,
    /// May it run again: "free", "guarded" or "single-shot".
    pub effect: Effect,
    /// How long boxes drop repeats of a guarded one.
    pub window: Span,
    /// It writes.
    pub write: bool,
}

impl Default for ClassFile {
    fn default() -> Self {
        ClassFile {
            name: "lookup".into(),
            share: Range::one(0.963),
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
    fn write() -> Self {
        ClassFile {
            name: "report".into(),
            share: Range::one(0.037),
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
    /// Its name.
    pub name: String,
    /// Its share of the service.
    pub share: f64,
    /// Requests a second within that share.
    pub quota: f64,
    /// Its part of the requests.
    pub usage: Range<f64>,
}

/// What an incident does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum IncidentKind {
    /// Machines say nothing, and come back empty.
    Silent,
    /// Machines are `factor` times slower.
    Slow,
    /// Machines fail `share` of what they are asked.
    Erring,
    /// Processes of boxes end at once, and come back empty; with `each`, in steps.
    Kill,
    /// `share` of `class` costs `factor` times the work.
    Heavy,
    /// Nodes die, and come back with their last list; with `each`, in steps.
    NodeDeath,
    /// Nodes are told to stop, finish and come back; with `each`, in steps.
    NodeRestart,
    /// The list tells nothing.
    ListOutage,
    /// The planner is `factor` times slower.
    PlannerSlow,
    /// The planner says nothing.
    PlannerSilent,
    /// Nothing passes between the two `depots`; with `one_way`, from the first to the second.
    Partition,
    /// Nothing passes between `depot` and the others; with `one_way`, nothing comes out of it.
    CutOff,
    /// The list reaches the nodes of `depot`, or of all, later `by` so much.
    LateList,
    /// `share` of the boxes' answers never arrives.
    LostAnswers,
    /// `share` of the requests has its connection reset when it would be answered.
    Resets,
    /// `share` of the messages between nodes is lost.
    LostMessages,
    /// `factor` times the requests at the nodes of `depot`.
    Shift,
    /// Clients leave `share` of their tries early, and come again `factor` times sooner.
    Impatient,
    /// `share` of the clients give each try no more time than `by`, and come again at once, whatever they are advised,
    /// up to `rounds` times and while their request has time.
    Hasty,
    /// Boxes drain, and end with the incident.
    Drain,
    /// Boxes of the first kind join, cold.
    Join,
    /// Boxes drain and are replaced by new ones, cold, when they end; with `each`, in steps; with `rounds`, again.
    Replace,
    /// `factor` times the requests, `share` of them for `keys` keys.
    Burst,
}

impl IncidentKind {
    /// It strikes boxes, and says which.
    pub(crate) fn strikes_boxes(self) -> bool {
        use IncidentKind as K;
        matches!(self, K::Silent | K::Slow | K::Erring | K::Kill | K::Drain | K::Join | K::Replace)
    }

    /// It strikes nodes, and says which.
    pub(crate) fn strikes_nodes(self) -> bool {
        matches!(self, IncidentKind::NodeDeath | IncidentKind::NodeRestart)
    }
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct IncidentFile {
    /// What it is.
    pub kind: IncidentKind,
    /// When it begins.
    pub at: Range<Span>,
    /// How long it lasts; without it, to the day's end.
    pub lasts: Option<Range<Span>>,
    /// Chance that it happens at all; without it, always.
    pub chance: Option<f64>,
    /// How many boxes it strikes.
    pub boxes: Option<Range<u32>>,
    /// What share of the boxes or nodes it strikes, at least one.
    pub part: Option<Range<f64>>,
    /// How many nodes it strikes.
    pub nodes: Option<Range<u32>>,
    /// Times slower, heavier or more.
    pub factor: Option<Range<f64>>,
    /// Share of the requests.
    pub share: Option<Range<f64>>,
    /// Name of the class.
    pub class: Option<String>,
    /// Name of a depot, or "any" for one that the seed draws: what it strikes is there, and all of it without a number.
    pub depot: Option<String>,
    /// How much later, or how long.
    pub by: Option<Range<Span>>,
    /// Only one way is cut.
    pub one_way: Option<bool>,
    /// Names of two depots.
    pub depots: Option<[String; 2]>,
    /// Number of keys.
    pub keys: Option<Range<u32>>,
    /// Strikes one after the other, so much apart, and not all at once.
    pub each: Option<Span>,
    /// Strikes in so many groups, `each` apart, and not one by one.
    pub steps: Option<u32>,
    /// So many times over: replacements are replaced in their turn, and hasty clients come again.
    pub rounds: Option<u32>,
    /// Replacements have the addresses of those that they replace.
    pub same_address: Option<bool>,
}

/// Something in a scenario that makes no sense, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {what}")]
pub struct Wrong {
    /// The field, as `incidents[2].boxes`.
    pub path: String,
    /// What was expected, and what was found.
    pub what: String,
}

/// A scenario that cannot be read, with the place in its text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{line}:{column}: {path}: {what}")]
pub struct Unreadable {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1, in characters.
    pub column: usize,
    /// The field.
    pub path: String,
    /// What was expected, and what was found.
    pub what: String,
}

impl Scenario {
    /// The same day for so many nodes: boxes, requests, keys, the planner and connections in proportion, so that each
    /// node and each box meets what it did. A scenario that has no more nodes stays as it is.
    #[must_use]
    pub fn scaled(&self, nodes: u32) -> Scenario {
        let mut scaled = self.clone();
        let part = f64::from(nodes) / f64::from(self.nodes.count.high.max(1));
        if part >= 1.0 {
            return scaled;
        }
        let count = |many: Range<u32>| {
            let part = |n: u32| (f64::from(n) * part).round().max(1.0) as u32;
            Range { low: part(many.low), high: part(many.high) }
        };
        let amount = |many: Range<f64>| Range { low: many.low * part, high: many.high * part };
        scaled.nodes.count = count(self.nodes.count);
        scaled.clients.rate = amount(self.clients.rate);
        scaled.planner.places = count(self.planner.places);
        scaled.keys.count = count(self.keys.count);
        for kind in &mut scaled.boxes {
            kind.count = count(kind.count);
            kind.connections_per_core = amount(kind.connections_per_core);
        }
        for incident in &mut scaled.incidents {
            incident.boxes = incident.boxes.map(count);
            incident.nodes = incident.nodes.map(count);
        }
        scaled
    }

    /// The same day, ended earlier: what would begin behind its end does not.
    #[must_use]
    pub fn shortened(&self, length: Span) -> Scenario {
        let mut shortened = self.clone();
        if length < self.length.low {
            shortened.length = Range::one(length);
            shortened.incidents.retain(|incident| incident.at.high < length);
        }
        shortened
    }

    /// Reads and checks a file's text.
    ///
    /// # Errors
    /// Names line, column, field and what was expected.
    pub fn parse(text: &str) -> Result<Self, Unreadable> {
        let at = |offset: usize, path: String, what: String| {
            let before = &text[..offset.min(text.len())];
            let line = before.matches('\n').count() + 1;
            let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
            Unreadable { line, column, path, what }
        };
        let start = |error: &toml::de::Error| error.span().map_or(0, |span| span.start);
        let told = |error: &toml::de::Error| error.message().replace('\n', ", ");
        let document = toml::Deserializer::parse(text).map_err(|e| at(start(&e), "file".into(), told(&e)))?;
        let scenario: Scenario = serde_path_to_error::deserialize(document).map_err(|error| {
            let path = error.path().to_string();
            let inner = error.into_inner();
            at(start(&inner), if path == "." { "file".into() } else { path }, told(&inner))
        })?;
        scenario
            .check()
            .map_err(|Wrong { path, what }| at(crate::locate::offset(text, &path), path, what))?;
        Ok(scenario)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const FILE: &str = r#"version = 1
name = "t"

[nodes]
count = 3

[[boxes]]
kind = "a"
count = 4

[[incidents]]
kind = "silent"
at = ["10s", "20s"]
lasts = "8s"
boxes = 2

[[incidents]]
kind = "drain"
at = "30s"
lasts = "5s"
boxes = 3
"#;

    #[test]
    fn the_same_seed_draws_the_same_day_and_another_one_another() {
        let scenario = Scenario::parse(FILE).unwrap();
        let day = scenario.draw(1).unwrap();
        assert_eq!(day, scenario.draw(1).unwrap());
        assert_ne!(day.incidents, scenario.draw(2).unwrap().incidents);
        assert!((10_000_000..=20_000_000).contains(&day.incidents[0].at.0));
        assert_eq!((day.boxes.len(), day.nodes.len()), (4, 3));
    }

    #[test]
    fn defaults_make_a_fleet_and_its_settings_are_read() {
        let day = Scenario::parse("version = 1").unwrap().draw(1).unwrap();
        assert_eq!(day.boxes.len(), 12);
        let settings = hallpin_decisions::Settings::from_json(&day.settings(0)).unwrap();
        settings.validate().unwrap();
        assert_eq!(settings.classes.len(), 2);
    }

    #[test]
    fn what_is_wrong_is_told_with_its_place() {
        for (from, to, line, column, path, says) in [
            ("version = 1", "version = 2", 1, 11, "version", "1 expected, got 2"),
            ("count = 4", "count = 4\nwheels = 3", 10, 1, "boxes[0].wheels", "unknown field `wheels`"),
            ("count = 4", "count = -4", 9, 9, "boxes[0].count", "u32"),
            ("count = 3", "count = 0", 5, 9, "nodes.count", "at least 1 expected"),
            ("lasts = \"8s\"", "lasts = \"8\"", 14, 9, "incidents[0].lasts", "duration with its unit"),
            (
                "lasts = \"8s\"\n",
                "lasts = \"8s\"\nfactor = 2.0\n",
                15,
                10,
                "incidents[0].factor",
                "does not belong",
            ),
            ("boxes = 2", "boxes = 5", 15, 9, "incidents[0].boxes", "at most 4"),
            (
                "boxes = 3",
                "boxes = 3\n[[incidents]]\nkind = \"drain\"\nat = \"31s\"\nlasts = \"5s\"\nboxes = 2",
                26,
                9,
                "incidents[2].boxes",
                "5 boxes drain by then, and there are only 4",
            ),
            ("at = \"30s\"", "at = \"60s\"", 19, 6, "incidents[1].at", "before the day's end"),
            ("kind = \"drain\"", "kind = \"dance\"", 18, 8, "incidents[1].kind", "unknown variant `dance`"),
            ("name = \"t\"", "name = t", 2, 8, "file", "invalid"),
        ] {
            let text = FILE.replacen(from, to, 1);
            assert_ne!(text, FILE, "{from}");
            let error = Scenario::parse(&text).expect_err(to);
            assert_eq!((error.line, error.column, &error.path[..]), (line, column, path), "{to}: {error}");
            assert!(error.what.contains(says), "{to}: {error}");
        }
    }

    #[test]
    fn a_truncated_file_is_an_error_or_a_scenario_and_never_a_panic() {
        for end in 0..=FILE.len() {
            let _ = Scenario::parse(&FILE[..end]);
        }
    }

    #[test]
    fn a_written_scenario_is_read_back() {
        let scenario = Scenario::parse(FILE).unwrap();
        let written = toml::to_string(&scenario).unwrap();
        assert_eq!(Scenario::parse(&written).unwrap(), scenario);
    }
}

//! The referee: reads a trace and nothing else, and judges the four rules, the worth that was served, and who lost
//! the rest.
//!
//! It shares no code with the parts that it judges. Its memory follows what is open, not the day's length.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hdrhistogram::Histogram;
use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::day::{Day, Effect, NodeId};
use crate::list::{BoxId, Phase};
use crate::store::KeyId;
use crate::time::{Span, Time};
use crate::trace::{AskId, Ended, Event, How, Sink, TryId};

/// Length of the windows whose worst counts.
const WINDOW: Span = Span(10_000_000);
/// Breaches that are kept in words; all are counted.
const MOST_TOLD: usize = 100;
/// Share of the work that brings a box down from which nodes that knew of its start are to blame.
const INFORMED: f64 = 2.0 / 3.0;
/// Share of the planner's load, and of the reads that are due to cold boxes, beyond which their misses are to blame.
const COLD_SHARE: f64 = 0.3;
const COLD_OVER_DUE: f64 = 1.25;
/// Part of the aim for which nothing may be out for a request that is then given up: longer, and it was kept waiting.
const HELD: f64 = 0.5;
/// Keys with nothing out that are remembered before those of long ago are forgotten.
const MOST_IDLE_KEYS: usize = 10_000;
/// A window counts as one of the day's where it has this share of the mean window's worth.
const THIN: f64 = 0.2;

/// The four rules, and the operators' term on what is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final answer per request taken, and in time.
    Lost,
    /// Repeats within what the class allows.
    Repeated,
    /// Drains honoured.
    Drain,
    /// Cold boxes and the planner not pushed over.
    Cold,
    /// What is given up is answered at once, and a refusal says when to come back.
    Waited,
}

/// A rule was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// Which.
    pub rule: Rule,
    /// When, in microseconds.
    pub at: Time,
    /// What happened.
    pub what: String,
}

/// What became of a request that earned less than its full worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Loss {
    /// Refused, and not asked again in time.
    Refused,
    /// Refused or failed after over half of its time, with nothing sent for it.
    RefusedLate,
    /// Answered with a failure.
    Failed,
    /// Its client stopped waiting.
    NoAnswer,
    /// Its node was down, or died with it.
    NodeDown,
    /// Served after its aim.
    Late,
    /// Still open when the day ended.
    Open,
}

/// Sums over some of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Worth {
    /// Requests.
    pub requests: u64,
    /// Worth asked for.
    pub asked: f64,
    /// Worth served.
    pub served: f64,
}

impl Worth {
    /// Served of asked; 1 where nothing was asked.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 {
            self.served / self.asked
        } else {
            1.0
        }
    }

    fn ask(&mut self, worth: f64) {
        self.requests += 1;
        self.asked += worth;
    }
}

/// One second of the day.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    /// Worth asked for by requests that began in it.
    pub asked: f64,
    /// Of that, what was served.
    pub served: f64,
    /// Requests that began in it.
    pub requests: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Final refusals.
    pub rejected: u64,
    /// Final failures.
    pub failed: u64,
    /// Calls to the planner.
    pub planner: u64,
    /// Of those, from cold boxes.
    pub planner_cold: u64,
}

/// What became of a class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassVerdict {
    /// Its name.
    pub name: String,
    /// Its worth.
    pub worth: Worth,
    /// Requests served within the aim, and after it.
    pub in_aim: u64,
    /// Requests served after the aim.
    pub late: u64,
    /// Requests that earned nothing.
    pub unserved: u64,
    /// Final answers of nodes to tries.
    pub completed: u64,
    /// Refusals.
    pub rejected: u64,
    /// Failures.
    pub failed: u64,
    /// Time from a request's first sending to its answer, in microseconds; served ones only.
    #[serde(skip)]
    pub latency: Histogram<u64>,
}

/// What a day comes to.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The result: the goal's mix of shares, less the prices; 0 to 1.
    pub g: f64,
    /// Breaches of each rule.
    pub breaches: BTreeMap<Rule, u64>,
    /// The first of them in words.
    pub told: Vec<Breach>,
    /// All requests.
    pub whole: Worth,
    /// Share of the worst window of 10 s, and when it began.
    pub worst_window: (f64, Time),
    /// Each class.
    pub classes: Vec<ClassVerdict>,
    /// Each tenant, within its share.
    pub tenants: Vec<(String, Worth)>,
    /// Worth lost, by what became of it.
    pub losses: BTreeMap<Loss, f64>,
    /// What the prices take off.
    pub prices: f64,
    /// Attempts sent, and the share of them that was turned away as full.
    pub attempts: u64,
    /// Attempts turned away.
    pub turned_away: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Share of served reads that were hits.
    pub hits: f64,
    /// Calls to the planner, those of cold boxes, and times that it stopped.
    pub planner_calls: u64,
    /// Calls from cold boxes.
    pub planner_cold: u64,
    /// Stops of its own accord.
    pub planner_stops: u64,
    /// The most calls in any second.
    pub planner_peak: u64,
    /// Boxes that fell over.
    pub fallen: u64,
    /// New connections.
    pub connections: u64,
    /// Reads that were served a version older than one whose write its client had been told of.
    pub stale: u64,
    /// Second by second.
    pub seconds: Vec<Second>,
    /// Incidents: when each began and ended, and what it was.
    pub incidents: Vec<(Time, Option<Time>, String)>,
}

impl Verdict {
    /// No rule was broken.
    pub fn is_clean(&self) -> bool {
        self.breaches.is_empty()
    }
}

struct Asking {
    class: usize,
    tenant: Option<usize>,
    key: KeyId,
    work: f64,
    worth: f64,
    within: bool,
    first: Time,
    last: Loss,
}

struct Sent {
    number: u32,
    at: Time,
    ended: Option<Ended>,
}

struct Taken {
    ask: AskId,
    node: NodeId,
    at: Time,
    until: Time,
    class: usize,
    key: KeyId,
    /// What a read must be at least.
    version: u64,
    done: bool,
    sent: Vec<Sent>,
}

struct Cold {
    started: Time,
    from: f64,
    ramp: Span,
    /// Work of late: when, how much, and whether its sender knew of the start.
    work: VecDeque<(Time, f64, bool)>,
}

#[derive(Default)]
struct Known {
    phase: Option<Phase>,
    /// Since when it is not to be sent anything new.
    closing: Option<Time>,
    started: Option<Time>,
}

/// Judges a trace as it comes.
pub struct Referee {
    effects: Vec<(Effect, Span)>,
    aims: Vec<(Span, f64, f64)>,
    quotas: Vec<f64>,
    goal: crate::day::GoalSpec,
    answer_grace: Span,
    drain_grace: Span,
    fall_for: Span,
    planner_for: Span,
    unseen: Span,
    most_attempts: u32,
    second_copies: bool,
    /// Refusals carry advice.
    advises: bool,
    box_count: usize,

    now: Time,
    asks: FxHashMap<AskId, Asking>,
    tries: BTreeMap<TryId, Taken>,
    /// Attempts of a node that are out for a key, and when the last one ended.
    out: FxHashMap<(NodeId, KeyId), (u32, Time)>,
    due: BTreeSet<(Time, TryId)>,
    buckets: Vec<(f64, Time)>,
    told: FxHashMap<(NodeId, BoxId), Known>,
    sizes: Vec<Option<f64>>,
    cold: BTreeMap<BoxId, Cold>,
    planner_window: VecDeque<(Time, bool)>,
    reads: VecDeque<Time>,
    written: FxHashMap<KeyId, u64>,
    acknowledged: FxHashMap<KeyId, u64>,
    windows: Vec<Worth>,
    tenants: Vec<Worth>,
    worked: f64,
    useful: f64,
    asked_work: f64,
    late_fail: f64,
    probes: u64,
    message_bytes: u64,
    crossings: u64,
    entries: u64,
    open: FxHashMap<BoxId, u64>,
    open_sum: f64,
    open_now: u64,
    open_since: Time,
    read_hits: (u64, u64),
    verdict: Verdict,
}

impl Referee {
    /// A referee for this day's rules.
    pub fn new(day: &Day) -> Self {
        let class = |c: &crate::day::ClassSpec| ClassVerdict {
            name: c.name.clone(),
            worth: Worth::default(),
            in_aim: 0,
            late: 0,
            unserved: 0,
            completed: 0,
            rejected: 0,
            failed: 0,
            latency: latencies(),
        };
        Referee {
            effects: day.classes.iter().map(|c| (c.effect, c.window)).collect(),
            aims: day.classes.iter().map(|c| (c.aim, c.worth, c.late_worth)).collect(),
            quotas: day.tenants.iter().map(|t| t.quota).collect(),
            goal: day.goal.clone(),
            answer_grace: day.rules.answer_grace,
            drain_grace: day.rules.drain_grace,
            fall_for: day.rules.fall_for,
            planner_for: day.rules.planner_for,
            unseen: day.rules.unseen,
            most_attempts: day.limits.max_attempts,
            second_copies: day.limits.second_copies,
            advises: day.limits.retry_after && !day.clients.most_advice.is_zero(),
            box_count: day.running.len().max(1),
            now: Time::ZERO,
            asks: FxHashMap::default(),
            tries: BTreeMap::new(),
            out: FxHashMap::default(),
            due: BTreeSet::new(),
            buckets: day.tenants.iter().map(|t| (t.quota.max(1.0), Time::ZERO)).collect(),
            told: FxHashMap::default(),
            sizes: vec![None; day.boxes.len()],
            cold: BTreeMap::new(),
            planner_window: VecDeque::new(),
            reads: VecDeque::new(),
            written: FxHashMap::default(),
            acknowledged: FxHashMap::default(),
            windows: Vec::new(),
            tenants: vec![Worth::default(); day.tenants.len()],
            worked: 0.0,
            useful: 0.0,
            asked_work: 0.0,
            late_fail: 0.0,
            probes: 0,
            message_bytes: 0,
            crossings: 0,
            entries: 0,
            open: FxHashMap::default(),
            open_sum: 0.0,
            open_now: 0,
            open_since: Time::ZERO,
            read_hits: (0, 0),
            verdict: Verdict {
                g: 0.0,
                breaches: BTreeMap::new(),
                told: Vec::new(),
                whole: Worth::default(),
                worst_window: (1.0, Time::ZERO),
                classes: day.classes.iter().map(class).collect(),
                tenants: day.tenants.iter().map(|t| (t.name.clone(), Worth::default())).collect(),
                losses: BTreeMap::new(),
                prices: 0.0,
                attempts: 0,
                turned_away: 0,
                timed_out: 0,
                hits: 0.0,
                planner_calls: 0,
                planner_cold: 0,
                planner_stops: 0,
                planner_peak: 0,
                fallen: 0,
                connections: 0,
                stale: 0,
                seconds: Vec::new(),
                incidents: Vec::new(),
            },
        }
    }

    fn breach(&mut self, rule: Rule, at: Time, what: String) {
        *self.verdict.breaches.entry(rule).or_default() += 1;
        if self.verdict.told.len() < MOST_TOLD {
            self.verdict.told.push(Breach { rule, at, what });
        }
    }

    fn second(&mut self, at: Time) -> &mut Second {
        let index = (at.0 / 1_000_000) as usize;
        let seconds = &mut self.verdict.seconds;
        if seconds.len() <= index {
            seconds.resize(index + 1, Second::default());
        }
        &mut seconds[index]
    }

    // ---- Requests and their worth ---------------------------------------------------------------------

    fn asked(&mut self, at: Time, id: AskId, class: usize, tenant: Option<usize>, key: KeyId, work: f64) {
        let within = tenant.is_none_or(|t| self.is_within(at, t));
        let units = if self.goal.by_work { work / 1e6 } else { 1.0 };
        let share = if within { 1.0 } else { self.goal.over_share_worth };
        let worth = self.aims[class].1 * units * share;
        self.asked_work += work;
        self.verdict.whole.ask(worth);
        self.verdict.classes[class].worth.ask(worth);
        if let Some(tenant) = tenant.filter(|_| within) {
            self.tenants[tenant].ask(worth);
        }
        let window = (at.0 / WINDOW.0) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, Worth::default());
        }
        self.windows[window].ask(worth);
        let second = self.second(at);
        second.asked += worth;
        second.requests += 1;
        // Until a node takes a try of it.
        let last = Loss::NodeDown;
        self.asks.insert(id, Asking { class, tenant, key, work, worth, within, first: at, last });
    }

    /// A bucket of one second's quota for each tenant.
    fn is_within(&mut self, at: Time, tenant: usize) -> bool {
        let quota = self.quotas[tenant];
        let (tokens, since) = &mut self.buckets[tenant];
        *tokens = (*tokens + quota * at.since(*since).as_secs()).min(quota.max(1.0));
        *since = at;
        let within = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(within));
        within
    }

    fn received(&mut self, at: Time, id: AskId) {
        let Some(ask) = self.asks.remove(&id) else {
            return self.breach(Rule::Lost, at, format!("request {id} was served twice, or never asked"));
        };
        let (aim, _, late_worth) = self.aims[ask.class];
        let took = at.since(ask.first);
        let earned = if took <= aim { ask.worth } else { ask.worth * late_worth };
        self.useful += ask.work;
        let class = &mut self.verdict.classes[ask.class];
        // Out of range only beyond an hour, which saturates.
        class.latency.saturating_record(took.0.max(1));
        if took <= aim {
            class.in_aim += 1;
        } else {
            class.late += 1;
        }
        class.worth.served += earned;
        self.verdict.whole.served += earned;
        if let Some(tenant) = ask.tenant.filter(|_| ask.within) {
            self.tenants[tenant].served += earned;
        }
        self.windows[(ask.first.0 / WINDOW.0) as usize].served += earned;
        self.second(ask.first).served += earned;
        if earned < ask.worth {
            *self.verdict.losses.entry(Loss::Late).or_default() += ask.worth - earned;
        }
        if self.effects[ask.class].0 != Effect::Free {
            // Whoever asks from here on must not be served what was before this write.
            let version = self.written.get(&ask.key).copied().unwrap_or(0);
            self.acknowledged.insert(ask.key, version);
        }
    }

    fn gave_up(&mut self, at: Time, id: AskId, last: Option<Loss>) {
        let Some(ask) = self.asks.remove(&id) else { return };
        if at.since(ask.first) > self.aims[ask.class].0 {
            self.late_fail += ask.worth;
        }
        self.verdict.classes[ask.class].unserved += 1;
        *self.verdict.losses.entry(last.unwrap_or(ask.last)).or_default() += ask.worth;
    }

    // ---- Rule one: one final answer -------------------------------------------------------------------

    /// What should have been answered by now.
    fn overdue(&mut self, now: Time) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at < now) {
            self.due.pop_first();
            if self.tries.get(&id).is_some_and(|t| !t.done) {
                self.breach(Rule::Lost, at, format!("try {id} had no final answer in time"));
                self.finish(id);
            }
        }
    }

    /// No answer is owed from here on.
    fn finish(&mut self, id: TryId) {
        let Some(taken) = self.tries.get_mut(&id) else { return };
        taken.done = true;
        self.due.remove(&(taken.until + self.answer_grace, id));
        self.forget(id);
    }

    fn forget(&mut self, id: TryId) {
        if self.tries.get(&id).is_some_and(|t| t.done && t.sent.iter().all(|s| s.ended.is_some())) {
            self.tries.remove(&id);
        }
    }

    fn answered(&mut self, at: Time, id: TryId, how: How, version: Option<u64>) {
        let Some(taken) = self.tries.get(&id).filter(|t| !t.done) else {
            return self.breach(
                Rule::Lost,
                at,
                format!("try {id} was answered twice, or when none was owed"),
            );
        };
        let (class, ask) = (taken.class, taken.ask);
        let (effect, _) = self.effects[class];
        let ran = taken.sent.iter().any(|s| s.ended.is_none_or(Ended::may_have_run));
        let late = at.since(taken.at).0 * 2 > taken.until.since(taken.at).0;
        let unsent =
            taken.sent.iter().all(|s| s.ended == Some(Ended::Unreachable) || s.ended == Some(Ended::Void));
        let stale = version.is_some_and(|version| version < taken.version);
        let (completed, rejected) = (how == How::Completed, how == How::Rejected);
        if completed && !taken.sent.iter().any(|s| s.ended.is_none_or(|e| e == Ended::Success)) {
            self.breach(Rule::Lost, at, format!("try {id} was served what no box has made for it"));
        }
        if rejected && ran && effect == Effect::SingleShot {
            self.breach(Rule::Repeated, at, format!("try {id} was refused though it may have run"));
        }
        self.verdict.stale += u64::from(stale && completed && effect == Effect::Free);
        let c = &mut self.verdict.classes[class];
        match how {
            How::Completed => c.completed += 1,
            How::Rejected => c.rejected += 1,
            How::Failed => c.failed += 1,
        }
        let second = self.second(at);
        second.rejected += u64::from(rejected);
        second.failed += u64::from(how == How::Failed);
        let loss = match how {
            How::Completed => Loss::Late,
            _ if late && unsent => Loss::RefusedLate,
            How::Rejected => Loss::Refused,
            How::Failed => Loss::Failed,
        };
        if let Some(ask) = self.asks.get_mut(&ask) {
            ask.last = loss;
        }
        self.finish(id);
    }

    /// A refusal or a failure comes when it is decided: not after a time in which nothing was out for the try, nor for
    /// its key at its node, whose answer it might have shared.
    fn gave_up_on(&mut self, at: Time, id: TryId, how: How, advice: Option<Span>) {
        let Some(taken) = self.tries.get(&id).filter(|t| !t.done && how != How::Completed) else { return };
        let (out, ended) = self.out.get(&(taken.node, taken.key)).copied().unwrap_or((0, taken.at));
        let held = at.since(ended.max(taken.at));
        if out == 0 && held > self.aims[taken.class].0 * HELD + self.unseen {
            self.breach(
                Rule::Waited,
                at,
                format!("try {id} was given up {held} after anything was out for it"),
            );
        }
        if how == How::Rejected && self.advises && advice.is_none_or(Span::is_zero) {
            self.breach(Rule::Waited, at, format!("try {id} was refused and not told when to come back"));
        }
    }

    /// An attempt for this key is out from here on, or is over.
    fn is_out(&mut self, at: Time, node: NodeId, key: KeyId, begins: bool) {
        let (out, ended) = self.out.entry((node, key)).or_insert((0, at));
        (*out, *ended) = if begins { (*out + 1, *ended) } else { (out.saturating_sub(1), at) };
        if self.out.len() > MOST_IDLE_KEYS {
            let longest = self.aims.iter().map(|(aim, ..)| *aim).max().unwrap_or_default();
            self.out.retain(|_, (out, ended)| *out > 0 || at.since(*ended) <= longest);
        }
    }

    fn abandoned(&mut self, id: TryId, at: Time) {
        let Some(taken) = self.tries.get(&id) else { return };
        if let Some(ask) = self.asks.get_mut(&taken.ask) {
            ask.last = Loss::NoAnswer;
        }
        // One who leaves before the time is owed nothing; one whose time is up still is, for the grace.
        if at < taken.until {
            self.finish(id);
        }
    }

    fn node_down(&mut self, at: Time, node: NodeId, planned: bool) {
        let held: Vec<TryId> = self.tries.iter().filter(|(_, t)| t.node == node).map(|(id, _)| *id).collect();
        for id in held {
            let Some(taken) = self.tries.remove(&id) else { continue };
            self.due.remove(&(taken.until + self.answer_grace, id));
            if taken.done {
                continue;
            }
            if let Some(ask) = self.asks.get_mut(&taken.ask) {
                ask.last = Loss::NodeDown;
            }
            if planned {
                self.breach(
                    Rule::Lost,
                    at,
                    format!("try {id} was open when node {node} left as it was told to"),
                );
            }
        }
        self.told.retain(|(n, _), _| *n != node);
        self.out.retain(|(n, _), _| *n != node);
    }

    // ---- Rules two and three: sends -------------------------------------------------------------------

    fn sent(&mut self, at: Time, id: TryId, attempt: u32, node: NodeId, to: BoxId) {
        self.verdict.attempts += 1;
        self.second(at).attempts += 1;
        let known = self.told.get(&(node, to));
        let late = known.and_then(|k| k.closing).filter(|since| at > *since + self.drain_grace);
        if known.and_then(|k| k.phase).is_none() {
            self.breach(Rule::Drain, at, format!("node {node} sent to box {to}, which its list never named"));
        } else if let Some(since) = late {
            let held = at.since(since);
            self.breach(Rule::Drain, at, format!("node {node} sent to box {to} {held} after it was told"));
        }
        let (copies, most) = (self.second_copies, self.most_attempts);
        let Some(taken) = self.tries.get_mut(&id).filter(|t| !t.done) else {
            return self.breach(Rule::Lost, at, format!("try {id} was sent on after its end"));
        };
        let out = taken.sent.iter().filter(|s| s.ended.is_none()).count();
        let mut ran = taken.sent.iter().filter(|s| s.ended.is_none_or(Ended::may_have_run));
        let (effect, window) = self.effects[taken.class];
        let wrong = match effect {
            _ if taken.sent.len() >= most as usize => Some("more often than is allowed"),
            _ if out > usize::from(copies) => Some("while as many attempts as are allowed were out"),
            Effect::Free => None,
            Effect::SingleShot => ran.next().map(|_| "though it may have run"),
            Effect::Guarded => {
                ran.any(|s| at > s.at + window).then_some("past the time in which repeats are dropped")
            }
        };
        taken.sent.push(Sent { number: attempt, at, ended: None });
        let key = taken.key;
        self.is_out(at, node, key, true);
        if let Some(wrong) = wrong {
            self.breach(Rule::Repeated, at, format!("try {id} was sent on {wrong}"));
        }
    }

    fn ended(&mut self, at: Time, id: TryId, attempt: u32, how: Ended) {
        self.verdict.turned_away += u64::from(how == Ended::Overloaded);
        self.verdict.timed_out += u64::from(how == Ended::TimedOut);
        if let Some(taken) = self.tries.get_mut(&id) {
            let sent = taken.sent.iter_mut().find(|s| s.number == attempt && s.ended.is_none());
            if let Some(sent) = sent {
                sent.ended = Some(how);
                let (node, key) = (taken.node, taken.key);
                self.is_out(at, node, key, false);
            }
            self.forget(id);
        }
    }

    fn hears(&mut self, at: Time, node: NodeId, of: BoxId, phase: Phase, started: Option<Time>) {
        let known = self.told.entry((node, of)).or_default();
        known.started = started;
        known.phase = Some(phase);
        match phase {
            Phase::Ready => known.closing = None,
            // The grace runs from the first news, not from each repetition.
            Phase::Draining | Phase::Gone => {
                known.closing.get_or_insert(at);
            }
        }
    }

    // ---- Rule four: cold boxes and the planner --------------------------------------------------------

    fn warmth(cold: &Cold, now: Time) -> f64 {
        let share = now.since(cold.started).as_secs() / cold.ramp.as_secs().max(1e-6);
        (cold.from + (1.0 - cold.from) * share).min(1.0)
    }

    fn reached(&mut self, at: Time, to: BoxId, node: NodeId, work: f64, read: bool) {
        if read && !self.cold.is_empty() {
            self.reads.push_back(at);
        }
        let informed = |started| self.told.get(&(node, to)).is_some_and(|k| k.started >= Some(started));
        let Some(cold) = self.cold.get_mut(&to) else { return };
        if Self::warmth(cold, at) >= 1.0 {
            self.cold.remove(&to);
            return;
        }
        cold.work.push_back((at, work, informed(cold.started)));
        while cold.work.front().is_some_and(|(t, ..)| at.since(*t) > self.fall_for) {
            cold.work.pop_front();
        }
    }

    fn fell(&mut self, at: Time, of: BoxId) {
        self.verdict.fallen += 1;
        let Some(cold) = self.cold.remove(&of) else { return };
        let all: f64 = cold.work.iter().map(|(_, work, _)| work).sum();
        let informed: f64 =
            cold.work.iter().filter(|(.., informed)| *informed).map(|(_, work, _)| work).sum();
        if informed >= INFORMED * all {
            let share = 100.0 * informed / all.max(1e-9);
            let what =
                format!("box {of} was pushed over; {share:.0} % of the work came from nodes that knew");
            self.breach(Rule::Cold, at, what);
        }
    }

    fn planner_asked(&mut self, at: Time, cold: bool) {
        self.verdict.planner_calls += 1;
        self.verdict.planner_cold += u64::from(cold);
        let second = self.second(at);
        second.planner += 1;
        second.planner_cold += u64::from(cold);
        self.planner_window.push_back((at, cold));
        while self.planner_window.front().is_some_and(|(t, _)| at.since(*t) > self.planner_for) {
            self.planner_window.pop_front();
        }
        while self.reads.front().is_some_and(|t| at.since(*t) > self.planner_for) {
            self.reads.pop_front();
        }
    }

    fn planner_stopped(&mut self, at: Time) {
        self.verdict.planner_stops += 1;
        let all = self.planner_window.len() as f64;
        let cold = self.planner_window.iter().filter(|(_, cold)| *cold).count() as f64;
        let weight = |(of, size): (BoxId, &Option<f64>)| {
            size.map(|size| (size, self.cold.get(&of).map(|c| Self::warmth(c, at))))
        };
        let weights: Vec<(f64, Option<f64>)> = self.sizes.iter().enumerate().filter_map(weight).collect();
        let total: f64 = weights.iter().map(|(size, warmth)| size * warmth.unwrap_or(1.0)).sum();
        let theirs: f64 = weights.iter().filter_map(|(size, warmth)| warmth.map(|w| size * w)).sum();
        let due = self.reads.len() as f64 * theirs / total.max(1e-9);
        if cold > COLD_SHARE * all && cold > COLD_OVER_DUE * due {
            let what =
                format!("the planner stopped; {cold} of {all} calls were misses at cold boxes, {due:.0} due");
            self.breach(Rule::Cold, at, what);
        }
    }

    // ---- Connections ----------------------------------------------------------------------------------

    fn connections(&mut self, at: Time, to: BoxId, change: impl Fn(u64) -> u64) {
        self.open_sum += self.open_now as f64 * at.since(self.open_since).as_secs();
        self.open_since = at;
        let open = self.open.entry(to).or_default();
        let after = change(*open);
        self.open_now = self.open_now + after - *open;
        *open = after;
    }

    // ---- The end --------------------------------------------------------------------------------------

    fn over(&mut self, at: Time) {
        self.overdue(Time(u64::MAX));
        let mut open: Vec<AskId> = self.asks.keys().copied().collect();
        open.sort_unstable();
        for id in open {
            self.gave_up(at, id, Some(Loss::Open));
        }
        let mean = self.windows.iter().map(|w| w.asked).sum::<f64>() / self.windows.len().max(1) as f64;
        let full = self.windows.iter().enumerate().filter(|(_, w)| w.asked > THIN * mean);
        let worst = full.map(|(n, w)| (w.share(), Time(n as u64 * WINDOW.0)));
        self.verdict.worst_window = worst.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((1.0, Time::ZERO));
        for (named, worth) in self.verdict.tenants.iter_mut().zip(&self.tenants) {
            named.1 = *worth;
        }
        self.verdict.hits = self.read_hits.0 as f64 / (self.read_hits.1 as f64).max(1.0);
        self.verdict.planner_peak = self.verdict.seconds.iter().map(|s| s.planner).max().unwrap_or(0);
        self.connections(at, 0, |open| open);
        let first_tries = (self.verdict.whole.requests as f64).max(1.0);
        let prices = &self.goal.prices;
        let mean_open = self.open_sum / at.as_secs().max(1e-9);
        let waste = (self.worked - self.useful).max(0.0) / self.asked_work.max(1e-9);
        self.verdict.prices = prices.waste * waste
            + prices.late_fail * self.late_fail / self.verdict.whole.asked.max(1e-9)
            + prices.handshake * self.verdict.connections as f64 / first_tries
            + prices.connection * mean_open / (100.0 * self.box_count as f64)
            + prices.probe * self.probes as f64 / first_tries
            + prices.peer * self.message_bytes as f64 / (256.0 * first_tries)
            + prices.cross_zone * self.crossings as f64 / first_tries
            + prices.list * self.entries as f64 / first_tries;
        let least = |shares: &mut dyn Iterator<Item = f64>| shares.fold(1.0, f64::min);
        let class = least(&mut self.verdict.classes.iter().map(|c| c.worth.share()));
        let tenant = least(&mut self.verdict.tenants.iter().map(|(_, worth)| worth.share()));
        let goal = &self.goal;
        let mix = goal.whole * self.verdict.whole.share()
            + goal.worst_window * self.verdict.worst_window.0
            + goal.worst_class * class
            + goal.worst_tenant * tenant;
        self.verdict.g = (mix - self.verdict.prices).clamp(0.0, 1.0);
    }

    /// What the trace comes to; to be asked once the day is over.
    pub fn verdict(self) -> Verdict {
        self.verdict
    }
}

/// From a microsecond to an hour, to three digits.
pub fn latencies() -> Histogram<u64> {
    // The bounds are constants that the crate accepts.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| unreachable!("constant bounds"))
}

impl Sink for Referee {
    fn record(&mut self, at: Time, event: &Event) {
        if at < self.now {
            self.breach(Rule::Lost, at, "the trace goes back in time".into());
        }
        self.now = at;
        self.overdue(at);
        match *event {
            Event::Asked { ask, class, tenant, key, work } => self.asked(at, ask, class, tenant, key, work),
            Event::Taken { id, ask, node, until } => {
                let Some(asking) = self.asks.get(&ask) else { return };
                let (class, key) = (asking.class, asking.key);
                let version = self.acknowledged.get(&key).copied().unwrap_or(0);
                let taken =
                    Taken { ask, node, at, until, class, key, version, done: false, sent: Vec::new() };
                self.tries.insert(id, taken);
                self.due.insert((until + self.answer_grace, id));
            }
            Event::Sent { id, attempt, node, to, crosses } => {
                self.crossings += u64::from(crosses);
                self.sent(at, id, attempt, node, to);
            }
            Event::Ended { id, attempt, how } => self.ended(at, id, attempt, how),
            Event::Answered { id, how, version, advice } => {
                self.gave_up_on(at, id, how, advice);
                self.answered(at, id, how, version);
            }
            Event::Abandoned { id } => self.abandoned(id, at),
            Event::Received { ask, .. } => self.received(at, ask),
            Event::GaveUp { ask } => self.gave_up(at, ask, None),
            Event::Told { node, of, phase, started } => {
                self.entries += 1;
                self.hears(at, node, of, phase, started);
            }
            Event::Reached { to, node, work, read } => self.reached(at, to, node, work, read),
            Event::Worked { work, hit, .. } => {
                self.worked += work;
                self.read_hits.0 += u64::from(hit == Some(true));
                self.read_hits.1 += u64::from(hit.is_some());
            }
            Event::BoxUp { of, size, cold, from, ramp, .. } => {
                self.sizes[of] = Some(size);
                if cold {
                    self.cold.insert(of, Cold { started: at, from, ramp, work: VecDeque::new() });
                }
            }
            Event::BoxDown { of } => {
                self.sizes[of] = None;
                self.cold.remove(&of);
                self.connections(at, of, |_| 0);
            }
            Event::BoxFell { of } => {
                self.fell(at, of);
                self.sizes[of] = None;
                self.connections(at, of, |_| 0);
            }
            Event::PlannerAsked { cold, .. } => self.planner_asked(at, cold),
            Event::PlannerStopped { overdriven: true } => self.planner_stopped(at),
            Event::Written { key, version } => {
                self.written.insert(key, version);
            }
            Event::NodeDown { node, planned } => self.node_down(at, node, planned),
            Event::Opened { to } => {
                self.verdict.connections += 1;
                self.connections(at, to, |open| open + 1);
            }
            Event::Closed { to } => self.connections(at, to, |open| open.saturating_sub(1)),
            Event::Probed { .. } => self.probes += 1,
            Event::Message { bytes } => self.message_bytes += bytes as u64,
            Event::Begins { ref what, .. } => self.verdict.incidents.push((at, None, what.clone())),
            Event::Ends { incident } => {
                let begun = self.verdict.incidents.get_mut(incident);
                begun.into_iter().for_each(|i| i.1 = Some(at));
            }
            Event::DayOver => self.over(at),
            Event::NodeUp { .. } | Event::PlannerStopped { .. } | Event::PlannerResumed => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Scenario;

    /// The bound of the review's table: what is remembered of keys with nothing out stays within
    /// `MOST_IDLE_KEYS` while keys go idle one after another, each for longer than the longest aim.
    #[test]
    fn keys_with_nothing_out_are_remembered_within_their_bound() {
        let day = Scenario::default().draw(1).expect("the defaults make a day");
        let mut referee = Referee::new(&day);
        referee.record(Time::ZERO, &Event::Told { node: 0, of: 0, phase: Phase::Ready, started: None });
        let (mut most, keys) = (0, 3 * MOST_IDLE_KEYS as u64);
        for n in 0..keys {
            let at = Time(1_000 * n);
            let until = Time(at.0 + 1_000_000);
            referee.record(
                at,
                &Event::Asked { ask: n, class: 0, tenant: None, key: n as KeyId, work: 50_000.0 },
            );
            referee.record(at, &Event::Taken { id: n, ask: n, node: 0, until });
            referee.record(at, &Event::Sent { id: n, attempt: 0, node: 0, to: 0, crosses: false });
            referee.record(at, &Event::Ended { id: n, attempt: 0, how: Ended::Success });
            most = most.max(referee.out.len());
        }
        assert!(most <= MOST_IDLE_KEYS, "{most} keys remembered of {keys}");
    }
}

//! Invariant checker: checks the rules, sums the worth that was served and attributes the worth that was lost, from
//! a trace alone. Each rule has its own module.
//!
//! It shares no code with the components that it checks. Its memory grows with the number of open requests, not with
//! the length of the scenario.

mod cold;
mod drains;
mod gone;
mod kept_waiting;
mod lost;
mod planner;
mod prices;
mod repeats;
mod restarts;
mod terms;
mod told;
mod verdict;
mod waits;
mod worth;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::day::{Day, Effect, NodeId};
use crate::list::{BoxId, Phase};
use crate::store::KeyId;
use crate::time::{Span, Time};
use crate::trace::{AskId, Ended, Event, How, Sink, TryId};
use cold::{warmth, Cold};
use drains::Known;
use gone::Left;
use lost::{Sent, Taken};
use planner::Calls;
use prices::Tallies;
use restarts::Restarts;
use terms::Terms;
use told::{Clocks, News};
pub use verdict::{latencies, Breach, ClassVerdict, Loss, Rule, Second, Verdict, Worth};
use worth::Asking;

/// Violations that are kept with a description; all are counted.
const MOST_TOLD: usize = 100;

/// Checks the events of a trace as they are recorded.
pub struct Referee {
    terms: Terms,
    now: Time,
    asks: FxHashMap<AskId, Asking>,
    tries: BTreeMap<TryId, Taken>,
    /// Attempts in flight for a key at a node, and the time at which the last one ended.
    out: FxHashMap<(NodeId, KeyId), (u32, Time)>,
    /// Times by which open tries must have a final answer.
    due: BTreeSet<(Time, TryId)>,
    /// Token bucket of each tenant's quota: tokens and the time of the last refill.
    buckets: Vec<(f64, Time)>,
    told: FxHashMap<(NodeId, BoxId), Known>,
    clocks: Clocks,
    /// Nodes that received SIGTERM, and when.
    stopping: FxHashMap<NodeId, Time>,
    left: Left,
    restarts: Restarts,
    /// Registered size of each box that runs.
    sizes: Vec<Option<f64>>,
    cold: BTreeMap<BoxId, Cold>,

    planner: Calls,
    /// Last version written to each key.
    written: FxHashMap<KeyId, u64>,
    /// Last version of each key whose write was acknowledged to its client.
    acknowledged: FxHashMap<KeyId, u64>,
    windows: Vec<Worth>,
    tenants: Vec<Worth>,

    tallies: Tallies,
    verdict: Verdict,
}

impl Referee {
    /// Creates a checker with the rules of this scenario run.
    pub fn new(day: &Day) -> Self {
        Referee {
            terms: Terms::new(day),
            now: Time::ZERO,
            asks: FxHashMap::default(),
            tries: BTreeMap::new(),
            out: FxHashMap::default(),
            due: BTreeSet::new(),
            buckets: day.tenants.iter().map(|t| (t.quota.max(1.0), Time::ZERO)).collect(),
            told: FxHashMap::default(),
            clocks: Clocks::default(),
            stopping: FxHashMap::default(),
            left: Left::default(),
            restarts: Restarts::default(),
            sizes: vec![None; day.boxes.len()],
            cold: BTreeMap::new(),
            planner: Calls::default(),
            written: FxHashMap::default(),
            acknowledged: FxHashMap::default(),
            windows: Vec::new(),
            tenants: vec![Worth::default(); day.tenants.len()],
            tallies: Tallies::default(),
            verdict: Verdict::new(day),
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

    /// Returns the result; complete once [`Event::DayOver`] has been recorded.
    pub fn verdict(self) -> Verdict {
        self.verdict
    }
}

impl Sink for Referee {
    fn record(&mut self, at: Time, event: &Event) {
        if at < self.now {
            self.breach(Rule::Lost, at, "the trace goes back in time".into());
        }
        self.now = at;
        self.overdue(at);
        self.counts_as_told(at);
        match *event {
            Event::Asked { ask, class, tenant, key, work } => self.asked(at, ask, class, tenant, key, work),
            Event::Taken { id, ask, node, until } => self.taken(at, id, ask, node, until),
            Event::Sent { id, attempt, node, to, crosses, wait } => {
                self.tallies.crossings += u64::from(crosses);
                self.sends(at, node, to);
                self.tells_wait(at, id, wait);
                self.repeats(at, id, attempt, node);
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
                self.tallies.entries += 1;
                self.clocks.arrived(node, of);
                self.hears(at, node, of, phase, started);
            }
            Event::Reached { to, node, work, read } => self.reached(at, to, node, work, read),
            Event::Worked { work, hit, .. } => {
                self.tallies.worked += work;
                self.tallies.read_hits.0 += u64::from(hit == Some(true));
                self.tallies.read_hits.1 += u64::from(hit.is_some());
            }
            Event::BoxUp { of, capacity, size, cold, from, ramp } => {
                self.sizes[of] = Some(size);
                if cold {
                    self.cold.insert(of, Cold { started: at, capacity, from, ramp, work: VecDeque::new() });
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
            Event::Has { node, of, phase, started, asked } => {
                self.clocks.has(at, node, of, News { phase, started }, asked);
                self.counts_as_told(at);
            }
            Event::WatchSilent { node, waits } => self.clocks.silent(at, node, waits),
            Event::CallFailed { node } => {
                self.clocks.failed(node);
                self.counts_as_told(at);
            }
            Event::WatchOpened { node } => self.clocks.opened(node),
            Event::Reconfigured { node } => self.clocks.hup(at, node),
            Event::Stopping { node } => {
                self.stopping.insert(node, at);
            }
            Event::Dropped { ask, node } => self.dropped(at, ask, node),
            Event::NodeDown { node, planned } => self.node_down(at, node, planned),
            Event::Opened { to } => {
                self.verdict.connections += 1;
                self.connections(at, to, |open| open + 1);
            }
            Event::Closed { to } => self.connections(at, to, |open| open.saturating_sub(1)),
            Event::Probed { .. } => self.tallies.probes += 1,
            Event::Message { bytes } => self.tallies.message_bytes += bytes as u64,
            Event::Begins { ref what, .. } => self.verdict.incidents.push((at, None, what.clone())),
            Event::Ends { incident } => {
                let begun = self.verdict.incidents.get_mut(incident);
                begun.into_iter().for_each(|i| i.1 = Some(at));
            }
            Event::DayOver => {
                self.over(at);
                self.result(at);
            }
            Event::NodeUp { node } => self.restarts.up(at, node),
            Event::NodeReady { node } => self.restarts.ready(at, node),
            Event::PlannerStopped { .. } | Event::PlannerResumed => {}
        }
    }
}

//! Invariant checker: checks the rules, sums the worth that was served and attributes the worth that was lost, from
//! a trace alone. Each rule has its own module.
//!
//! It shares no code with the components that it checks. Its memory grows with the number of open requests
//! and of keys written; with the length of the scenario grow only the totals per second and window and the
//! incidents.

mod attempt_limits;
mod cold;
mod departed_clients;
mod drains;
mod final_answers;
mod notifications;
mod parameters;
mod planner;
mod prompt_answers;
mod restarts;
mod score;
mod verdict;
mod wait_budget;
mod worth;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use rustc_hash::{FxHashMap, FxHashSet};

use crate::list::{BoxId, Phase};
use crate::run_spec::{Effect, NodeId, RunSpec};
use crate::store::KeyId;
use crate::time::{Span, Time};
use crate::trace::{AskId, AttemptOutcome, Event, Sink, TryId, TryOutcome};
use cold::{slow_start_factor, ColdBox};
use departed_clients::DepartedClients;
use drains::NotifiedBox;
use final_answers::{OpenTry, SentAttempt};
use notifications::{EndpointState, NotificationDeadlines};
use parameters::RuleParameters;
use planner::PlannerLoad;
use restarts::Restarts;
use score::CostTotals;
pub use verdict::{latencies, ClassVerdict, Loss, Rule, Second, Verdict, Violation, Worth};
use worth::OpenRequest;

/// Violations that are kept with a description; all are counted.
const MAX_DESCRIBED_VIOLATIONS: usize = 100;

/// Checks the events of a trace as they are recorded.
pub struct InvariantChecker {
    parameters: RuleParameters,
    now: Time,
    open_requests: FxHashMap<AskId, OpenRequest>,
    tries: BTreeMap<TryId, OpenTry>,
    /// Attempts in flight for a key at a node, and the time at which the last one ended.
    in_flight: FxHashMap<(NodeId, KeyId), (u32, Time)>,
    /// Times by which open tries must have a final answer.
    due: BTreeSet<(Time, TryId)>,
    /// Token bucket of each tenant's quota: tokens and the time of the last refill.
    quota_buckets: Vec<(f64, Time)>,
    notified: FxHashMap<(NodeId, BoxId), NotifiedBox>,
    notification_deadlines: NotificationDeadlines,
    /// Nodes that received SIGTERM, and when.
    stopping: FxHashMap<NodeId, Time>,
    departed_clients: DepartedClients,
    restarts: Restarts,
    /// Registered size of each box that runs.
    box_sizes: Vec<Option<f64>>,
    cold_boxes: BTreeMap<BoxId, ColdBox>,

    planner: PlannerLoad,
    /// Last version written to each key.
    written: FxHashMap<KeyId, u64>,
    /// Version of each key that was the last written when a write of the key was last acknowledged to its
    /// client.
    acknowledged: FxHashMap<KeyId, u64>,
    window_worth: Vec<Worth>,
    tenant_worth: Vec<Worth>,

    totals: CostTotals,
    verdict: Verdict,
}

impl InvariantChecker {
    /// Creates a checker with the rules of this scenario run.
    pub fn new(run_spec: &RunSpec) -> Self {
        InvariantChecker {
            parameters: RuleParameters::new(run_spec),
            now: Time::ZERO,
            open_requests: FxHashMap::default(),
            tries: BTreeMap::new(),
            in_flight: FxHashMap::default(),
            due: BTreeSet::new(),
            quota_buckets: run_spec.tenants.iter().map(|t| (t.quota.max(1.0), Time::ZERO)).collect(),
            notified: FxHashMap::default(),
            notification_deadlines: NotificationDeadlines::default(),
            stopping: FxHashMap::default(),
            departed_clients: DepartedClients::default(),
            restarts: Restarts::default(),
            box_sizes: vec![None; run_spec.boxes.len()],
            cold_boxes: BTreeMap::new(),
            planner: PlannerLoad::default(),
            written: FxHashMap::default(),
            acknowledged: FxHashMap::default(),
            window_worth: Vec::new(),
            tenant_worth: vec![Worth::default(); run_spec.tenants.len()],
            totals: CostTotals::default(),
            verdict: Verdict::new(run_spec),
        }
    }

    fn report_violation(&mut self, rule: Rule, at: Time, what: String) {
        *self.verdict.violations.entry(rule).or_default() += 1;
        if self.verdict.first_violations.len() < MAX_DESCRIBED_VIOLATIONS {
            self.verdict.first_violations.push(Violation { rule, at, what });
        }
    }

    fn second_at(&mut self, at: Time) -> &mut Second {
        let index = (at.0 / 1_000_000) as usize;
        let seconds = &mut self.verdict.seconds;
        if seconds.len() <= index {
            seconds.resize(index + 1, Second::default());
        }
        &mut seconds[index]
    }

    /// Returns the result; complete once [`Event::RunEnded`] has been recorded.
    pub fn verdict(self) -> Verdict {
        self.verdict
    }
}

impl Sink for InvariantChecker {
    fn record(&mut self, at: Time, event: &Event) {
        if at < self.now {
            self.report_violation(Rule::Lost, at, "the trace goes back in time".into());
        }
        self.now = at;
        self.expire_unanswered(at);
        self.apply_due_notifications(at);
        match *event {
            Event::RequestStarted { ask, class, tenant, key, work } => {
                self.request_started(at, ask, class, tenant, key, work)
            }
            Event::TryAccepted { id, ask, node, until } => self.try_accepted(at, id, ask, node, until),
            Event::Sent { id, attempt, node, to, crosses, wait } => {
                self.totals.depot_crossings += u64::from(crosses);
                self.check_target(at, node, to);
                self.check_wait(at, id, wait);
                self.check_attempt(at, id, attempt, node);
            }
            Event::Ended { id, attempt, how } => self.attempt_ended(at, id, attempt, how),
            Event::Answered { id, how, version, advice } => {
                self.check_prompt_answer(at, id, how, advice);
                self.try_answered(at, id, how, version);
            }
            Event::Abandoned { id } => self.try_abandoned(id, at),
            Event::Received { ask, .. } => self.request_served(at, ask),
            Event::GaveUp { ask } => self.request_given_up(at, ask, None),
            Event::Notified { node, of, phase, started } => {
                self.totals.list_entries += 1;
                self.notification_deadlines.change_arrived(node, of);
                self.box_notified(at, node, of, phase, started);
            }
            Event::Reached { to, node, work, read } => self.work_arrived(at, to, node, work, read),
            Event::Worked { work, hit, .. } => {
                self.totals.work_done += work;
                self.totals.read_hits.0 += u64::from(hit == Some(true));
                self.totals.read_hits.1 += u64::from(hit.is_some());
            }
            Event::BoxUp { of, capacity, size, cold, from, ramp } => {
                self.box_sizes[of] = Some(size);
                if cold {
                    self.cold_boxes.insert(
                        of,
                        ColdBox {
                            started: at,
                            capacity,
                            initial_share: from,
                            ramp,
                            recent_work: VecDeque::new(),
                        },
                    );
                }
            }
            Event::BoxDown { of } => {
                self.box_sizes[of] = None;
                self.cold_boxes.remove(&of);
                self.update_connections(at, of, |_| 0);
            }
            Event::BoxCrashed { of } => {
                self.box_crashed(at, of);
                self.box_sizes[of] = None;
                self.update_connections(at, of, |_| 0);
            }
            Event::PlannerCalled { cold, .. } => self.planner_called(at, cold),
            Event::PlannerStopped { overdriven: true } => self.planner_stopped(at),
            Event::Written { key, version } => {
                self.written.insert(key, version);
            }
            Event::ChangeAvailable { node, of, phase, started, asked } => {
                self.notification_deadlines.change_available(
                    at,
                    node,
                    of,
                    EndpointState { phase, started },
                    asked,
                );
                self.apply_due_notifications(at);
            }
            Event::WatchSilent { node, waits } => self.notification_deadlines.watch_silent(at, node, waits),
            Event::CallFailed { node } => {
                self.notification_deadlines.call_failed(node);
                self.apply_due_notifications(at);
            }
            Event::WatchOpened { node } => self.notification_deadlines.watch_opened(node),
            Event::Reconfigured { node } => self.notification_deadlines.reconfigured(at, node),
            Event::Stopping { node } => {
                self.stopping.insert(node, at);
            }
            Event::Dropped { ask, node } => self.request_dropped(at, ask, node),
            Event::NodeDown { node, planned } => self.node_down(at, node, planned),
            Event::Opened { to } => {
                self.verdict.connections += 1;
                self.update_connections(at, to, |open| open + 1);
            }
            Event::Closed { to } => self.update_connections(at, to, |open| open.saturating_sub(1)),
            Event::Probed { .. } => self.totals.probes += 1,
            Event::Message { bytes } => self.totals.message_bytes += bytes as u64,
            Event::FaultBegins { ref what, .. } => self.verdict.incidents.push((at, None, what.clone())),
            Event::FaultEnds { incident } => {
                let begun = self.verdict.incidents.get_mut(incident);
                begun.into_iter().for_each(|i| i.1 = Some(at));
            }
            Event::RunEnded => {
                self.run_ended(at);
                self.compute_score(at);
            }
            Event::NodeUp { node } => self.restarts.up(at, node),
            Event::NodeReady { node } => self.restarts.ready(at, node),
            Event::PlannerStopped { .. } | Event::PlannerResumed => {}
        }
    }
}

//! Discrete-event simulation of boxes, planner, endpoint list, network, clients and nodes in virtual time.
//!
//! The same run specification and policy give the same trace, byte for byte, on every machine. Components with
//! non-trivial logic are separate state machines; this module passes events between them.

mod answers;
mod attempts;
mod boxes;
mod connections;
mod endpoint_list;
mod incidents;
mod network;
mod plane;
mod policy_view;
mod processes;
mod start;
mod state;
mod tries;

use std::collections::VecDeque;

use hallpin_balancer as decisions;
use hallpin_balancer::{
    Action, AttemptId, CacheNote, ClassId, EndpointEntry, EndpointUpdate, NewRequest, Outcome, RequestId,
    ServerId, ServerState, Settings, SettingsError, Sizes, Status, TenantId, TimerToken,
};
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;

use crate::cache_box::{BoxAnswer, BoxOutput, CacheBox, Job};
use crate::clients::{ClientOutput, Clients, Reply};
use crate::event_queue::EventQueue;
use crate::faults::{AnswerFate, NetworkFaults};
use crate::keys::Keys;
use crate::list::{BoxId, List, Listing, Phase, WatchEvent};
use crate::origin::{Origin, OriginOutput};
use crate::plane::{PlaneError, Tally};
use crate::planner::{Planner, PlannerCall};
use crate::policy::{Policy, PolicyFactory, TrueBox, TruePlanner, WorldView};
use crate::random::RandomStream;
use crate::run_spec::{Entry, FaultEvent, NodeId, RunSpec, StopTimings};
use crate::store::KeyId;
use crate::time::{Span, Time};
use crate::trace::{Event, Sink, TryId, TryOutcome};
use plane::PlaneState;
use policy_view::{PolicyView, RequestKeys};
pub use start::WorldParts;
use state::{
    listing, node_seed, slab_index, AcceptedTry, Attempt, BoxState, InFlightAttempt, NodeState,
    ScheduledEvent,
};

/// Interval at which a node closes idle connections that have expired.
const SWEEP_INTERVAL: Span = Span(1_000_000);
/// How long a stopping node still accepts tries, in a planned restart without a kill.
const ACCEPT_AFTER_STOP: Span = Span(500_000);
/// Time from the longest deadline to the exit of a stopping node, and from its exit or kill to its next start.
const LEAVE_DELAY: Span = Span(600_000);
/// Simulated time after the last possible deadline, so that events at that deadline are processed.
const END_MARGIN: Span = Span(1_000_000);

/// Why a run specification cannot be simulated.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// The settings of a node are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The plane between nodes cannot be created.
    #[error("plane: {0}")]
    Plane(#[from] PlaneError),
    /// The popularity of the keys is not a valid distribution.
    #[error("keys: {0}")]
    Keys(#[from] rand_distr::weighted::Error),
}
/// State of one simulated run.
pub struct World<'a, S: Sink> {
    run_spec: &'a RunSpec,
    start: PolicyFactory<'a>,
    sink: S,
    now: Time,
    /// Number of events processed.
    event_count: u64,
    queue: EventQueue<ScheduledEvent>,
    boxes: Vec<BoxState>,
    servers: FxHashMap<ServerId, BoxId>,
    origin: Origin,
    list: List,
    /// Number of active incidents during which discovery does not answer.
    list_outages: u32,
    nodes: Vec<NodeState>,
    clients: Clients,
    keys: Keys,
    in_flight: Slab<InFlightAttempt>,
    /// Number of attempts started; the high bits of an attempt's token.
    attempts_started: u64,
    /// Bytes of each broadcast message and how many copies are still to be delivered.
    messages: FxHashMap<u64, (Vec<u8>, usize)>,
    /// Id of the last broadcast message.
    next_message: u64,
    /// Number of active incidents that cut each direction between two depots, indexed by `from * depots + to`.
    partition_counts: Vec<u32>,
    faults: NetworkFaults,
    planes: PlaneState,
    network_rng: RandomStream,
    rng: RandomStream,
    actions: Vec<Action>,
    outputs: Vec<BoxOutput>,
    /// Per-field maximum over the policies of all running nodes, sampled every 10 s.
    sizes: Vec<(Time, Sizes)>,
}

/// Result of a run.
pub struct DayResult<S> {
    /// Number of events processed.
    pub events: u64,
    /// The sink that recorded the trace.
    pub sink: S,
    /// Per-field maximum of the state held by any running node's policy, sampled every 10 s.
    pub sizes: Vec<(Time, Sizes)>,
    /// Counters of the plane between nodes and of planner fetches.
    pub tally: Tally,
}

impl<'a, S: Sink> World<'a, S> {
    /// Runs the simulation to its end.
    pub fn run(mut self) -> DayResult<S> {
        self.schedule_initial_events();
        let end = self.end_time();
        while self.step(end) {}
        DayResult { events: self.event_count, sink: self.sink, sizes: self.sizes, tally: self.planes.tally }
    }

    /// Time after which no event is processed.
    fn end_time(&self) -> Time {
        Time::ZERO + self.run_spec.length + self.run_spec.longest_deadline() + END_MARGIN
    }

    /// Processes the next event due by `end`; without one, records the end of the run and returns false.
    fn step(&mut self, end: Time) -> bool {
        match self.queue.pop_until(end) {
            Some((at, event)) => {
                debug_assert!(at >= self.now, "events are processed in time order");
                self.now = at;
                self.event_count += 1;
                self.dispatch(event);
                true
            }
            None => {
                self.now = end;
                self.record(Event::RunEnded);
                false
            }
        }
    }

    fn record(&mut self, event: Event) {
        self.sink.record(self.now, &event);
    }

    /// Schedules an event; a time in the past becomes now.
    fn schedule_at(&mut self, at: Time, event: ScheduledEvent) {
        self.queue.schedule(at.max(self.now), event);
    }

    fn schedule_after(&mut self, delay: Span, event: ScheduledEvent) {
        self.schedule_at(self.now + delay, event);
    }

    /// Processes one event.
    fn dispatch(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::Arrival => {
                let steps = self.clients.arrival(self.now, &self.keys);
                self.client_steps(steps);
                self.schedule_arrival();
            }
            ScheduledEvent::NextTry(ask) => self.next_try(ask),
            ScheduledEvent::TryAtNode(id) => self.accept_try(id),
            ScheduledEvent::TryDeadline(id) => self.try_deadline(id),
            ScheduledEvent::Reply { id, reply } => {
                let steps = self.clients.reply(self.now, id, reply);
                self.client_steps(steps);
            }
            ScheduledEvent::Timer { node, generation, token } if self.is_current(node, generation) => {
                self.notify_policy(node, decisions::Event::Timer(token));
            }
            ScheduledEvent::AttemptDeadline { node, generation, id, attempt }
                if self.is_current(node, generation) =>
            {
                self.abandon_attempt(node, id, attempt, Status::TimedOut);
                self.process_events(node);
            }
            ScheduledEvent::AnswerDeadline { node, generation, id } if self.is_current(node, generation) => {
                if self.answer_client(node, id, TryOutcome::Failed, None, None) {
                    self.notify_policy(node, decisions::Event::ClientLeft(RequestId(id)));
                }
                self.cancel_unsent_attempts(node, id);
                self.process_events(node);
            }
            ScheduledEvent::ConnectionUp(token) => self.connection_up(token),
            ScheduledEvent::DialFails(token) => self.end_in_flight(token, Status::Unreachable),
            ScheduledEvent::AttemptAtBox(token) => self.attempt_at_box(token),
            ScheduledEvent::AnswerAtNode { token, answer } => self.answer_at_node(token, answer),
            ScheduledEvent::ResetAtNode(token) => self.connection_reset(token),
            ScheduledEvent::ClosedAtBox { at, generation, cancels } => {
                self.closed_at_box(at, generation, cancels)
            }
            ScheduledEvent::BoxWakes(at) if self.boxes[at].wakes == Some(self.now) => {
                self.boxes[at].wakes = None;
                let mut outputs = std::mem::take(&mut self.outputs);
                self.boxes[at].cache.wake(self.now, self.origin.planner(), &mut outputs);
                self.outputs = outputs;
                self.apply_box_outputs(at);
            }
            ScheduledEvent::PlannerWakes => {
                let mut outputs = Vec::new();
                self.origin.wake(self.now, self.now, &mut outputs);
                self.apply_origin_outputs(outputs);
            }
            ScheduledEvent::AskAtPlanner { by, generation, ask, cold } => {
                self.ask_at_planner(by, generation, ask, cold)
            }
            ScheduledEvent::PlannerAnswers { to, generation, id, version } => {
                self.planner_answers(to, generation, id, version)
            }
            ScheduledEvent::ListUpdate(listing) => self.update_list(listing),
            ScheduledEvent::AgentNotified { node, until } => self.agent_notified(node, until),
            ScheduledEvent::WatchesSilent(at) => self.watches_silent(at),
            ScheduledEvent::WatchOpens { node, generation } if self.is_current(node, generation) => {
                self.watch_opens(node)
            }
            ScheduledEvent::ProbeAtBox { node, generation, of } => {
                self.health_check_at_box(node, generation, of)
            }
            ScheduledEvent::ProbeEnds { node, generation, of, status }
                if self.is_current(node, generation) =>
            {
                let server = self.boxes[of].server.clone();
                self.notify_policy(node, decisions::Event::HealthChecked { server, status });
            }
            ScheduledEvent::Message { to, generation, from, message } => {
                self.deliver_message(to, generation, from, message)
            }
            ScheduledEvent::PlaneWakes { node, generation } if self.is_current(node, generation) => {
                self.plane_wakes(node)
            }
            ScheduledEvent::Datagram { to, from, bytes } => self.receive_datagram(to, from, &bytes),
            ScheduledEvent::IncidentBegins(at) => self.incident_begins(at),
            ScheduledEvent::IncidentEnds(at) => self.incident_ends(at),
            ScheduledEvent::NodeStarts(node) => self.node_starts(node),
            ScheduledEvent::NodeLeaves { node, generation } if self.is_current(node, generation) => {
                self.node_leaves(node)
            }
            ScheduledEvent::NodeKilled { node, generation } if self.is_current(node, generation) => {
                self.node_ends(node, false)
            }
            ScheduledEvent::Sweep { node, generation } if self.is_current(node, generation) => {
                self.close_expired_connections(node)
            }
            ScheduledEvent::EverySecond => {
                self.keys.advance_drift();
                self.sample_policy_sizes();
                self.schedule_after(Span(1_000_000), ScheduledEvent::EverySecond);
            }
            ScheduledEvent::KeyChanges => {
                let key = self.rng.below(u64::from(self.run_spec.keys.count)) as KeyId;
                self.origin.planner_mut().change(key);
                self.schedule_key_change();
            }
            // Stale: the node's process has ended, or the wake-up was rescheduled.
            ScheduledEvent::Timer { .. }
            | ScheduledEvent::AttemptDeadline { .. }
            | ScheduledEvent::AnswerDeadline { .. }
            | ScheduledEvent::BoxWakes(_)
            | ScheduledEvent::WatchOpens { .. }
            | ScheduledEvent::PlaneWakes { .. }
            | ScheduledEvent::NodeKilled { .. }
            | ScheduledEvent::ProbeEnds { .. }
            | ScheduledEvent::NodeLeaves { .. }
            | ScheduledEvent::Sweep { .. } => {}
        }
    }
}

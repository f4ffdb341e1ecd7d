//! State that all fakes share: the simulation's components, the trace, and the scheduled events.

mod boxes;
mod incidents;
mod list;
mod types;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hallpin_balancer::CacheNote;
use hallpin_protocol::cache_server::{self, AnswerMetadata};
use hallpin_protocol::Command;
use hallpin_simulation::cache_box::{BoxAnswer, BoxOutput, CacheBox, Job};
use hallpin_simulation::clients::{ClientOutput, Clients};
use hallpin_simulation::event_queue::EventQueue;
use hallpin_simulation::faults::{AnswerFate, NetworkFaults};
use hallpin_simulation::invariants::InvariantChecker;
use hallpin_simulation::keys::Keys;
use hallpin_simulation::list::{BoxId, List, Listing, Phase};
use hallpin_simulation::origin::{Origin, OriginOutput};
use hallpin_simulation::planner::PlannerCall;
use hallpin_simulation::random::RandomStream;
use hallpin_simulation::run_spec::{FaultEvent, NodeId, RunSpec};
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::{AttemptOutcome, Event, Sink, TryId};
use hallpin_simulation::world::WorldParts;
use rustc_hash::FxHashMap;
use rustix::process::Pid;
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::Instant;

use crate::footprint::ObservedNode;
use crate::trace_file::TraceFile;
use types::{listing, BoxState, PendingAttempt, ScheduledEvent};
pub(super) use types::{Agent, MachineMode, NodeOrder, TryState};

/// Shared state of all fakes of a run.
pub(super) struct Environment {
    pub run_spec: Rc<RunSpec>,
    /// Start of the run, `None` before `begin`; the time of the run stays at 0 until then.
    start: Option<Instant>,
    start_unix_ms: f64,
    pub clients: Clients,
    pub keys: Keys,
    box_states: Vec<BoxState>,
    origin: Origin,
    list: List,
    /// Number of current incidents that silence service discovery.
    pub list_silent: watch::Sender<u32>,
    pub agents: Vec<Agent>,
    /// Listen addresses by box and depot of the connecting node.
    pub addresses: Vec<Vec<SocketAddr>>,
    /// Number of current incidents that partition each pair of depots, at `from * depots + to`.
    links: Vec<watch::Sender<u32>>,
    pub node_orders: Vec<watch::Sender<NodeOrder>>,
    /// By node: it accepts clients.
    pub nodes_up: Vec<bool>,
    /// By node: its process has started and still takes requests.
    pub nodes_alive: Vec<bool>,
    /// All node processes that were started, including ended ones.
    pub node_processes: Vec<Pid>,
    /// Resource use of each node.
    pub observed: Vec<ObservedNode>,
    /// Attempts without an answer, by token.
    pending_attempts: FxHashMap<u64, PendingAttempt>,
    /// Token of the latest attempt; tokens count up from 1.
    last_token: u64,
    pub tries: FxHashMap<TryId, TryState>,
    event_queue: EventQueue<ScheduledEvent>,
    faults: NetworkFaults,
    rng: RandomStream,
    pub checker: InvariantChecker,
    pub trace: Option<TraceFile<std::io::BufWriter<std::fs::File>>>,
    /// Notified when an event is scheduled before all others.
    pub earlier_event_scheduled: Rc<Notify>,
    last_recorded_at: Time,
    /// Number of recorded events.
    pub events: u64,
}

pub(super) type SharedEnvironment = Rc<RefCell<Environment>>;

impl Environment {
    pub fn new(
        run_spec: Rc<RunSpec>,
        parts: WorldParts,
        checker: InvariantChecker,
        addresses: Vec<Vec<SocketAddr>>,
    ) -> Self {
        let box_state = |cache: CacheBox| {
            let mode = if cache.is_up() { MachineMode::Open(0) } else { MachineMode::Down };
            BoxState { cache, incarnation: 0, silent: 0, wakes: None, mode: watch::channel(mode).0 }
        };
        let nodes = run_spec.nodes.len();
        Environment {
            start: None,
            start_unix_ms: 0.0,
            clients: parts.clients,
            keys: parts.keys,
            box_states: parts.boxes.into_iter().map(box_state).collect(),
            origin: parts.origin,
            agents: (0..nodes).map(|_| Agent::new(parts.list.clone())).collect(),
            list: parts.list,
            list_silent: watch::channel(0).0,
            addresses,
            links: (0..run_spec.depots.len().pow(2)).map(|_| watch::channel(0).0).collect(),
            node_orders: (0..nodes).map(|_| watch::channel(NodeOrder::Run).0).collect(),
            nodes_up: vec![false; nodes],
            nodes_alive: vec![false; nodes],
            node_processes: Vec::new(),
            observed: vec![ObservedNode::default(); nodes],
            pending_attempts: FxHashMap::default(),
            last_token: 0,
            tries: FxHashMap::default(),
            event_queue: EventQueue::default(),
            faults: NetworkFaults::default(),
            rng: RandomStream::new(run_spec.seed, "sockets"),
            checker,
            trace: None,
            earlier_event_scheduled: Rc::new(Notify::new()),
            last_recorded_at: Time::ZERO,
            events: 0,
            run_spec,
        }
    }

    /// Starts the clock of the run, records the boxes that are up, and schedules the incidents, the first
    /// drift of key popularity and the first key change.
    pub fn begin(&mut self) {
        self.start = Some(Instant::now());
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.start_unix_ms = unix.as_secs_f64() * 1e3;
        for box_id in 0..self.box_states.len() {
            if self.box_states[box_id].cache.is_up() {
                self.record_box_up(box_id, false);
            }
        }
        let run_spec = self.run_spec.clone();
        for (index, scheduled) in run_spec.fault_events.iter().enumerate() {
            self.schedule(scheduled.at, ScheduledEvent::IncidentBegins(index));
        }
        self.schedule_in(Span::from_millis(1000), ScheduledEvent::KeysDrift);
        self.schedule_key_change();
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Time {
        Time(self.start.map_or(0, |start| start.elapsed().as_micros() as u64))
    }

    pub fn instant(&self, at: Time) -> Instant {
        self.start.unwrap_or_else(Instant::now) + Duration::from_micros(at.0)
    }

    /// Unix time in milliseconds of a point of the run; 0 for `None`, which means long ago.
    pub fn unix_ms(&self, at: Option<Time>) -> f64 {
        at.map_or(0.0, |at| (self.start_unix_ms + at.as_secs() * 1e3).round())
    }

    /// Records an event for the invariant checker and the trace, at a time that never decreases.
    pub fn record(&mut self, event: Event) {
        let at = self.now().max(self.last_recorded_at);
        self.last_recorded_at = at;
        self.events += 1;
        self.checker.record(at, &event);
        if let Some(trace) = &mut self.trace {
            trace.record(at, &event);
        }
    }

    /// Schedules an event, and wakes the event loop if it is the earliest.
    fn schedule(&mut self, at: Time, event: ScheduledEvent) {
        let first = self.next_event_time().is_none_or(|next| at < next);
        self.event_queue.schedule(at, event);
        if first {
            self.earlier_event_scheduled.notify_one();
        }
    }

    fn schedule_in(&mut self, span: Span, event: ScheduledEvent) {
        self.schedule(self.now() + span, event);
    }

    pub fn next_event_time(&self) -> Option<Time> {
        self.event_queue.next_time()
    }

    /// Processes all events that are due.
    pub fn process_due_events(&mut self) {
        let now = self.now();
        while let Some((at, event)) = self.event_queue.pop_until(now) {
            self.process_event(at, event);
        }
    }

    fn process_event(&mut self, at: Time, event: ScheduledEvent) {
        match event {
            ScheduledEvent::BoxWakes(box_id) if self.box_states[box_id].wakes == Some(at) => {
                self.box_states[box_id].wakes = None;
                let (now, mut outputs) = (self.now(), Vec::new());
                self.box_states[box_id].cache.wake(now, self.origin.planner(), &mut outputs);
                self.process_box_outputs(box_id, outputs);
            }
            ScheduledEvent::PlannerWakes => {
                let (now, mut outputs) = (self.now(), Vec::new());
                self.origin.wake(now, at, &mut outputs);
                self.process_origin_outputs(outputs);
            }
            ScheduledEvent::PlannerAnswers { to, incarnation, id, version } => {
                let (now, mut outputs) = (self.now(), Vec::new());
                let box_state = &mut self.box_states[to];
                if box_state.incarnation == incarnation && box_state.cache.is_up() {
                    let keys = &self.keys;
                    box_state.cache.on_planner_reply(
                        now,
                        id,
                        version,
                        |key| keys.bytes(key),
                        self.origin.planner(),
                        &mut outputs,
                    );
                    self.process_box_outputs(to, outputs);
                }
            }
            ScheduledEvent::ListChanged(listing) => self.apply_list_change(listing),
            ScheduledEvent::AgentUpdated(node, until) => self.update_agent(node, until),
            ScheduledEvent::IncidentBegins(index) => self.incident_begins(index),
            ScheduledEvent::IncidentEnds(index) => self.incident_ends(index),
            ScheduledEvent::KeysDrift => {
                self.keys.advance_drift();
                self.schedule_in(Span::from_millis(1000), ScheduledEvent::KeysDrift);
            }
            ScheduledEvent::KeyChanged => {
                let key = self.rng.below(u64::from(self.run_spec.keys.count)) as u32;
                self.origin.planner_mut().change(key);
                self.schedule_key_change();
            }
            // The box's wake-up was moved to an earlier time, or the box's process has ended.
            ScheduledEvent::BoxWakes(_) => {}
        }
    }

    /// Schedules the next key change at the planner, as a Poisson process; none if the rate of changes is 0.
    fn schedule_key_change(&mut self) {
        if self.run_spec.keys.changes > 0.0 {
            let wait = Span::from_secs(self.rng.exponential(1.0 / self.run_spec.keys.changes));
            self.schedule_in(wait, ScheduledEvent::KeyChanged);
        }
    }
}

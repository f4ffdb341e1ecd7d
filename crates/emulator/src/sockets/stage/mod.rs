//! What all stand-ins share: the model's parts, the trace, and what is due when.

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
use hallpin_simulation::agenda::Agenda;
use hallpin_simulation::cache_box::{BoxAnswer, BoxOut, CacheBox, Job};
use hallpin_simulation::chance::Chance;
use hallpin_simulation::clients::{Clients, Step};
use hallpin_simulation::day::{Day, Incident, NodeId};
use hallpin_simulation::faults::{Fate, Faults};
use hallpin_simulation::keys::Keys;
use hallpin_simulation::list::{BoxId, List, Listing, Phase};
use hallpin_simulation::origin::{Origin, OriginOut};
use hallpin_simulation::planner::Ask;
use hallpin_simulation::referee::Referee;
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::{Ended, Event, Sink, TryId};
use hallpin_simulation::world::Parts;
use rustc_hash::FxHashMap;
use rustix::process::Pid;
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::Instant;

use crate::footprint::ObservedNode;
use crate::trace_file::TraceFile;
use types::{listing, Due, Place, Waiting};
pub(super) use types::{Agent, Mode, NodeOrder, Tried};

/// Everything that the stand-ins share.
pub(super) struct Stage {
    pub day: Rc<Day>,
    /// When the day began; its clock stands still until then.
    start: Option<Instant>,
    start_unix_ms: f64,
    pub clients: Clients,
    pub keys: Keys,
    places: Vec<Place>,
    origin: Origin,
    list: List,
    pub list_silent: watch::Sender<u32>,
    pub agents: Vec<Agent>,
    /// Where each box listens, for the nodes of each depot.
    pub addresses: Vec<Vec<SocketAddr>>,
    /// How many incidents cut each depot's nodes off from the boxes of each.
    links: Vec<watch::Sender<u32>>,
    pub node_orders: Vec<watch::Sender<NodeOrder>>,
    /// Nodes that want clients, and nodes whose process runs.
    pub nodes_up: Vec<bool>,
    pub nodes_alive: Vec<bool>,
    /// All processes of nodes that were started.
    pub node_processes: Vec<Pid>,
    /// What the processes of each node need.
    pub observed: Vec<ObservedNode>,
    waiting: FxHashMap<u64, Waiting>,
    tokens: u64,
    pub tries: FxHashMap<TryId, Tried>,
    agenda: Agenda<Due>,
    faults: Faults,
    chance: Chance,
    pub referee: Referee,
    pub trace: Option<TraceFile<std::io::BufWriter<std::fs::File>>>,
    /// Something earlier than what was waited for has become due.
    pub stirred: Rc<Notify>,
    told_at: Time,
    pub events: u64,
}

pub(super) type Shared = Rc<RefCell<Stage>>;

impl Stage {
    pub fn new(day: Rc<Day>, parts: Parts, referee: Referee, addresses: Vec<Vec<SocketAddr>>) -> Self {
        let place = |cache: CacheBox| {
            let mode = if cache.is_up() { Mode::Open(0) } else { Mode::Down };
            Place { cache, life: 0, silent: 0, wakes: None, mode: watch::channel(mode).0 }
        };
        let nodes = day.nodes.len();
        Stage {
            start: None,
            start_unix_ms: 0.0,
            clients: parts.clients,
            keys: parts.keys,
            places: parts.boxes.into_iter().map(place).collect(),
            origin: parts.origin,
            agents: (0..nodes).map(|_| Agent::new(parts.list.clone())).collect(),
            list: parts.list,
            list_silent: watch::channel(0).0,
            addresses,
            links: (0..day.depots.len().pow(2)).map(|_| watch::channel(0).0).collect(),
            node_orders: (0..nodes).map(|_| watch::channel(NodeOrder::Run).0).collect(),
            nodes_up: vec![false; nodes],
            nodes_alive: vec![false; nodes],
            node_processes: Vec::new(),
            observed: vec![ObservedNode::default(); nodes],
            waiting: FxHashMap::default(),
            tokens: 0,
            tries: FxHashMap::default(),
            agenda: Agenda::default(),
            faults: Faults::default(),
            chance: Chance::new(day.seed, "sockets"),
            referee,
            trace: None,
            stirred: Rc::new(Notify::new()),
            told_at: Time::ZERO,
            events: 0,
            day,
        }
    }

    /// The day begins now.
    pub fn begin(&mut self) {
        self.start = Some(Instant::now());
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        self.start_unix_ms = unix.as_secs_f64() * 1e3;
        for at in 0..self.places.len() {
            if self.places[at].cache.is_up() {
                self.tell_up(at, false);
            }
        }
        let day = self.day.clone();
        for (at, scheduled) in day.incidents.iter().enumerate() {
            self.enter(scheduled.at, Due::Begins(at));
        }
        self.after(Span::from_millis(1000), Due::EverySecond);
        self.next_change();
    }

    pub fn now(&self) -> Time {
        Time(self.start.map_or(0, |start| start.elapsed().as_micros() as u64))
    }

    pub fn instant(&self, at: Time) -> Instant {
        self.start.unwrap_or_else(Instant::now) + Duration::from_micros(at.0)
    }

    /// A point of the day as the wall clock has it, in milliseconds; 0 for long ago.
    pub fn unix_ms(&self, at: Option<Time>) -> f64 {
        at.map_or(0.0, |at| (self.start_unix_ms + at.as_secs() * 1e3).round())
    }

    /// Tells the trace, whose time never goes back.
    pub fn record(&mut self, event: Event) {
        let at = self.now().max(self.told_at);
        self.told_at = at;
        self.events += 1;
        self.referee.record(at, &event);
        if let Some(trace) = &mut self.trace {
            trace.record(at, &event);
        }
    }

    fn enter(&mut self, at: Time, due: Due) {
        let first = self.next_due().is_none_or(|next| at < next);
        self.agenda.enter(at, due);
        if first {
            self.stirred.notify_one();
        }
    }

    fn after(&mut self, span: Span, due: Due) {
        self.enter(self.now() + span, due);
    }

    pub fn next_due(&self) -> Option<Time> {
        self.agenda.next()
    }

    /// Plays all that is due by now.
    pub fn play_due(&mut self) {
        let now = self.now();
        while let Some((at, due)) = self.agenda.take_until(now) {
            self.play(at, due);
        }
    }

    fn play(&mut self, at: Time, due: Due) {
        match due {
            Due::BoxWakes(b) if self.places[b].wakes == Some(at) => {
                self.places[b].wakes = None;
                let (now, mut outs) = (self.now(), Vec::new());
                self.places[b].cache.wake(now, self.origin.planner(), &mut outs);
                self.after_box(b, outs);
            }
            Due::PlannerWakes => {
                let (now, mut outs) = (self.now(), Vec::new());
                self.origin.wake(now, at, &mut outs);
                self.after_origin(outs);
            }
            Due::PlannerAnswers { to, life, id, version } => {
                let (now, mut outs) = (self.now(), Vec::new());
                let place = &mut self.places[to];
                if place.life == life && place.cache.is_up() {
                    let keys = &self.keys;
                    place.cache.fetched(
                        now,
                        id,
                        version,
                        |key| keys.bytes(key),
                        self.origin.planner(),
                        &mut outs,
                    );
                    self.after_box(to, outs);
                }
            }
            Due::Known(listing) => self.known(listing),
            Due::Tells(node, until) => self.send_agent(node, until),
            Due::Begins(at) => self.incident_begins(at),
            Due::Ends(at) => self.incident_ends(at),
            Due::EverySecond => {
                self.keys.drift();
                self.after(Span::from_millis(1000), Due::EverySecond);
            }
            Due::KeyChanges => {
                let key = self.chance.below(u64::from(self.day.keys.count)) as u32;
                self.origin.planner_mut().change(key);
                self.next_change();
            }
            // Moved since.
            Due::BoxWakes(_) => {}
        }
    }

    fn next_change(&mut self) {
        if self.day.keys.changes > 0.0 {
            let wait = Span::from_secs(self.chance.exponential(1.0 / self.day.keys.changes));
            self.after(wait, Due::KeyChanges);
        }
    }
}

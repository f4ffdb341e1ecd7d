//! What all stand-ins share: the model's parts, the trace, and what is due when.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hallpin_decisions::CacheNote;
use hallpin_model::agenda::Agenda;
use hallpin_model::cache_box::{BoxAnswer, BoxOut, CacheBox, Job};
use hallpin_model::chance::Chance;
use hallpin_model::clients::{Clients, Step};
use hallpin_model::day::{Day, Incident, NodeId};
use hallpin_model::faults::{Fate, Faults};
use hallpin_model::keys::Keys;
use hallpin_model::list::{BoxId, List, Listing, Phase};
use hallpin_model::origin::{Origin, OriginOut};
use hallpin_model::planner::Ask;
use hallpin_model::referee::Referee;
use hallpin_model::time::{Span, Time};
use hallpin_model::trace::{Ended, Event, Sink, TryId};
use hallpin_model::world::Parts;
use hallpin_protocol::cache_server::{self, Remarks};
use rustc_hash::FxHashMap;
use rustix::process::Pid;
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::Instant;

use crate::trace_file::TraceFile;

/// What is due, and to whom.
pub(super) enum Due {
    BoxWakes(BoxId),
    PlannerWakes,
    PlannerAnswers {
        to: BoxId,
        life: u32,
        id: u64,
        version: Option<u64>,
    },
    Known(Listing),
    /// With a revision, what the list was then.
    Tells(NodeId, Option<u64>),
    Begins(usize),
    Ends(usize),
    EverySecond,
    KeyChanges,
}

/// How a box's machine meets the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Mode {
    /// Its process listens; this is its life.
    Open(u32),
    /// It says nothing, and connections to it never come up.
    Silent,
    /// Its process is gone: connections are refused.
    Down,
}

/// What a node's process is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NodeOrder {
    /// Run.
    Run,
    /// Be killed outright.
    Kill,
    /// Be told to stop, and come back by itself.
    Restart,
}

/// An attempt that waits for its box.
struct Waiting {
    reply: oneshot::Sender<Vec<u8>>,
    id: TryId,
    attempt: u32,
    at: BoxId,
    opaque: String,
    job: Job,
}

/// A try as the stand-ins know it.
pub(super) struct Tried {
    pub node: NodeId,
    attempts: u32,
    taken: bool,
}

impl Tried {
    pub fn new(node: NodeId) -> Self {
        Tried { node, attempts: 0, taken: false }
    }

    /// Its node has taken it; false where that was said before.
    pub fn take(&mut self) -> bool {
        !std::mem::replace(&mut self.taken, true)
    }
}

struct Place {
    cache: CacheBox,
    life: u32,
    silent: u32,
    wakes: Option<Time>,
    mode: watch::Sender<Mode>,
}

/// An agent of discovery on a node's machine: what it has been sent.
pub(super) struct Agent {
    pub list: List,
    pub changed: watch::Sender<u64>,
}

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
            agents: (0..nodes)
                .map(|_| Agent { list: parts.list.clone(), changed: watch::channel(parts.list.revision()).0 })
                .collect(),
            list: parts.list,
            list_silent: watch::channel(0).0,
            addresses,
            links: (0..day.depots.len().pow(2)).map(|_| watch::channel(0).0).collect(),
            node_orders: (0..nodes).map(|_| watch::channel(NodeOrder::Run).0).collect(),
            nodes_up: vec![false; nodes],
            nodes_alive: vec![false; nodes],
            node_processes: Vec::new(),
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

    // ---- Boxes ----------------------------------------------------------------------------------------

    pub fn mode(&self, at: BoxId) -> watch::Receiver<Mode> {
        self.places[at].mode.subscribe()
    }

    /// How many incidents part the nodes of a depot from a box.
    pub fn link(&self, from: usize, at: BoxId) -> watch::Receiver<u32> {
        self.links[from * self.day.depots.len() + self.day.boxes[at].depot].subscribe()
    }

    /// Round trip between a node and a box beyond what loopback takes.
    pub fn round_trip(&mut self, node: NodeId, at: BoxId) -> Duration {
        let network = &self.day.network;
        let same = self.day.nodes[node] == self.day.boxes[at].depot;
        let way = if same { network.same } else { network.cross };
        let factor = (1.0 + network.jitter * self.chance.normal()).max(0.2);
        Duration::from_micros((way.0 as f64 * 2.0 * factor) as u64)
    }

    /// A connection has come up; false if the box's table is full.
    pub fn connected(&mut self, at: BoxId) -> bool {
        let (now, mut outs) = (self.now(), Vec::new());
        let taken = self.places[at].cache.connect(now, &mut outs);
        if taken {
            self.record(Event::Opened { to: at });
        }
        self.after_box(at, outs);
        taken
    }

    pub fn disconnected(&mut self, at: BoxId, life: u32) {
        let now = self.now();
        if self.places[at].life == life && self.places[at].cache.is_up() {
            self.places[at].cache.disconnect(now);
            self.record(Event::Closed { to: at });
        }
    }

    pub fn probed(&mut self, at: BoxId) {
        let (now, mut outs) = (self.now(), Vec::new());
        self.record(Event::Probed { of: at });
        self.places[at].cache.probe(now, &mut outs);
        self.after_box(at, outs);
    }

    /// The load report as fields and values.
    pub fn load(&mut self, at: BoxId) -> Vec<(String, f64)> {
        let now = self.now();
        let load = self.places[at].cache.load(now);
        let fields = [("inflight", load.inflight), ("util", load.util), ("qps", load.qps)];
        let rounded = |(name, value): (&str, f64)| (name.to_string(), (value * 1000.0).round() / 1000.0);
        fields.into_iter().map(rounded).collect()
    }

    /// A command has come whole to a box's socket: what becomes of it comes by the channel, unless the box does not
    /// hear it or its machine is silent.
    pub fn command(
        &mut self,
        at: BoxId,
        heard: bool,
        opaque: &str,
        reply: oneshot::Sender<Vec<u8>>,
    ) -> Option<(u64, NodeId)> {
        let id = TryId::from_str_radix(opaque, 16).ok()?;
        let tried = self.tries.get_mut(&id)?;
        let (node, attempt) = (tried.node, tried.attempts);
        tried.attempts += 1;
        let ask = self.clients.open_try(id).map(|t| (t.ask, t.until));
        let crosses = self.day.nodes[node] != self.day.boxes[at].depot;
        self.record(Event::Sent { id, attempt, node, to: at, crosses });
        // A client that has gone away meanwhile has taken the request along; its work is done all the same.
        let asking = ask.and_then(|(ask, until)| self.clients.ask(ask).map(|a| (a.clone(), until)));
        let now = self.now();
        let (key, work, write, deadline) = match asking {
            Some((a, until)) => {
                let write = self.day.classes[a.class].write.then_some(a.effect);
                (a.key, a.work * self.clients.attempt_factor(), write, until)
            }
            None => (0, 1000.0, None, now),
        };
        self.tokens += 1;
        let token = self.tokens;
        let job = Job { token, key, bytes: self.keys.bytes(key), work, write, deadline };
        let opaque = opaque.to_string();
        self.waiting.insert(token, Waiting { reply, id, attempt, at, opaque, job });
        if heard && self.places[at].silent == 0 && self.places[at].cache.is_up() {
            self.record(Event::Reached { to: at, node, work, read: write.is_none() });
            let mut outs = Vec::new();
            self.places[at].cache.request(now, job, self.origin.planner(), &mut outs);
            self.after_box(at, outs);
        }
        Some((token, node))
    }

    /// The node has closed the connection of an attempt that had no answer yet.
    pub fn hung_up(&mut self, token: u64) {
        let Some(waiting) = self.waiting.remove(&token) else { return };
        self.record(Event::Ended { id: waiting.id, attempt: waiting.attempt, how: Ended::Cancelled });
        if self.places[waiting.at].cache.is_up() {
            let (now, mut outs) = (self.now(), Vec::new());
            self.places[waiting.at].cache.cancel(now, token, self.origin.planner(), &mut outs);
            self.after_box(waiting.at, outs);
        }
    }

    fn after_box(&mut self, at: BoxId, outs: Vec<BoxOut>) {
        for out in outs {
            match out {
                BoxOut::Answer(token, answer) => self.box_answers(at, token, answer),
                BoxOut::Ask { ask, cold } => self.ask_origin(at, ask, cold),
                BoxOut::Fell => {
                    self.record(Event::BoxFell { of: at });
                    self.end_process(at, Mode::Down);
                    self.after(self.day.list.notice, Due::Known(listing(at, Phase::Gone, None)));
                }
            }
        }
        let now = self.now();
        let place = &mut self.places[at];
        if let Some(wake) = place.cache.wakes(now).filter(|_| place.cache.is_up()) {
            let wake = wake.max(now + Span(1));
            if place.wakes.is_none_or(|scheduled| wake < scheduled || scheduled <= now) {
                place.wakes = Some(wake);
                self.enter(wake, Due::BoxWakes(at));
            }
        }
    }

    fn box_answers(&mut self, at: BoxId, token: u64, answer: BoxAnswer) {
        let Some(Waiting { reply, id, attempt, opaque, job, .. }) = self.waiting.remove(&token) else {
            return;
        };
        let load = if self.day.limits.reports { self.load(at) } else { Vec::new() };
        let (how, text) = match answer {
            BoxAnswer::Served { note, version } => {
                let remarks = Remarks { note: Some(note), load };
                let text = match job.write {
                    Some(_) => cache_server::receipt(&opaque, &version.to_string(), &remarks),
                    None => {
                        let value = format!("{version:<width$}", width = job.bytes as usize);
                        cache_server::value(&opaque, value.as_bytes(), &remarks)
                    }
                };
                (Ended::Success, text)
            }
            BoxAnswer::Busy => (Ended::Overloaded, cache_server::busy(&Remarks { note: None, load })),
            BoxAnswer::Failed => (Ended::Error, cache_server::failed(&Remarks { note: None, load })),
        };
        let hit = matches!(answer, BoxAnswer::Served { note: CacheNote::Hit, .. });
        if how != Ended::Overloaded {
            let hit = job.write.is_none().then_some(hit);
            self.record(Event::Worked { id, attempt, work: job.work, hit });
        }
        let fate = self.faults.fate(&mut self.chance);
        if fate == Fate::Lost {
            // The connection stays, and its end is its node's to tell.
            self.waiting.insert(token, Waiting { reply, id, attempt, at, opaque, job });
            return;
        }
        let how = if fate == Fate::Reset { Ended::Broken } else { how };
        self.record(Event::Ended { id, attempt, how });
        if fate == Fate::Reset {
            // Nothing will come: that ends the connection.
            return;
        }
        // A connection that has closed meanwhile takes nothing.
        let _ = reply.send(text);
    }

    fn ask_origin(&mut self, by: BoxId, ask: Ask, cold: bool) {
        let (now, life, mut outs) = (self.now(), self.places[by].life, Vec::new());
        self.origin.ask(now, by, life, ask, cold, &mut outs);
        self.after_origin(outs);
    }

    fn after_origin(&mut self, outs: Vec<OriginOut>) {
        for out in outs {
            match out {
                OriginOut::Record(event) => self.record(event),
                OriginOut::Answer { to, life, id, version } => {
                    let way = self.day.network.same;
                    self.after(way, Due::PlannerAnswers { to, life, id, version });
                }
                OriginOut::WakeAt(at) => self.enter(at, Due::PlannerWakes),
            }
        }
    }

    /// A box's process is gone: what waits for it has lost its connection.
    fn end_process(&mut self, at: BoxId, mode: Mode) {
        self.places[at].life += 1;
        self.places[at].wakes = None;
        let mut lost: Vec<u64> = self.waiting.iter().filter(|(_, w)| w.at == at).map(|(t, _)| *t).collect();
        lost.sort_unstable();
        for token in lost {
            if let Some(w) = self.waiting.remove(&token) {
                self.record(Event::Ended { id: w.id, attempt: w.attempt, how: Ended::Broken });
            }
        }
        self.places[at].mode.send_replace(mode);
    }

    fn stop_box(&mut self, at: BoxId) {
        self.places[at].cache.stop();
        self.record(Event::BoxDown { of: at });
        self.end_process(at, Mode::Down);
    }

    fn start_box(&mut self, at: BoxId) {
        let now = self.now();
        self.end_process(at, Mode::Down);
        self.places[at].cache.start(now);
        let life = self.places[at].life;
        self.places[at].mode.send_replace(Mode::Open(life));
        self.tell_up(at, true);
        // As the trace has it: a start told earlier than that would make every node one that did not know of it.
        let started = self.told_at;
        self.after(self.day.list.add, Due::Known(listing(at, Phase::Ready, Some(started))));
    }

    fn tell_up(&mut self, of: BoxId, cold: bool) {
        let spec = &self.day.boxes[of];
        let (capacity, size, from, ramp) = (spec.capacity(), spec.size, spec.cold_from, spec.ramp);
        self.record(Event::BoxUp { of, capacity, size, cold, from, ramp });
    }

    // ---- The list -------------------------------------------------------------------------------------

    fn known(&mut self, listing: Listing) {
        let place = &self.places[listing.cache_box];
        let (up, silent) = (place.cache.is_up(), place.silent > 0);
        let overtaken = match listing.phase {
            Phase::Gone => up,
            Phase::Ready | Phase::Draining => !up && !silent,
        };
        if !overtaken && self.list.set(listing).is_some() {
            self.spread_news();
        }
    }

    fn spread_news(&mut self) {
        for node in 0..self.agents.len() {
            let late = Span::from_secs(self.chance.between(0.0, self.day.list.spread.as_secs()));
            let delay = self.faults.list_delay(self.day.nodes[node]);
            let until = (!delay.is_zero()).then(|| self.list.revision());
            self.after(late + delay, Due::Tells(node, until));
        }
    }

    fn send_agent(&mut self, node: NodeId, until: Option<u64>) {
        let list = match until {
            Some(until) => self.list.until(until),
            None => self.list.clone(),
        };
        if *self.list_silent.borrow() == 0 && list.revision() > self.agents[node].list.revision() {
            self.agents[node].changed.send_replace(list.revision());
            self.agents[node].list = list;
        }
    }

    /// A node is told these entries.
    pub fn told(&mut self, node: NodeId, listings: &[Listing]) {
        for l in listings {
            self.record(Event::Told { node, of: l.cache_box, phase: l.phase, started: l.started });
        }
    }

    // ---- Nodes ----------------------------------------------------------------------------------------

    /// Its process runs: what it takes from here on it owes an answer.
    pub fn node_started(&mut self, node: NodeId) {
        self.record(Event::NodeUp { node });
        self.nodes_alive[node] = true;
    }

    /// Its process takes nothing any more.
    pub fn node_ends(&mut self, node: NodeId) {
        self.nodes_up[node] = false;
        self.nodes_alive[node] = false;
    }

    /// All that its process had answered has been read.
    pub fn node_down(&mut self, node: NodeId, planned: bool) {
        self.record(Event::NodeDown { node, planned });
    }

    // ---- Clients --------------------------------------------------------------------------------------

    /// Carries out what clients do next, and says which tries are due when.
    pub fn client_steps(&mut self, steps: Vec<Step>) -> VecDeque<(Time, u64)> {
        let mut tries = VecDeque::new();
        for step in steps {
            match step {
                Step::Record(event) => self.record(event),
                Step::TryAt(at, ask) => tries.push_back((at, ask)),
            }
        }
        tries
    }

    // ---- Incidents ------------------------------------------------------------------------------------

    fn incident_begins(&mut self, at: usize) {
        let day = self.day.clone();
        let scheduled = &day.incidents[at];
        self.record(Event::Begins { incident: at, what: scheduled.incident.to_string() });
        let (now, mut outs) = (self.now(), Vec::new());
        match &scheduled.incident {
            Incident::Silent(boxes) => boxes.iter().for_each(|&b| self.silence_box(b)),
            Incident::Slow(boxes, factor) => boxes.iter().for_each(|&b| self.slow_box(b, *factor)),
            Incident::Erring(boxes, share) => {
                boxes.iter().for_each(|&b| self.places[b].cache.errs_by(*share))
            }
            Incident::Kill(boxes) => boxes.iter().for_each(|&b| self.kill_box(b)),
            Incident::Heavy { class, share, factor } => self.clients.heavy(*class, Some((*share, *factor))),
            Incident::NodeDeath(nodes) => self.order(nodes, NodeOrder::Kill),
            Incident::NodeRestart(nodes) => self.order(nodes, NodeOrder::Restart),
            Incident::ListOutage => self.list_silent.send_modify(|n| *n += 1),
            Incident::PlannerSlow(factor) => self.origin.planner_mut().slow_by(*factor),
            Incident::PlannerSilent => self.origin.silence(now, true, &mut outs),
            Incident::Partition(pairs) => self.part(pairs, true),
            Incident::Shift { depot, factor } => self.clients.shift(*depot, *factor),
            Incident::Impatient { share, hurry } => self.clients.impatient(at, Some((*share, *hurry))),
            Incident::Hasty(haste) => self.clients.hasty(at, Some(*haste)),
            Incident::LateList { .. }
            | Incident::LostAnswers(_)
            | Incident::Resets(_)
            | Incident::LostMessages(_) => self.faults.begin(at, &scheduled.incident),
            Incident::Drain(boxes) => boxes.iter().for_each(|&b| {
                let started = self.places[b].cache.started();
                self.after(day.list.notice, Due::Known(listing(b, Phase::Draining, started)));
            }),
            Incident::Join(boxes) => boxes.iter().for_each(|&b| self.start_box(b)),
            Incident::Burst { factor, share, keys } => {
                let keys = self.chance.some(*keys as usize, day.keys.count as usize);
                let keys = keys.into_iter().map(|key| key as u32).collect();
                self.clients.burst(at, Some((*factor, *share, keys)));
            }
        }
        self.after_origin(outs);
        if !scheduled.lasts.is_zero() {
            self.after(scheduled.lasts, Due::Ends(at));
        }
    }

    fn incident_ends(&mut self, at: usize) {
        self.record(Event::Ends { incident: at });
        let day = self.day.clone();
        let (now, mut outs) = (self.now(), Vec::new());
        match &day.incidents[at].incident {
            Incident::Silent(boxes) => boxes.iter().for_each(|&b| self.unsilence_box(b)),
            Incident::Slow(boxes, factor) => boxes.iter().for_each(|&b| self.slow_box(b, 1.0 / factor)),
            Incident::Erring(boxes, share) => {
                boxes.iter().for_each(|&b| self.places[b].cache.errs_by(-share))
            }
            Incident::Kill(boxes) => boxes.iter().for_each(|&b| self.revive_box(b)),
            Incident::Heavy { class, .. } => self.clients.heavy(*class, None),
            Incident::NodeDeath(nodes) => self.order(nodes, NodeOrder::Run),
            Incident::ListOutage => {
                self.list_silent.send_modify(|n| *n -= 1);
                self.spread_news();
            }
            Incident::PlannerSlow(factor) => self.origin.planner_mut().slow_by(1.0 / factor),
            Incident::PlannerSilent => self.origin.silence(now, false, &mut outs),
            Incident::Drain(boxes) => boxes.iter().for_each(|&b| {
                self.stop_box(b);
                self.after(day.list.notice, Due::Known(listing(b, Phase::Gone, None)));
            }),
            Incident::Burst { .. } => self.clients.burst(at, None),
            Incident::Partition(pairs) => self.part(pairs, false),
            Incident::Shift { depot, factor } => self.clients.shift(*depot, factor.recip()),
            Incident::Impatient { .. } => self.clients.impatient(at, None),
            Incident::Hasty(_) => self.clients.hasty(at, None),
            Incident::LateList { .. }
            | Incident::LostAnswers(_)
            | Incident::Resets(_)
            | Incident::LostMessages(_) => self.faults.end(at),
            Incident::NodeRestart(_) | Incident::Join(_) => {}
        }
        self.after_origin(outs);
    }

    /// A way that is cut one way lets no connection come up; here those that are up hear nothing either.
    fn part(&mut self, pairs: &[(usize, usize)], begins: bool) {
        let change = |count: &mut u32| if begins { *count += 1 } else { *count = count.saturating_sub(1) };
        for (a, b) in pairs {
            for (from, to) in [(a, b), (b, a)] {
                self.links[from * self.day.depots.len() + to].send_modify(change);
            }
        }
    }

    fn kill_box(&mut self, at: BoxId) {
        if self.places[at].silent == 0 && self.places[at].cache.is_up() {
            self.stop_box(at);
            self.after(self.day.list.notice, Due::Known(listing(at, Phase::Gone, None)));
        }
    }

    fn revive_box(&mut self, at: BoxId) {
        let place = &self.places[at];
        if place.silent == 0 && !place.cache.is_up() && !place.cache.has_fallen() {
            self.start_box(at);
        }
    }

    fn order(&mut self, nodes: &[NodeId], order: NodeOrder) {
        for node in nodes {
            self.node_orders[*node].send_replace(order);
        }
    }

    fn slow_box(&mut self, at: BoxId, factor: f64) {
        let now = self.now();
        self.places[at].cache.slow_by(now, factor);
        self.after_box(at, Vec::new());
    }

    fn silence_box(&mut self, at: BoxId) {
        self.places[at].silent += 1;
        if self.places[at].silent > 1 || !self.places[at].cache.is_up() {
            return;
        }
        self.places[at].cache.stop();
        self.record(Event::BoxDown { of: at });
        self.places[at].mode.send_replace(Mode::Silent);
        self.after(self.day.list.silent_notice, Due::Known(listing(at, Phase::Gone, None)));
    }

    fn unsilence_box(&mut self, at: BoxId) {
        self.places[at].silent -= 1;
        self.revive_box(at);
    }
}

fn listing(cache_box: BoxId, phase: Phase, started: Option<Time>) -> Listing {
    Listing { cache_box, phase, started }
}

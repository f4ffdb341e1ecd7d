//! The world in virtual time: boxes, planner, list, network, clients and nodes, one event after the other.
//!
//! The same day and policy give the same trace, byte for byte, on every machine. Parts that have something hard to
//! decide are state machines of their own; this file moves events between them.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use hallpin_decisions as decisions;
use hallpin_decisions::{
    Action, AttemptId, CacheNote, ClassId, NewRequest, Outcome, RequestId, RosterEntry, RosterNews, ServerId,
    ServerState, Settings, SettingsError, Status, TenantId, TimerToken,
};
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::cache_box::{BoxAnswer, BoxOut, CacheBox, Job};
use crate::chance::Chance;
use crate::clients::{Clients, Reply, Step};
use crate::day::{Day, Entry, Incident, NodeId};
use crate::keys::Keys;
use crate::list::{BoxId, List, Listing, News, Phase};
use crate::planner::{Ask, Planner, Told};
use crate::policy::{Policy, Start, TrueBox};
use crate::store::KeyId;
use crate::time::{Span, Time};
use crate::trace::{Ended, Event, How, Sink, TryId};

/// What a request's way from the client may have taken before its bytes were read, as the node has it.
const MARGIN: Span = Span(2_000);
/// How often a node closes connections that are old.
const SWEEP: Span = Span(1_000_000);
/// A node that is told to stop accepts for so long, and is gone this much after its longest deadline.
const STILL_COMING: Span = Span(500_000);
const LEAVE: Span = Span(600_000);
/// What a day's end waits for beyond the last deadline.
const TAIL: Span = Span(1_000_000);
/// Stores are warm after so many draws for each copy that they hold, and so many in all.
const WARM_DRAWS: f64 = 3.0;
const MOST_WARM_DRAWS: f64 = 2e6;
/// Bits of a flight's token that hold its place.
const PLACE_BITS: u32 = 28;

/// Why a day cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// The settings of a node make no sense.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The keys' popularity is no distribution.
    #[error("keys: {0}")]
    Keys(#[from] rand_distr::weighted::Error),
}

/// What is due, and to whom. `life` counts the starts of a node or box: what was meant for an earlier one is void.
enum Due {
    Arrival,
    NextTry(u64),
    TryAtNode(TryId),
    TryOver(TryId),
    Reply { id: TryId, reply: Reply },
    Timer { node: NodeId, life: u32, token: TimerToken },
    GiveUp { node: NodeId, life: u32, id: TryId, attempt: u32 },
    Backstop { node: NodeId, life: u32, id: TryId },
    ConnectionUp(u64),
    DialFails(u64),
    AtBox(u64),
    AnswerAtNode { flight: u64, answer: BoxAnswer },
    ResetAtNode(u64),
    ClosedAtBox { at: BoxId, life: u32, cancels: Option<u64> },
    BoxWakes(BoxId),
    PlannerWakes,
    AskAtPlanner { by: BoxId, life: u32, ask: Ask, cold: bool },
    PlannerAnswers { to: BoxId, life: u32, id: u64, version: Option<u64> },
    Known(Listing),
    Tells { node: NodeId, life: u32 },
    ProbeAtBox { node: NodeId, life: u32, of: BoxId },
    ProbeEnds { node: NodeId, life: u32, of: BoxId, status: Status },
    Message { to: NodeId, life: u32, from: NodeId, message: u64 },
    Begins(usize),
    Ends(usize),
    NodeStarts(NodeId),
    NodeLeaves { node: NodeId, life: u32 },
    Sweep { node: NodeId, life: u32 },
    EverySecond,
    KeyChanges,
}

struct Entered {
    at: Time,
    order: u64,
    due: Due,
}

impl PartialEq for Entered {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Entered {}

impl PartialOrd for Entered {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entered {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// An attempt on its way, as the network has it.
struct Flight {
    token: u64,
    node: NodeId,
    node_life: u32,
    id: TryId,
    attempt: u32,
    to: BoxId,
    box_life: u32,
    job: Job,
    /// Its last byte is written: from then on it may have run.
    written: bool,
}

struct Attempt {
    since: Time,
    /// On its way; `None` once it has its outcome.
    flight: Option<u64>,
}

/// A try that a node has taken.
struct Live {
    key: KeyId,
    work: f64,
    write: Option<Option<u64>>,
    deadline: Time,
    answered: bool,
    attempts: Vec<Attempt>,
}

struct Host {
    policy: Box<dyn Policy>,
    settings: Settings,
    depot: usize,
    life: u32,
    alive: bool,
    /// It was told to stop, and accepts until then.
    leaving: Option<Time>,
    /// When it was last seen to go or to want no more clients, for the front.
    gone_at: Option<Time>,
    tries: FxHashMap<TryId, Live>,
    /// Kept connections to each box: since when they are idle, and the life of the box that they lead to.
    pools: Vec<VecDeque<(Time, u32)>>,
    /// Its list, for when it dies and comes back with it.
    held: Vec<RosterEntry>,
    revision: u64,
    events: VecDeque<decisions::Event>,
    starts: u32,
}

struct Place {
    cache: CacheBox,
    server: ServerId,
    life: u32,
    /// Incidents that hold it silent.
    silent: u32,
    wakes: Option<Time>,
}

/// Everything that a day is played with.
pub struct World<'a, S: Sink> {
    day: &'a Day,
    start: Start<'a>,
    sink: S,
    now: Time,
    order: u64,
    steps: u64,
    queue: BinaryHeap<Reverse<Entered>>,
    boxes: Vec<Place>,
    servers: FxHashMap<ServerId, BoxId>,
    planner: Planner,
    planner_wakes: Option<Time>,
    /// Who asked the planner, by its ids.
    askers: FxHashMap<u64, (BoxId, u32, u64)>,
    asked: u64,
    list: List,
    /// Incidents that silence the list.
    list_silent: u32,
    hosts: Vec<Host>,
    clients: Clients,
    keys: Keys,
    flights: Slab<Flight>,
    flown: u64,
    messages: FxHashMap<u64, (Vec<u8>, usize)>,
    next_message: u64,
    /// Incidents that part each pair of depots.
    parted: Vec<u32>,
    network: Chance,
    chance: Chance,
    actions: Vec<Action>,
    outs: Vec<BoxOut>,
}

/// The parts of a world as its day begins, for those who move the events themselves.
pub struct Parts {
    /// All boxes of the day, those that run with warm stores.
    pub boxes: Vec<CacheBox>,
    /// The planner.
    pub planner: Planner,
    /// The list, with the boxes that run.
    pub list: List,
    /// The clients.
    pub clients: Clients,
    /// The keys.
    pub keys: Keys,
}

impl<'a, S: Sink> World<'a, S> {
    /// Takes the world apart before its day has begun.
    pub fn into_parts(self) -> Parts {
        let World { boxes, planner, list, clients, keys, .. } = self;
        Parts { boxes: boxes.into_iter().map(|place| place.cache).collect(), planner, list, clients, keys }
    }

    /// The world as the day begins, with warm stores.
    ///
    /// # Errors
    /// Where the day's settings or keys make no sense.
    pub fn new(day: &'a Day, start: Start<'a>, sink: S) -> Result<Self, WorldError> {
        let boxes: Vec<Place> = day
            .boxes
            .iter()
            .enumerate()
            .map(|(at, spec)| {
                let mut cache = CacheBox::new(spec.clone(), Chance::new(day.seed, &format!("box {at}")));
                if !day.running.contains(&at) {
                    cache.stop();
                }
                let server = ServerId(spec.id.as_str().into());
                Place { cache, server, life: 0, silent: 0, wakes: None }
            })
            .collect();
        let servers = boxes.iter().enumerate().map(|(at, place)| (place.server.clone(), at)).collect();
        let mut hosts = Vec::new();
        for (node, &depot) in day.nodes.iter().enumerate() {
            let settings = Settings::from_json(&day.settings(node))?;
            let policy = start(settings.clone(), seed_of(day.seed, node, 0))?;
            hosts.push(Host {
                policy,
                settings,
                depot,
                life: 0,
                alive: true,
                leaving: None,
                gone_at: None,
                tries: FxHashMap::default(),
                pools: vec![VecDeque::new(); day.boxes.len()],
                held: Vec::new(),
                revision: 0,
                events: VecDeque::new(),
                starts: 0,
            });
        }
        let mut world = World {
            keys: Keys::new(day.keys.clone(), day.seed)?,
            clients: Clients::new(day),
            planner: Planner::new(day.planner.clone(), Chance::new(day.seed, "planner")),
            planner_wakes: None,
            askers: FxHashMap::default(),
            asked: 0,
            list: List::default(),
            list_silent: 0,
            network: Chance::new(day.seed, "network"),
            chance: Chance::new(day.seed, "world"),
            parted: vec![0; day.depots.len() * day.depots.len()],
            flights: Slab::new(),
            flown: 0,
            messages: FxHashMap::default(),
            next_message: 0,
            queue: BinaryHeap::new(),
            now: Time::ZERO,
            order: 0,
            steps: 0,
            actions: Vec::new(),
            outs: Vec::new(),
            day,
            start,
            sink,
            boxes,
            servers,
            hosts,
        };
        world.warm_up()?;
        for b in 0..world.boxes.len() {
            if world.boxes[b].cache.is_up() {
                world.list.set(listing(b, Phase::Ready, None));
            }
        }
        Ok(world)
    }

    /// Fills the stores with what the boxes were asked for lately: policies of the same kind, one for each node, say
    /// which box that was.
    fn warm_up(&mut self) -> Result<(), WorldError> {
        let start = |host: &Host| (self.start)(host.settings.clone(), self.day.seed);
        let mut policies = self.hosts.iter().map(start).collect::<Result<Vec<_>, _>>()?;
        let mut chance = Chance::new(self.day.seed, "warm up");
        let running: Vec<RosterEntry> =
            self.day.running.iter().map(|&b| self.entry(listing(b, Phase::Ready, None))).collect();
        let mut actions = Vec::new();
        for policy in &mut policies {
            policy.handle(0.0, decisions::Event::Roster(RosterNews::Full(running.clone())), &mut actions);
        }
        let room: u64 = self.day.running.iter().map(|&b| self.day.boxes[b].memory).sum();
        let draws = (room as f64 / self.day.keys.bytes.max(1.0) * WARM_DRAWS).min(MOST_WARM_DRAWS) as u64;
        let class = self.day.classes.iter().position(|c| !c.write).unwrap_or(0);
        for n in 1..=draws {
            let now = n as f64 * 1e-3;
            let (key, node) = (self.keys.draw(&mut chance), self.clients.draw_node(&mut chance));
            let id = RequestId(n);
            let request = NewRequest {
                id,
                left: 1.0,
                class: Some(ClassId(class)),
                tenant: None,
                key: Some(self.keys.hashed(key)),
                write: false,
                work: None,
            };
            if policies[node].is_omniscient() {
                let boxes = self.true_boxes(node, key);
                policies[node].see(boxes);
            }
            actions.clear();
            policies[node].handle(now, decisions::Event::Request(request), &mut actions);
            let sent = actions.iter().find_map(|a| match a {
                Action::Send { server, .. } => self.servers.get(server).copied(),
                _ => None,
            });
            let Some(to) = sent else { continue };
            if !self.boxes[to].cache.keeps(Time::ZERO, key, 0) {
                // Copies are of all ages.
                let good = self.day.boxes[to].ttl * chance.unit();
                self.boxes[to].cache.fill(key, self.keys.bytes(key), Time::ZERO + good);
            }
            let outcome = Outcome {
                request: id,
                attempt: AttemptId(0),
                status: Status::Success,
                elapsed: 0.01,
                finished: true,
                note: Some(CacheNote::Hit),
            };
            policies[node].handle(now, decisions::Event::Outcome(outcome), &mut actions);
        }
        Ok(())
    }

    fn begin(&mut self) {
        for b in 0..self.boxes.len() {
            if self.boxes[b].cache.is_up() {
                self.tell_up(b, false);
            }
        }
        let whole = self.list.whole();
        for node in 0..self.hosts.len() {
            self.record(Event::NodeUp { node });
            self.hosts[node].held = whole.listings.iter().map(|l| self.entry(*l)).collect();
            self.start_host(node);
        }
        for (at, scheduled) in self.day.incidents.iter().enumerate() {
            self.enter(scheduled.at, Due::Begins(at));
        }
        self.enter(Time::ZERO + Span(1_000_000), Due::EverySecond);
        self.next_arrival();
        self.next_change();
    }

    /// Plays the day to its end and returns how many events that took.
    pub fn run(mut self) -> (u64, S) {
        self.begin();
        let end = self.end();
        while self.step(end) {}
        (self.steps, self.sink)
    }

    /// When nothing more can happen.
    fn end(&self) -> Time {
        Time::ZERO + self.day.length + self.day.longest_deadline() + TAIL
    }

    /// Plays one event, if one is due before the end; the day is over after the last.
    fn step(&mut self, end: Time) -> bool {
        match self.queue.pop() {
            Some(Reverse(Entered { at, due, .. })) if at <= end => {
                debug_assert!(at >= self.now, "time goes forward");
                self.now = at;
                self.steps += 1;
                self.play(due);
                true
            }
            _ => {
                self.now = end;
                self.record(Event::DayOver);
                false
            }
        }
    }

    fn record(&mut self, event: Event) {
        self.sink.record(self.now, &event);
    }

    /// What should have happened by now happens next.
    fn enter(&mut self, at: Time, due: Due) {
        let at = at.max(self.now);
        self.order += 1;
        self.queue.push(Reverse(Entered { at, order: self.order, due }));
    }

    fn after(&mut self, span: Span, due: Due) {
        self.enter(self.now + span, due);
    }

    fn play(&mut self, due: Due) {
        match due {
            Due::Arrival => {
                let steps = self.clients.arrival(self.now, &self.keys);
                self.client_steps(steps);
                self.next_arrival();
            }
            Due::NextTry(ask) => self.next_try(ask),
            Due::TryAtNode(id) => self.take(id),
            Due::TryOver(id) => self.try_over(id),
            Due::Reply { id, reply } => {
                let steps = self.clients.reply(self.now, id, reply);
                self.client_steps(steps);
            }
            Due::Timer { node, life, token } if self.lives(node, life) => {
                self.tell(node, decisions::Event::Timer(token));
            }
            Due::GiveUp { node, life, id, attempt } if self.lives(node, life) => {
                self.give_up(node, id, attempt, Status::TimedOut);
                self.drain(node);
            }
            Due::Backstop { node, life, id } if self.lives(node, life) => {
                if self.answer(node, id, How::Failed, None, None) {
                    self.tell(node, decisions::Event::Withdrawn(RequestId(id)));
                }
                self.settle(node, id);
                self.drain(node);
            }
            Due::ConnectionUp(flight) => self.connection_up(flight),
            Due::DialFails(flight) => self.end_flight(flight, Status::Unreachable),
            Due::AtBox(flight) => self.at_box(flight),
            Due::AnswerAtNode { flight, answer } => self.answer_at_node(flight, answer),
            Due::ResetAtNode(flight) => self.reset(flight),
            Due::ClosedAtBox { at, life, cancels } => self.closed_at_box(at, life, cancels),
            Due::BoxWakes(at) if self.boxes[at].wakes == Some(self.now) => {
                self.boxes[at].wakes = None;
                let mut outs = std::mem::take(&mut self.outs);
                self.boxes[at].cache.wake(self.now, &self.planner, &mut outs);
                self.outs = outs;
                self.after_box(at);
            }
            Due::PlannerWakes if self.planner_wakes == Some(self.now) => {
                self.planner_wakes = None;
                let mut told = Vec::new();
                self.planner.wake(self.now, &mut told);
                self.after_planner(told);
            }
            Due::AskAtPlanner { by, life, ask, cold } => self.ask_at_planner(by, life, ask, cold),
            Due::PlannerAnswers { to, life, id, version } => self.planner_answers(to, life, id, version),
            Due::Known(listing) => self.known(listing),
            Due::Tells { node, life } if self.lives(node, life) => self.told(node),
            Due::ProbeAtBox { node, life, of } => self.probe_at_box(node, life, of),
            Due::ProbeEnds { node, life, of, status } if self.lives(node, life) => {
                let server = self.boxes[of].server.clone();
                self.tell(node, decisions::Event::Probed { server, status });
            }
            Due::Message { to, life, from, message } => self.deliver(to, life, from, message),
            Due::Begins(at) => self.incident_begins(at),
            Due::Ends(at) => self.incident_ends(at),
            Due::NodeStarts(node) => self.node_starts(node),
            Due::NodeLeaves { node, life } if self.lives(node, life) => self.node_leaves(node),
            Due::Sweep { node, life } if self.lives(node, life) => self.sweep(node),
            Due::EverySecond => {
                self.keys.drift();
                self.after(Span(1_000_000), Due::EverySecond);
            }
            Due::KeyChanges => {
                let key = self.chance.below(u64::from(self.day.keys.count)) as KeyId;
                self.planner.change(key);
                self.next_change();
            }
            // Meant for a node or box that has ended since, or for a time that has been moved.
            Due::Timer { .. }
            | Due::GiveUp { .. }
            | Due::Backstop { .. }
            | Due::BoxWakes(_)
            | Due::PlannerWakes
            | Due::Tells { .. }
            | Due::ProbeEnds { .. }
            | Due::NodeLeaves { .. }
            | Due::Sweep { .. } => {}
        }
    }

    // ---- Clients --------------------------------------------------------------------------------------

    fn next_arrival(&mut self) {
        if let Some(at) = self.clients.next_arrival(self.now) {
            self.enter(at, Due::Arrival);
        }
    }

    fn next_change(&mut self) {
        if self.day.keys.changes > 0.0 {
            let wait = Span::from_secs(self.chance.exponential(1.0 / self.day.keys.changes));
            self.after(wait, Due::KeyChanges);
        }
    }

    /// What clients do next.
    fn client_steps(&mut self, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Record(event) => self.record(event),
                Step::TryAt(at, ask) => self.enter(at, Due::NextTry(ask)),
            }
        }
    }

    fn next_try(&mut self, ask: u64) {
        let (now, entry) = (self.now, self.day.clients.entry);
        let notice = self.day.clients.front_notice;
        let wanted = |host: &Host| {
            entry == Entry::Own
                || host.gone_at.is_none_or(|at| host.alive && host.leaving.is_none() || now < at + notice)
        };
        let open: Vec<bool> = self.hosts.iter().map(wanted).collect();
        let Some((id, over)) = self.clients.next_try(now, ask, &open) else { return };
        let way = self.jittered(self.day.network.client);
        self.after(way, Due::TryAtNode(id));
        self.enter(over, Due::TryOver(id));
    }

    /// A try has come whole to its node, which takes it if it runs.
    fn take(&mut self, id: TryId) {
        let Some(t) = self.clients.open_try(id) else { return };
        let (node, ask, until) = (t.node, t.ask, t.until);
        let host = &self.hosts[node];
        let life = host.life;
        if !host.alive || host.leaving.is_some_and(|at| self.now >= at) {
            let way = self.jittered(self.day.network.client);
            return self.after(way, Due::Reply { id, reply: Reply::Unreached });
        }
        let Some(a) = self.clients.ask(ask) else { return };
        let (class, tenant, key, work, hint) = (a.class, a.tenant, a.key, a.work, a.hint);
        let write = self.day.classes[class].write.then_some(a.effect);
        self.record(Event::Taken { id, ask, node, until });
        let deadline = until.back(MARGIN);
        let live = Live { key, work, write, deadline, answered: false, attempts: Vec::new() };
        self.hosts[node].tries.insert(id, live);
        self.enter(deadline.back(Span(2_500)), Due::Backstop { node, life, id });
        if self.hosts[node].policy.is_omniscient() {
            let boxes = self.true_boxes(node, key);
            self.hosts[node].policy.see(boxes);
        }
        let request = NewRequest {
            id: RequestId(id),
            left: deadline.since(self.now).as_secs(),
            class: Some(ClassId(class)),
            tenant: tenant.map(TenantId),
            key: Some(self.keys.hashed(key)),
            write: write.is_some(),
            work: hint,
        };
        self.tell(node, decisions::Event::Request(request));
    }

    /// A client's patience with a try is over, whatever the node still does.
    fn try_over(&mut self, id: TryId) {
        let Some(t) = self.clients.open_try(id) else { return };
        let node = t.node;
        self.record(Event::Abandoned { id });
        if self.close(node, id) {
            self.tell(node, decisions::Event::Withdrawn(RequestId(id)));
            self.settle(node, id);
            self.drain(node);
        }
        let steps = self.clients.reply(self.now, id, Reply::Nothing);
        self.client_steps(steps);
    }

    // ---- Nodes ----------------------------------------------------------------------------------------

    fn lives(&self, node: NodeId, life: u32) -> bool {
        self.hosts[node].alive && self.hosts[node].life == life
    }

    fn tell(&mut self, node: NodeId, event: decisions::Event) {
        self.hosts[node].events.push_back(event);
        self.drain(node);
    }

    /// Hands over a node's events in their order; actions may bring more of them.
    fn drain(&mut self, node: NodeId) {
        let now = self.now.as_secs();
        while let Some(event) = self.hosts[node].events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.hosts[node].policy.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(node, action);
            }
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, node: NodeId, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(node, request.0, &server, timeout),
            Action::Cancel { request, attempt } => {
                self.give_up(node, request.0, attempt.0, Status::Cancelled);
            }
            Action::Refuse { request, retry_after } => {
                let advice = retry_after.filter(|_| self.day.limits.retry_after).map(Span::from_secs);
                self.answer(node, request.0, How::Rejected, advice, None);
                self.settle(node, request.0);
            }
            Action::Fail(request) => {
                self.answer(node, request.0, How::Failed, None, None);
                self.settle(node, request.0);
            }
            Action::SetTimer { token, after } => {
                let life = self.hosts[node].life;
                self.after(Span::from_secs(after), Due::Timer { node, life, token });
            }
            Action::Probe(server) if self.day.limits.probes => self.probe(node, &server),
            Action::Tell(bytes) if self.day.limits.peers => self.broadcast(node, bytes),
            // Lists are pushed here, and the log is the operators'.
            Action::Probe(_) | Action::Tell(_) | Action::Subscribe | Action::FetchRoster | Action::Log(_) => {
            }
        }
    }

    fn send(&mut self, node: NodeId, id: TryId, server: &ServerId, timeout: Option<f64>) {
        let (now, life, max) = (self.now, self.hosts[node].life, self.day.limits.max_attempts as usize);
        let Some(to) = self.servers.get(server).copied() else { return };
        let Some(live) = self.hosts[node].tries.get_mut(&id) else { return };
        let attempt = live.attempts.len() as u32;
        let until = timeout.map_or(live.deadline, |t| (now + Span::from_secs(t)).min(live.deadline));
        if live.answered || live.attempts.len() >= max || until <= now {
            live.attempts.push(Attempt { since: now, flight: None });
            return self.outcome(node, id, attempt, Status::Void, None, now);
        }
        let (key, work, write) = (live.key, live.work, live.write);
        let work = work * self.clients.attempt_factor();
        self.flown += 1;
        let place = self.flights.vacant_key();
        let token = self.flown << PLACE_BITS | place as u64;
        let job = Job { token, key, bytes: self.keys.bytes(key), work, write, deadline: until };
        let flight = Flight {
            token,
            node,
            node_life: life,
            id,
            attempt,
            to,
            box_life: self.boxes[to].life,
            job,
            written: false,
        };
        self.flights.insert(flight);
        if let Some(live) = self.hosts[node].tries.get_mut(&id) {
            live.attempts.push(Attempt { since: now, flight: Some(token) });
        }
        let crosses = self.hosts[node].depot != self.day.boxes[to].depot;
        self.record(Event::Sent { id, attempt, node, to, crosses });
        self.enter(until, Due::GiveUp { node, life, id, attempt });
        match self.kept(node, to) {
            Some(box_life) => {
                self.flights[place].box_life = box_life;
                self.write(token);
            }
            None => self.dial(token),
        }
    }

    /// A kept connection that is not too old, the last used first.
    fn kept(&mut self, node: NodeId, to: BoxId) -> Option<u32> {
        let fresh = self.day.boxes[to].idle_close * 0.9;
        let (since, life) = self.hosts[node].pools[to].pop_back()?;
        if self.now.since(since) < fresh {
            return Some(life);
        }
        // All others are older still.
        self.hosts[node].pools[to].push_back((since, life));
        self.drop_pool(node, to, 0);
        None
    }

    /// Closes all but so many of a node's kept connections to a box, the oldest first.
    fn drop_pool(&mut self, node: NodeId, to: BoxId, but: usize) {
        let way = self.way(self.hosts[node].depot, self.day.boxes[to].depot);
        while self.hosts[node].pools[to].len() > but {
            let Some((_, life)) = self.hosts[node].pools[to].pop_front() else { return };
            self.record(Event::Closed { to });
            self.after(way, Due::ClosedAtBox { at: to, life, cancels: None });
        }
    }

    /// Opens a connection for a flight.
    fn dial(&mut self, token: u64) {
        let Some(flight) = self.flight(token) else { return };
        let (node, to) = (flight.node, flight.to);
        let (from, at) = (self.hosts[node].depot, self.day.boxes[to].depot);
        if self.boxes[to].silent > 0 || self.is_parted(from, at) {
            return self.after(self.day.limits.dial_timeout, Due::DialFails(token));
        }
        let takes = self.way(from, at) * (2.0 * self.day.network.handshake_rtts);
        self.after(takes, Due::ConnectionUp(token));
    }

    fn connection_up(&mut self, token: u64) {
        let Some(flight) = self.flight(token) else { return };
        let to = flight.to;
        if self.boxes[to].silent > 0 {
            // It went silent meanwhile: the connection never comes up.
            return self.after(self.day.limits.dial_timeout, Due::DialFails(token));
        }
        let mut outs = std::mem::take(&mut self.outs);
        let place = &mut self.boxes[to];
        let up = place.cache.is_up() && place.cache.connect(self.now, &mut outs);
        self.outs = outs;
        if !up {
            return self.end_flight(token, Status::Unreachable);
        }
        self.record(Event::Opened { to });
        let work = self.day.boxes[to].connection_work.0 as f64;
        let node = self.flights[place_of(token)].node;
        self.record(Event::Reached { at: to, node, work, read: false });
        self.flights[place_of(token)].box_life = self.boxes[to].life;
        self.after_box(to);
        self.write(token);
    }

    /// The command is written to the connection.
    fn write(&mut self, token: u64) {
        let Some(flight) = self.flights.get_mut(place_of(token)).filter(|f| f.token == token) else { return };
        flight.written = true;
        let (node, to) = (flight.node, flight.to);
        let way = self.way(self.hosts[node].depot, self.day.boxes[to].depot);
        self.after(way, Due::AtBox(token));
    }

    fn flight(&self, token: u64) -> Option<&Flight> {
        self.flights.get(place_of(token)).filter(|flight| flight.token == token)
    }

    /// An attempt's outcome comes about at its node.
    fn outcome(
        &mut self,
        node: NodeId,
        id: TryId,
        attempt: u32,
        status: Status,
        note: Option<CacheNote>,
        since: Time,
    ) {
        let finished = self.hosts[node].tries.get(&id).is_none_or(|live| live.answered);
        let elapsed = self.now.since(since).as_secs();
        self.record(Event::Ended { id, attempt, how: ended(status) });
        let outcome =
            Outcome { request: RequestId(id), attempt: AttemptId(attempt), status, elapsed, finished, note };
        self.hosts[node].events.push_back(decisions::Event::Outcome(outcome));
    }

    /// A flight ends at its node with this status; its connection, if it had one, is of no use any more.
    fn end_flight(&mut self, token: u64, status: Status) {
        let Some(flight) = self.flight(token) else { return };
        let (node, node_life, id, attempt) = (flight.node, flight.node_life, flight.id, flight.attempt);
        self.flights.remove(place_of(token));
        if self.lives(node, node_life) {
            self.end_attempt(node, id, attempt, status, None);
            self.settle(node, id);
            self.drain(node);
        }
    }

    fn end_attempt(
        &mut self,
        node: NodeId,
        id: TryId,
        attempt: u32,
        status: Status,
        note: Option<CacheNote>,
    ) {
        let Some(live) = self.hosts[node].tries.get_mut(&id) else { return };
        let Some(a) = live.attempts.get_mut(attempt as usize) else { return };
        if a.flight.take().is_some() {
            let since = a.since;
            self.outcome(node, id, attempt, status, note, since);
        }
    }

    /// The node stops waiting for an attempt and closes its connection.
    fn give_up(&mut self, node: NodeId, id: TryId, attempt: u32, status: Status) {
        let Some(live) = self.hosts[node].tries.get(&id) else { return };
        let Some(token) = live.attempts.get(attempt as usize).and_then(|a| a.flight) else { return };
        // What was never wholly written never ran.
        let written = self.flight(token).is_some_and(|f| f.written);
        let status = if status == Status::TimedOut && !written { Status::Unreachable } else { status };
        self.hang_up(token);
        self.end_attempt(node, id, attempt, status, None);
        self.forget(node, id);
    }

    /// Closes a flight's connection; the box hears of it a way later.
    fn hang_up(&mut self, token: u64) {
        let Some(flight) = self.flight(token) else { return };
        let (node, to, life, written) = (flight.node, flight.to, flight.box_life, flight.written);
        self.flights.remove(place_of(token));
        if written {
            self.record(Event::Closed { to });
            let way = self.way(self.hosts[node].depot, self.day.boxes[to].depot);
            self.after(way, Due::ClosedAtBox { at: to, life, cancels: Some(token) });
        }
    }

    /// Gives a try's final answer, unless it has one.
    fn answer(
        &mut self,
        node: NodeId,
        id: TryId,
        how: How,
        advice: Option<Span>,
        version: Option<u64>,
    ) -> bool {
        if !self.close(node, id) {
            return false;
        }
        self.record(Event::Answered { id, how, version });
        let way = self.jittered(self.day.network.client);
        self.after(way, Due::Reply { id, reply: Reply::Answer { how, advice } });
        true
    }

    fn close(&mut self, node: NodeId, id: TryId) -> bool {
        let live = self.hosts[node].tries.get_mut(&id);
        live.is_some_and(|live| !std::mem::replace(&mut live.answered, true))
    }

    /// What a final answer leaves behind: attempts that wait for their connection are given up.
    fn settle(&mut self, node: NodeId, id: TryId) {
        let Some(live) = self.hosts[node].tries.get(&id).filter(|live| live.answered) else { return };
        let unsent = |a: &Attempt| a.flight.is_some_and(|t| self.flight(t).is_some_and(|f| !f.written));
        let unsent: Vec<u32> = (0..).zip(&live.attempts).filter(|(_, a)| unsent(a)).map(|(n, _)| n).collect();
        for attempt in unsent {
            self.give_up(node, id, attempt, Status::Cancelled);
        }
        self.forget(node, id);
    }

    fn forget(&mut self, node: NodeId, id: TryId) {
        let over = |live: &Live| live.answered && live.attempts.iter().all(|a| a.flight.is_none());
        if self.hosts[node].tries.get(&id).is_some_and(over) {
            self.hosts[node].tries.remove(&id);
        }
        let host = &self.hosts[node];
        if host.leaving.is_some_and(|at| self.now >= at) && host.tries.values().all(|live| live.answered) {
            let life = host.life;
            self.after(Span(1), Due::NodeLeaves { node, life });
        }
    }

    fn answer_at_node(&mut self, token: u64, answer: BoxAnswer) {
        let Some(flight) = self.flight(token) else { return };
        let (node, life, id, attempt, to) =
            (flight.node, flight.node_life, flight.id, flight.attempt, flight.to);
        let box_life = flight.box_life;
        self.flights.remove(place_of(token));
        if !self.lives(node, life) {
            return;
        }
        self.hosts[node].pools[to].push_back((self.now, box_life));
        let (status, note, version) = match answer {
            BoxAnswer::Served { note, version } => (Status::Success, Some(note), Some(version)),
            BoxAnswer::Busy => (Status::Overloaded, None, None),
            BoxAnswer::Failed => (Status::Error, None, None),
        };
        if status == Status::Success {
            self.answer(node, id, How::Completed, None, version);
        }
        self.end_attempt(node, id, attempt, status, note);
        self.settle(node, id);
        self.drain(node);
    }

    fn reset(&mut self, token: u64) {
        let written = self.flight(token).is_some_and(|f| f.written);
        self.end_flight(token, if written { Status::Broken } else { Status::Unreachable });
    }

    fn sweep(&mut self, node: NodeId) {
        let life = self.hosts[node].life;
        for to in 0..self.boxes.len() {
            let oldest = self.day.boxes[to].idle_close * 0.9;
            let now = self.now;
            let old = |pool: &VecDeque<(Time, u32)>| {
                pool.iter().take_while(|(since, _)| now.since(*since) >= oldest).count()
            };
            let pool = &self.hosts[node].pools[to];
            let (old, held) = (old(pool), pool.len());
            if old > 0 {
                self.drop_pool(node, to, held - old);
            }
        }
        self.after(SWEEP, Due::Sweep { node, life });
    }

    // ---- Network --------------------------------------------------------------------------------------

    fn jittered(&mut self, span: Span) -> Span {
        let factor = 1.0 + self.day.network.jitter * self.network.normal();
        Span(((span.0 as f64 * factor.max(0.2)).round() as u64).max(1))
    }

    fn way(&mut self, from: usize, to: usize) -> Span {
        self.jittered(if from == to { self.day.network.same } else { self.day.network.cross })
    }

    fn is_parted(&self, a: usize, b: usize) -> bool {
        self.parted[a * self.day.depots.len() + b] > 0
    }

    fn part(&mut self, a: usize, b: usize, by: i32) {
        for (a, b) in [(a, b), (b, a)] {
            let pair = &mut self.parted[a * self.day.depots.len() + b];
            *pair = pair.saturating_add_signed(by);
        }
    }

    fn broadcast(&mut self, from: NodeId, bytes: Vec<u8>) {
        self.next_message += 1;
        let message = self.next_message;
        let mut copies = 0;
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            let parted = self.is_parted(self.hosts[from].depot, self.hosts[to].depot);
            if parted || self.network.happens(self.day.network.message_loss) {
                continue;
            }
            let (way, life) = (self.jittered(self.day.network.message), self.hosts[to].life);
            self.after(way, Due::Message { to, life, from, message });
            copies += 1;
        }
        if copies > 0 {
            self.messages.insert(message, (bytes, copies));
        }
    }

    fn deliver(&mut self, to: NodeId, life: u32, from: NodeId, message: u64) {
        let Some((bytes, copies)) = self.messages.get_mut(&message) else { return };
        let bytes = bytes.clone();
        *copies -= 1;
        if *copies == 0 {
            self.messages.remove(&message);
        }
        if self.lives(to, life) {
            self.record(Event::Message { bytes: bytes.len() });
            self.tell(to, decisions::Event::Message { from: from as u32, bytes });
        }
    }

    fn probe(&mut self, node: NodeId, server: &ServerId) {
        let Some(of) = self.servers.get(server).copied() else { return };
        self.record(Event::Probed { of });
        let (life, (from, at)) = (self.hosts[node].life, (self.hosts[node].depot, self.day.boxes[of].depot));
        if self.boxes[of].silent > 0 || self.is_parted(from, at) {
            let status = Status::TimedOut;
            return self.after(self.day.limits.probe_timeout, Due::ProbeEnds { node, life, of, status });
        }
        let way = self.way(from, at);
        self.after(way, Due::ProbeAtBox { node, life, of });
    }

    fn probe_at_box(&mut self, node: NodeId, life: u32, of: BoxId) {
        let way = self.way(self.hosts[node].depot, self.day.boxes[of].depot);
        let status = if self.boxes[of].cache.is_up() { Status::Success } else { Status::Unreachable };
        if status == Status::Success {
            let work = self.day.boxes[of].probe_work.0 as f64;
            self.record(Event::Reached { at: of, node, work, read: false });
            let mut outs = std::mem::take(&mut self.outs);
            self.boxes[of].cache.probe(self.now, &mut outs);
            self.outs = outs;
            self.after_box(of);
        }
        self.after(way, Due::ProbeEnds { node, life, of, status });
    }

    // ---- Boxes ----------------------------------------------------------------------------------------

    fn at_box(&mut self, token: u64) {
        let Some(flight) = self.flight(token) else { return };
        let (node, to, box_life, mut job) = (flight.node, flight.to, flight.box_life, flight.job);
        let place = &self.boxes[to];
        let (from, at) = (self.hosts[node].depot, self.day.boxes[to].depot);
        if place.silent > 0 || self.is_parted(from, at) {
            // Nobody hears it; what comes of the connection is told when the machine is back.
            return;
        }
        if place.life != box_life || !place.cache.is_up() {
            let way = self.way(from, at);
            return self.after(way, Due::ResetAtNode(token));
        }
        // The node counts from its own side, the box from here.
        job.token = token;
        self.record(Event::Reached { at: to, node, work: job.work, read: job.write.is_none() });
        let mut outs = std::mem::take(&mut self.outs);
        self.boxes[to].cache.request(self.now, job, &self.planner, &mut outs);
        self.outs = outs;
        self.after_box(to);
    }

    fn closed_at_box(&mut self, at: BoxId, life: u32, cancels: Option<u64>) {
        if self.boxes[at].life != life || !self.boxes[at].cache.is_up() {
            return;
        }
        self.boxes[at].cache.disconnect(self.now);
        if let Some(token) = cancels {
            let mut outs = std::mem::take(&mut self.outs);
            self.boxes[at].cache.cancel(self.now, token, &self.planner, &mut outs);
            self.outs = outs;
        }
        self.after_box(at);
    }

    /// Carries out what a box asks, and sees to it that it is woken in time.
    fn after_box(&mut self, at: BoxId) {
        let mut outs = std::mem::take(&mut self.outs);
        for out in outs.drain(..) {
            match out {
                BoxOut::Answer(token, answer) => self.box_answers(at, token, answer),
                BoxOut::Ask { ask, cold } => {
                    let (way, life) = (self.jittered(self.day.network.same), self.boxes[at].life);
                    self.after(way, Due::AskAtPlanner { by: at, life, ask, cold });
                }
                BoxOut::Fell => {
                    self.record(Event::BoxFell { of: at });
                    self.boxes[at].life += 1;
                    self.hosts.iter_mut().for_each(|host| host.pools[at].clear());
                    self.reset_flights(at);
                    self.known_after(self.day.list.notice, listing(at, Phase::Gone, None));
                }
            }
        }
        self.outs = outs;
        let place = &mut self.boxes[at];
        let wakes = place.cache.wakes(self.now).filter(|_| place.cache.is_up());
        if let Some(wake) = wakes.map(|at| at.max(self.now + Span(1))) {
            if place.wakes.is_none_or(|scheduled| wake < scheduled || scheduled <= self.now) {
                place.wakes = Some(wake);
                self.enter(wake, Due::BoxWakes(at));
            }
        }
    }

    fn box_answers(&mut self, at: BoxId, token: u64, answer: BoxAnswer) {
        // Its node may have given the attempt up, or died: then the work was for nothing.
        let Some(flight) = self.flight(token) else { return };
        let (node, id, attempt, work) = (flight.node, flight.id, flight.attempt, flight.job.work);
        let read = flight.job.write.is_none();
        let hit = read.then_some(matches!(answer, BoxAnswer::Served { note: CacheNote::Hit, .. }));
        if answer != BoxAnswer::Busy {
            self.record(Event::Worked { id, attempt, work, hit });
        }
        let (from, to) = (self.day.boxes[at].depot, self.hosts[node].depot);
        if self.is_parted(from, to) {
            return;
        }
        let way = self.way(from, to);
        self.after(way, Due::AnswerAtNode { flight: token, answer });
    }

    /// The connections to a box's former process break, as far as its machine says so.
    fn reset_flights(&mut self, at: BoxId) {
        let life = self.boxes[at].life;
        let broken: Vec<(u64, NodeId)> = self
            .flights
            .iter()
            .filter(|(_, f)| f.to == at && f.written && f.box_life != life)
            .map(|(_, f)| (f.token, f.node))
            .collect();
        for (token, node) in broken {
            let way = self.way(self.day.boxes[at].depot, self.hosts[node].depot);
            self.after(way, Due::ResetAtNode(token));
        }
    }

    /// A process ends and its machine says so: kept connections close.
    fn stop_box(&mut self, at: BoxId) {
        self.boxes[at].cache.stop();
        self.boxes[at].life += 1;
        self.record(Event::BoxDown { of: at });
        for host in &mut self.hosts {
            host.pools[at].clear();
        }
        self.reset_flights(at);
    }

    fn start_box(&mut self, at: BoxId) {
        self.boxes[at].cache.start(self.now);
        self.boxes[at].life += 1;
        self.boxes[at].wakes = None;
        self.tell_up(at, true);
        self.reset_flights(at);
        self.known_after(self.day.list.add, listing(at, Phase::Ready, Some(self.now)));
    }

    fn tell_up(&mut self, of: BoxId, cold: bool) {
        let spec = &self.day.boxes[of];
        let (capacity, size, from, ramp) = (spec.capacity(), spec.size, spec.cold_from, spec.ramp);
        self.record(Event::BoxUp { of, capacity, size, cold, from, ramp });
    }

    // ---- Planner --------------------------------------------------------------------------------------

    fn ask_at_planner(&mut self, by: BoxId, life: u32, ask: Ask, cold: bool) {
        self.record(Event::PlannerAsked { by, write: ask.write.is_some(), cold });
        let mut told = Vec::new();
        // The planner's ids are of all boxes and lives: those of one life of one box are its own.
        self.asked += 1;
        let id = self.asked;
        if !self.planner.is_down() {
            self.askers.insert(id, (by, life, ask.id));
        }
        self.planner.ask(self.now, Ask { id, ..ask }, &mut told);
        self.after_planner(told);
    }

    fn after_planner(&mut self, told: Vec<Told>) {
        for told in told {
            match told {
                Told::Done { id, key, version, wrote } => {
                    if let Some(version) = version.filter(|_| wrote) {
                        self.record(Event::Written { key, version });
                    }
                    if let Some((to, life, id)) = self.askers.remove(&id) {
                        let way = self.jittered(self.day.network.same);
                        self.after(way, Due::PlannerAnswers { to, life, id, version });
                    }
                }
                Told::Stopped => {
                    self.askers.clear();
                    let overdriven = self.planner.is_overdriven();
                    self.record(Event::PlannerStopped { overdriven });
                }
                Told::Resumed => self.record(Event::PlannerResumed),
            }
        }
        if let Some(wake) = self.planner.wakes().map(|at| at.max(self.now + Span(1))) {
            if self.planner_wakes.is_none_or(|scheduled| wake < scheduled || scheduled <= self.now) {
                self.planner_wakes = Some(wake);
                self.enter(wake, Due::PlannerWakes);
            }
        }
    }

    fn planner_answers(&mut self, to: BoxId, life: u32, id: u64, version: Option<u64>) {
        let place = &mut self.boxes[to];
        if place.life != life || !place.cache.is_up() {
            return;
        }
        let (mut outs, keys) = (std::mem::take(&mut self.outs), &self.keys);
        place.cache.fetched(self.now, id, version, |key| keys.bytes(key), &self.planner, &mut outs);
        self.outs = outs;
        self.after_box(to);
    }

    // ---- The list -------------------------------------------------------------------------------------

    fn known_after(&mut self, delay: Span, listing: Listing) {
        self.after(delay, Due::Known(listing));
    }

    /// Discovery comes to know of a box, unless that has been overtaken.
    fn known(&mut self, listing: Listing) {
        let up = self.boxes[listing.cache_box].cache.is_up();
        let silent = self.boxes[listing.cache_box].silent > 0;
        let overtaken = match listing.phase {
            Phase::Gone => up,
            Phase::Ready | Phase::Draining => !up && !silent,
        };
        if !overtaken && self.list.set(listing).is_some() {
            self.spread_news();
        }
    }

    fn spread_news(&mut self) {
        if self.list_silent > 0 {
            return;
        }
        for node in 0..self.hosts.len() {
            let (life, spread) = (self.hosts[node].life, self.day.list.spread.as_secs());
            let late = Span::from_secs(self.network.between(0.0, spread));
            self.after(late, Due::Tells { node, life });
        }
    }

    /// A node's agent hands over what it has been sent.
    fn told(&mut self, node: NodeId) {
        if self.list_silent > 0 || self.hosts[node].revision >= self.list.revision() {
            return;
        }
        let news = self.list.since(self.hosts[node].revision);
        self.hand_over(node, news);
    }

    fn hand_over(&mut self, node: NodeId, news: News) {
        self.hosts[node].revision = news.revision;
        let entries: Vec<RosterEntry> = news.listings.iter().map(|l| self.entry(*l)).collect();
        if news.complete {
            // Whoever is missing has left.
            let missing: Vec<BoxId> = {
                let listed = |id: &ServerId| entries.iter().any(|e| e.server == *id);
                let left = self.hosts[node].held.iter().filter(|e| !listed(&e.server));
                left.filter_map(|e| self.servers.get(&e.server).copied()).collect()
            };
            for of in missing {
                self.record(Event::Told { node, of, phase: Phase::Gone, started: None });
            }
        }
        for l in &news.listings {
            self.record(Event::Told { node, of: l.cache_box, phase: l.phase, started: l.started });
        }
        let held = &mut self.hosts[node].held;
        if news.complete {
            *held = entries.clone();
        } else {
            held.retain(|e| !entries.iter().any(|new| new.server == e.server));
            held.extend(entries.iter().filter(|e| e.state != ServerState::Gone).cloned());
        }
        let told = if news.complete { RosterNews::Full(entries) } else { RosterNews::Delta(entries) };
        self.tell(node, decisions::Event::Roster(told));
    }

    fn entry(&self, listing: Listing) -> RosterEntry {
        let spec = &self.day.boxes[listing.cache_box];
        RosterEntry {
            server: self.boxes[listing.cache_box].server.clone(),
            state: match listing.phase {
                Phase::Ready => ServerState::Ready,
                Phase::Draining => ServerState::Draining,
                Phase::Gone => ServerState::Gone,
            },
            zone: self.day.depots[spec.depot].clone(),
            weight: spec.size,
            kind: spec.kind.clone(),
            started: listing.started.map(Time::as_secs),
            cell: spec.cell,
        }
    }

    // ---- Lives of nodes -------------------------------------------------------------------------------

    /// A node's process is up: it has its last list, and soon what discovery has.
    fn start_host(&mut self, node: NodeId) {
        let held = self.hosts[node].held.clone();
        let life = self.hosts[node].life;
        for entry in &held {
            if let Some(&of) = self.servers.get(&entry.server) {
                let phase = if entry.state == ServerState::Ready { Phase::Ready } else { Phase::Draining };
                let started = entry.started.map(|s| Time::ZERO + Span::from_secs(s));
                self.record(Event::Told { node, of, phase, started });
            }
        }
        self.tell(node, decisions::Event::Roster(RosterNews::Cached(held)));
        self.hosts[node].revision = 0;
        let late = Span::from_secs(self.network.between(0.0, self.day.list.spread.as_secs()));
        self.after(late, Due::Tells { node, life });
        self.after(SWEEP, Due::Sweep { node, life });
    }

    fn node_starts(&mut self, node: NodeId) {
        if self.hosts[node].alive {
            return;
        }
        let host = &mut self.hosts[node];
        host.starts += 1;
        let seed = seed_of(self.day.seed, node, host.starts);
        // The same settings were good at the day's beginning.
        if let Ok(policy) = (self.start)(host.settings.clone(), seed) {
            host.policy = policy;
            (host.alive, host.leaving, host.gone_at) = (true, None, None);
            self.record(Event::NodeUp { node });
            self.start_host(node);
        }
    }

    fn node_ends(&mut self, node: NodeId, planned: bool) {
        if !self.hosts[node].alive {
            return;
        }
        self.record(Event::NodeDown { node, planned });
        let host = &mut self.hosts[node];
        (host.alive, host.gone_at) = (false, host.gone_at.or(Some(self.now)));
        host.life += 1;
        host.events.clear();
        let mut open: Vec<(TryId, bool)> = host.tries.drain().map(|(id, live)| (id, live.answered)).collect();
        open.sort_unstable();
        let held: Vec<u64> =
            self.flights.iter().filter(|(_, f)| f.node == node).map(|(_, f)| f.token).collect();
        held.into_iter().for_each(|token| self.hang_up(token));
        for to in 0..self.boxes.len() {
            self.drop_pool(node, to, 0);
        }
        for (id, _) in open.into_iter().filter(|(_, answered)| !answered) {
            let way = self.jittered(self.day.network.client);
            self.after(way, Due::Reply { id, reply: Reply::Reset });
        }
    }

    fn node_leaves(&mut self, node: NodeId) {
        self.node_ends(node, true);
    }

    // ---- Incidents ------------------------------------------------------------------------------------

    fn incident_begins(&mut self, at: usize) {
        let scheduled = &self.day.incidents[at];
        self.record(Event::Begins { incident: at, what: scheduled.incident.to_string() });
        let mut told = Vec::new();
        match &scheduled.incident {
            Incident::Silent(boxes) => boxes.iter().for_each(|&b| self.silence_box(b)),
            Incident::Slow(boxes, factor) => boxes.iter().for_each(|&b| {
                self.boxes[b].cache.slow_by(self.now, *factor);
                self.after_box(b);
            }),
            Incident::Heavy { class, share, factor } => self.clients.heavy(*class, Some((*share, *factor))),
            Incident::NodeDeath(nodes) => nodes.iter().for_each(|&node| self.node_ends(node, false)),
            Incident::NodeRestart(nodes) => nodes.iter().for_each(|&node| self.restart(node)),
            Incident::ListOutage => self.list_silent += 1,
            Incident::PlannerSlow(factor) => self.planner.slow_by(*factor),
            Incident::PlannerSilent => self.planner.silence(self.now, true, &mut told),
            Incident::Partition(a, b) => self.part(*a, *b, 1),
            Incident::Drain(boxes) => boxes.iter().for_each(|&b| {
                let started = self.boxes[b].cache.started();
                self.known_after(self.day.list.notice, listing(b, Phase::Draining, started));
            }),
            Incident::Join(boxes) => boxes.iter().for_each(|&b| self.start_box(b)),
            Incident::Burst { factor, share, keys } => {
                let top = self.chance.some(*keys as usize, self.day.keys.count as usize);
                let keys = top.into_iter().map(|key| key as KeyId).collect();
                self.clients.burst(at, Some((*factor, *share, keys)));
            }
        }
        self.after_planner(told);
        if !scheduled.lasts.is_zero() {
            self.after(scheduled.lasts, Due::Ends(at));
        }
    }

    fn incident_ends(&mut self, at: usize) {
        self.record(Event::Ends { incident: at });
        let mut told = Vec::new();
        match &self.day.incidents[at].incident {
            Incident::Silent(boxes) => boxes.iter().for_each(|&b| self.unsilence_box(b)),
            Incident::Slow(boxes, factor) => boxes.iter().for_each(|&b| {
                self.boxes[b].cache.slow_by(self.now, 1.0 / factor);
                self.after_box(b);
            }),
            Incident::Heavy { class, .. } => self.clients.heavy(*class, None),
            Incident::NodeDeath(nodes) => nodes.iter().for_each(|&node| self.node_starts(node)),
            Incident::NodeRestart(_) => {}
            Incident::ListOutage => {
                self.list_silent -= 1;
                self.spread_news();
            }
            Incident::PlannerSlow(factor) => self.planner.slow_by(1.0 / factor),
            Incident::PlannerSilent => self.planner.silence(self.now, false, &mut told),
            Incident::Partition(a, b) => self.part(*a, *b, -1),
            Incident::Drain(boxes) => boxes.iter().for_each(|&b| {
                self.stop_box(b);
                self.known_after(self.day.list.notice, listing(b, Phase::Gone, None));
            }),
            Incident::Join(_) => {}
            Incident::Burst { .. } => self.clients.burst(at, None),
        }
        self.after_planner(told);
    }

    /// The machine says nothing any more: connections stay open and silent. The list notices late.
    fn silence_box(&mut self, at: BoxId) {
        self.boxes[at].silent += 1;
        if self.boxes[at].silent > 1 || !self.boxes[at].cache.is_up() {
            return;
        }
        self.boxes[at].cache.stop();
        self.record(Event::BoxDown { of: at });
        self.known_after(self.day.list.silent_notice, listing(at, Phase::Gone, None));
    }

    /// The machine is back, its process started anew and empty.
    fn unsilence_box(&mut self, at: BoxId) {
        self.boxes[at].silent -= 1;
        if self.boxes[at].silent == 0 && !self.boxes[at].cache.is_up() && !self.boxes[at].cache.has_fallen() {
            self.start_box(at);
        }
    }

    /// A planned restart: the node accepts a little longer, answers all, leaves and comes back.
    fn restart(&mut self, node: NodeId) {
        if !self.hosts[node].alive {
            return;
        }
        let life = self.hosts[node].life;
        let leave = self.day.longest_deadline() + LEAVE;
        (self.hosts[node].leaving, self.hosts[node].gone_at) =
            (Some(self.now + STILL_COMING), Some(self.now));
        self.after(leave, Due::NodeLeaves { node, life });
        self.after(leave + LEAVE, Due::NodeStarts(node));
    }

    // ---- Truth ----------------------------------------------------------------------------------------

    fn true_boxes(&mut self, node: NodeId, key: KeyId) -> Vec<TrueBox> {
        let (now, version) = (self.now, self.planner.version(key));
        let depot = self.hosts[node].depot;
        let parted: Vec<bool> = self.day.boxes.iter().map(|spec| self.is_parted(depot, spec.depot)).collect();
        let seen = |(at, place): (usize, &mut Place)| TrueBox {
            server: place.server.clone(),
            up: place.cache.is_up() && place.silent == 0 && !parted[at],
            capacity: place.cache.present_capacity(now),
            held: place.cache.held(),
            room: (place.cache.spec.slots + place.cache.spec.waiting) as usize,
            keeps: place.cache.keeps(now, key, version),
        };
        self.boxes.iter_mut().enumerate().map(seen).collect()
    }
}

fn place_of(token: u64) -> usize {
    (token & ((1 << PLACE_BITS) - 1)) as usize
}

fn listing(cache_box: BoxId, phase: Phase, started: Option<Time>) -> Listing {
    Listing { cache_box, phase, started }
}

/// A node's seed, anew with each start.
fn seed_of(seed: u64, node: NodeId, start: u32) -> u64 {
    Chance::new(seed, &format!("node {node} start {start}")).bits()
}

fn ended(status: Status) -> Ended {
    match status {
        Status::Success => Ended::Success,
        Status::Overloaded => Ended::Overloaded,
        Status::TimedOut => Ended::TimedOut,
        Status::Unreachable => Ended::Unreachable,
        Status::Broken => Ended::Broken,
        Status::Cancelled => Ended::Cancelled,
        Status::Void | Status::Absent => Ended::Void,
        Status::Error | Status::Unknown => Ended::Error,
    }
}

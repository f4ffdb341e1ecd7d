//! The world in virtual time: boxes, planner, list, network, clients and nodes, one event after the other.
//!
//! The same day and policy give the same trace, byte for byte, on every machine. Parts that have something hard to
//! decide are state machines of their own; this file moves events between them.

mod attempts;
mod boxes;
mod incidents;
mod listed;
mod lives;
mod network;
mod sight;

use std::collections::VecDeque;

use hallpin_decisions as decisions;
use hallpin_decisions::{
    Action, AttemptId, CacheNote, ClassId, NewRequest, Outcome, RequestId, RosterEntry, RosterNews, ServerId,
    ServerState, Settings, SettingsError, Sizes, Status, TenantId, TimerToken,
};
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;

use crate::agenda::Agenda;
use crate::cache_box::{BoxAnswer, BoxOut, CacheBox, Job};
use crate::chance::Chance;
use crate::clients::{Clients, Reply, Step};
use crate::day::{Day, Entry, Incident, NodeId};
use crate::faults::{Fate, Faults};
use crate::keys::Keys;
use crate::list::{BoxId, List, Listing, News, Phase};
use crate::origin::{Origin, OriginOut};
use crate::planner::{Ask, Planner};
use crate::policy::{Policy, Sight, Start, TrueBox, TruePlanner};
use crate::store::KeyId;
use crate::time::{Span, Time};
use crate::trace::{Event, How, Sink, TryId};
use sight::{Asked, Eyes};

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
/// What policies hold is looked at so often.
const SIZES_EVERY: Span = Span(10_000_000);
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
    Reply {
        id: TryId,
        reply: Reply,
    },
    Timer {
        node: NodeId,
        life: u32,
        token: TimerToken,
    },
    GiveUp {
        node: NodeId,
        life: u32,
        id: TryId,
        attempt: u32,
    },
    Backstop {
        node: NodeId,
        life: u32,
        id: TryId,
    },
    ConnectionUp(u64),
    DialFails(u64),
    AtBox(u64),
    AnswerAtNode {
        flight: u64,
        answer: BoxAnswer,
    },
    ResetAtNode(u64),
    ClosedAtBox {
        at: BoxId,
        life: u32,
        cancels: Option<u64>,
    },
    BoxWakes(BoxId),
    PlannerWakes,
    AskAtPlanner {
        by: BoxId,
        life: u32,
        ask: Ask,
        cold: bool,
    },
    PlannerAnswers {
        to: BoxId,
        life: u32,
        id: u64,
        version: Option<u64>,
    },
    Known(Listing),
    /// With a revision, what the list was then.
    Tells {
        node: NodeId,
        life: u32,
        until: Option<u64>,
    },
    ProbeAtBox {
        node: NodeId,
        life: u32,
        of: BoxId,
    },
    ProbeEnds {
        node: NodeId,
        life: u32,
        of: BoxId,
        status: Status,
    },
    Message {
        to: NodeId,
        life: u32,
        from: NodeId,
        message: u64,
    },
    Begins(usize),
    Ends(usize),
    NodeStarts(NodeId),
    NodeLeaves {
        node: NodeId,
        life: u32,
    },
    Sweep {
        node: NodeId,
        life: u32,
    },
    EverySecond,
    KeyChanges,
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
    /// It has come to its box.
    arrived: bool,
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
    /// Attempts that are on their way to it.
    coming: usize,
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
    steps: u64,
    agenda: Agenda<Due>,
    boxes: Vec<Place>,
    servers: FxHashMap<ServerId, BoxId>,
    origin: Origin,
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
    /// Incidents that cut the way from each depot to each other.
    parted: Vec<u32>,
    faults: Faults,
    network: Chance,
    chance: Chance,
    actions: Vec<Action>,
    outs: Vec<BoxOut>,
    /// The most that any node's policy held, now and then.
    sizes: Vec<(Time, Sizes)>,
}

/// A day that was played.
pub struct Done<S> {
    /// Events that it took.
    pub events: u64,
    /// What was told of it.
    pub sink: S,
    /// The most that the policy of any node held, each 10 s.
    pub sizes: Vec<(Time, Sizes)>,
}

/// The parts of a world as its day begins, for those who move the events themselves.
pub struct Parts {
    /// All boxes of the day, those that run with warm stores.
    pub boxes: Vec<CacheBox>,
    /// The planner, with nothing asked.
    pub origin: Origin,
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
        let World { boxes, origin, list, clients, keys, .. } = self;
        Parts { boxes: boxes.into_iter().map(|place| place.cache).collect(), origin, list, clients, keys }
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
                Place { cache, server, life: 0, coming: 0, silent: 0, wakes: None }
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
            origin: Origin::new(Planner::new(day.planner.clone(), Chance::new(day.seed, "planner"))),
            list: List::default(),
            list_silent: 0,
            network: Chance::new(day.seed, "network"),
            chance: Chance::new(day.seed, "world"),
            parted: vec![0; day.depots.len() * day.depots.len()],
            faults: Faults::default(),
            sizes: Vec::new(),
            flights: Slab::new(),
            flown: 0,
            messages: FxHashMap::default(),
            next_message: 0,
            agenda: Agenda::default(),
            now: Time::ZERO,
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
            let news = decisions::Event::Roster(RosterNews::Full(running.clone()));
            policy.handle(0.0, news, &self.eyes(0, Asked::One(0)), &mut actions);
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
            actions.clear();
            let eyes = self.eyes(node, Asked::One(key));
            policies[node].handle(now, decisions::Event::Request(request), &eyes, &mut actions);
            let sent = actions.iter().find_map(|a| match a {
                Action::Send { server, .. } => self.servers.get(server).copied(),
                _ => None,
            });
            let Some(to) = sent else {
                // Of a policy that would have waited, nothing may be left over.
                policies[node].handle(now, decisions::Event::Withdrawn(id), &eyes, &mut actions);
                continue;
            };
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
            let eyes = self.eyes(node, Asked::One(key));
            policies[node].handle(now, decisions::Event::Outcome(outcome), &eyes, &mut actions);
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

    /// Plays the day to its end.
    pub fn run(mut self) -> Done<S> {
        self.begin();
        let end = self.end();
        while self.step(end) {}
        Done { events: self.steps, sink: self.sink, sizes: self.sizes }
    }

    /// When nothing more can happen.
    fn end(&self) -> Time {
        Time::ZERO + self.day.length + self.day.longest_deadline() + TAIL
    }

    /// Plays one event, if one is due before the end; the day is over after the last.
    fn step(&mut self, end: Time) -> bool {
        match self.agenda.take_until(end) {
            Some((at, due)) => {
                debug_assert!(at >= self.now, "time goes forward");
                self.now = at;
                self.steps += 1;
                self.play(due);
                true
            }
            None => {
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
        self.agenda.enter(at.max(self.now), due);
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
                self.boxes[at].cache.wake(self.now, self.origin.planner(), &mut outs);
                self.outs = outs;
                self.after_box(at);
            }
            Due::PlannerWakes => {
                let mut outs = Vec::new();
                self.origin.wake(self.now, self.now, &mut outs);
                self.after_origin(outs);
            }
            Due::AskAtPlanner { by, life, ask, cold } => self.ask_at_planner(by, life, ask, cold),
            Due::PlannerAnswers { to, life, id, version } => self.planner_answers(to, life, id, version),
            Due::Known(listing) => self.known(listing),
            Due::Tells { node, life, until } if self.lives(node, life) => self.told(node, until),
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
                self.look_at_sizes();
                self.after(Span(1_000_000), Due::EverySecond);
            }
            Due::KeyChanges => {
                let key = self.chance.below(u64::from(self.day.keys.count)) as KeyId;
                self.origin.planner_mut().change(key);
                self.next_change();
            }
            // Meant for a node or box that has ended since, or for a time that has been moved.
            Due::Timer { .. }
            | Due::GiveUp { .. }
            | Due::Backstop { .. }
            | Due::BoxWakes(_)
            | Due::Tells { .. }
            | Due::ProbeEnds { .. }
            | Due::NodeLeaves { .. }
            | Due::Sweep { .. } => {}
        }
    }

    fn look_at_sizes(&mut self) {
        if self.now.0.is_multiple_of(SIZES_EVERY.0) {
            let alive = self.hosts.iter().filter(|host| host.alive);
            let most = alive.map(|host| host.policy.sizes()).fold(Sizes::default(), Sizes::most);
            self.sizes.push((self.now, most));
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

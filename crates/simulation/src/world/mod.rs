//! The world in virtual time: boxes, planner, list, network, clients and nodes, one event after the other.
//!
//! The same day and policy give the same trace, byte for byte, on every machine. Parts that have something hard to
//! decide are state machines of their own; this file moves events between them.

mod answers;
mod attempts;
mod boxes;
mod door;
mod due;
mod incidents;
mod listed;
mod lives;
mod network;
mod plane;
mod sight;
mod start;
mod ways;

use std::collections::VecDeque;

use hallpin_balancer as decisions;
use hallpin_balancer::{
    Action, AttemptId, CacheNote, ClassId, EndpointEntry, EndpointUpdate, NewRequest, Outcome, RequestId,
    ServerId, ServerState, Settings, SettingsError, Sizes, Status, TenantId, TimerToken,
};
use rustc_hash::{FxHashMap, FxHashSet};
use slab::Slab;

use crate::agenda::Agenda;
use crate::cache_box::{BoxAnswer, BoxOut, CacheBox, Job};
use crate::chance::Chance;
use crate::clients::{Clients, Reply, Step};
use crate::day::{Day, Entry, Incident, NodeId, Stop};
use crate::faults::{Fate, Faults};
use crate::keys::Keys;
use crate::list::{BoxId, List, Listing, News, Phase};
use crate::origin::{Origin, OriginOut};
use crate::plane::{PlaneError, Tally};
use crate::planner::{Ask, Planner};
use crate::policy::{Policy, Sight, Start, TrueBox, TruePlanner};
use crate::store::KeyId;
use crate::time::{Span, Time};
use crate::trace::{Event, How, Sink, TryId};
use due::{listing, place_of, seed_of, Attempt, Due, Flight, Host, Live, Place};
use plane::Planes;
use sight::{Asked, Eyes};
pub use start::Parts;

/// How often a node closes connections that are old.
const SWEEP: Span = Span(1_000_000);
/// A node that is told to stop accepts for so long, and is gone this much after its longest deadline.
const STILL_COMING: Span = Span(500_000);
const LEAVE: Span = Span(600_000);
/// What a day's end waits for beyond the last deadline.
const TAIL: Span = Span(1_000_000);

/// Why a day cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum WorldError {
    /// The settings of a node make no sense.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The plane cannot be made.
    #[error("plane: {0}")]
    Plane(#[from] PlaneError),
    /// The keys' popularity is no distribution.
    #[error("keys: {0}")]
    Keys(#[from] rand_distr::weighted::Error),
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
    planes: Planes,
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
    /// What was counted beside.
    pub tally: Tally,
}

impl<'a, S: Sink> World<'a, S> {
    /// Plays the day to its end.
    pub fn run(mut self) -> Done<S> {
        self.begin();
        let end = self.end();
        while self.step(end) {}
        Done { events: self.steps, sink: self.sink, sizes: self.sizes, tally: self.planes.tally }
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
                    self.tell(node, decisions::Event::ClientLeft(RequestId(id)));
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
            Due::Tells { node, until } => self.agent_has(node, until),
            Due::WatchesSilent(at) => self.watches_silent(at),
            Due::WatchOpens { node, life } if self.lives(node, life) => self.watch_opens(node),
            Due::ProbeAtBox { node, life, of } => self.probe_at_box(node, life, of),
            Due::ProbeEnds { node, life, of, status } if self.lives(node, life) => {
                let server = self.boxes[of].server.clone();
                self.tell(node, decisions::Event::HealthChecked { server, status });
            }
            Due::Message { to, life, from, message } => self.deliver(to, life, from, message),
            Due::PlaneWakes { node, life } if self.lives(node, life) => self.plane_wakes(node),
            Due::Datagram { to, from, bytes } => self.datagram_comes(to, from, &bytes),
            Due::Begins(at) => self.incident_begins(at),
            Due::Ends(at) => self.incident_ends(at),
            Due::NodeStarts(node) => self.node_starts(node),
            Due::NodeLeaves { node, life } if self.lives(node, life) => self.node_leaves(node),
            Due::NodeKilled { node, life } if self.lives(node, life) => self.node_ends(node, false),
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
            | Due::WatchOpens { .. }
            | Due::PlaneWakes { .. }
            | Due::NodeKilled { .. }
            | Due::ProbeEnds { .. }
            | Due::NodeLeaves { .. }
            | Due::Sweep { .. } => {}
        }
    }
}

//! A simulation in virtual time: nodes, each with its own clock, and a network that loses, duplicates, reorders, delays
//! and blocks datagrams, all from one seed.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use hallpin_membership::envelope::{Envelope, Kind};
use hallpin_membership::machine::Output;
use hallpin_membership::names::{Incarnation, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::view::MemberState;
use hallpin_membership::{BoxIncarnation, OwnObservation, Peers, PeersConfig, PeersEvent};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn node_incarnation(node: u16, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation { node: NodeId(node), incarnation: Incarnation(incarnation) }
}

pub fn config(node: u16, incarnation: u64, configured: u16) -> PeersConfig {
    PeersConfig::new(node_incarnation(node, incarnation), ZoneId(node % 3), configured)
}

pub fn fact(id: u64, started_unix_ms: u64, answered: u32, silent: u32, in_flight: u32) -> OwnObservation {
    OwnObservation { of: BoxIncarnation { id, started_unix_ms }, answered, silent, in_flight }
}

pub struct Node {
    pub peers: Peers,
    started_at: Duration,
    due: Option<Duration>,
    pub paused: bool,
    /// Datagrams that arrived while the node was paused.
    waiting: Vec<Vec<u8>>,
    pub events: Vec<(Duration, PeersEvent)>,
}

pub struct World {
    pub now: Duration,
    pub nodes: BTreeMap<u16, Node>,
    pub blocked_links: BTreeSet<(u16, u16)>,
    pub loss: f64,
    pub duplication: f64,
    pub delay: (Duration, Duration),
    /// Number of datagrams sent, by sender.
    pub sent: BTreeMap<u16, u64>,
    pub bytes: u64,
    /// The current second, and the number of datagrams sent in it, by sender.
    second: (u64, BTreeMap<u16, u64>),
    /// Greatest number of datagrams that one node sent in one second.
    pub peak_per_second: u64,
    configured: u16,
    rng: Pcg64Mcg,
    in_flight: BTreeMap<(Duration, u64), Vec<u8>>,
    count: u64,
    timers: BTreeSet<(Duration, u16)>,
}

impl World {
    pub fn new(configured: u16, seed: u64) -> Self {
        println!("seed {seed}");
        World {
            now: ms(10_000),
            nodes: BTreeMap::new(),
            blocked_links: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            delay: (ms(1), ms(5)),
            sent: BTreeMap::new(),
            bytes: 0,
            second: (0, BTreeMap::new()),
            peak_per_second: 0,
            configured,
            rng: Pcg64Mcg::seed_from_u64(seed),
            in_flight: BTreeMap::new(),
            count: 0,
            timers: BTreeSet::new(),
        }
    }

    /// Creates a world whose nodes have all started and found each other.
    pub fn settled(configured: u16, seed: u64) -> Self {
        let mut world = World::new(configured, seed);
        (0..configured).for_each(|node| world.start(node, 1));
        assert!(world.until(ms(20_000), |w| w.all_agree()).is_some(), "did not find each other");
        world.run(ms(3000));
        world
    }

    pub fn start(&mut self, node: u16, incarnation: u64) {
        let started_at = self.now - ms(u64::from(node) * 7);
        let seed = self.rng.random();
        let created =
            Peers::new(config(node, incarnation, self.configured), seed, self.now - started_at, &[]);
        let peers = created.expect("the configuration is good");
        self.crash(node);
        self.nodes.insert(
            node,
            Node { peers, started_at, due: None, paused: false, waiting: vec![], events: vec![] },
        );
        self.process_outputs(node);
    }

    pub fn crash(&mut self, node: u16) {
        let gone = self.nodes.remove(&node).and_then(|gone| gone.due);
        gone.map(|due| self.timers.remove(&(due, node)));
    }

    pub fn pause(&mut self, node: u16, paused: bool) {
        let node_state = self.nodes.get_mut(&node).unwrap();
        node_state.paused = paused;
        let (started_at, waiting) = (node_state.started_at, std::mem::take(&mut node_state.waiting));
        if !paused {
            self.nodes.get_mut(&node).unwrap().peers.tick(self.now - started_at);
            waiting.iter().for_each(|datagram| self.deliver(datagram));
            self.process_outputs(node);
        }
    }

    /// Blocks or unblocks every link from one group of nodes to another, in one direction.
    pub fn set_blocked(&mut self, from: &[u16], to: &[u16], blocked: bool) {
        for pair in from.iter().flat_map(|from| to.iter().map(move |to| (*from, *to))) {
            if blocked {
                self.blocked_links.insert(pair)
            } else {
                self.blocked_links.remove(&pair)
            };
        }
    }

    pub fn partition(&mut self, one: &[u16], other: &[u16], blocked: bool) {
        self.set_blocked(one, other, blocked);
        self.set_blocked(other, one, blocked);
    }

    pub fn call<T>(&mut self, node: u16, call: impl FnOnce(&mut Peers, Duration) -> T) -> T {
        let node_state = self.nodes.get_mut(&node).unwrap();
        let result = call(&mut node_state.peers, self.now - node_state.started_at);
        self.process_outputs(node);
        result
    }

    pub fn started_at(&self, node: u16) -> Duration {
        self.nodes[&node].started_at
    }

    pub fn peers(&self, node: u16) -> &Peers {
        &self.nodes[&node].peers
    }

    pub fn state(&self, at: u16, of: u16) -> Option<MemberState> {
        self.peers(at).view().members.get(&NodeId(of)).map(|member| member.state)
    }

    /// Returns whether every running node sees exactly the running nodes alive, in their current incarnations.
    pub fn all_agree(&self) -> bool {
        let truth: Vec<NodeIncarnation> = self.nodes.values().map(|node| node.peers.view().this).collect();
        self.nodes.values().all(|node| {
            node.peers.view().alive().map(|member| member.node_incarnation).eq(truth.iter().copied())
        })
    }

    /// Runs until all agree, checking every 100 ms, and returns how long that took; `None` after `length`.
    pub fn time_until_all_agree(&mut self, length: Duration) -> Option<Duration> {
        let start = self.now;
        while !self.all_agree() {
            if self.now >= start + length {
                return None;
            }
            self.run(ms(100));
        }
        Some(self.now - start)
    }

    pub fn run(&mut self, length: Duration) {
        self.until(length, |_| false);
    }

    /// Runs until `done`, for at most `length`; returns how long that took, or `None` if it never was done.
    pub fn until(&mut self, length: Duration, done: impl Fn(&World) -> bool) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            let in_flight = self.in_flight.keys().next().map(|key| key.0);
            let due = self.timers.first().map(|due| due.0);
            let Some(next) = in_flight.into_iter().chain(due).min().filter(|next| *next <= start + length)
            else {
                self.now = start + length;
                return done(self).then_some(length);
            };
            self.now = self.now.max(next);
            if in_flight.is_some_and(|at| at <= self.now) {
                let datagram = self.in_flight.pop_first().unwrap().1;
                self.deliver(&datagram);
            } else {
                let (_, node) = self.timers.pop_first().unwrap();
                if let Some(node_state) = self.nodes.get_mut(&node).filter(|node_state| !node_state.paused) {
                    node_state.peers.tick(self.now - node_state.started_at);
                    self.process_outputs(node);
                }
            }
        }
        Some(self.now - start)
    }

    pub fn deliver(&mut self, datagram: &[u8]) {
        let envelope = Envelope::decode(datagram).unwrap();
        let Some(node_state) = self.nodes.get_mut(&envelope.to.0) else { return };
        if node_state.paused {
            node_state.waiting.push(datagram.to_vec());
            node_state.waiting.truncate(200);
            return;
        }
        let _ = node_state.peers.receive(self.now - node_state.started_at, envelope.from, &envelope.payload);
        self.process_outputs(envelope.to.0);
    }

    fn process_outputs(&mut self, node: u16) {
        let node_state = self.nodes.get_mut(&node).unwrap();
        let (from, outputs) = (node_state.peers.view().this, node_state.peers.take_outputs());
        let due = node_state.peers.due().map(|due| due + node_state.started_at);
        let old = std::mem::replace(&mut node_state.due, due);
        old.map(|due| self.timers.remove(&(due, node)));
        due.map(|due| self.timers.insert((due, node)));
        for output in outputs {
            match output {
                Output::Send { to, payload } => self.send(from, to, payload),
                Output::Event(events) => self.nodes.get_mut(&node).unwrap().events.push((self.now, events)),
            }
        }
    }

    fn send(&mut self, from: NodeIncarnation, to: NodeId, payload: Vec<u8>) {
        assert!(to != from.node);
        let datagram = Envelope { realm: 7, kind: Kind::Peers, from, to, payload }.encode().unwrap();
        *self.sent.entry(from.node.0).or_default() += 1;
        self.bytes += datagram.len() as u64;
        if self.second.0 != self.now.as_secs() {
            self.second = (self.now.as_secs(), BTreeMap::new());
        }
        let sent = self.second.1.entry(from.node.0).or_default();
        *sent += 1;
        self.peak_per_second = self.peak_per_second.max(*sent);
        let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            if !self.blocked_links.contains(&(from.node.0, to.0)) && !self.rng.random_bool(self.loss) {
                let spread = (self.delay.1 - self.delay.0).mul_f64(self.rng.random());
                self.count += 1;
                self.in_flight.insert((self.now + self.delay.0 + spread, self.count), datagram.clone());
            }
        }
    }
}

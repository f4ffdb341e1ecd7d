//! Nodes in virtual time, each with a clock of its own rate, and the history of the tables by which they place.

use std::time::Duration;

use hallpin_membership::machine::{Output, StateMachine};
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::view::{Member, MemberState, View};
use hallpin_placement::{
    Placement, PlacementConfig, PlacementEvent, PlacementState, StoredPlacement, TableEntry, TableId,
};

use crate::checker::Sample;
use crate::network::Network;

pub const LEASE: Duration = Duration::from_secs(2);
const VIEW_INTERVAL: Duration = Duration::from_millis(200);

pub struct Node {
    pub placement: Option<Placement>,
    pub stored: Option<StoredPlacement>,
    pub node_incarnation: NodeIncarnation,
    started_at: Duration,
    rate_ppm: i64,
    pub paused: bool,
    view: View,
    pub events: Vec<(Duration, PlacementEvent)>,
}

impl Node {
    fn local_clock(&self, at: Duration) -> Moment {
        let nanos = (at - self.started_at).as_nanos() as i128;
        Duration::from_nanos((nanos * (1_000_000 + self.rate_ppm as i128) / 1_000_000) as u64)
    }

    fn due(&self) -> Option<Duration> {
        let local = self.placement.as_ref().filter(|_| !self.paused)?.due()?.as_nanos() as i128;
        Some(
            self.started_at
                + Duration::from_nanos((local * 1_000_000 / (1_000_000 + self.rate_ppm as i128)) as u64 + 1),
        )
    }

    pub fn in_force(&self) -> Option<TableId> {
        self.placement.as_ref()?.in_force().map(|table| table.id())
    }
}

pub struct World {
    pub now: Duration,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub history: Vec<Sample>,
    zones: u16,
    drift_ppm: u32,
    next_view_update_at: Duration,
}

pub fn array(servers: u64) -> Vec<TableEntry> {
    (0..servers).map(|n| TableEntry { server: format!("box-{n:04}"), weight_milli: 1000 }).collect()
}

impl World {
    pub fn new(count: u16, zones: u16, seed: u64) -> Self {
        println!("seed {seed}");
        let node = |n: u16| {
            let node_incarnation = NodeIncarnation { node: NodeId(n), incarnation: Incarnation(0) };
            let view = View::alone(node_incarnation, ZoneId(n % zones), count, Duration::ZERO);
            let (placement, stored, events) = (None, None, Vec::new());
            Node {
                placement,
                stored,
                node_incarnation,
                started_at: Duration::ZERO,
                rate_ppm: 0,
                paused: false,
                view,
                events,
            }
        };
        let (network, now) = (Network::new(seed), Duration::from_secs(1000));
        let nodes = (0..count).map(node).collect();
        World { now, nodes, network, history: Vec::new(), zones, drift_ppm: 20_000, next_view_update_at: now }
    }

    pub fn start(&mut self, nodes: impl IntoIterator<Item = u16>) {
        for n in nodes {
            let count = self.nodes.len() as u16;
            let node = &mut self.nodes[usize::from(n)];
            node.node_incarnation.incarnation =
                Incarnation((node.node_incarnation.incarnation.0 + 1).max(self.now.as_millis() as u64));
            node.started_at = self.now;
            let (node_incarnation, zone) = (node.node_incarnation, ZoneId(n % self.zones));
            node.view = View::alone(node_incarnation, zone, count, Duration::ZERO);
            let config =
                PlacementConfig::with_lease(node_incarnation, zone, self.zones, count, LEASE, self.drift_ppm);
            node.placement =
                Some(Placement::new(config, node.stored.take(), Duration::ZERO, u64::from(n)).unwrap());
        }
    }

    /// Ends a process; its stored state is kept or lost.
    pub fn kill(&mut self, n: u16, keep_state: bool) {
        let node = &mut self.nodes[usize::from(n)];
        node.stored = node.placement.take().filter(|_| keep_state).map(|placement| placement.stored());
        node.paused = false;
    }

    /// Changes the rate of a node's clock, without a jump of its present reading.
    pub fn set_rate(&mut self, n: u16, ppm: i64) {
        let node = &mut self.nodes[usize::from(n)];
        let local = node.local_clock(self.now);
        node.rate_ppm = ppm;
        node.started_at = self.now.saturating_sub(local.mul_f64(1e6 / (1e6 + ppm as f64)));
    }

    pub fn set_list(&mut self, n: u16, revision: u64, entries: Vec<TableEntry>) {
        self.call(n, |placement, now, _| placement.set_endpoint_list(now, revision, entries));
    }

    pub fn set_all_lists(&mut self, revision: u64, servers: u64) {
        (0..self.nodes.len() as u16).for_each(|n| self.set_list(n, revision, array(servers)));
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.step(end) {}
    }

    /// Runs until a condition holds, and returns how long that took. Fails if it does not hold within `limit`.
    pub fn until(&mut self, limit: Duration, condition: impl Fn(&World) -> bool) -> Duration {
        let (started_at, end) = (self.now, self.now + limit);
        while !condition(self) {
            assert!(self.step(end), "not within {limit:?}: {:?}", self.states());
        }
        self.now - started_at
    }

    pub fn states(&self) -> Vec<(Option<PlacementState>, Option<TableId>)> {
        let state = |node: &Node| Some(node.placement.as_ref()?.state(node.local_clock(self.now)));
        self.nodes.iter().map(|node| (state(node), node.in_force())).collect()
    }

    pub fn is_leased(&self, n: u16) -> bool {
        use PlacementState::{InForce, Preparing};
        matches!(self.states()[usize::from(n)].0, Some(InForce | Preparing))
    }

    pub fn coordinator(&self) -> Option<u16> {
        let coordinator = |node: &Node| {
            node.placement
                .as_ref()
                .is_some_and(|placement| placement.is_coordinator(node.local_clock(self.now)))
        };
        self.nodes.iter().position(coordinator).map(|n| n as u16)
    }

    /// Returns whether all given nodes have a lease on one table made from the list of this revision.
    pub fn agree(&self, nodes: impl IntoIterator<Item = u16>, revision: u64) -> bool {
        let mut ids = nodes.into_iter().map(|n| {
            let table = self.nodes[usize::from(n)].placement.as_ref().and_then(Placement::in_force);
            table.filter(|table| table.revision == revision && self.is_leased(n)).map(|table| table.id())
        });
        let first = ids.next().flatten();
        first.is_some() && ids.all(|id| id == first)
    }

    fn step(&mut self, end: Duration) -> bool {
        let due = self.nodes.iter().enumerate().filter_map(|(n, node)| Some((node.due()?, n as u16))).min();
        let due = due.map(|(at, n)| (at.max(self.now), n));
        let next = due
            .map(|(at, _)| at)
            .into_iter()
            .chain(self.network.next())
            .chain([self.next_view_update_at])
            .min();
        let Some(next) = next.filter(|next| *next < end) else {
            self.now = end;
            return false;
        };
        self.now = next;
        if next == self.next_view_update_at {
            self.next_view_update_at += VIEW_INTERVAL;
            (0..self.nodes.len()).for_each(|n| self.update_view(n));
        } else if let Some((_, n)) = due.filter(|(at, _)| *at == next) {
            self.call(n, |placement, now, view| placement.tick(now, view));
        } else if let Some(datagram) = self.network.take() {
            self.call(datagram.to.0, |placement, now, view| {
                placement.receive(now, view, datagram.from, &datagram.payload).unwrap();
            });
        }
        true
    }

    /// Calls a running node, sends its messages, and samples all nodes if it switched.
    fn call(&mut self, n: u16, call: impl FnOnce(&mut Placement, Moment, &View)) {
        let node = &mut self.nodes[usize::from(n)];
        let (local, before) = (node.local_clock(self.now), node.in_force());
        let Some(placement) = node.placement.as_mut().filter(|_| !node.paused) else {
            return;
        };
        call(placement, local, &node.view);
        for output in placement.take_outputs() {
            match output {
                Output::Send { to, payload } => {
                    self.network.send(self.now, node.node_incarnation, to, payload)
                }
                Output::Event(events) => node.events.push((self.now, events)),
            }
        }
        if node.in_force() != before {
            (0..self.nodes.len()).for_each(|n| self.sample(n));
        }
    }

    fn sample(&mut self, n: usize) {
        let node = &self.nodes[n];
        if let Some(placement) = &node.placement {
            let in_force = placement.in_force().map(|table| (table.id(), table.digest()));
            let (leased, held_tables) = (self.is_leased(n as u16), placement.held_tables().collect());
            self.history.push(Sample {
                at_us: self.now.as_micros(),
                node: n as u16,
                in_force,
                leased,
                held_tables,
            });
        }
    }

    /// Updates a node's view: the nodes that run and that it can hear are alive.
    fn update_view(&mut self, n: usize) {
        if self.network.loses_view_update() {
            return;
        }
        let member_in_view = |(m, node): (usize, &Node)| {
            let reachable = node.placement.is_some()
                && !node.paused
                && !self.network.blocked_links.contains(&(m as u16, n as u16));
            let state = if reachable || m == n { MemberState::Alive } else { MemberState::Dead };
            let zone = ZoneId(m as u16 % self.zones);
            (
                node.node_incarnation.node,
                Member { node_incarnation: node.node_incarnation, zone, state, since: Duration::ZERO },
            )
        };
        let members = self.nodes.iter().enumerate().map(member_in_view).collect();
        let view = &mut self.nodes[n].view;
        view.members = members;
        view.version += 1;
        view.cut_off = view.configured > 1 && view.alive().count() == 1;
    }
}

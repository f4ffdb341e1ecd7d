//! A fleet of [`Budgets`] nodes in virtual time, with clocks of different rates and a network that loses, duplicates
//! and delays datagrams. Tests check allotments against capacities at the same true time.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use hallpin_membership::machine::{Output, StateMachine};
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::view::{Member, MemberState, View};
use hallpin_quota::{Budgets, BudgetsConfig, Contracts, Resource, TenantIndex};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub const NS_PER_MS: u64 = 1_000_000;
pub const A: TenantIndex = TenantIndex(0);
pub const B: TenantIndex = TenantIndex(1);

pub fn contracts(a: u32, b: u32) -> Contracts {
    let text = format!(
        "version = 1\nrevision = 1\n[others]\nshare = 1\n[[tenants]]\nname = \"a\"\nshare = {a}\n[[tenants]]\nname = \"b\"\nshare = {b}\n"
    );
    Contracts::parse(&text).unwrap()
}

pub struct Node {
    pub budgets: Budgets,
    pub view: View,
    pub life: NodeIncarnation,
    /// Nanoseconds that the node's clock advances in a million nanoseconds of true time.
    pub clock_rate_ppm: u64,
    started: u64,
    pub paused_until: u64,
    pub down: bool,
}

impl Node {
    pub fn clock(&self, now: u64) -> Moment {
        Duration::from_nanos(
            (u128::from(now - self.started) * u128::from(self.clock_rate_ppm) / 1_000_000) as u64,
        )
    }
}

pub struct SimulatedFleet {
    pub nodes: Vec<Node>,
    pub now: u64,
    pub rng: Pcg64Mcg,
    pub loss_probability: f64,
    pub late_probability: f64,
    /// Nodes with a lower number are partitioned from the others.
    pub partition_below: usize,
    /// Datagrams and payload bytes sent, by node.
    pub sent: Vec<(u64, u64)>,
    pub capacities: BTreeMap<Resource, u32>,
    pub config: BudgetsConfig,
    /// True drift of the clocks, in millionths.
    pub true_drift_ppm: u32,
    sequence: u64,
    in_flight: BTreeMap<(u64, u64), (NodeIncarnation, usize, Vec<u8>)>,
}

impl SimulatedFleet {
    pub fn new(node_count: u16, lease: Duration, capacities: BTreeMap<Resource, u32>, seed: u64) -> Self {
        let this = NodeIncarnation { node: NodeId(0), incarnation: Incarnation(0) };
        let config = BudgetsConfig::new(this, node_count, lease);
        let (rng, sent) = (Pcg64Mcg::seed_from_u64(seed), vec![(0, 0); node_count.into()]);
        let (now, loss_probability, late_probability, partition_below, sequence, true_drift_ppm) =
            (0, 0.0, 0.0, 0, 0, 20_000);
        let (nodes, in_flight) = (Vec::new(), BTreeMap::new());
        SimulatedFleet {
            nodes,
            now,
            rng,
            loss_probability,
            late_probability,
            partition_below,
            sent,
            capacities,
            config,
            true_drift_ppm,
            sequence,
            in_flight,
        }
    }

    pub fn start_all(&mut self) {
        self.nodes = (0..self.config.configured).map(|node| self.start(node)).collect();
        self.refresh_views();
    }

    fn start(&mut self, node: u16) -> Node {
        let life = NodeIncarnation {
            node: NodeId(node),
            incarnation: Incarnation(1_000_000 + self.now / NS_PER_MS),
        };
        let config = BudgetsConfig { this: life, ..self.config };
        let seed = self.rng.random();
        let mut budgets = Budgets::new(config, contracts(2, 1), Moment::ZERO, seed).unwrap();
        budgets.set_capacities(Moment::ZERO, &self.capacities);
        let true_drift_ppm = u64::from(self.true_drift_ppm);
        let clock_rate_ppm =
            if self.rng.random() { 1_000_000 - true_drift_ppm } else { 1_000_000 + true_drift_ppm };
        let view = View::alone(life, ZoneId(0), config.configured, Moment::ZERO);
        Node { budgets, view, life, clock_rate_ppm, started: self.now, paused_until: 0, down: false }
    }

    /// Restarts a node with a new incarnation and no state.
    pub fn restart(&mut self, node: usize) {
        self.nodes[node] = self.start(node as u16);
        self.refresh_views();
    }

    /// Gives every node the true view of the running nodes.
    pub fn refresh_views(&mut self) {
        let running: Vec<NodeIncarnation> =
            self.nodes.iter().filter(|node| !node.down).map(|node| node.life).collect();
        for node in &mut self.nodes {
            refresh_views(node, &running);
        }
    }

    /// Gives a node a view that misses about half of the nodes.
    pub fn corrupt_view(&mut self, node: usize) {
        let running: Vec<NodeIncarnation> = self.nodes.iter().map(|node| node.life).collect();
        let visible: Vec<NodeIncarnation> =
            running.into_iter().filter(|_| self.rng.random_bool(0.5)).collect();
        refresh_views(&mut self.nodes[node], &visible);
    }

    pub fn is_running(&self, node: usize) -> bool {
        !self.nodes[node].down && self.nodes[node].paused_until <= self.now
    }

    fn send(&mut self, node: usize) {
        let from = self.nodes[node].life;
        for output in self.nodes[node].budgets.take_outputs() {
            let Output::Send { to, payload } = output else { continue };
            assert!(payload.len() <= 228, "{} bytes", payload.len());
            self.sent[node].0 += 1;
            self.sent[node].1 += payload.len() as u64;
            let to = usize::from(to.0);
            let is_partitioned = (node < self.partition_below) != (to < self.partition_below);
            while !is_partitioned && !self.rng.random_bool(self.loss_probability) {
                let max_delay_ms = if self.rng.random_bool(self.late_probability) { 1_500 } else { 10 };
                self.sequence += 1;
                let arrives_at = self.now + self.rng.random_range(NS_PER_MS..max_delay_ms * NS_PER_MS);
                self.in_flight.insert((arrives_at, self.sequence), (from, to, payload.clone()));
                if !self.rng.random_bool(0.05) {
                    break;
                }
            }
        }
    }

    /// Advances time by 10 ms: delivers datagrams that have arrived and ticks nodes that are due.
    pub fn step(&mut self) {
        self.now += 10 * NS_PER_MS;
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let (from, to, payload) = entry.remove();
            if self.is_running(to) {
                let node = &mut self.nodes[to];
                let (clock, view) = (node.clock(self.now), &node.view);
                node.budgets.receive(clock, view, from, &payload).unwrap();
                self.send(to);
            }
        }
        for node in (0..self.nodes.len()).filter(|node| self.is_running(*node)).collect::<Vec<_>>() {
            let clock = self.nodes[node].clock(self.now);
            let due_node = &mut self.nodes[node];
            if due_node.budgets.due().is_some_and(|due| due <= clock) {
                due_node.budgets.tick(clock, &due_node.view);
                self.send(node);
            }
        }
    }

    /// Records the demand of both tenants for all resources at every running node.
    pub fn set_demands(&mut self, demand: impl Fn(usize, TenantIndex) -> u32) {
        for node in (0..self.nodes.len()).filter(|node| self.is_running(*node)).collect::<Vec<_>>() {
            let clock = self.nodes[node].clock(self.now);
            for resource in self.capacities.keys() {
                for tenant in [A, B] {
                    self.nodes[node].budgets.record_demand(clock, *resource, tenant, demand(node, tenant));
                }
            }
        }
    }

    /// What all nodes that are up, including paused ones, may use of a resource now.
    pub fn total_max_uses(&self, resource: Resource) -> u32 {
        let allotment = |node: &Node| node.budgets.allotment(node.clock(self.now), resource, A).node_max_uses;
        self.nodes.iter().filter(|node| !node.down).map(allotment).sum()
    }

    /// What a tenant may use of a resource at all nodes that are up.
    pub fn tenant_max_uses(&self, resource: Resource, tenant: TenantIndex) -> u32 {
        let allotment = |node: &Node| node.budgets.allotment(node.clock(self.now), resource, tenant).max_uses;
        self.nodes.iter().filter(|node| !node.down).map(allotment).sum()
    }

    /// Runs for `ms` with constant demand and calls `observe` after each step.
    pub fn run(
        &mut self,
        ms: u64,
        demand: impl Fn(usize, TenantIndex) -> u32,
        mut observe: impl FnMut(&SimulatedFleet),
    ) {
        let until = self.now + ms * NS_PER_MS;
        while self.now < until {
            if self.now.is_multiple_of(50 * NS_PER_MS) {
                self.set_demands(&demand);
            }
            self.step();
            observe(self);
        }
    }
}

fn refresh_views(node: &mut Node, running: &[NodeIncarnation]) {
    let mut view = View::alone(node.life, ZoneId(0), node.view.configured, Moment::ZERO);
    for &life in running {
        let member = Member {
            node_incarnation: life,
            zone: ZoneId(0),
            state: MemberState::Alive,
            since: Moment::ZERO,
        };
        view.members.insert(life.node, member);
    }
    node.view = view;
}

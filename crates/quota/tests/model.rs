//! Model check of budgets: three nodes in two depots with demand for the full capacity, from a settled start. Messages
//! are lost, duplicated, late and reordered, the depots are partitioned, and node 1, which both can reach, may restart
//! without its state. With a safeguard removed, the check must find a violation.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::time::Duration;

use hallpin_membership::machine::{Output, StateMachine};
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::view::{Member, MemberState, View};
use hallpin_quota::{Budgets, BudgetsConfig, Contracts, Resource, TenantIndex};
use stateright::{Checker, Model, Property};

const LEASE: Duration = Duration::from_millis(80);
const BOX: Resource = Resource(1);
const CAPACITY: u32 = 12;
const DRIFT_PPM: u32 = 250_000;
/// Quarters of a millisecond that each node's clock advances per millisecond of true time: slow, fast, fast.
const CLOCK_RATES: [u64; 3] = [3, 5, 5];
/// Milliseconds of true time between two ticks.
const TICK_MS: u64 = 6;
/// Ticks before the check begins.
const SETTLE_TICKS: u64 = 82;
/// The last ticks before the check, in which node 2 is partitioned.
const PARTITION_TICKS: u64 = 16;
/// Most ticks until a message is delivered.
const MAX_AGE_TICKS: u8 = 1;

struct FleetModel {
    drift_ppm: u32,
    quiet_after_start: bool,
    crashes: u8,
    /// Ticks after the settling ones in which all messages are lost.
    silent_ticks: u64,
    checked_ticks: u64,
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<(NodeIncarnation, View, Budgets)>,
    true_ms: u64,
    crashes: u8,
    /// Messages that may still arrive, any number of times or never, with their age in ticks.
    in_flight: BTreeSet<(u8, NodeIncarnation, NodeId, Vec<u8>)>,
}

impl State {
    fn fingerprint(&self) -> String {
        format!("{:?}", (&self.nodes, self.true_ms, self.crashes, &self.in_flight))
    }
}

/// Feeds formatted text to a hasher.
struct HashWriter<'a, H>(&'a mut H);

impl<H: Hasher> std::fmt::Write for HashWriter<'_, H> {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.fingerprint() == other.fingerprint()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        let contents = (&self.nodes, self.true_ms, self.crashes, &self.in_flight);
        std::fmt::Write::write_fmt(&mut HashWriter(hasher), format_args!("{contents:?}")).unwrap();
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    AdvanceTime,
    Deliver(u8, NodeIncarnation, NodeId, Vec<u8>),
    Crash(usize),
}

fn clock(node: usize, true_ms: u64) -> Moment {
    Duration::from_secs(1) + Duration::from_micros(250) * (true_ms * CLOCK_RATES[node]) as u32
}

fn view(this: NodeIncarnation, seen: &[NodeIncarnation]) -> View {
    let mut view = View::alone(this, ZoneId(this.node.0 / 2), 3, Moment::ZERO);
    for &life in seen {
        let member = Member {
            node_incarnation: life,
            zone: ZoneId(life.node.0 / 2),
            state: MemberState::Alive,
            since: Moment::ZERO,
        };
        view.members.insert(life.node, member);
    }
    view
}

impl FleetModel {
    fn start(&self, this: NodeIncarnation, at: Moment) -> Budgets {
        let config = BudgetsConfig { drift_ppm: self.drift_ppm, ..BudgetsConfig::new(this, 3, LEASE) };
        let text = "version = 1\nrevision = 1\n[others]\nshare = 1\n";
        let mut budgets = Budgets::new(config, Contracts::parse(text).unwrap(), at, 1).unwrap();
        budgets.set_capacities(at, &BTreeMap::from([(BOX, CAPACITY)]));
        budgets
    }

    fn collect(&self, state: &mut State, node: usize) {
        let (from, _, budgets) = &mut state.nodes[node];
        for output in budgets.take_outputs() {
            // From the partition on, no message passes between node 0 and the second depot.
            let is_partitioned = state.true_ms >= (SETTLE_TICKS - PARTITION_TICKS) * TICK_MS;
            if let Output::Send { to, payload } = output {
                if is_partitioned && from.node.0 + to.0 == 2 {
                    continue;
                }
                state.in_flight.insert((0, *from, to, payload));
            }
        }
    }

    fn advance_time(&self, state: &mut State) {
        state.true_ms += TICK_MS;
        let in_flight =
            std::mem::take(&mut state.in_flight).into_iter().filter(|message| message.0 < MAX_AGE_TICKS);
        state.in_flight = in_flight.map(|(age, from, to, payload)| (age + 1, from, to, payload)).collect();
        for node in 0..3 {
            let now = clock(node, state.true_ms);
            let (_, view, budgets) = &mut state.nodes[node];
            budgets.record_demand(now, BOX, TenantIndex(0), 8);
            budgets.tick(now, view);
            self.collect(state, node);
        }
    }

    fn deliver(&self, state: &mut State, from: NodeIncarnation, to: NodeId, payload: &[u8]) {
        let to = usize::from(to.0);
        let now = clock(to, state.true_ms);
        let (_, view, budgets) = &mut state.nodes[to];
        budgets.receive(now, view, from, payload).unwrap();
        self.collect(state, to);
    }
}

impl Model for FleetModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let lives: Vec<NodeIncarnation> =
            (0..3).map(|node| NodeIncarnation { node: NodeId(node), incarnation: Incarnation(1) }).collect();
        let nodes =
            lives.iter().map(|&life| (life, view(life, &lives), self.start(life, Moment::ZERO))).collect();
        let mut state = State { nodes, true_ms: 0, crashes: 0, in_flight: BTreeSet::new() };
        // No faults until node 0 has granted for a while; then the second depot, node 2, is partitioned for a while.
        for step in 0..SETTLE_TICKS {
            self.advance_time(&mut state);
            while let Some((_, from, to, payload)) = state.in_flight.pop_first() {
                if step < SETTLE_TICKS - PARTITION_TICKS || (from.node.0 < 2 && to.0 < 2) {
                    self.deliver(&mut state, from, to, &payload);
                }
            }
        }
        // Node 2 sees no other node.
        state.nodes[2].1 = view(lives[2], &[]);
        (0..self.silent_ticks).for_each(|_| self.advance_time(&mut state));
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::AdvanceTime);
        let in_flight = state.in_flight.iter().cloned();
        actions.extend(in_flight.map(|(age, from, to, payload)| Action::Deliver(age, from, to, payload)));
        if state.crashes < self.crashes && state.true_ms <= (SETTLE_TICKS + self.silent_ticks + 1) * TICK_MS {
            actions.push(Action::Crash(1));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut next = last.clone();
        match action {
            Action::AdvanceTime => self.advance_time(&mut next),
            Action::Deliver(_, from, to, payload) => self.deliver(&mut next, from, to, &payload),
            Action::Crash(node) => {
                next.crashes += 1;
                let now = clock(node, next.true_ms);
                let at = if self.quiet_after_start { now } else { now - LEASE * 2 };
                let (life, _, budgets) = &mut next.nodes[node];
                life.incarnation.0 += 1;
                *budgets = self.start(*life, at);
            }
        }
        Some(next)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.true_ms <= (SETTLE_TICKS + self.silent_ticks + self.checked_ticks) * TICK_MS
    }

    fn properties(&self) -> Vec<Property<Self>> {
        fn total_max_uses(state: &State) -> u32 {
            let allotment = |node: usize| {
                state.nodes[node].2.allotment(clock(node, state.true_ms), BOX, TenantIndex(0)).node_max_uses
            };
            (0..3).map(allotment).sum()
        }
        vec![
            Property::always("within the capacity", |_, state: &State| total_max_uses(state) <= CAPACITY),
            Property::sometimes("full capacity allotted", |_, state: &State| {
                total_max_uses(state) == CAPACITY
            }),
            Property::sometimes("another node grants", |_, state: &State| {
                state.nodes[2].2.grantor().is_some_and(|(node, _)| node == NodeId(2))
            }),
        ]
    }
}

fn check(fleet: FleetModel, depth: usize) -> impl Checker<FleetModel> {
    let checker = fleet.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker
}

#[test]
fn the_sum_of_allotments_stays_within_the_capacity() {
    for (crashes, silent_ticks, depth) in [(0, 10, 9), (1, 0, 9)] {
        let fleet = FleetModel {
            drift_ppm: DRIFT_PPM,
            quiet_after_start: true,
            crashes,
            silent_ticks,
            checked_ticks: 12,
        };
        // Optimised builds search two steps deeper.
        let more = if cfg!(debug_assertions) { 0 } else { 2 };
        check(fleet, depth + more).assert_no_discovery("within the capacity");
    }
}

#[test]
fn without_a_margin_for_drift_the_capacity_is_exceeded() {
    let fleet =
        FleetModel { drift_ppm: 0, quiet_after_start: true, crashes: 0, silent_ticks: 10, checked_ticks: 12 };
    println!("{:?}", check(fleet, 10).assert_any_discovery("within the capacity").into_actions());
}

#[test]
fn without_quiet_after_a_start_the_capacity_is_exceeded() {
    let fleet = FleetModel {
        drift_ppm: DRIFT_PPM,
        quiet_after_start: false,
        crashes: 1,
        silent_ticks: 0,
        checked_ticks: 12,
    };
    println!("{:?}", check(fleet, 11).assert_any_discovery("within the capacity").into_actions());
}

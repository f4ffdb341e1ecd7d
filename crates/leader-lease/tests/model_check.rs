//! Model check of the lease: three nodes with clocks of different rates, two of them candidates. Every message may be
//! lost, late, duplicated or out of order, and one node may restart without its state. With a safeguard removed, the
//! check must find a violation.

use std::collections::BTreeSet;
use std::time::Duration;

use hallpin_leader_lease::{Candidacy, ClockDrift, LeaderLease, LeaseConfig, LeaseMessage};
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation};
use stateright::{Checker, Model, Property};

const TERM: Duration = Duration::from_millis(16);
const DRIFT_PPM: u32 = 250_000;
/// Clock rate of each node, in quarters of a millisecond per millisecond of true time: slow, fast, fast.
const CLOCK_RATES: [u64; 3] = [3, 5, 5];
/// Time between two ticks, in milliseconds of true time.
const STEP_MS: u64 = 7;

struct Fleet {
    silent_after_start: bool,
    drift_ppm: u32,
    crashes: u8,
    steps: u64,
    /// Step from which node 2 is a candidate too.
    rival_from: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    leases: Vec<LeaderLease>,
    incarnations: Vec<NodeIncarnation>,
    time: u64,
    crashes: u8,
    /// Every message ever sent: each may be delivered never, late or several times.
    sent: BTreeSet<(NodeIncarnation, NodeId, LeaseMessage)>,
}

impl State {
    fn holders(&self) -> impl Iterator<Item = usize> + '_ {
        (0..3).filter(|&node| self.leases[node].held(clock(node, self.time)).is_some())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Tick,
    Deliver(NodeIncarnation, NodeId, LeaseMessage),
    Crash(usize),
}

fn node_incarnation(node: usize, incarnation: u64) -> NodeIncarnation {
    NodeIncarnation { node: NodeId(node as u16), incarnation: Incarnation(incarnation) }
}

fn clock(node: usize, time: u64) -> Moment {
    Duration::from_millis(100) + Duration::from_micros(250) * (time * CLOCK_RATES[node]) as u32
}

impl Fleet {
    fn config(&self, this: NodeIncarnation) -> LeaseConfig {
        LeaseConfig { this, configured: 3, term: TERM, drift_ppm: self.drift_ppm }
    }

    fn start(&self, this: NodeIncarnation, at: Moment) -> LeaderLease {
        let mut lease = LeaderLease::new(self.config(this), at, this.incarnation.0).expect("valid settings");
        lease.set_candidacy(Candidacy::standing_if(this.node.0 == 0));
        lease
    }

    /// Moves the outgoing messages of a node to those sent.
    fn collect(&self, state: &mut State, node: usize) {
        let from = state.incarnations[node];
        let outbox = state.leases[node].take_outbox();
        state.sent.extend(outbox.into_iter().map(|(to, message)| (from, to, message)));
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let incarnations: Vec<NodeIncarnation> = [300, 1, 600]
            .iter()
            .enumerate()
            .map(|(node, &started)| node_incarnation(node, started))
            .collect();
        let leases = incarnations.iter().map(|&this| self.start(this, Moment::ZERO)).collect();
        vec![State { leases, incarnations, time: 0, crashes: 0, sent: BTreeSet::new() }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.push(Action::Tick);
        actions.extend(state.sent.iter().map(|&(from, to, message)| Action::Deliver(from, to, message)));
        if state.crashes < self.crashes {
            actions.extend((0..3).map(Action::Crash));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut next = last.clone();
        match action {
            Action::Tick => {
                next.time += STEP_MS;
                next.leases[2].set_candidacy(Candidacy::standing_if(next.time >= self.rival_from * STEP_MS));
                for node in 0..3 {
                    next.leases[node].tick(clock(node, next.time));
                    self.collect(&mut next, node);
                }
            }
            Action::Deliver(from, to, message) => {
                let to = usize::from(to.0);
                next.leases[to].receive(clock(to, next.time), from, message);
                self.collect(&mut next, to);
            }
            Action::Crash(node) => {
                next.crashes += 1;
                next.incarnations[node].incarnation.0 += 1;
                let now = clock(node, next.time);
                let silent_for = ClockDrift(DRIFT_PPM).lengthen(TERM);
                let at = if self.silent_after_start { now } else { now - silent_for };
                next.leases[node] = self.start(next.incarnations[node], at);
            }
        }
        (next != *last).then_some(next)
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.time <= self.steps * STEP_MS
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one holder", |_, state: &State| state.holders().count() <= 1),
            Property::sometimes("the rival holds the lease", |_, state: &State| {
                state.holders().any(|node| node == 2)
            }),
        ]
    }
}

fn check(fleet: Fleet, depth: usize) -> impl Checker<Fleet> {
    let checker = fleet.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker
}

#[test]
fn two_nodes_never_hold_the_lease() {
    for (crashes, steps, rival_from, depth) in [(1, 2, 1, 11), (0, 4, 3, 12)] {
        let fleet = Fleet { silent_after_start: true, drift_ppm: DRIFT_PPM, crashes, steps, rival_from };
        let checker = check(fleet, depth);
        checker.assert_properties();
    }
}

#[test]
fn voting_right_after_a_start_lets_two_nodes_hold_the_lease() {
    let checker = check(
        Fleet { silent_after_start: false, drift_ppm: DRIFT_PPM, crashes: 1, steps: 2, rival_from: 1 },
        11,
    );
    println!("{:?}", checker.assert_any_discovery("at most one holder").into_actions());
}

#[test]
fn ignoring_clock_drift_lets_two_nodes_hold_the_lease() {
    let checker =
        check(Fleet { silent_after_start: true, drift_ppm: 0, crashes: 0, steps: 3, rival_from: 3 }, 11);
    println!("{:?}", checker.assert_any_discovery("at most one holder").into_actions());
}

//! Events, properties and checks of the model.

use std::time::Duration;

use stateright::{Checker, Model, Property, UniformChooser};

use super::{list, Allowance, Node, State};
use crate::message::Message;

/// Numbers of states to visit in breadth-first order and in random walks.
const BFS_STATES: usize = 8_000;
const WALK_STATES: usize = 15_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Deliver(usize),
    Duplicate(usize),
    /// One step of time passes.
    Wait,
    /// One step of time passes, and every message that can be delivered is.
    WaitAndDeliver,
    MoveLease(usize),
    Crash {
        node: usize,
        keep_state: bool,
    },
    Pause(usize),
    Resume(usize),
    Partition,
    Heal,
}

struct Federation(Allowance);

impl Model for Federation {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        // One initial state for each step of an undisturbed change.
        let mut steps = vec![State::with_first_table(self.0)];
        let mut state = steps[0].clone();
        state.wait();
        while !state.in_flight.is_empty() {
            steps.push(state.clone());
            state.deliver(0, false);
        }
        steps
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let allowance = state.allowance;
        for (at, (_, to, _)) in state.in_flight.iter().enumerate() {
            if !state.nodes[usize::from(to.0)].paused {
                actions.push(Action::Deliver(at));
                actions.extend((allowance.duplicates > 0).then_some(Action::Duplicate(at)));
            }
        }
        if allowance.steps > 0 {
            actions.extend([Action::Wait, Action::WaitAndDeliver]);
        }
        actions.extend(if state.partitioned {
            Some(Action::Heal)
        } else {
            (allowance.partitions > 0).then_some(Action::Partition)
        });
        for (n, node) in state.nodes.iter().enumerate() {
            actions
                .extend((allowance.lease_moves > 0 && state.leader.0 != n).then_some(Action::MoveLease(n)));
            if allowance.crashes > 0 {
                actions.extend([true, false].map(|keep_state| Action::Crash { node: n, keep_state }));
            }
            actions.extend(if node.paused {
                Some(Action::Resume(n))
            } else {
                (allowance.pauses > 0).then_some(Action::Pause(n))
            });
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        let allowance = &mut state.allowance;
        match action {
            Action::Deliver(at) => state.deliver(at, false),
            Action::Duplicate(at) => {
                allowance.duplicates -= 1;
                state.deliver(at, true);
            }
            Action::Wait => {
                allowance.steps -= 1;
                state.wait();
            }
            Action::WaitAndDeliver => {
                allowance.steps -= 1;
                state.wait_and_deliver();
            }
            Action::MoveLease(n) => {
                allowance.lease_moves -= 1;
                state.leader = (n, state.leader.1 + 1);
                state.call(n, |protocol, now, epoch, view, out| protocol.tick(now, epoch, view, out));
            }
            Action::Crash { node, keep_state } => {
                allowance.crashes -= 1;
                let old = &state.nodes[node];
                let epoch = if keep_state { old.protocol.replica.leader.epoch } else { 0 };
                let kept_state = keep_state.then_some(&old.protocol);
                let mut new = Node::new(
                    node as u16,
                    old.node_incarnation.incarnation.0 + 1,
                    state.now,
                    epoch,
                    kept_state,
                );
                new.protocol.set_endpoint_list(Duration::ZERO, 2, list(2 + node as u32 % 2));
                state.nodes[node] = new;
                if state.leader.0 == node {
                    state.leader = (usize::MAX, state.leader.1);
                }
            }
            Action::Pause(n) => {
                allowance.pauses -= 1;
                state.nodes[n].paused = true;
            }
            Action::Resume(n) => state.nodes[n].paused = false,
            Action::Partition => {
                allowance.partitions -= 1;
                state.partitioned = true;
            }
            Action::Heal => state.partitioned = false,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one table per version", |_, state: &State| {
                !state.violations.two_tables_under_one_version
            }),
            Property::always("never an older table after a newer one", |_, state: &State| {
                !state.violations.older_after_newer
            }),
            Property::always("every leased node holds the table in force", |_, state: &State| {
                !state.violations.switched_while_a_leased_node_lacks_it
            }),
            Property::sometimes("a successor's table is in force", |_, state: &State| {
                state.digests_in_force.keys().any(|id| id.epoch > 1)
            }),
            Property::sometimes(
                "a table is in force without a node whose lease has expired",
                |_, state: &State| {
                    state.newest.iter().filter(|newest| newest.is_some_and(|id| id.version > 1)).count() == 2
                        && state
                            .nodes
                            .iter()
                            .any(|node| !node.protocol.replica.is_leased(node.local_clock(state.now)))
                },
            ),
        ]
    }
}

/// Checks all orders of events close to the steps of a change, then long random walks.
fn check(name: &str, allowance: Allowance) {
    let breadth_first =
        Federation(allowance).checker().threads(1).target_state_count(BFS_STATES).spawn_bfs().join();
    let walks = Federation(allowance)
        .checker()
        .threads(1)
        .target_state_count(WALK_STATES)
        .spawn_simulation(7, UniformChooser)
        .join();
    println!(
        "{name}: {} states to depth {}, {} in walks",
        breadth_first.unique_state_count(),
        breadth_first.max_depth(),
        walks.state_count()
    );
    for always in [
        "one table per version",
        "never an older table after a newer one",
        "every leased node holds the table in force",
    ] {
        for found in [breadth_first.discovery(always), walks.discovery(always)] {
            assert!(found.is_none(), "violated: {always}: {:?}", found.map(stateright::Path::into_actions));
        }
    }
    for sometimes in
        ["a successor's table is in force", "a table is in force without a node whose lease has expired"]
    {
        assert!(
            breadth_first.discovery(sometimes).or(walks.discovery(sometimes)).is_some(),
            "never reached: {sometimes}"
        );
    }
}

const NO_FAULTS: Allowance =
    Allowance { steps: 7, lease_moves: 0, crashes: 0, pauses: 0, duplicates: 0, partitions: 0 };

#[test]
fn leader_lease_moves() {
    check("leader lease moves", Allowance { lease_moves: 2, ..NO_FAULTS });
}

#[test]
fn leader_lease_moves_and_pauses() {
    check("leader lease moves, pauses", Allowance { lease_moves: 1, pauses: 1, duplicates: 1, ..NO_FAULTS });
}

#[test]
fn leader_lease_moves_and_crashes() {
    check("leader lease moves, crashes", Allowance { lease_moves: 1, crashes: 1, ..NO_FAULTS });
}

#[test]
fn leader_lease_moves_and_partitions() {
    check("leader lease moves, partitions", Allowance { lease_moves: 1, partitions: 1, ..NO_FAULTS });
}

/// Node 2 resumes from a pause after its lease has expired, and the grant that renews the lease is late. Meanwhile the
/// coordinator (with `lease_moves`, its successor as leader) hears that node 2 has no lease, and prepares a table that
/// node 2 does not get. The late grant must not let node 2 place by its old table while the others switch.
fn check_late_grant(lease_moves: bool) {
    let mut state = State::with_first_table(NO_FAULTS);
    state.nodes[2].paused = true;
    (0..6).for_each(|_| state.wait_and_deliver());
    state.nodes[2].paused = false;
    state.wait();
    let is_grant = |message: &Message| matches!(message, Message::Announcement(sent) if sent.grant.is_some());
    let late_grant = loop {
        let granted = state.in_flight.iter().position(|(_, to, message)| to.0 == 2 && is_grant(message));
        match granted {
            Some(at) => break state.in_flight.remove(at),
            None if state.in_flight.is_empty() => state.wait(),
            None => state.deliver(0, false),
        }
    };
    state.in_flight.clear();
    state.nodes[2].paused = true;
    state.leader = if lease_moves { (1, 2) } else { state.leader };
    (0..2).for_each(|n| state.call(n, |protocol, now, _, _, _| protocol.set_endpoint_list(now, 3, list(4))));
    state.wait_and_deliver();
    state.nodes[2].paused = false;
    state.wait();
    while let Some(at) =
        state.in_flight.iter().position(|(.., message)| !matches!(message, Message::PageRequest(_)))
    {
        // With a successor, node 2 hears it. With the old coordinator, nodes 1 and 2 hear nothing newer than the grant.
        if !lease_moves && state.in_flight[at].1 .0 != 0 {
            state.in_flight.remove(at);
        } else {
            state.deliver(at, false);
        }
    }
    assert_eq!(state.nodes[2].protocol.replica.leader.epoch, state.leader.1);
    state.in_flight.clear();
    state.partitioned = true;
    let (from, _, message) = late_grant;
    state.call(2, |protocol, now, epoch, view, out| protocol.receive(now, epoch, view, from, message, out));
    (0..4).for_each(|_| state.wait_and_deliver());
    assert!(state.newest[0].is_some_and(|id| id.version == 3));
    assert_eq!(state.violations, super::Violations::default());
}

#[test]
fn a_late_grant_of_an_earlier_coordinator_is_ignored() {
    check_late_grant(true);
}

#[test]
fn a_grant_in_flight_delays_the_decision() {
    check_late_grant(false);
}

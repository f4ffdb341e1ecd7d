//! Model check of the merge rules over all event orders that a small federation can reach, with nodes 0 and 1 in one
//! depot and node 2 in the other. A datagram once sent stays in the network and may be delivered late, twice, out of
//! order or never, which covers loss, duplication, reordering and partitions. An accusation may be false, and a
//! suspected node may be declared dead at any time.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use stateright::{Checker, Model, Property};

use crate::membership::table::{Effect, MemberDetail, Table};
use crate::message::{Claim, ClaimedState, SenderInfo};
use crate::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use crate::view::MemberState;

const NODES: [NodeId; 3] = [NodeId(0), NodeId(1), NodeId(2)];
const NOW: Moment = Moment::ZERO;

struct Federation {
    datagrams: usize,
    accusations: usize,
    restarts: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Datagram {
    to: NodeId,
    from: NodeIncarnation,
    refutations: u32,
    claim: Option<Claim>,
}

#[derive(Clone, Debug)]
struct State {
    nodes: Vec<Table>,
    datagrams: BTreeSet<Datagram>,
    /// Nodes that some node found silent itself, with their incarnation and refutations at that time.
    accused: BTreeSet<(NodeId, Incarnation, u32)>,
    /// Whether a node replaced a later incarnation by an earlier one.
    incarnation_went_back: bool,
}

/// The state that the properties read, without the version counter.
type Key<'a> = (
    Vec<Vec<(Incarnation, MemberState, &'a MemberDetail)>>,
    &'a BTreeSet<Datagram>,
    &'a BTreeSet<(NodeId, Incarnation, u32)>,
    bool,
);

impl State {
    fn key(&self) -> Key<'_> {
        fn of(table: &Table) -> Vec<(Incarnation, MemberState, &MemberDetail)> {
            let members = table.view.members.values().zip(table.details.values());
            members
                .map(|(member, details)| (member.node_incarnation.incarnation, member.state, details))
                .collect()
        }
        (self.nodes.iter().map(of).collect(), &self.datagrams, &self.accused, self.incarnation_went_back)
    }
}

fn table(state: &State, node: NodeId) -> &Table {
    &state.nodes[usize::from(node.0)]
}

fn datagram(table: &Table, to: NodeId, about: Option<NodeId>) -> Datagram {
    let claim = about.and_then(|about| table.claim(about, Some(table.view.this.node)));
    Datagram { to, from: table.view.this, refutations: table.own_refutations(), claim }
}

impl PartialEq for State {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.key().hash(hasher);
    }
}

/// Applies a datagram to the table as `Peers::receive` does.
fn deliver(table: &mut Table, datagram: &Datagram) {
    let sender = SenderInfo {
        zone: ZoneId(0),
        refutations: datagram.refutations,
        leaving: false,
        fingerprint: [0; 4],
    };
    if table.apply_direct(NOW, datagram.from, &sender) == Effect::Stale {
        return;
    }
    match &datagram.claim {
        Some(claim) if claim.node == table.view.this.node => {
            table.refute(claim);
        }
        Some(claim) if claim.node != datagram.from.node => {
            table.apply_claim(NOW, claim, datagram.from.node, true);
        }
        _ => {}
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Send(NodeId, NodeId, Option<NodeId>),
    Deliver(Datagram),
    Accuse(NodeId, NodeId),
    DeclareDead(NodeId, NodeId),
    /// The node restarts with nothing stored but its number; datagrams of its earlier incarnation are still in flight.
    Restart(NodeId),
}

fn started(node: NodeId, incarnation: u64) -> Table {
    Table::new(NodeIncarnation { node, incarnation: Incarnation(incarnation) }, ZoneId(node.0 / 2), 3, NOW)
}

impl Model for Federation {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        let nodes = NODES.map(|node| started(node, 1)).to_vec();
        let mut state = State {
            nodes,
            datagrams: BTreeSet::new(),
            accused: BTreeSet::new(),
            incarnation_went_back: false,
        };
        for (from, to) in pairs() {
            let hello = datagram(table(&state, from), to, None);
            deliver(&mut state.nodes[usize::from(to.0)], &hello);
        }
        vec![state]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        actions.extend(state.datagrams.iter().copied().map(Action::Deliver));
        for (by, of) in pairs() {
            let held = table(state, by).state(of);
            match held {
                Some(MemberState::Alive) if state.accused.len() < self.accusations => {
                    actions.push(Action::Accuse(by, of))
                }
                Some(MemberState::Suspect) => actions.push(Action::DeclareDead(by, of)),
                _ => {}
            }
            if state.datagrams.len() < self.datagrams {
                let third = NodeId(3 - by.0 - of.0);
                actions.extend([Some(of), Some(third)].map(|about| Action::Send(by, of, about)));
            }
        }
        if state.nodes[0].view.this.incarnation.0 <= self.restarts {
            actions.push(Action::Restart(NODES[0]));
        }
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Send(from, to, about) => {
                let datagram = datagram(table(&state, from), to, about);
                if !state.datagrams.insert(datagram) {
                    return None;
                }
            }
            Action::Deliver(datagram) => deliver(&mut state.nodes[usize::from(datagram.to.0)], &datagram),
            Action::Accuse(by, of) => {
                let table = &mut state.nodes[usize::from(by.0)];
                let claim = table.claim(of, None)?;
                state.accused.insert((of, claim.incarnation, claim.refutations));
                table.suspect(NOW, of, by);
            }
            Action::DeclareDead(by, of) => state.nodes[usize::from(by.0)].declare_dead(NOW, of),
            Action::Restart(node) => {
                let incarnation = table(&state, node).view.this.incarnation.0 + 1;
                state.nodes[usize::from(node.0)] = started(node, incarnation);
                return Some(state);
            }
        }
        for (before, after) in last.nodes.iter().zip(&state.nodes) {
            let incarnations = |table: &Table| {
                table.view.members.iter().map(|(n, m)| (*n, m.node_incarnation)).collect::<BTreeMap<_, _>>()
            };
            let (before, after) = (incarnations(before), incarnations(after));
            state.incarnation_went_back |= before
                .iter()
                .any(|(node, node_incarnation)| after.get(node).is_none_or(|now| now < node_incarnation));
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("an earlier incarnation never replaces a newer one", |_, state: &State| {
                !state.incarnation_went_back
            }),
            Property::always(
                "no node is suspected, dead or left by a refuted claim or one about an earlier incarnation",
                |_, state: &State| {
                    let held = state
                        .nodes
                        .iter()
                        .flat_map(|table| NODES.map(|node| table.claim(node, Some(NODES[0]))));
                    held.flatten().filter(|claim| claim.state != ClaimedState::Alive).all(|claim| {
                        state.accused.contains(&(claim.node, claim.incarnation, claim.refutations))
                    })
                },
            ),
            Property::always("one exchange restores a running node from any state", |_, state: &State| {
                pairs().all(|(by, of)| {
                    let (mut one, mut other) = (table(state, by).clone(), table(state, of).clone());
                    deliver(&mut other, &datagram(&one, of, Some(of)));
                    let refuted = datagram(&other, by, None);
                    deliver(&mut one, &refuted);
                    let member = one.view.members.get(&of).copied();
                    member
                        .is_some_and(|m| m.state == MemberState::Alive && m.node_incarnation == refuted.from)
                })
            }),
            // Ensures that the search reaches the interesting states.
            match self.restarts {
                0 => Property::sometimes("a running node is declared dead", |_, state: &State| {
                    state.nodes.iter().any(|table| table.state(NODES[0]) == Some(MemberState::Dead))
                }),
                _ => Property::sometimes("two nodes know the later incarnation", |_, state: &State| {
                    let later = |table: &Table| table.view.incarnation(NODES[0]) == Some(Incarnation(2));
                    later(&state.nodes[1]) && later(&state.nodes[2])
                }),
            },
        ]
    }
}

fn pairs() -> impl Iterator<Item = (NodeId, NodeId)> {
    NODES
        .into_iter()
        .flat_map(|one| NODES.into_iter().filter(move |other| *other != one).map(move |other| (one, other)))
}

#[test]
fn merge_rules_hold_in_every_order() {
    // A restart with late datagrams, and a refutation that reaches all: each is searched as deep as the shortest fault
    // and beyond.
    for (restarts, depth) in [(1, 7), (0, 9)] {
        let model = Federation { datagrams: 3, accusations: 1, restarts };
        let checker = model.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
        println!(
            "{restarts} restarts: {} states, {} unique",
            checker.state_count(),
            checker.unique_state_count()
        );
        checker.assert_properties();
    }
}

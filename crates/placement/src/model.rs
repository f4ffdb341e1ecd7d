//! Model check over bounded sequences of events: three nodes in two depots, with messages that are late, lost,
//! duplicated and out of order, crashes with and without state, a pause, a partition between the depots, and a leader
//! lease that moves at any time.
//!
//! Nodes 0 and 1 are in one depot, node 2 in the other. At the start all have a lease on a first table, and lists of
//! one revision with different contents.

mod actions;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::config::PlacementConfig;
use crate::events::Outbox;
use crate::message::Message;
use crate::protocol::TableProtocol;
use crate::replica::Replica;
use crate::table::{TableEntry, TableId};
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::view::{Member, MemberState, View};

const NODES: u16 = 3;
/// The time of one step; a lease is four steps.
const STEP: Duration = Duration::from_secs(1);
/// Messages in flight at once; of more, the oldest are lost.
const MAX_IN_FLIGHT: usize = 4;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Node {
    protocol: TableProtocol,
    node_incarnation: NodeIncarnation,
    started_at: u32,
    paused: bool,
}

/// How many more times each event may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Allowance {
    steps: u32,
    lease_moves: u32,
    crashes: u32,
    pauses: u32,
    duplicates: u32,
    partitions: u32,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Violations {
    two_tables_under_one_version: bool,
    older_after_newer: bool,
    switched_while_a_leased_node_lacks_it: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u32,
    nodes: Vec<Node>,
    leader: (usize, u64),
    in_flight: Vec<(NodeIncarnation, NodeId, Message)>,
    partitioned: bool,
    allowance: Allowance,
    digests_in_force: BTreeMap<TableId, u64>,
    newest: Vec<Option<TableId>>,
    violations: Violations,
}

impl Node {
    fn new(n: u16, incarnation: u64, started_at: u32, epoch: u64, old: Option<&TableProtocol>) -> Self {
        let node_incarnation = NodeIncarnation { node: NodeId(n), incarnation: Incarnation(incarnation) };
        let config = PlacementConfig::with_lease(node_incarnation, ZoneId(n / 2), 2, NODES, STEP * 4, 0);
        let known = old.and_then(|protocol| protocol.replica.base().cloned());
        Node {
            protocol: TableProtocol::new(config, Replica::new(epoch, known), Duration::ZERO, 0),
            node_incarnation,
            started_at,
            paused: false,
        }
    }

    fn local_clock(&self, now: u32) -> Moment {
        STEP * (now - self.started_at)
    }
}

fn list(weight_milli: u32) -> Vec<TableEntry> {
    vec![TableEntry { server: "box".into(), weight_milli }]
}

impl State {
    /// The initial state: all nodes have a lease on a first table, and node 0 is the coordinator.
    fn with_first_table(allowance: Allowance) -> Self {
        let nodes = (0..NODES).map(|n| Node::new(n, 1, 0, 0, None)).collect();
        let (digests_in_force, violations, newest) = (BTreeMap::new(), Violations::default(), vec![None; 3]);
        let (leader, in_flight) = ((0, 1), Vec::new());
        let mut state = State {
            now: 0,
            nodes,
            leader,
            in_flight,
            partitioned: false,
            allowance,
            digests_in_force,
            newest,
            violations,
        };
        for n in 0..3 {
            state.call(n, |protocol, now, _, _, _| protocol.set_endpoint_list(now, 1, list(1)));
        }
        (0..5).for_each(|_| state.wait_and_deliver());
        for n in 0..3 {
            state
                .call(n, |protocol, now, _, _, _| protocol.set_endpoint_list(now, 2, list(2 + n as u32 % 2)));
        }
        assert!(state.newest.iter().all(|newest| newest.is_some_and(|id| id.version == 1)));
        state
    }

    fn view(&self, n: usize) -> View {
        let members = self.nodes.iter().map(|node| {
            let (zone, state) = (ZoneId(node.node_incarnation.node.0 / 2), MemberState::Alive);
            (
                node.node_incarnation.node,
                Member { node_incarnation: node.node_incarnation, zone, state, since: Duration::ZERO },
            )
        });
        let this = self.nodes[n].node_incarnation;
        let members = members.collect();
        View { this, zone: ZoneId(this.node.0 / 2), configured: NODES, members, cut_off: false, version: 0 }
    }

    fn call(
        &mut self,
        n: usize,
        call: impl FnOnce(&mut TableProtocol, Moment, Option<u64>, &View, &mut Outbox),
    ) {
        let (view, mut out) = (self.view(n), Outbox::default());
        let epoch = (self.leader.0 == n).then_some(self.leader.1);
        let node = &mut self.nodes[n];
        let (now, node_incarnation) = (node.local_clock(self.now), node.node_incarnation);
        call(&mut node.protocol, now, epoch, &view, &mut out);
        for (to, message) in out.sends {
            if !self.partitioned || node_incarnation.node.0 / 2 == to.0 / 2 {
                self.in_flight.push((node_incarnation, to, message));
            }
        }
        let lost = self.in_flight.len().saturating_sub(MAX_IN_FLIGHT);
        self.in_flight.drain(..lost);
        self.check_invariants(n);
    }

    /// Checks the invariants after a call to node `n` that may have switched its table.
    fn check_invariants(&mut self, n: usize) {
        let Some(header) = self.nodes[n].protocol.replica.in_force().map(|held| held.header) else {
            return;
        };
        let before = self.newest[n];
        if before == Some(header.id) {
            return;
        }
        self.newest[n] = before.max(Some(header.id));
        self.violations.older_after_newer |= before > Some(header.id);
        self.violations.two_tables_under_one_version |=
            *self.digests_in_force.entry(header.id).or_insert(header.digest) != header.digest;
        let lacks = |node: &Node| {
            let replica = &node.protocol.replica;
            replica.is_leased(node.local_clock(self.now))
                && !replica.held_tables().any(|held| held >= header.id)
        };
        self.violations.switched_while_a_leased_node_lacks_it |= self.nodes.iter().any(lacks);
    }

    fn wait(&mut self) {
        self.now += 1;
        for n in 0..self.nodes.len() {
            if !self.nodes[n].paused {
                self.call(n, |protocol, now, epoch, view, out| protocol.tick(now, epoch, view, out));
            }
        }
    }

    fn wait_and_deliver(&mut self) {
        self.wait();
        for _ in 0..100 {
            let paused = |to: &NodeId| self.nodes[usize::from(to.0)].paused;
            let Some(at) = self.in_flight.iter().position(|(_, to, _)| !paused(to)) else {
                break;
            };
            self.deliver(at, false);
        }
    }

    fn deliver(&mut self, index: usize, again: bool) {
        let (from, to, message) =
            if again { self.in_flight[index].clone() } else { self.in_flight.remove(index) };
        if self.partitioned && from.node.0 / 2 != to.0 / 2 {
            return;
        }
        self.call(usize::from(to.0), |protocol, now, epoch, view, out| {
            protocol.receive(now, epoch, view, from, message, out)
        });
    }
}

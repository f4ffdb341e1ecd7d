//! Utilization of a capacity under random requests, in virtual time.

use std::collections::BTreeMap;
use std::time::Duration;

use hallpin_membership::machine::{Output, StateMachine};
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::view::{Member, MemberState, View};
use hallpin_quota::{Budgets, BudgetsConfig, Contracts, Resource, TenantIndex};

use crate::plane::usage::Usage;

const NODES: u16 = 5;
const BOX: Resource = Resource(1);
const CAPACITY: u32 = 40;
/// Duration of a use in milliseconds.
const USE_MS: u64 = 5;

struct Node {
    budgets: Budgets,
    usage: Usage,
    view: View,
    ends: BTreeMap<u64, Vec<TenantIndex>>,
}

fn life(node: u16) -> NodeIncarnation {
    NodeIncarnation { node: NodeId(node), incarnation: Incarnation(1) }
}

fn node(number: u16) -> Node {
    let contracts = "version = 1\nrevision = 1\n[others]\nshare = 1\n[[tenants]]\nname = \"a\"\nshare = 3\n\
        [[tenants]]\nname = \"b\"\nshare = 2\n";
    let config = BudgetsConfig::new(life(number), NODES, Duration::from_millis(500));
    let contracts = Contracts::parse(contracts).unwrap();
    let mut budgets = Budgets::new(config, contracts, Moment::ZERO, number.into()).unwrap();
    budgets.set_capacities(Moment::ZERO, &BTreeMap::from([(BOX, CAPACITY)]));
    let mut view = View::alone(life(number), ZoneId(0), NODES, Moment::ZERO);
    for other in 0..NODES {
        let (life, zone) = (life(other), ZoneId(0));
        let member = Member { node_incarnation: life, zone, state: MemberState::Alive, since: Moment::ZERO };
        view.members.insert(life.node, member);
    }
    Node { budgets, usage: Usage::default(), view, ends: BTreeMap::new() }
}

/// Advances a node to `ms`; `requesting` tells which tenants make a request. Returns the number of rejections and the
/// messages to send.
fn step(node: &mut Node, ms: u64, requesting: [bool; 2]) -> (u64, Vec<(NodeId, Vec<u8>)>) {
    let now = Duration::from_millis(ms);
    if node.budgets.due().is_some_and(|due| due <= now) {
        node.budgets.tick(now, &node.view);
    }
    for tenant in node.ends.remove(&ms).unwrap_or_default() {
        node.usage.release(BOX, tenant);
    }
    let mut rejected = 0;
    for (index, _) in requesting.iter().enumerate().filter(|(_, requesting)| **requesting) {
        let tenant = TenantIndex(index as u8);
        node.budgets.record_demand(now, BOX, tenant, node.usage.demand(now, BOX, tenant));
        let allotment = node.budgets.allotment(now, BOX, tenant);
        if node.usage.admit(now, BOX, tenant, allotment) {
            node.ends.entry(ms + USE_MS).or_default().push(tenant);
        } else {
            rejected += 1;
        }
    }
    let sends = node.budgets.take_outputs().into_iter().filter_map(|output| match output {
        Output::Send { to, payload } => Some((to, payload)),
        Output::Event(_) => None,
    });
    (rejected, sends.collect())
}

/// The share of requests rejected from 3 s to 20 s, if in `request_permille` of 1,000 milliseconds each tenant makes a
/// request at each node.
fn rejected_share(request_permille: u64) -> f64 {
    let mut nodes: Vec<Node> = (0..NODES).map(node).collect();
    let mut in_flight: Vec<(u16, NodeId, Vec<u8>)> = Vec::new();
    let mut random = 1u64;
    let (mut requests, mut rejected) = (0u64, 0u64);
    for ms in 0..20_000 {
        for (from, to, payload) in std::mem::take(&mut in_flight) {
            let node = &mut nodes[usize::from(to.0)];
            let now = Duration::from_millis(ms);
            node.budgets.receive(now, &node.view, life(from), &payload).unwrap();
        }
        for (number, node) in (0..).zip(&mut nodes) {
            let requesting = [(); 2].map(|()| {
                // Knuth's linear congruential generator (The Art of Computer Programming, 3.3.4).
                random =
                    random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                (random >> 33) % 1000 < request_permille
            });
            let (rejected_here, sends) = step(node, ms, requesting);
            in_flight.extend(sends.into_iter().map(|(to, payload)| (number, to, payload)));
            if ms >= 3000 {
                requests += requesting.iter().filter(|requesting| **requesting).count() as u64;
                rejected += rejected_here;
            }
        }
    }
    rejected as f64 / requests as f64
}

/// Guards the margin for bursts in the demand. Without it, shares of 0.043 and 0.031 were rejected at the two lower
/// loads, and the same as with it at half and at seven eighths in use.
#[test]
fn spare_capacity_of_a_box_serves_random_requests() {
    for (request_permille, limit) in [(20, 0.005), (100, 0.005), (400, 0.06), (700, 0.15)] {
        let in_use = request_permille as f64 / 1000.0 * 2.0 * f64::from(NODES) * USE_MS as f64;
        let rejected = rejected_share(request_permille);
        println!("{in_use} of {CAPACITY} in use: {rejected:.3} rejected");
        assert!(
            rejected < limit,
            "{in_use} of {CAPACITY} in use: {rejected:.3} rejected, less than {limit} expected"
        );
    }
}

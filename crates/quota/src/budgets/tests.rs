//! Grants for another incarnation or request, or that arrive too late, are ignored.

use std::collections::BTreeMap;
use std::time::Duration;

use hallpin_membership::machine::{Output, StateMachine};
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::view::{Member, MemberState, View};

use crate::message::Message;
use crate::quota_page::pages;
use crate::{Budgets, BudgetsConfig, Contracts, Resource, TenantIndex};

const BOX: Resource = Resource(1);

#[test]
fn a_grant_counts_only_for_the_incarnation_and_the_request_that_it_answers() {
    let second = Duration::from_secs(1);
    let this = NodeIncarnation { node: NodeId(1), incarnation: Incarnation(5) };
    let other = NodeIncarnation { node: NodeId(0), incarnation: Incarnation(5) };
    let contracts = Contracts::parse("version = 1\nrevision = 1\n[others]\nshare = 1\n").unwrap();
    let digest = contracts.digest();
    let mut budgets =
        Budgets::new(BudgetsConfig::new(this, 3, second * 2), contracts, Moment::ZERO, 1).unwrap();
    budgets.set_capacities(Moment::ZERO, &BTreeMap::from([(BOX, 24)]));
    let mut view = View::alone(this, ZoneId(0), 3, Moment::ZERO);
    let member =
        Member { node_incarnation: other, zone: ZoneId(0), state: MemberState::Alive, since: Moment::ZERO };
    view.members.insert(other.node, member);
    budgets.tick(second * 5, &view);
    let pending = budgets.take_outputs().into_iter().find_map(|output| match output {
        Output::Send { to: NodeId(0), payload } => Some(Message::decode(&payload).unwrap()),
        _ => None,
    });
    let Some(Message::Wants { request_id, .. }) = pending else { panic!("no demand report") };
    let page = pages((0, u64::MAX), &[(24, vec![9])], Vec::new(), 200, 1).remove(0);
    for (life, request_id, at, node_max_uses) in
        [(4, request_id, 5, 2), (5, request_id + 1, 5, 2), (5, request_id, 7, 2), (5, request_id, 5, 11)]
    {
        let page = page.clone();
        let grant = Message::Grant {
            life: Incarnation(life),
            request_id,
            epoch: 1,
            contracts: digest,
            length_ms: 1000,
            page,
        };
        let mut pending = budgets.clone();
        pending.receive(second * at, &view, other, &grant.encode().unwrap()).unwrap();
        assert_eq!(
            pending.allotment(second * at, BOX, TenantIndex(0)).node_max_uses,
            node_max_uses,
            "{life} {request_id} {at}"
        );
        let late = second * 6 - Duration::from_millis(20);
        assert_eq!(
            pending.allotment(late, BOX, TenantIndex(0)).node_max_uses,
            2,
            "a grant ends a fiftieth of its length early, for clock drift"
        );
    }
}

//! Drives a node's participant by messages and time.

use std::time::Duration;

use hallpin_leader_lease::Candidacy;
use hallpin_membership::envelope::{Kind, Rejection};
use hallpin_membership::machine::{Output, StateMachine};
use hallpin_membership::names::{Moment, NodeIncarnation};
use hallpin_membership::view::View;

use super::exchange::{lowest_alive, Grant};
use super::{Budgets, BudgetsEvent};
use crate::message::Message;

impl StateMachine for Budgets {
    type Event = BudgetsEvent;

    const KIND: Kind = Kind::Quota;

    fn receive(
        &mut self,
        now: Moment,
        view: &View,
        from: NodeIncarnation,
        payload: &[u8],
    ) -> Result<(), Rejection> {
        let this = self.quota.config.this;
        if from.node.0 >= self.quota.config.configured || from.node == this.node {
            return Err(Rejection::UnknownPeer);
        }
        match Message::decode(payload)? {
            Message::Lease(message) => self.leader_lease.receive(now, from, message),
            Message::Wants { request_id, contracts, page } => {
                self.follow_leader_lease(now, view);
                self.handle_demand(now, from, request_id, contracts, &page);
            }
            Message::Grant { life, request_id, epoch, contracts, length_ms, page }
                if life == this.incarnation =>
            {
                let length = Duration::from_millis(length_ms.into()).min(self.quota.config.max_grant());
                self.handle_grant(now, from.node, Grant { request_id, epoch, contracts, length, page });
            }
            Message::Elsewhere { node } => self.handle_redirect(now, from.node, node),
            Message::Grant { .. } => {}
        }
        self.follow_leader_lease(now, view);
        Ok(())
    }

    fn tick(&mut self, now: Moment, view: &View) {
        // The holder stays a candidate, as no leases are granted while the grantor changes.
        let is_holder = self.leader_lease.held(now).is_some();
        let is_candidate = is_holder || lowest_alive(view) == Some(self.quota.config.this.node);
        self.leader_lease.set_candidacy(Candidacy::standing_if(is_candidate));
        self.leader_lease.tick(now);
        self.follow_leader_lease(now, view);
        if self.quota.leases.expire(now) {
            self.outbox.push(Output::Event(BudgetsEvent::AllotmentsChanged));
        }
        let period = self.quota.config.period();
        if let Some(granting) = self.granting.as_mut().filter(|granting| now >= granting.next_round_at) {
            if granting.ledger.has_heard_all(view.alive().map(|member| member.node_incarnation.node)) {
                granting.grants_from = granting.grants_from.min(now);
            }
            granting.ledger.run_round(now, &self.quota.contracts);
            granting.next_round_at = now + if now < granting.grants_from { period / 8 } else { period / 2 };
        }
        if now >= self.next_request_at {
            self.request_grants(now, view);
        }
    }

    fn due(&self) -> Option<Moment> {
        let next_round = self.granting.as_ref().map(|granting| granting.next_round_at);
        let times = [
            self.leader_lease.next_deadline(),
            self.quota.leases.next_expiry(),
            next_round,
            Some(self.next_request_at),
        ];
        times.into_iter().flatten().min()
    }

    fn take_outputs(&mut self) -> Vec<Output<BudgetsEvent>> {
        std::mem::take(&mut self.outbox)
    }
}

//! The protocol between a node and the grantor: demand reports, grants, and the choice of the node to ask.

use std::time::Duration;

use hallpin_membership::machine::Output;
use hallpin_membership::names::{Moment, NodeId, NodeIncarnation};
use hallpin_membership::view::View;

use super::{Budgets, BudgetsEvent, GrantorRole, KnownGrantor};
use crate::grantor::Grantor;
use crate::leases::Lease;
use crate::message::{Message, MAX_PAGE_BYTES};
use crate::node_quota::NodeQuota;
use crate::quota_page::QuotaPage;
use crate::report::{demand_pages, MAX_PAGES};

/// Most pending requests; answers to older ones come too late to be of use.
const MAX_PENDING: usize = 8 * MAX_PAGES;

/// Periods that a new grantor waits for demand reports from the nodes of its view.
const LISTEN_PERIODS: u32 = 2;
/// Number of consecutive requests without an answer up to which the next one follows after a third of a period.
const MAX_FAST_RETRIES: u32 = 3;

impl Budgets {
    /// Sends the leader lease's messages, and starts or stops granting when the lease is acquired or lost.
    pub(super) fn follow_leader_lease(&mut self, now: Moment, view: &View) {
        for (to, message) in self.leader_lease.take_outbox() {
            self.send(to, &Message::Lease(message));
        }
        match (self.leader_lease.held(now), self.granting.is_some()) {
            (Some(lease), false) => {
                let ledger = Grantor::new(self.quota.config, &self.quota.capacities);
                let grants_from = now + self.quota.config.period() * LISTEN_PERIODS;
                self.granting = Some(GrantorRole { ledger, grants_from, next_round_at: now });
                self.outbox.push(Output::Event(BudgetsEvent::GrantingStarted { epoch: lease.epoch }));
                let node = self.quota.config.this.node;
                view.alive()
                    .for_each(|member| self.send(member.node_incarnation.node, &Message::Elsewhere { node }));
                self.next_request_at = now;
            }
            (None, true) => {
                self.granting = None;
                self.outbox.push(Output::Event(BudgetsEvent::GrantingStopped));
            }
            _ => {}
        }
    }

    /// Reports this node's demand to the grantor, page by page; the next report follows sooner while none is answered.
    pub(super) fn request_grants(&mut self, now: Moment, view: &View) {
        self.unanswered = self.unanswered.saturating_add(1);
        let period = self.quota.config.period();
        self.next_request_at = now + if self.unanswered <= MAX_FAST_RETRIES { period / 3 } else { period };
        let Some(to) = self.choose_grantor(now, view) else {
            return;
        };
        let contracts = self.quota.contracts.digest();
        for page in demand_pages(&self.quota.capacities, &self.quota.current_demands(now), MAX_PAGE_BYTES) {
            self.request_id = self.request_id.wrapping_add(1);
            let request_id = self.request_id;
            self.pending.push_back((request_id, now));
            if self.pending.len() > MAX_PENDING {
                self.pending.pop_front();
            }
            if to == self.quota.config.this.node {
                self.handle_demand(now, self.quota.config.this, request_id, contracts, &page);
            } else {
                self.send(to, &Message::Wants { request_id, contracts, page });
            }
        }
    }

    /// The node to send demand to: this node if it grants, else the known grantor if alive, else in turn the last known
    /// lease holder and the lowest node that is alive; `None` if that is this node, which does not grant.
    fn choose_grantor(&self, now: Moment, view: &View) -> Option<NodeId> {
        let this = self.quota.config.this.node;
        if self.granting.is_some() {
            return Some(this);
        }
        let last_grantor =
            self.known_grantor(now).map(|known| known.node).filter(|node| view.is_alive(*node));
        let last_holder = self
            .leader_lease
            .last_known_holder()
            .map(|(node, _)| node)
            .filter(|_| self.request_id.is_multiple_of(2));
        last_grantor.or(last_holder).or(lowest_alive(view)).filter(|node| *node != this)
    }

    /// The known grantor, if that knowledge has not expired.
    fn known_grantor(&self, now: Moment) -> Option<KnownGrantor> {
        self.known_grantor.filter(|known| now < known.expires_at)
    }

    /// Handles a demand report. As grantor, this node records the demand and, from `grants_from` on, answers with grants,
    /// except to an earlier incarnation or beyond a node's answers per round. Otherwise it redirects to a confirmed
    /// grantor, if it knows one.
    pub(super) fn handle_demand(
        &mut self,
        now: Moment,
        from: NodeIncarnation,
        request_id: u32,
        contracts: u32,
        demand: &QuotaPage,
    ) {
        let (Some(granting), Some(lease)) = (&mut self.granting, self.leader_lease.held(now)) else {
            if let Some(KnownGrantor { node, .. }) = self.known_grantor(now).filter(|known| known.confirmed) {
                self.send(from.node, &Message::Elsewhere { node });
            }
            return;
        };
        let NodeQuota { config, contracts: own_contracts, .. } = &self.quota;
        if !granting.ledger.record_demands(now, from, (own_contracts, contracts), demand) {
            return;
        }
        if now < granting.grants_from {
            return;
        }
        let remaining = config.drift().longest_promise_within(lease.expires_at.saturating_sub(now));
        let length_ms = config.max_grant().min(remaining).as_millis() as u32;
        let length = Duration::from_millis(length_ms.into());
        let pages = granting.ledger.grant(now, from.node, demand, length, own_contracts, MAX_PAGE_BYTES);
        let (life, epoch, contracts) = (from.incarnation, lease.epoch, own_contracts.digest());
        for page in pages {
            if from == self.quota.config.this {
                self.handle_grant(now, from.node, Grant { request_id, epoch, contracts, length, page });
            } else {
                self.send(from.node, &Message::Grant { life, request_id, epoch, contracts, length_ms, page });
            }
        }
    }

    /// Handles a redirect: the demand is reported to `node` soon. It is ignored if `node` is this node or not
    /// configured, and while the known grantor is confirmed, unless the new grantor itself sent it.
    pub(super) fn handle_redirect(&mut self, now: Moment, sender: NodeId, node: NodeId) {
        let config = &self.quota.config;
        let confirmed = self.known_grantor(now).is_some_and(|known| known.confirmed && sender != node);
        if !confirmed && node.0 < config.configured && node != config.this.node {
            let expires_at = now.saturating_add(config.period());
            self.known_grantor = Some(KnownGrantor { node, expires_at, confirmed: false });
            self.next_request_at = now.saturating_add(self.jitter(config.period() / 8));
            self.unanswered = 0;
        }
    }

    /// Stores a grant. It lasts from just before the request was sent, shortened for clock drift. A grant whose request
    /// is no longer pending is ignored; an expired one only confirms the grantor.
    pub(super) fn handle_grant(&mut self, now: Moment, sender: NodeId, grant: Grant) {
        let Some(&(_, sent_at)) = self.pending.iter().find(|(request_id, _)| *request_id == grant.request_id)
        else {
            return;
        };
        let config = &self.quota.config;
        let expires_at = sent_at.saturating_add(config.drift().shorten(grant.length));
        self.known_grantor = Some(KnownGrantor {
            node: sender,
            expires_at: now.saturating_add(config.max_grant()),
            confirmed: true,
        });
        if grant.request_id == self.request_id {
            self.unanswered = 0;
            self.next_request_at = sent_at + config.period() / 2 + self.jitter(config.period() / 2);
        }
        if expires_at <= now {
            return;
        }
        let Grant { request_id, epoch, contracts, page, .. } = grant;
        if self.quota.leases.insert(now, Lease { epoch, request_id, contracts, expires_at, page }) {
            self.outbox.push(Output::Event(BudgetsEvent::AllotmentsChanged));
        }
    }
}

/// The fields of a grant message.
pub(super) struct Grant {
    /// The request that the grant answers.
    pub(super) request_id: u32,
    /// Epoch of the grantor's leader lease.
    pub(super) epoch: u64,
    /// Digest of the grantor's contracts.
    pub(super) contracts: u32,
    /// Duration from the sending of the request, in true time.
    pub(super) length: Duration,
    pub(super) page: QuotaPage,
}

/// The node that should be the candidate for the leader lease, by the view.
pub(super) fn lowest_alive(view: &View) -> Option<NodeId> {
    view.alive().map(|member| member.node_incarnation.node).min()
}

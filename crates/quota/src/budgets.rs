//! One node's participant in budgets: the interface to the rest of the node.

mod exchange;
mod machine;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::hash::BuildHasher;
use std::time::Duration;

use hallpin_leader_lease::LeaderLease;
use hallpin_membership::machine::Output;
use hallpin_membership::names::{Moment, NodeId};
use rustc_hash::FxBuildHasher;

use crate::config::{BudgetsConfig, ConfigError};
use crate::contracts::Contracts;
use crate::demand::DemandTracker;
use crate::grantor::Grantor;
use crate::leases::Leases;
use crate::message::Message;
use crate::names::{Allotment, Resource, TenantIndex};
use crate::node_quota::NodeQuota;

/// Events for the rest of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetsEvent {
    /// The results of [`Budgets::allotment`] may have changed: connections beyond them are to be closed.
    AllotmentsChanged,
    /// This node has become the grantor.
    GrantingStarted {
        /// Epoch of the leader lease.
        epoch: u64,
    },
    /// This node has ceased to be the grantor.
    GrantingStopped,
}

/// One node's participant in budgets: its quota, its requests to the grantor, and the grantor role while it holds the
/// leader lease.
#[derive(Clone, Debug)]
pub struct Budgets {
    quota: NodeQuota,
    leader_lease: LeaderLease,
    /// Varies the jitter of request times between nodes.
    seed: u64,
    /// State as grantor while this node holds the leader lease.
    granting: Option<GrantorRole>,
    /// Requests that may still be answered, with the time just before each was sent.
    pending: VecDeque<(u32, Moment)>,
    /// Identifier of the last request.
    request_id: u32,
    /// Time at which this node next reports its demand.
    next_request_at: Moment,
    /// Consecutive requests without an answer.
    unanswered: u32,
    /// The grantor that this node knows of.
    known_grantor: Option<KnownGrantor>,
    /// Messages and events, in order, until the driver takes them.
    outbox: Vec<Output<BudgetsEvent>>,
}

/// The known grantor, and when that knowledge expires.
#[derive(Clone, Copy, Debug)]
struct KnownGrantor {
    node: NodeId,
    /// Time after which the node is no longer taken for the grantor.
    expires_at: Moment,
    /// The grantor has granted to this node. Otherwise only a redirect named it, and this node redirects nobody to it.
    confirmed: bool,
}

/// State of this node while it is the grantor.
#[derive(Clone, Debug)]
struct GrantorRole {
    ledger: Grantor,
    /// Before this time the grantor only collects demand.
    grants_from: Moment,
    /// Time at which the targets are next recomputed.
    next_round_at: Moment,
}

impl Budgets {
    /// A node that has just started, with only the safe minimums of what [`Budgets::set_capacities`] sets. `seed`
    /// jitters the times of its requests.
    ///
    /// # Errors
    /// Returns an error for invalid settings.
    pub fn new(
        config: BudgetsConfig,
        contracts: Contracts,
        now: Moment,
        seed: u64,
    ) -> Result<Self, ConfigError> {
        let leader_lease = LeaderLease::new(config.leader_lease(), now, seed)?;
        config.validate()?;
        let (capacities, demands, leases) = (BTreeMap::new(), DemandTracker::default(), Leases::default());
        let quota = NodeQuota { config, contracts, capacities, demands, leases };
        let (granting, pending, known_grantor, outbox) = (None, VecDeque::new(), None, Vec::new());
        let mut budgets = Budgets {
            quota,
            leader_lease,
            seed,
            granting,
            pending,
            request_id: 0,
            next_request_at: now,
            unanswered: 0,
            known_grantor,
            outbox,
        };
        budgets.next_request_at = now + budgets.jitter(config.period());
        Ok(budgets)
    }

    /// Sets the resources and their capacities. A capacity must be the same at every node; while it changes, the sum of
    /// allotments stays within the greater value until all nodes know the new one and a lease has passed.
    pub fn set_capacities(&mut self, now: Moment, capacities: &BTreeMap<Resource, u32>) {
        if self.quota.capacities == *capacities {
            return;
        }
        self.quota.capacities.clone_from(capacities);
        self.quota.demands.retain(|resource| capacities.contains_key(&resource));
        if let Some(granting) = &mut self.granting {
            granting.ledger.set_capacities(capacities);
            granting.next_round_at = now;
        }
        self.outbox.push(Output::Event(BudgetsEvent::AllotmentsChanged));
    }

    /// Replaces the contracts; tenant indexes are those of the new ones from now on. Leases stay until they expire,
    /// divided by the new shares. A removed tenant counts as one of `others`, and its uses in progress run to their
    /// end.
    pub fn set_contracts(&mut self, now: Moment, contracts: Contracts) {
        if self.quota.contracts.digest() != contracts.digest() {
            let new_indexes = self.quota.contracts.indexes_in(&contracts);
            self.quota.demands.remap_tenants(&new_indexes);
            if let Some(granting) = &mut self.granting {
                granting.ledger.remap_tenants(&new_indexes, contracts.tenants().len());
                granting.next_round_at = now;
            }
            self.outbox.push(Output::Event(BudgetsEvent::AllotmentsChanged));
            self.next_request_at = self.next_request_at.min(now + self.quota.config.period() / 4);
        }
        self.quota.contracts = contracts;
    }

    /// The contracts in force.
    pub fn in_force(&self) -> &Contracts {
        &self.quota.contracts
    }

    /// Records what a tenant would use of a resource now without a limit: its uses plus its rejected requests.
    pub fn record_demand(&mut self, now: Moment, resource: Resource, tenant: TenantIndex, demand: u32) {
        let NodeQuota { config, contracts, capacities, demands, .. } = &mut self.quota;
        if capacities.contains_key(&resource) {
            demands.record(now, (resource, tenant), demand, config.period(), contracts.tenants().len());
        }
    }

    /// What may be used at `now`; nothing of an unknown resource.
    pub fn allotment(&self, now: Moment, resource: Resource, tenant: TenantIndex) -> Allotment {
        self.quota.allotment(now, resource, tenant)
    }

    /// The last grantor that this node knows of, with its epoch; informational.
    pub fn grantor(&self) -> Option<(NodeId, u64)> {
        self.leader_lease.last_known_holder()
    }

    /// Returns 0.5 to 1.5 times `length`, always the same for one seed and request id.
    fn jitter(&self, length: Duration) -> Duration {
        let hash = FxBuildHasher.hash_one((self.seed, self.request_id));
        length.mul_f64(0.5 + (hash >> 11) as f64 / (1u64 << 53) as f64)
    }

    /// Queues a message; one to this node itself is skipped.
    fn send(&mut self, to: NodeId, message: &Message) {
        let payload = message.encode().filter(|_| to != self.quota.config.this.node);
        if let Some(payload) = payload {
            self.outbox.push(Output::Send { to, payload });
        }
    }
}

//! The ledger of the leader lease's holder: each node's demand, the grants in force and what may be granted next.
//!
//! A grant counts as in force until its end by this clock, lengthened for clock drift, whatever the node reports in the
//! meantime. The ledger is discarded with the leader lease, as no grant outlives that lease.

mod account;
mod divide;
mod slots;

use std::collections::BTreeMap;
use std::time::Duration;

use hallpin_membership::names::{Moment, NodeId, NodeIncarnation};

use crate::config::BudgetsConfig;
use crate::contracts::Contracts;
use crate::max_min::{max_min, Claim};
use crate::names::Resource;
use crate::quota_page::{pages, QuotaPage, Row};

use account::Account;
use slots::{SlotKey, Slots};

pub(crate) use slots::{capacities_by_frequency, MAX_CLASSES};

/// Most pages in one answer.
const MAX_PAGES: usize = 16;
/// Most requests of one node that are answered in one round.
const MAX_ANSWERS: u32 = 32;

/// The grantor's ledger of demand, targets and grants by node.
#[derive(Clone, Debug)]
pub(crate) struct Grantor {
    config: BudgetsConfig,
    slots: Slots,
    accounts: BTreeMap<NodeId, Account>,
    /// Number of rounds so far; rotates who gets the remainders of rounding.
    rounds: usize,
}

impl Grantor {
    pub(crate) fn new(config: BudgetsConfig, capacities: &BTreeMap<Resource, u32>) -> Self {
        let mut grantor = Grantor { config, slots: Slots::default(), accounts: BTreeMap::new(), rounds: 0 };
        grantor.set_capacities(capacities);
        grantor
    }

    /// Replaces the resources and their capacities.
    pub(crate) fn set_capacities(&mut self, capacities: &BTreeMap<Resource, u32>) {
        let (slots, sources) = self.slots.updated(capacities, &self.config);
        self.slots = slots;
        for account in self.accounts.values_mut() {
            account.remap_slots(&sources);
        }
        self.recompute_reserved();
    }

    /// Moves tenants to the indexes that new contracts give them.
    pub(crate) fn remap_tenants(&mut self, new_indexes: &[usize], tenants: usize) {
        for account in self.accounts.values_mut() {
            account.remap_tenants(new_indexes, tenants);
        }
    }

    /// Records a node's demand. Returns whether the request is to be answered: not for one of an earlier incarnation,
    /// nor beyond [`MAX_ANSWERS`] in this round.
    pub(crate) fn record_demands(
        &mut self,
        now: Moment,
        from: NodeIncarnation,
        contracts: (&Contracts, u32),
        page: &QuotaPage,
    ) -> bool {
        let slots = &self.slots;
        let account = self.accounts.entry(from.node).or_insert_with(|| Account::new(from, now, slots.len()));
        if from.incarnation < account.life.incarnation {
            return false;
        }
        account.life = from;
        account.last_report_at = now;
        account.requests += 1;
        for (index, slot) in slots.covered_by(page) {
            let reported = match slot.key {
                SlotKey::Class(capacity) => page.class(capacity),
                SlotKey::Resource(resource) => page.row(resource, slot.capacity),
            };
            account.demands[index] =
                reported.map(|row| by_own_contracts(row, contracts.0, contracts.1)).unwrap_or_default();
        }
        account.requests <= MAX_ANSWERS
    }

    /// Whether all of these nodes have reported their demand.
    pub(crate) fn has_heard_all(&self, mut nodes: impl Iterator<Item = NodeId>) -> bool {
        nodes.all(|node| self.accounts.contains_key(&node))
    }

    /// Expires grants, removes silent nodes without grants, and recomputes all targets.
    pub(crate) fn run_round(&mut self, now: Moment, contracts: &Contracts) {
        self.rounds += 1;
        let silent = |account: &Account| now.saturating_sub(account.last_report_at) > self.config.lease;
        for account in self.accounts.values_mut() {
            account.expire(now);
            account.requests = 0;
            if silent(account) {
                account.demands.fill(Row::new());
            }
        }
        self.accounts.retain(|_, account| !silent(account) || account.has_active_grants());
        self.drop_retired();
        self.recompute_reserved();
        let rotation = self.rounds / 16;
        divide::divide(&self.config, contracts, &mut self.slots, &mut self.accounts, rotation);
    }

    /// Grants a node what is free of its targets in a range, for `length` of true time. The ledger keeps the grant
    /// longer, by the clock drift.
    pub(crate) fn grant(
        &mut self,
        now: Moment,
        to: NodeId,
        range: &QuotaPage,
        length: Duration,
        contracts: &Contracts,
        max_bytes: usize,
    ) -> Vec<QuotaPage> {
        let Some(account) = self.accounts.get_mut(&to) else {
            return Vec::new();
        };
        let mut granted: Vec<u32> = vec![0; self.slots.len()];
        let (mut classes, mut rows) = (Vec::new(), Vec::new());
        for (index, slot) in self.slots.covered_by(range) {
            let free = slot.leasable.saturating_sub(slot.reserved - account.reserved[index]);
            let row = fit_target(free, &account.targets[index], &slot.satisfied, contracts);
            granted[index] = row.iter().sum();
            match slot.key {
                SlotKey::Class(capacity) => classes.push((capacity, row)),
                SlotKey::Resource(Resource(key)) => {
                    let class = classes.iter().find(|(capacity, _)| *capacity == slot.capacity);
                    if slot.explicit || class.is_none_or(|(_, of_class)| *of_class != row) {
                        rows.push((key, row));
                    }
                }
            }
        }
        let reserved_before = account.reserved.clone();
        account.record_grant(now.saturating_add(self.config.drift().lengthen(length)), granted);
        self.slots.update_reserved(&reserved_before, &account.reserved);
        pages((range.from, range.to), &classes, rows, max_bytes, MAX_PAGES)
    }

    /// Recomputes the reserved sum of each slot over all nodes.
    fn recompute_reserved(&mut self) {
        for (index, slot) in self.slots.iter_mut().enumerate() {
            slot.reserved = self.accounts.values().map(|account| account.reserved[index]).sum();
        }
    }

    /// Drops retired resources once every node's grants give them as much as their class: a node that still lists such
    /// a resource then uses the class row, which is accounted for.
    fn drop_retired(&mut self) {
        let accounts = &self.accounts;
        let all_equal = |index: usize, class: Option<usize>| {
            accounts.values().all(|account| account.has_equal_grants(index, class))
        };
        let sources = self.slots.drop_retired(all_equal);
        if let Some(sources) = sources {
            for account in self.accounts.values_mut() {
                account.remap_slots(&sources);
            }
        }
    }
}

/// Converts a reported row to the grantor's contracts. Under another digest the whole demand counts as that of
/// `others`, until both nodes have loaded the same contracts.
fn by_own_contracts(row: &Row, contracts: &Contracts, digest: u32) -> Row {
    let mut row_here = vec![0; contracts.tenants().len()];
    if digest == contracts.digest() {
        row_here.iter_mut().zip(row).for_each(|(here, reported)| *here = (*reported).min(1 << 20));
    } else {
        row_here[contracts.others_index()] =
            row.iter().fold(0, |sum: u32, reported| sum.saturating_add(*reported)).min(1 << 20);
    }
    row_here
}

/// Reduces a target to what is free. The missing part is still lent to other nodes, so tenants whose demand is fully
/// covered by their targets come first; those that fall short of their demand anyway wait for it.
fn fit_target(free: u32, target: &Row, satisfied: &[bool], contracts: &Contracts) -> Row {
    let divide = |amount: u32, of_satisfied: bool| {
        let claim = |index: usize, demand: u32| {
            let is_selected = satisfied.get(index).copied().unwrap_or(false) == of_satisfied;
            Claim {
                weight: contracts.tenants()[index].share,
                floor: 0,
                demand: if is_selected { demand } else { 0 },
            }
        };
        let claims: Vec<Claim> =
            target.iter().enumerate().map(|(index, demand)| claim(index, *demand)).collect();
        max_min(amount, &claims, 0)
    };
    if target.iter().sum::<u32>() <= free {
        return target.clone();
    }
    let first = divide(free, true);
    let second = divide(free - first.iter().sum::<u32>(), false);
    first.iter().zip(&second).map(|(first, second)| first + second).collect()
}

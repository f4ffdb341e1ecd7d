//! The leases that this node holds, with their expiry by its own clock. The newest lease that covers a resource
//! applies.

use hallpin_membership::names::Moment;

use crate::names::Resource;
use crate::quota_page::{QuotaPage, Row};

/// Most leases stored, beyond which the oldest is dropped; a grantor's answers to one request are far fewer.
const MAX_LEASES: usize = 64;

/// One granted page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Lease {
    /// Epoch of the grantor's leader lease.
    pub(crate) epoch: u64,
    /// The request that the lease answers.
    pub(crate) request_id: u32,
    /// Digest of the contracts that the page's rows are ordered by.
    pub(crate) contracts: u32,
    /// Expiry by this node's clock.
    pub(crate) expires_at: Moment,
    pub(crate) page: QuotaPage,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Leases {
    /// Newest last.
    leases: Vec<Lease>,
}

impl Leases {
    /// Stores a lease and ends older ones whose range it covers, so that no quota counts twice. Returns whether the
    /// usable quota may have changed.
    pub(crate) fn insert(&mut self, now: Moment, lease: Lease) -> bool {
        let age = |lease: &Lease| (lease.epoch, lease.request_id);
        let is_covered = |old: &Lease| lease.page.from <= old.page.from && old.page.to <= lease.page.to;
        let changed = !self.leases.iter().any(|old| now < old.expires_at && old.page == lease.page);
        self.leases.retain(|old| now < old.expires_at && !(is_covered(old) && age(old) <= age(&lease)));
        let index = self.leases.partition_point(|old| age(old) <= age(&lease));
        self.leases.insert(index, lease);
        if self.leases.len() > MAX_LEASES {
            self.leases.remove(0);
        }
        changed
    }

    /// Drops expired leases and returns whether there were any.
    pub(crate) fn expire(&mut self, now: Moment) -> bool {
        let before = self.leases.len();
        self.leases.retain(|lease| now < lease.expires_at);
        self.leases.len() < before
    }

    /// The lease in force for a resource, with the resource's row.
    pub(crate) fn find(&self, now: Moment, resource: Resource, capacity: u32) -> Option<(&Lease, &Row)> {
        let lease =
            self.leases.iter().rev().find(|lease| now < lease.expires_at && lease.page.covers(resource))?;
        lease.page.row(resource, capacity).map(|row| (lease, row))
    }

    /// Time of the next expiry.
    pub(crate) fn next_expiry(&self) -> Option<Moment> {
        self.leases.iter().map(|lease| lease.expires_at).min()
    }
}

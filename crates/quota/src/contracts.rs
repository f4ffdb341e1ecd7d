//! Contracts: the tenants and their shares of each capacity.

mod read;

use crate::max_min::{max_min, Claim};
use crate::names::TenantIndex;

pub use read::ContractError;

/// Most tenants that a contracts file may name.
pub const MAX_TENANTS: usize = 15;

/// A tenant and its share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// The name that requests carry.
    pub name: String,
    /// Weight relative to the other tenants, from 1 to 10,000. What the tenant does not use is lent to others.
    pub share: u32,
}

/// The contracts in force at a node: the tenants of the file, and `others` for all tenants that it does not name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contracts {
    /// The operators' revision number of the file; informational.
    pub revision: u32,
    /// In the order of the file; the last is `others`.
    tenants: Vec<Tenant>,
    /// CRC-32 of names and shares. Two nodes with equal digests have the same tenant at each index.
    digest: u32,
}

impl Contracts {
    /// Parses the text of a contracts file such as `deploy/contracts.toml`.
    ///
    /// # Errors
    /// Returns the line, column and field of the first fault and what was expected; the caller adds the file's name.
    pub fn parse(text: &str) -> Result<Self, ContractError> {
        read::parse(text)
    }

    /// All tenants by index; the last is `others`.
    pub fn tenants(&self) -> &[Tenant] {
        &self.tenants
    }

    /// The index of a tenant by its name, or that of `others` for a name that is not in the file.
    pub fn tenant(&self, name: &str) -> TenantIndex {
        let found = self.tenants.iter().position(|tenant| tenant.name == name);
        TenantIndex(found.unwrap_or(self.tenants.len() - 1) as u8)
    }

    /// The index of `others`, which stands for all tenants that the file does not name.
    pub(crate) fn others_index(&self) -> usize {
        self.tenants.len() - 1
    }

    /// CRC-32 of names and shares, by which nodes compare their contracts.
    pub(crate) fn digest(&self) -> u32 {
        self.digest
    }

    /// For each tenant of these contracts, its index in `newer` by name.
    pub(crate) fn indexes_in(&self, newer: &Contracts) -> Vec<usize> {
        self.tenants.iter().map(|tenant| newer.tenant(&tenant.name).0.into()).collect()
    }

    /// Divides a node's own quota among its tenants by share and demand. Each tenant counts with a demand of at least
    /// one, so that quota is left for its next use.
    pub(crate) fn divide(&self, amount: u32, demands: &[u32]) -> Vec<u32> {
        let demand = |index: usize| demands.get(index).copied().unwrap_or(0).max(1);
        let claims: Vec<Claim> = self
            .tenants
            .iter()
            .enumerate()
            .map(|(index, tenant)| Claim { weight: tenant.share, floor: 0, demand: demand(index) })
            .collect();
        max_min(amount, &claims, 0)
    }

    fn new(revision: u32, tenants: Vec<Tenant>) -> Self {
        let mut hasher = crc32fast::Hasher::new();
        for tenant in &tenants {
            hasher.update(&(tenant.name.len() as u32).to_be_bytes());
            hasher.update(tenant.name.as_bytes());
            hasher.update(&tenant.share.to_be_bytes());
        }
        Contracts { revision, tenants, digest: hasher.finalize() }
    }
}

//! Settings that must agree at all nodes for the sum of allotments to stay within each capacity.

use std::time::Duration;

use hallpin_leader_lease::{ClockDrift, LeaseConfig};
use hallpin_membership::names::NodeIncarnation;

/// Settings of budgets. All fields except `this` must be the same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BudgetsConfig {
    /// This node and its incarnation.
    pub this: NodeIncarnation,
    /// Number of nodes in the configuration, this one included.
    pub configured: u16,
    /// Longest time until lent quota returns, and the term of the grantor's leader lease. A grant lasts at most half of
    /// it.
    pub lease: Duration,
    /// Maximum rate error of any node's clock against true time, in millionths.
    pub drift_ppm: u32,
    /// Share of each capacity, in millionths, that the safe minimums of all configured nodes take together.
    pub minimum_ppm: u32,
}

/// An invalid setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The leader lease rejects the settings.
    #[error(transparent)]
    LeaderLease(#[from] hallpin_leader_lease::ConfigError),
    /// The lease is too short: its renewals would be a constant stream of datagrams.
    #[error("budget lease is {0:?}, expected at least {MIN_LEASE:?}")]
    Lease(Duration),
    /// The safe minimums together exceed the capacity.
    #[error("safe minimums take {0} millionths of a capacity, expected at most 1000000")]
    Minimum(u32),
}

const MIN_LEASE: Duration = Duration::from_millis(40);
/// The whole, in millionths.
const PPM: u64 = 1_000_000;

impl BudgetsConfig {
    /// Default settings: clocks within 2% of true time, a quarter of each capacity for safe minimums.
    pub fn new(this: NodeIncarnation, configured: u16, lease: Duration) -> Self {
        BudgetsConfig { this, configured, lease, drift_ppm: 20_000, minimum_ppm: 250_000 }
    }

    /// Checks the lease and the safe minimums; the leader lease checks the other settings itself.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        if self.lease < MIN_LEASE {
            return Err(ConfigError::Lease(self.lease));
        }
        if u64::from(self.minimum_ppm) > PPM {
            return Err(ConfigError::Minimum(self.minimum_ppm));
        }
        Ok(())
    }

    /// Settings of the grantor's leader lease.
    pub(crate) fn leader_lease(&self) -> LeaseConfig {
        let BudgetsConfig { this, configured, lease, drift_ppm, .. } = *self;
        LeaseConfig { this, configured, term: lease, drift_ppm }
    }

    pub(crate) fn drift(&self) -> ClockDrift {
        ClockDrift(self.drift_ppm)
    }

    /// Interval at which a node reports its demand and has its grants renewed.
    pub(crate) fn period(&self) -> Duration {
        self.lease / 4
    }

    /// Longest duration of a grant.
    pub(crate) fn max_grant(&self) -> Duration {
        self.lease / 2
    }

    /// What each configured node may use of a capacity without a lease.
    pub(crate) fn safe_minimum(&self, capacity: u32) -> u32 {
        let reserved = u64::from(capacity) * u64::from(self.minimum_ppm) / PPM;
        (reserved / u64::from(self.configured)) as u32
    }

    /// The portion of a capacity that is leased out: all of it except the safe minimums of all nodes.
    pub(crate) fn leasable(&self, capacity: u32) -> u32 {
        capacity - self.safe_minimum(capacity) * u32::from(self.configured)
    }
}

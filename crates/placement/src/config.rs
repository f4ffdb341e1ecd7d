//! Settings of a federation node and the durations derived from them.

use std::time::Duration;

use hallpin_membership::names::{NodeIncarnation, ZoneId};
use serde::{Deserialize, Serialize};

use crate::table::{is_sound, Table};

/// Settings of a federation node. All but `this` and `zone` must be the same at every node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct PlacementConfig {
    /// This node and its incarnation.
    pub this: NodeIncarnation,
    /// The zone in which this node runs.
    pub zone: ZoneId,
    /// Number of zones.
    pub zones: u16,
    /// Number of configured nodes, this one included; node numbers are below it.
    pub configured: u16,
    /// How long a node may place by its table without hearing from the coordinator.
    pub lease: Duration,
    /// Greatest deviation of any node's clock rate from true time, in millionths; at most 100,000.
    pub drift_ppm: u32,
    /// Time after which an unanswered message is sent again; at most a sixth of the lease.
    pub retry: Duration,
    /// How long the coordinator renews the lease of a node that does not hold the version being prepared. After that
    /// the node's lease is left to expire.
    pub prepare_timeout: Duration,
}

impl PlacementConfig {
    /// Creates a configuration with durations derived from the lease: `retry` is a fortieth of it, `prepare_timeout` a
    /// quarter.
    pub fn with_lease(
        this: NodeIncarnation,
        zone: ZoneId,
        zones: u16,
        configured: u16,
        lease: Duration,
        drift_ppm: u32,
    ) -> Self {
        let (retry, prepare_timeout) = (lease / 40, lease / 4);
        PlacementConfig { this, zone, zones, configured, lease, drift_ppm, retry, prepare_timeout }
    }

    /// Returns the first setting, if any, that the state machine cannot work with.
    pub(crate) fn validate(&self) -> Result<(), ConfigError> {
        let node = self.this.node.0;
        if node >= self.configured {
            return Err(ConfigError::Node { node, configured: self.configured });
        }
        if self.zone.0 >= self.zones {
            return Err(ConfigError::Zone { zone: self.zone.0, zones: self.zones });
        }
        if self.drift_ppm > 100_000 {
            return Err(ConfigError::Drift(self.drift_ppm));
        }
        if self.retry < Duration::from_millis(1) || self.retry > self.lease / 6 {
            return Err(ConfigError::Retry { retry: self.retry, lease: self.lease });
        }
        Ok(())
    }

    /// Length of the lease by the clock of the node that holds it, counted from when the node sent the report that
    /// requested the lease.
    pub(crate) fn lease_length_at_replica(&self) -> Duration {
        self.lease * (1_000_000 - self.drift_ppm) / 1_000_000
    }

    /// Length of the lease by the clock of the coordinator, from when it granted the lease.
    pub(crate) fn lease_length_at_coordinator(&self) -> Duration {
        self.lease * (1_000_000 + self.drift_ppm) / 1_000_000
    }

    /// Time between two reports of a node while nothing changes.
    pub(crate) fn heartbeat_interval(&self) -> Duration {
        self.lease / 3
    }

    /// How long a node waits for an answer before it repeats a report: a quarter of the heartbeat interval while the
    /// node has a lease, half of it otherwise.
    pub(crate) fn report_retry_interval(&self, leased: bool) -> Duration {
        if leased {
            self.heartbeat_interval() / 4
        } else {
            self.heartbeat_interval() / 2
        }
    }
}

/// A setting or stored state that the state machine cannot work with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// This node's number is not below the number of configured nodes.
    #[error("node {node}: expected below {configured}")]
    Node {
        /// This node's number.
        node: u16,
        /// Number of configured nodes.
        configured: u16,
    },
    /// This node's zone is not below the number of zones.
    #[error("zone {zone}: expected below {zones}")]
    Zone {
        /// This node's zone.
        zone: u16,
        /// Number of zones.
        zones: u16,
    },
    /// The clock drift is too great for the leases to hold.
    #[error("drift_ppm {0}: expected at most 100000")]
    Drift(u32),
    /// The retry interval is below 1 ms, or so long that leases would expire between two tries.
    #[error("retry {retry:?}: expected 1 ms to a sixth of the lease, {lease:?}")]
    Retry {
        /// The configured retry interval.
        retry: Duration,
        /// The configured lease.
        lease: Duration,
    },
    /// The stored state belongs to another node, or its table is invalid. The node can start without it.
    #[error("the stored state is invalid or belongs to another node")]
    Restored,
    /// The leader lease rejects the settings derived from these.
    #[error("the leader lease cannot work with the durations derived from these settings")]
    LeaderLease,
}

/// The state that may be persisted across restarts. Leases never are.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredPlacement {
    /// Number of the node that stored it.
    pub node: u16,
    /// Greatest fencing number of a coordinator that this node obeyed; it ignores coordinators with a lower one.
    pub epoch: u64,
    /// Greatest ballot of the leader lease that this node has heard of; its next ballot is greater.
    pub ballot: u64,
    /// The newest decided table on this node.
    pub table: Option<Table>,
}

impl StoredPlacement {
    pub(crate) fn is_sound(&self, node: u16) -> bool {
        self.node == node
            && self.table.as_ref().is_none_or(|table| is_sound(&table.entries) && table.epoch <= self.epoch)
    }
}

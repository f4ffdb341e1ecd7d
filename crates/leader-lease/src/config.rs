//! Settings of a lease, which must be the same at every node.

use std::time::Duration;

use hallpin_membership::names::NodeIncarnation;

use crate::clock_drift::ClockDrift;

/// Greatest number of nodes that may be configured.
pub const MAX_CONFIGURED: u16 = 1024;
/// Shortest term; below it the network's round trip takes most of the term.
const MIN_TERM: Duration = Duration::from_millis(1);
/// Longest term: a failed holder blocks the lease for this long.
const MAX_TERM: Duration = Duration::from_secs(3600);
/// Greatest supported clock drift, in millionths.
const MAX_DRIFT_PPM: u32 = 400_000;
/// A holder starts to renew after this fraction of its term: one half.
const RENEWAL_FRACTION: u32 = 2;
/// A vote request is repeated after this fraction of a term: one sixteenth.
const RETRY_FRACTION: u32 = 16;

/// Settings of a lease. `configured`, `term` and `drift_ppm` must be the same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseConfig {
    /// This node and its incarnation.
    pub this: NodeIncarnation,
    /// Number of configured nodes, this one included.
    pub configured: u16,
    /// How long a vote binds. A failed holder keeps the lease from others for this long.
    pub term: Duration,
    /// Greatest deviation of any node's clock rate from true time, in millionths.
    pub drift_ppm: u32,
}

/// A setting that the lease cannot work with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// There are no nodes, or too many.
    #[error("{0} nodes configured, 1 to {MAX_CONFIGURED} expected")]
    NodeCount(u16),
    /// This node's number is not below the number of configured nodes.
    #[error("node {node} is not among the {configured} configured")]
    UnknownNode {
        /// This node's number.
        node: u16,
        /// Number of configured nodes.
        configured: u16,
    },
    /// The term is too short or too long.
    #[error("a term of {0:?}, {MIN_TERM:?} to {MAX_TERM:?} expected")]
    Term(Duration),
    /// The clock drift exceeds the supported maximum.
    #[error("a drift of {0} millionths, at most {MAX_DRIFT_PPM} expected")]
    Drift(u32),
}

impl LeaseConfig {
    /// Returns the first setting that is out of range as an error.
    pub(crate) fn check(&self) -> Result<(), ConfigError> {
        if self.configured == 0 || self.configured > MAX_CONFIGURED {
            return Err(ConfigError::NodeCount(self.configured));
        }
        if self.this.node.0 >= self.configured {
            return Err(ConfigError::UnknownNode { node: self.this.node.0, configured: self.configured });
        }
        if self.term < MIN_TERM || self.term > MAX_TERM {
            return Err(ConfigError::Term(self.term));
        }
        if self.drift_ppm > MAX_DRIFT_PPM {
            return Err(ConfigError::Drift(self.drift_ppm));
        }
        Ok(())
    }

    /// Number of votes that grant the lease.
    pub(crate) fn majority(&self) -> usize {
        usize::from(self.configured) / 2 + 1
    }

    /// How long a voter is bound by a vote, and how long it gives none after its start.
    pub(crate) fn promise_length(&self) -> Duration {
        ClockDrift(self.drift_ppm).lengthen(self.term)
    }

    /// How long a holder holds the lease, counted from before it requested the votes.
    pub(crate) fn lease_length(&self) -> Duration {
        ClockDrift(self.drift_ppm).shorten(self.term)
    }

    /// Time from the start of a successful round to the start of the next one.
    pub(crate) fn renewal_interval(&self) -> Duration {
        self.term / RENEWAL_FRACTION
    }

    /// Time to wait for answers before a request is sent again.
    pub(crate) fn retry_interval(&self) -> Duration {
        self.term / RETRY_FRACTION
    }
}

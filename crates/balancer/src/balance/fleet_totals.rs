//! Totals over the servers in the slot array.

use super::server::Server;
use crate::interface::{Guarantees, Seconds};

/// Totals over the servers in the slot array.
#[derive(Default)]
pub(super) struct FleetTotals {
    /// Number of servers in the slot array.
    pub(super) ready: usize,
    /// Sum of the effective shares.
    pub(super) share: f64,
    /// Sum of the learnt limits on attempts in flight.
    pub(super) limit: f64,
    /// Servers that have warmed up.
    pub(super) warm: usize,
    /// Servers that have warmed up by their listed start time alone.
    pub(super) listed_warm: usize,
}

impl FleetTotals {
    pub(super) fn add(&mut self, server: &Server, now: Seconds, guarantees: &Guarantees) {
        self.ready += 1;
        self.warm += usize::from(server.admitted_share() >= 1.0);
        self.listed_warm += usize::from(server.is_listed_warm(now, guarantees));
        self.share += server.share();
        self.limit += server.limit();
    }

    pub(super) fn all_warm(&self) -> bool {
        self.warm == self.ready
    }
}

//! Handling of what other nodes send: the placement table and their reports on servers.

use super::state::BalancerState;
use crate::interface::{FleetUpdate, Seconds, ServerReport};

/// Time for which a server stays suspected after peers reported it silent, and for which an answer to this
/// node prevents suspicion.
const SUSPICION_DURATION: Seconds = 5.0;
/// Least number of peers that must report a server silent, with none reporting an answer. Otherwise one peer
/// whose own link is broken, or that lies, would make all nodes suspect healthy servers.
const MIN_REPORTERS: u16 = 3;

impl BalancerState {
    pub(super) fn on_fleet_update(&mut self, update: FleetUpdate) {
        match update {
            FleetUpdate::Table { epoch, version, entries } => {
                if self.servers.apply_placement((epoch, version), entries) {
                    self.refresh_members();
                    self.dispatch_all_held();
                }
            }
            FleetUpdate::Servers(reports) => {
                for report in &reports {
                    self.apply_report(report);
                }
            }
        }
    }

    /// Updates a server's suspicion. Reports alone eject no server; they only make one failure seen by this
    /// node enough.
    fn apply_report(&mut self, report: &ServerReport) {
        // A report on an earlier incarnation of the server is ignored.
        let server = self.servers.get_mut(&report.server);
        let Some(server) = server.filter(|server| server.is_current_start(report.started)) else { return };
        let answered_this_node = server.answered_within(self.now, SUSPICION_DURATION);
        let is_silent = report.silent >= MIN_REPORTERS && report.answering == 0 && !answered_this_node;
        server.suspect_until(if is_silent { self.now + SUSPICION_DURATION } else { 0.0 });
    }
}

//! Outlier detection: which listed servers are ejected, and when they are probed again.

use std::collections::VecDeque;

use super::state::BalancerState;
use super::SMOOTHING;
use crate::interface::{Action, Seconds, ServerId};

/// Share of failed attempts over all servers from which no single server is to blame: ejecting one would only
/// add cache misses.
const FLEET_ERROR_SHARE: f64 = 0.2;
/// Most of the listed servers that may be ejected, as a share; if more fail, the cause is not the servers.
const MAX_EJECTED_SHARE: f64 = 0.34;
/// Time between probes of ejected servers, of which one is probed at a time: each probe costs a health check
/// or risks a request.
const PROBE_INTERVAL: Seconds = 1.0;
/// Most consecutive failures that are needed to eject a server; the number needed is 1 plus the attempts
/// in flight at the mean server. With a fixed number, a node that sends a server one request a minute
/// would lose as many requests to the server's death as a busy node.
const MAX_FAILURES_TO_EJECT: f64 = 3.0;
/// Failures needed to eject a server that peers suspect.
const FAILURES_TO_EJECT_SUSPECTED: f64 = 0.5;

/// The ejected servers, and the error share of the fleet.
#[derive(Default)]
pub(super) struct OutlierDetection {
    /// Smoothed share of attempts that may have run but did not succeed; a time-out of a client that left
    /// early does not count as a failure.
    error_share: f64,
    /// Ejected servers, in the order in which they are probed.
    ejected: VecDeque<ServerId>,
    /// Time before which no ejected server is probed.
    next_probe_at: Seconds,
}

impl OutlierDetection {
    /// Whether so many attempts fail that no single server is to blame.
    pub(super) fn is_fleet_failing(&self) -> bool {
        self.error_share >= FLEET_ERROR_SHARE
    }

    /// Adds one ended attempt to the error share.
    pub(super) fn learn(&mut self, failed: bool) {
        self.error_share += SMOOTHING * (f64::from(failed) - self.error_share);
    }

    pub(super) fn ejected_count(&self) -> usize {
        self.ejected.len()
    }

    /// Whether one more server may be ejected while this many are ready.
    fn may_eject(&self, ready: usize) -> bool {
        let listed = ready + self.ejected.len();
        let max_ejected = (listed as f64 * MAX_EJECTED_SHARE).max(1.0);
        listed >= 2 && (self.ejected.len() + 1) as f64 <= max_ejected
    }

    #[cfg(test)]
    pub(super) fn ejected(&self) -> impl Iterator<Item = &ServerId> {
        self.ejected.iter()
    }
}

/// Consecutive failures that eject a server, given the attempts in flight at the mean server.
fn failures_to_eject(mean_in_flight: f64, suspected: bool) -> f64 {
    if suspected {
        return FAILURES_TO_EJECT_SUSPECTED;
    }
    (1.0 + mean_in_flight).min(MAX_FAILURES_TO_EJECT)
}

impl BalancerState {
    /// Ejects a server that has failed too often, unless the whole fleet is failing.
    pub(super) fn eject_if_failing(&mut self, id: &ServerId) {
        let Some(server) = self.servers.get(id) else { return };
        let needed = failures_to_eject(self.servers.mean_in_flight(), server.is_suspected(self.now));
        if server.failures() >= needed && !self.outliers.is_fleet_failing() {
            self.eject(id);
        }
    }

    /// Takes a server out of the slot array, unless too many servers are ejected already. Its keys fall to
    /// the next server clockwise, as when the list drops the server.
    pub(super) fn eject(&mut self, id: &ServerId) {
        if !self.outliers.may_eject(self.servers.totals().ready) {
            return;
        }
        let Some(server) = self.servers.get_mut(id).filter(|server| server.share() > 0.0) else { return };
        server.eject();
        self.outliers.ejected.push_back(id.clone());
        self.actions.push(Action::Log(format!("{} taken out", id.0)));
        self.servers.refresh_shares(&self.settings, self.now);
    }

    /// Puts an ejected server back into the slot array.
    pub(super) fn readmit(&mut self, id: &ServerId) {
        let Some(server) = self.servers.get_mut(id).filter(|server| server.is_ejected()) else { return };
        server.readmit(self.now);
        self.outliers.ejected.retain(|ejected| ejected != id);
        self.actions.push(Action::Log(format!("{} readmitted", id.0)));
        self.servers.refresh_shares(&self.settings, self.now);
    }

    /// Drops servers that have left or restarted from the ejected ones.
    pub(super) fn forget_ejections(&mut self) {
        let servers = &self.servers;
        self.outliers.ejected.retain(|id| servers.get(id).is_some_and(|server| server.is_ejected()));
    }

    /// The ejected server to probe now: one for each interval, in turn; `None` if the one whose turn it is
    /// cannot answer.
    pub(super) fn next_to_probe(&mut self) -> Option<ServerId> {
        if self.now < self.outliers.next_probe_at {
            return None;
        }
        let id = self.outliers.ejected.pop_front()?;
        let server = self.servers.get(&id).filter(|server| server.is_ejected())?;
        let can_answer = server.is_ready() && server.points() > 0;
        let jitter = 0.75 + 0.5 * self.jitter.next();
        self.outliers.ejected.push_back(id.clone());
        self.outliers.next_probe_at = self.now + PROBE_INTERVAL * jitter;
        can_answer.then_some(id)
    }

    /// The ejected server that a read is to probe now.
    pub(super) fn next_to_probe_by_read(&mut self) -> Option<ServerId> {
        let id = self.next_to_probe()?;
        self.may_probe_by_read(&id, PROBE_INTERVAL).then_some(id)
    }
}

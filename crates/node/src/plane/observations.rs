//! Inputs to the plane from the rest of the node: endpoint lists, attempts, new contracts and shutdown.

use hallpin_balancer::{ServerId, Status};
use tracing::{info, warn};

use super::boxes::SentAttempt;
use super::runtime::PlaneRuntime;
use super::setup::read_contracts;
use crate::config::NodeConfigError;
use crate::roster::Roster;

/// Target of this module's log lines; operators filter by it.
const LOG_TARGET: &str = "hallpin_node::plane::told";

impl PlaneRuntime {
    /// Applies an endpoint list.
    pub fn apply_roster(&self, roster: &Roster) {
        let mut boxes = self.boxes.borrow_mut();
        boxes.apply_roster(roster);
        let (now, mut plane) = (self.now(), self.plane.borrow_mut());
        if let Some(placement) = plane.placement() {
            placement.set_endpoint_list(now, roster.revision, boxes.table());
        }
        if let Some((budgets, connections)) = plane.budgets().zip(self.connections_per_box) {
            let capacities = boxes.capacities(connections);
            budgets.set_capacities(now, &capacities);
            self.usage.borrow_mut().retain(|resource| capacities.contains_key(&resource));
        }
        self.wake.notify_one();
    }

    /// Records that an attempt begins. `None` for a box that is not listed.
    pub fn record_attempt(&self, server: &ServerId) -> Option<SentAttempt> {
        self.boxes.borrow_mut().record_attempt(server)
    }

    /// Records an attempt's outcome.
    pub fn record_outcome(&self, sent: &SentAttempt, status: Status) {
        self.boxes.borrow_mut().record_outcome(sent, status);
    }

    /// Reloads the contracts; on an error the old ones stay in force.
    pub fn reload(&self) {
        let Some(path) = &self.contracts else { return };
        match read_contracts(path) {
            Ok(contracts) => {
                info!(target: LOG_TARGET, revision = contracts.revision, "contracts are in force");
                let now = self.now();
                if let Some(budgets) = self.plane.borrow_mut().budgets() {
                    budgets.set_contracts(now, contracts);
                }
                self.wake.notify_one();
            }
            Err(NodeConfigError(what)) => warn!(target: LOG_TARGET, "{what}; the old contracts stand"),
        }
    }

    /// Announces that this node leaves, so that the others need not detect it.
    pub fn leave(&self) {
        let now = self.now();
        self.plane.borrow_mut().peers().leave(now);
        self.flush();
    }
}

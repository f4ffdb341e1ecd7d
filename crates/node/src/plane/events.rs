//! Handles events of the plane: notifies the balancer through the driver, and writes log lines.

use hallpin_balancer::{FleetUpdate, ServerId, TableEntry};
use hallpin_control_plane::PlaneEvent;
use hallpin_membership::facts::{BoxEvidence, PeersEvent};
use hallpin_placement::{PlacementEvent, Table};
use hallpin_quota::BudgetsEvent;
use tokio::time::Instant;
use tracing::{debug, info, warn};

use super::runtime::PlaneRuntime;
use crate::message::Message;

/// Target of this module's log lines; operators filter by it.
const LOG_TARGET: &str = "hallpin_node::plane::news";

/// The events of this node's plane.
type NodePlaneEvent = PlaneEvent<PlacementEvent, BudgetsEvent>;

impl PlaneRuntime {
    /// Acts on an event of the plane.
    pub(super) fn handle_event(&self, event: NodePlaneEvent) {
        match event {
            PlaneEvent::Peers(PeersEvent::CutOff(true)) => {
                warn!(target: LOG_TARGET, "cut off: no other node is heard")
            }
            PlaneEvent::Peers(PeersEvent::CutOff(false)) => {
                info!(target: LOG_TARGET, "no longer cut off: other nodes are heard again")
            }
            PlaneEvent::Peers(PeersEvent::View) => self.log_view(),
            // Sent with the next gathering, as evidence may change with every datagram.
            PlaneEvent::Peers(PeersEvent::Evidence) => self.evidence_timer.trigger(),
            PlaneEvent::Placement(PlacementEvent::Switch(table)) => self.switch(&table),
            PlaneEvent::Placement(PlacementEvent::LeaseExpired) => {
                warn!(target: LOG_TARGET, "out: the lease on the placement table is over; other nodes may switch tables without this one");
            }
            PlaneEvent::Placement(PlacementEvent::LeaseRegained) => {
                info!(target: LOG_TARGET, "back: the lease on the placement table was regained")
            }
            PlaneEvent::Placement(PlacementEvent::Prepared { version }) => {
                debug!(target: LOG_TARGET, version, "a table is prepared, not yet in force")
            }
            PlaneEvent::Placement(PlacementEvent::Dropped { version }) => {
                info!(target: LOG_TARGET, version, "a table was dropped")
            }
            PlaneEvent::Budgets(BudgetsEvent::AllotmentsChanged) => self.close_all_excess(),
            PlaneEvent::Budgets(BudgetsEvent::GrantingStarted { epoch }) => {
                info!(target: LOG_TARGET, epoch, "grants parts of budgets")
            }
            PlaneEvent::Budgets(BudgetsEvent::GrantingStopped) => {
                info!(target: LOG_TARGET, "grants parts of budgets no longer")
            }
        }
    }

    fn log_view(&self) {
        let plane = self.plane.borrow();
        let (alive, of) = (plane.view().alive().count(), plane.view().configured);
        if self.alive.replace(alive) != alive {
            if let Some(suppressed) = self.log_throttle.pass(Instant::now()) {
                info!(target: LOG_TARGET, alive, of, suppressed, "nodes that are there");
            }
        }
    }

    fn switch(&self, table: &Table) {
        let (epoch, version, servers) = (table.epoch, table.version, table.entries.len());
        info!(target: LOG_TARGET, epoch, version, revision = table.revision, servers, "a placement table is in force");
        let entry = |entry: &hallpin_placement::TableEntry| TableEntry {
            server: ServerId(entry.server.as_str().into()),
            weight: f64::from(entry.weight_milli) / 1000.0,
        };
        let entries = table.entries.iter().map(entry).collect();
        self.notify_balancer(FleetUpdate::Table { epoch, version, entries });
    }

    /// Notifies the balancer of peers' evidence about listed boxes.
    pub(super) fn notify_evidence(&self, evidence: &[BoxEvidence]) {
        let boxes = self.boxes.borrow();
        let servers: Vec<_> = evidence.iter().filter_map(|item| boxes.evidence(item)).collect();
        if servers.is_empty() {
            return;
        }
        self.notify_balancer(FleetUpdate::Servers(servers));
    }

    fn notify_balancer(&self, event: FleetUpdate) {
        // The receiver is dropped only when the program ends.
        let _ = self.messages.send(Message::Fleet(event));
    }
}

//! The control plane of one node, driven in virtual time.

use std::time::Duration;

use hallpin_balancer::{EndpointEntry, FleetUpdate, ServerId, Settings, Status, TableEntry};
use hallpin_control_plane::{DatagramFilter, Plane, PlaneEvent, PlaneOutput, Rate};
use hallpin_membership::facts::PeersEvent;
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::{Peers, PeersConfig};
use hallpin_placement::{Placement, PlacementConfig, PlacementEvent, Table};
use hallpin_quota::Budgets;

use super::boxes::{Boxes, SentAttempt};
use super::{PlaneError, Switch};
use crate::time::Time;

/// Interval at which a node gives its own observations of boxes to its peers, as in the real node.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the policy is notified of the peers' evidence while it persists, as in the real node.
const EVIDENCE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two ticks, as in the real node.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(1);
/// Limit on datagrams sent, the default of the operators' file.
const DATAGRAM_RATE: Rate = Rate { per_second: 1000, burst: 500 };
/// Lease on the placement table, the default of the operators' file.
const TABLE_LEASE: Duration = Duration::from_secs(2);
/// Bound on the drift between the nodes' clocks in parts per million, the default of the operators' file.
const MAX_CLOCK_DRIFT_PPM: u32 = 20_000;
/// Realm in the header of datagrams, the default of the operators' file.
const REALM: u32 = 1;

/// An output of a plane, which the simulation carries out in order.
pub enum PlaneNotification {
    /// Send these bytes to the node with this number.
    Datagram(usize, Vec<u8>),
    /// Pass this update to the node's policy.
    News(FleetUpdate),
    /// Pass the placement table in force to the policy; the number is the revision of the endpoint list behind it.
    Table(FleetUpdate, u64),
}

/// The place of a node in the fleet, and its process generation.
pub struct NodePosition {
    /// Number of the node, from 0.
    pub node: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Index of the depot.
    pub depot: usize,
    /// Number of depots.
    pub depots: usize,
    /// Process generation of the node, from 0.
    pub start: u32,
}

/// The control plane of one process generation of a node, with its view of the boxes and its clock.
pub struct NodePlane {
    plane: Plane<Placement, Budgets>,
    boxes: Boxes,
    started: Time,
    next_observation_at: Moment,
    /// Next time at which the policy is notified of the peers' evidence, if there is any.
    next_evidence_at: Moment,
    /// Time of the next tick that the simulation has scheduled.
    pub next_wake: Option<Time>,
}

impl NodePlane {
    /// The plane of a node that has just started without stored state; `None` with the switch off.
    ///
    /// # Errors
    /// If there are too many nodes, or membership or placement rejects its configuration.
    pub fn new(
        switch: Switch,
        position: &NodePosition,
        settings: &Settings,
        seed: u64,
        started: Time,
    ) -> Result<Option<Self>, PlaneError> {
        if switch == Switch::Off {
            return Ok(None);
        }
        let to_u16 = |n: usize| u16::try_from(n).map_err(|_| PlaneError::TooManyNodes(position.nodes));
        let (configured, zone, zones) =
            (to_u16(position.nodes)?, ZoneId(to_u16(position.depot)?), to_u16(position.depots)?);
        let this = NodeIncarnation {
            node: NodeId(to_u16(position.node)?),
            incarnation: Incarnation(u64::from(position.start) + 1),
        };
        let now = Moment::ZERO;
        let peers = Peers::new(PeersConfig::new(this, zone, configured), seed, now, &[])?;
        let placement_config =
            || PlacementConfig::with_lease(this, zone, zones, configured, TABLE_LEASE, MAX_CLOCK_DRIFT_PPM);
        let placement = (switch == Switch::Table)
            .then(|| Placement::new(placement_config(), None, now, seed))
            .transpose()?;
        let filter = DatagramFilter { realm: REALM, this, configured };
        let plane = Plane::new(filter, DATAGRAM_RATE, now, peers, placement, None);
        let boxes = Boxes::new(settings);
        Ok(Some(NodePlane {
            plane,
            boxes,
            started,
            next_observation_at: OBSERVATION_INTERVAL,
            next_evidence_at: Moment::ZERO,
            next_wake: None,
        }))
    }

    /// Time since the start of the node's current process.
    fn moment(&self, now: Time) -> Moment {
        Duration::from_micros(now.since(self.started).0)
    }

    /// Takes a complete endpoint list. `revision` is `None` for a list that may be outdated, as at a start: no table is
    /// made from that.
    pub fn set_list(&mut self, now: Time, revision: Option<u64>, list: &[EndpointEntry]) {
        self.boxes.set_list(list);
        let now = self.moment(now);
        if let (Some(placement), Some(revision)) = (self.plane.placement(), revision) {
            placement.set_endpoint_list(now, revision, self.boxes.table());
        }
    }

    /// Records that an attempt is sent; `None` for a box that is not on the list.
    pub fn record_sent(&mut self, server: &ServerId) -> Option<SentAttempt> {
        self.boxes.sent(server)
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, sent: SentAttempt, status: Status) {
        self.boxes.ended(sent, status);
    }

    /// Handles a datagram from the address of node `from`. The plane counts those that it rejects.
    pub fn receive(&mut self, now: Time, from: usize, datagram: &[u8]) {
        let (now, sender) = (self.moment(now), u16::try_from(from).ok().map(NodeId));
        let _ = self.plane.receive(now, sender, datagram);
    }

    /// Announces to the peers that the node leaves.
    pub fn leave(&mut self, now: Time) {
        let now = self.moment(now);
        self.plane.peers().leave(now);
    }

    /// Runs everything that is due by now and returns the outputs.
    pub fn run_due(&mut self, now: Time) -> Vec<PlaneNotification> {
        let now = self.moment(now);
        let mut notifications = Vec::new();
        if now >= self.next_observation_at {
            self.next_observation_at = now + OBSERVATION_INTERVAL;
            self.exchange_observations(now, &mut notifications);
        }
        if self.plane.due().is_some_and(|due| due <= now) {
            self.plane.tick(now);
        }
        for output in self.plane.take(now) {
            match output {
                PlaneOutput::Datagram { to, bytes } => {
                    notifications.push(PlaneNotification::Datagram(usize::from(to.0), bytes))
                }
                PlaneOutput::Event(PlaneEvent::Placement(PlacementEvent::Switch(table))) => {
                    notifications.push(table_notification(&table))
                }
                PlaneOutput::Event(PlaneEvent::Peers(PeersEvent::Evidence)) => self.next_evidence_at = now,
                PlaneOutput::Event(_) => {}
            }
        }
        notifications
    }

    /// Gives the node's own observations to its peers, and the peers' evidence to the policy when that is due.
    fn exchange_observations(&mut self, now: Moment, notifications: &mut Vec<PlaneNotification>) {
        for observation in self.boxes.take_observations() {
            self.plane.peers().observe(now, observation);
        }
        if now >= self.next_evidence_at {
            // Repeated each second while the evidence persists, because the policy lets a suspicion expire that is not
            // renewed.
            self.next_evidence_at = now + EVIDENCE_INTERVAL;
            let evidence = self.plane.peers().evidence(now);
            let servers: Vec<_> =
                evidence.iter().filter_map(|box_evidence| self.boxes.evidence(box_evidence)).collect();
            if !servers.is_empty() {
                notifications.push(PlaneNotification::News(FleetUpdate::Servers(servers)));
            }
        }
    }

    /// Time of the next tick that the plane needs.
    pub fn next_due(&self, now: Time) -> Time {
        let next = self.plane.due().map_or(self.next_observation_at, |due| due.min(self.next_observation_at));
        let next = next.max(self.moment(now) + MIN_TICK_INTERVAL);
        // Rounded up: a tick before the plane's due time would do nothing.
        Time(self.started.0 + u64::try_from(next.as_nanos().div_ceil(1000)).unwrap_or(u64::MAX / 2))
    }
}

/// The notification of a placement table in force.
fn table_notification(table: &Table) -> PlaneNotification {
    let entry = |entry: &hallpin_placement::TableEntry| TableEntry {
        server: ServerId(entry.server.as_str().into()),
        weight: f64::from(entry.weight_milli) / 1000.0,
    };
    let (epoch, version, entries) = (table.epoch, table.version, table.entries.iter().map(entry).collect());
    PlaneNotification::Table(FleetUpdate::Table { epoch, version, entries }, table.revision)
}

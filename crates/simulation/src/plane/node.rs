//! A node's plane in virtual time: what it is told, when it wants its turn, and what comes out of that.

use std::time::Duration;

use hallpin_balancer::{EndpointEntry, FleetUpdate, ServerId, Settings, Status, TableEntry};
use hallpin_control_plane::{DatagramFilter, Plane, PlaneEvent, PlaneOutput, Rate};
use hallpin_membership::facts::PeersEvent;
use hallpin_membership::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use hallpin_membership::{Peers, PeersConfig};
use hallpin_placement::{Placement, PlacementConfig, PlacementEvent, Table};
use hallpin_quota::Budgets;

use super::boxes::{Boxes, Sent};
use super::{PlaneError, Switch};
use crate::time::Time;

/// How often peers are told what a node saw of boxes, as in the real node.
const GATHER: Duration = Duration::from_millis(200);
/// How often the module is told of evidence that stands, as in the real node.
const TELL_EVERY: Duration = Duration::from_secs(1);
/// The least time between two turns, as in the real node.
const LEAST_WAIT: Duration = Duration::from_millis(1);
/// The defaults of the operators' file.
const RATE: Rate = Rate { per_second: 1000, burst: 500 };
const LEASE: Duration = Duration::from_secs(2);
const DRIFT_PPM: u32 = 20_000;
const REALM: u32 = 1;

/// What a plane asks of the world, in order.
pub enum Told {
    /// Send this to that node.
    Datagram(usize, Vec<u8>),
    /// Tell the node's policy this.
    News(FleetUpdate),
    /// Tell it that this table is in force; it is of that revision of the list.
    Table(FleetUpdate, u64),
}

/// Where a node stands among the others.
pub struct Seat {
    /// Its number.
    pub node: usize,
    /// How many there are.
    pub nodes: usize,
    /// Its depot.
    pub depot: usize,
    /// How many depots there are.
    pub depots: usize,
    /// Which start of it this is, from 0.
    pub start: u32,
}

/// The machines of one life of a node, its view of the boxes, and its clock.
pub struct NodePlane {
    plane: Plane<Placement, Budgets>,
    boxes: Boxes,
    started: Time,
    gather_at: Moment,
    /// When the module is told of peers' evidence next, if there is any.
    tell_at: Moment,
    /// When the world is to give it its next turn.
    pub wakes: Option<Time>,
}

impl NodePlane {
    /// A node that has just started and has nothing of an earlier life; none with the switch off.
    ///
    /// # Errors
    /// Where there are too many nodes.
    pub fn new(
        switch: Switch,
        seat: &Seat,
        settings: &Settings,
        seed: u64,
        started: Time,
    ) -> Result<Option<Self>, PlaneError> {
        if switch == Switch::Off {
            return Ok(None);
        }
        let number = |n: usize| u16::try_from(n).map_err(|_| PlaneError::Nodes(seat.nodes));
        let (configured, zone, zones) =
            (number(seat.nodes)?, ZoneId(number(seat.depot)?), number(seat.depots)?);
        let this = NodeIncarnation {
            node: NodeId(number(seat.node)?),
            incarnation: Incarnation(u64::from(seat.start) + 1),
        };
        let now = Moment::ZERO;
        let peers = Peers::new(PeersConfig::new(this, zone, configured), seed, now, &[])?;
        let with = || PlacementConfig::with_lease(this, zone, zones, configured, LEASE, DRIFT_PPM);
        let placement =
            (switch == Switch::Table).then(|| Placement::new(with(), None, now, seed)).transpose()?;
        let door = DatagramFilter { realm: REALM, this, configured };
        let plane = Plane::new(door, RATE, now, peers, placement, None);
        let boxes = Boxes::new(settings);
        Ok(Some(NodePlane { plane, boxes, started, gather_at: GATHER, tell_at: Moment::ZERO, wakes: None }))
    }

    fn moment(&self, now: Time) -> Moment {
        Duration::from_micros(now.since(self.started).0)
    }

    /// Follows the list, which is whole; at a start it may be old, and then no table is made of it.
    pub fn learn(&mut self, now: Time, revision: Option<u64>, list: &[EndpointEntry]) {
        self.boxes.learn(list);
        let now = self.moment(now);
        if let (Some(placement), Some(revision)) = (self.plane.placement(), revision) {
            placement.set_endpoint_list(now, revision, self.boxes.table());
        }
    }

    /// An attempt goes out.
    pub fn sent(&mut self, server: &ServerId) -> Option<Sent> {
        self.boxes.sent(server)
    }

    /// It has its outcome.
    pub fn ended(&mut self, sent: Sent, status: Status) {
        self.boxes.ended(sent, status);
    }

    /// A datagram came from that node's address. One that is refused is counted in the plane.
    pub fn receive(&mut self, now: Time, from: usize, datagram: &[u8]) {
        let (now, by) = (self.moment(now), u16::try_from(from).ok().map(NodeId));
        let _ = self.plane.receive(now, by, datagram);
    }

    /// The node goes, and says so.
    pub fn leave(&mut self, now: Time) {
        let now = self.moment(now);
        self.plane.peers().leave(now);
    }

    /// Gives it its turn, and hands on what comes of it.
    pub fn turn(&mut self, now: Time) -> Vec<Told> {
        let now = self.moment(now);
        let mut told = Vec::new();
        if now >= self.gather_at {
            self.gather_at = now + GATHER;
            self.gather(now, &mut told);
        }
        if self.plane.due().is_some_and(|due| due <= now) {
            self.plane.tick(now);
        }
        for output in self.plane.take(now) {
            match output {
                PlaneOutput::Datagram { to, bytes } => told.push(Told::Datagram(usize::from(to.0), bytes)),
                PlaneOutput::Event(PlaneEvent::Placement(PlacementEvent::Switch(table))) => {
                    told.push(switch(&table))
                }
                PlaneOutput::Event(PlaneEvent::Peers(PeersEvent::Evidence)) => self.tell_at = now,
                PlaneOutput::Event(_) => {}
            }
        }
        told
    }

    fn gather(&mut self, now: Moment, told: &mut Vec<Told>) {
        for fact in self.boxes.facts() {
            self.plane.peers().observe(now, fact);
        }
        if now >= self.tell_at {
            // Anew each second while it stands, as the module lets a doubt pass that nobody renews.
            self.tell_at = now + TELL_EVERY;
            let found = self.plane.peers().evidence(now);
            let servers: Vec<_> = found.iter().filter_map(|each| self.boxes.evidence(each)).collect();
            if !servers.is_empty() {
                told.push(Told::News(FleetUpdate::Servers(servers)));
            }
        }
    }

    /// When it wants its next turn.
    pub fn due(&self, now: Time) -> Time {
        let next = self.plane.due().map_or(self.gather_at, |due| due.min(self.gather_at));
        let next = next.max(self.moment(now) + LEAST_WAIT);
        // Upwards: a turn before the machines' time would do nothing.
        Time(self.started.0 + u64::try_from(next.as_nanos().div_ceil(1000)).unwrap_or(u64::MAX / 2))
    }
}

fn switch(table: &Table) -> Told {
    let entry = |entry: &hallpin_placement::TableEntry| TableEntry {
        server: ServerId(entry.server.as_str().into()),
        weight: f64::from(entry.weight_milli) / 1000.0,
    };
    let (epoch, version, entries) = (table.epoch, table.version, table.entries.iter().map(entry).collect());
    Told::Table(FleetUpdate::Table { epoch, version, entries }, table.revision)
}

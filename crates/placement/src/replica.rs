//! One node's replica of the placement tables: which it holds, its lease, and when it switches.
//!
//! A node switches only while it has a lease, only to a table that a coordinator announced as decided, and only to a
//! newer one. It ignores coordinators with a lower fencing number than one that it has reported to.

use hallpin_membership::names::{Moment, NodeId, NodeIncarnation};

use crate::config::PlacementConfig;
use crate::events::{Metrics, PlacementEvent, PlacementState};
use crate::message::{micros, Announcement, Report};
use crate::table::{Array, LocalTable, NewerOf, TableHeader, TableId};

/// The coordinator that this node obeys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Leader {
    /// Fencing number of the coordinator.
    pub epoch: u64,
    /// The coordinator's node. `None` after a start from stored state, when only the fencing number is known.
    pub node_incarnation: Option<NodeIncarnation>,
    /// Number of its newest announcement.
    pub number: u64,
}

/// One node's tables, lease and lists.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Replica {
    pub leader: Leader,
    /// Time at which the last announcement was accepted.
    pub last_announced_at: Option<Moment>,
    /// End of the newest lease by this node's clock; stays set after the lease has expired.
    lease_until: Option<Moment>,
    /// The table that the node places by.
    in_force: Option<LocalTable>,
    /// A decided and complete table that comes into force with the next lease.
    awaiting_lease: Option<LocalTable>,
    /// The complete table that is not decided as far as this node knows.
    prepared: Option<LocalTable>,
    /// The newest decided table, by the last announcement of a coordinator that knew its predecessors' decisions.
    decided: Option<TableHeader>,
    /// The table being prepared, by the last such announcement; `None` after a change of coordinator.
    preparing: Option<TableHeader>,
    /// Revision and array of this node's own list.
    pub endpoint_list: Option<(u64, Array)>,
    /// Revision and array of a newer list, fetched from another node.
    pub fetched_list: Option<(u64, Array)>,
    /// An array that has just been fetched, until it is stored with its table.
    fetched_array: Option<Array>,
    /// `LeaseExpired` was reported, and no lease has been granted since.
    expiry_reported: bool,
    pub events: Vec<PlacementEvent>,
    pub metrics: Metrics,
}

impl Replica {
    pub fn new(epoch: u64, awaiting_lease: Option<LocalTable>) -> Self {
        Replica {
            leader: Leader { epoch, node_incarnation: None, number: 0 },
            last_announced_at: None,
            lease_until: None,
            in_force: None,
            awaiting_lease,
            prepared: None,
            decided: None,
            preparing: None,
            endpoint_list: None,
            fetched_list: None,
            fetched_array: None,
            expiry_reported: false,
            events: Vec::new(),
            metrics: Metrics::default(),
        }
    }

    pub fn in_force(&self) -> Option<&LocalTable> {
        self.in_force.as_ref()
    }

    /// Returns the newest decided table on this node.
    pub fn base(&self) -> Option<&LocalTable> {
        self.awaiting_lease.as_ref().or(self.in_force.as_ref())
    }

    /// Returns the ids of all complete tables on this node.
    pub fn held_tables(&self) -> impl Iterator<Item = TableId> + '_ {
        self.base().into_iter().chain(&self.prepared).map(|held| held.header.id)
    }

    /// Returns whether this node has a lease at `now`, by its own clock.
    pub fn is_leased(&self, now: Moment) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Returns the end of the lease; `None` before the first lease or once its expiry was reported.
    pub fn lease_until(&self) -> Option<Moment> {
        self.lease_until.filter(|_| !self.expiry_reported)
    }

    pub fn state(&self, config: &PlacementConfig, now: Moment) -> PlacementState {
        let has_coordinator = self
            .last_announced_at
            .is_some_and(|announced_at| now < announced_at + config.heartbeat_interval() * 2);
        match (self.is_leased(now), self.preparing.is_some()) {
            (true, true) => PlacementState::Preparing,
            (true, false) => PlacementState::InForce,
            (false, _) if self.in_force.is_some() && !has_coordinator => PlacementState::LeaseExpired,
            (false, _) => PlacementState::CatchingUp,
        }
    }

    /// Returns the report to send now.
    pub fn report(&self, now: Moment, number: u64) -> Report {
        Report {
            epoch: self.leader.epoch,
            number,
            stamp: micros(now),
            base: self.base().map(|held| held.header),
            prepared: self.prepared.as_ref().map(|held| held.header),
            leased: self.is_leased(now),
            list: self.endpoint_list.as_ref().map(|(revision, array)| (*revision, array.digest)),
        }
    }

    /// Returns the array with this digest, if any table or list on this node has it.
    pub fn find_array(&self, digest: u64) -> Option<Array> {
        let tables = [&self.in_force, &self.awaiting_lease, &self.prepared].into_iter().flatten();
        let lists =
            [&self.endpoint_list, &self.fetched_list].into_iter().flatten().map(|(_, array)| array.clone());
        tables
            .map(LocalTable::array)
            .chain(lists)
            .chain(self.fetched_array.clone())
            .find(|array| array.digest == digest)
    }

    /// Returns the newest list revision from which a known table was made.
    pub fn revision(&self) -> Option<u64> {
        self.decided.newer_of(self.preparing).map(|header| header.revision)
    }

    /// Returns the table to fetch, a decided one before one being prepared.
    pub fn missing_table(&self) -> Option<TableHeader> {
        let base = self.base().map(|held| held.header.id);
        if self.decided.is_some_and(|header| base < Some(header.id)) {
            return self.decided;
        }
        let held = self.prepared.as_ref().map(|held| held.header.id);
        self.preparing.filter(|header| held != Some(header.id) && base < Some(header.id))
    }

    /// Applies an announcement of the coordinator. Returns `false`, and changes nothing, if it is outdated, implausible
    /// or from another node under the same fencing number.
    pub fn on_announcement(
        &mut self,
        config: &PlacementConfig,
        now: Moment,
        from: NodeIncarnation,
        announcement: &Announcement,
    ) -> bool {
        let leader = &mut self.leader;
        let newer = announcement.epoch > leader.epoch;
        let later = announcement.epoch == leader.epoch
            && leader.node_incarnation.is_none_or(|node_incarnation| node_incarnation == from)
            && announcement.number > leader.number;
        if !(newer || later) || !announcement.is_plausible(config.this.incarnation.0) {
            return false;
        }
        *leader =
            Leader { epoch: announcement.epoch, node_incarnation: Some(from), number: announcement.number };
        self.last_announced_at = Some(now);
        if newer {
            self.preparing = None;
        }
        if announcement.history_known {
            self.preparing = announcement.preparing;
            self.decided = announcement.decided;
        }
        if let Some(grant) = announcement.grant.filter(|grant| grant.incarnation == config.this.incarnation.0)
        {
            let reported_at = Moment::from_micros(grant.stamp);
            let until = reported_at + config.lease_length_at_replica();
            if reported_at <= now && self.lease_until < Some(until) {
                self.lease_until = Some(until);
            }
        }
        self.progress(now, announcement.history_known);
        true
    }

    /// Adopts decided and prepared tables as far as their arrays are on this node, and switches if there is a lease.
    pub fn progress(&mut self, now: Moment, history_known: bool) {
        if let Some(decided) = self.decided {
            self.adopt_decided(decided);
        }
        let base = self.base().map(|held| held.header.id);
        if let Some(held) = self.prepared.take_if(|held| Some(held.header.id) <= base) {
            if Some(held.header.id) != base {
                self.events.push(PlacementEvent::Dropped { version: held.header.id.version });
            }
        }
        self.prepare(history_known, base);
        self.switch(now);
    }

    /// Stores an array that was fetched for a decided or prepared table.
    pub fn on_array_fetched(&mut self, now: Moment, array: Array) {
        self.fetched_array = Some(array);
        self.progress(now, false);
        self.fetched_array = None;
    }

    fn adopt_decided(&mut self, decided: TableHeader) {
        if self.base().is_some_and(|held| held.header.id >= decided.id) {
            return;
        }
        match self.prepared.take_if(|held| held.header.id == decided.id) {
            Some(held) => self.awaiting_lease = Some(held),
            None => {
                if let Some(array) = self.find_array(decided.digest) {
                    self.awaiting_lease = Some(LocalTable::new(decided, &array));
                }
            }
        }
    }

    /// Stores the table being prepared, once this node has the decided one.
    fn prepare(&mut self, history_known: bool, base: Option<TableId>) {
        let next = self.preparing.filter(|header| Some(header.id) > base);
        let superseded =
            |held: &mut LocalTable| history_known && Some(held.header.id) != next.map(|header| header.id);
        if let Some(held) = self.prepared.take_if(superseded) {
            self.events.push(PlacementEvent::Dropped { version: held.header.id.version });
        }
        let Some(header) =
            next.filter(|_| self.prepared.is_none() && base >= self.decided.map(|header| header.id))
        else {
            return;
        };
        if let Some(array) = self.find_array(header.digest) {
            self.prepared = Some(LocalTable::new(header, &array));
            self.events.push(PlacementEvent::Prepared { version: header.id.version });
        }
    }

    /// Puts the table that awaits a lease in force if there is a lease, and reports a regained lease.
    fn switch(&mut self, now: Moment) {
        if !self.is_leased(now) {
            return;
        }
        if std::mem::take(&mut self.expiry_reported) {
            self.events.push(PlacementEvent::LeaseRegained);
        }
        if let Some(held) = self.awaiting_lease.take() {
            self.metrics.switches += 1;
            self.events.push(PlacementEvent::Switch(held.table.clone()));
            self.in_force = Some(held);
        }
    }

    /// Reports the expiry of the lease, once.
    pub fn expire_lease(&mut self, now: Moment) {
        if !self.expiry_reported && self.lease_until.is_some_and(|until| until <= now) {
            self.expiry_reported = true;
            self.metrics.lease_expirations += 1;
            self.events.push(PlacementEvent::LeaseExpired);
        }
    }

    /// Returns the node to report to; `None` before an announcement was received.
    pub fn leader_node(&self) -> Option<NodeId> {
        self.leader.node_incarnation.map(|node_incarnation| node_incarnation.node)
    }
}

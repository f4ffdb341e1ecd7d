//! One node of the placement federation as its driver sees it: the leader lease and the table protocol, fed from one
//! stream of payloads.

use hallpin_leader_lease::{Candidacy, LeaderLease, LeaseConfig, LeaseMessage};
use hallpin_membership::envelope::{Kind, Rejection};
use hallpin_membership::machine::{Output, StateMachine};
use hallpin_membership::names::{Moment, NodeId, NodeIncarnation};
use hallpin_membership::view::View;
use serde::{Deserialize, Serialize};

use crate::config::{ConfigError, PlacementConfig, StoredPlacement};
use crate::events::{Metrics, Outbox, PlacementEvent, PlacementState};
use crate::message::{decode, encode, Message};
use crate::protocol::TableProtocol;
use crate::replica::Replica;
use crate::table::{is_sound, LocalTable, Table, TableEntry, TableId};

/// A payload on the wire: a message of the leader lease or of the table protocol.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Payload {
    Lease(LeaseMessage),
    Tables(Message),
}

/// One node's state machine for the agreed placement table.
///
/// `now` must have been read after the payload came in; see [`LeaderLease::receive`].
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Placement {
    leader_lease: LeaderLease,
    pub(crate) protocol: TableProtocol,
    outbox: Outbox,
    /// Time at which this state was created.
    started_at: Moment,
    /// When to check next whether this node should become a candidate for the leader lease.
    next_candidacy_check_at: Moment,
    /// Number of endpoint lists rejected by [`Placement::set_endpoint_list`].
    lists_rejected: u64,
}

impl Placement {
    /// Creates the state of a node that has just started. It has no lease and no table in force until it is granted
    /// one; a stored table only spares it the transfer of the pages.
    ///
    /// # Errors
    /// The configuration or the stored state is invalid.
    pub fn new(
        config: PlacementConfig,
        restored: Option<StoredPlacement>,
        now: Moment,
        seed: u64,
    ) -> Result<Placement, ConfigError> {
        config.validate()?;
        let (this, configured, drift_ppm) = (config.this, config.configured, config.drift_ppm);
        let lease_config = LeaseConfig { this, configured, term: config.lease / 2, drift_ppm };
        let mut leader_lease =
            LeaderLease::new(lease_config, now, seed).map_err(|_| ConfigError::LeaderLease)?;
        let restored = match restored {
            Some(stored) if !stored.is_sound(this.node.0) => return Err(ConfigError::Restored),
            Some(stored) => stored,
            None => StoredPlacement { node: this.node.0, epoch: 0, ballot: 0, table: None },
        };
        leader_lease.restore(restored.ballot);
        let replica = Replica::new(restored.epoch, restored.table.map(LocalTable::of));
        let protocol = TableProtocol::new(config, replica, now, seed);
        Ok(Placement {
            leader_lease,
            protocol,
            outbox: Outbox::default(),
            started_at: now,
            next_candidacy_check_at: now,
            lists_rejected: 0,
        })
    }

    /// Sets the entries of this node's own endpoint list. A list with too many entries, or with an id that is empty or
    /// too long, is rejected and counted; of several entries with one id the first counts.
    pub fn set_endpoint_list(&mut self, now: Moment, revision: u64, mut entries: Vec<TableEntry>) {
        entries.sort_by(|one, other| one.server.cmp(&other.server));
        entries.dedup_by(|later, first| later.server == first.server);
        if is_sound(&entries) {
            self.protocol.set_endpoint_list(now, revision, entries);
        } else {
            self.lists_rejected += 1;
        }
    }

    /// Returns the table to place by, or `None` before the first lease of this process.
    pub fn in_force(&self) -> Option<&Table> {
        self.protocol.replica.in_force().map(|held| &held.table)
    }

    /// Returns the ids of the complete tables on this node: the newest decided one and the one being prepared.
    pub fn held_tables(&self) -> impl Iterator<Item = TableId> + '_ {
        self.protocol.replica.held_tables()
    }

    /// Returns this node's state towards the table in force, by its own clock.
    pub fn state(&self, now: Moment) -> PlacementState {
        self.protocol.replica.state(&self.protocol.config, now)
    }

    /// Returns whether this node holds the leader lease and so is the coordinator.
    pub fn is_coordinator(&self, now: Moment) -> bool {
        self.leader_lease.held(now).is_some()
    }

    /// Returns the state to persist across restarts.
    pub fn stored(&self) -> StoredPlacement {
        let (epoch, ballot) = (self.protocol.replica.leader.epoch, self.leader_lease.highest_ballot());
        let table = self.protocol.replica.base().map(|held| held.table.clone());
        StoredPlacement { node: self.protocol.config.this.node.0, epoch, ballot, table }
    }

    /// Returns the counters since the start.
    pub fn metrics(&self) -> Metrics {
        let current = self.protocol.coordinator.as_ref().map_or(0, |coordinator| coordinator.decided_count);
        let decided = self.protocol.decided_in_past_terms + current;
        Metrics { decided, lists_rejected: self.lists_rejected, ..self.protocol.replica.metrics }
    }

    /// Returns when this node becomes a candidate for the leader lease. While a coordinator is heard, only the lease
    /// holder is one. After half a lease of silence the alive node with the lowest number starts, not counting the
    /// silent coordinator, and each next one a quarter of a lease later, so that votes are seldom split. A node that is
    /// cut off is no candidate (see `update_candidacy`).
    fn candidacy_start(&self, view: &View) -> Moment {
        let (config, replica) = (&self.protocol.config, &self.protocol.replica);
        let stands_earlier = |node: NodeId| node < config.this.node && Some(node) != replica.leader_node();
        let rank =
            view.alive().filter(|member| stands_earlier(member.node_incarnation.node)).count().min(8) as u32;
        let base = replica
            .last_announced_at
            .map_or(self.started_at + config.lease / 2, |announced_at| announced_at + config.lease / 2);
        base + config.lease / 4 * rank
    }

    fn update_candidacy(&mut self, now: Moment, view: &View) {
        let start = self.candidacy_start(view);
        let is_candidate = self.leader_lease.held(now).is_some() || (now >= start && !view.cut_off);
        self.leader_lease.set_candidacy(Candidacy::standing_if(is_candidate));
        self.next_candidacy_check_at =
            if is_candidate || now >= start { now + self.protocol.config.lease / 3 } else { start };
        if self.leader_lease.next_deadline().is_some_and(|due| due <= now) {
            self.leader_lease.tick(now);
        }
    }

    /// Returns the fencing number of the leader lease while this node holds it.
    fn epoch(&self, now: Moment) -> Option<u64> {
        self.leader_lease.held(now).map(|lease| lease.epoch)
    }
}

impl StateMachine for Placement {
    type Event = PlacementEvent;

    const KIND: Kind = Kind::Placement;

    fn receive(
        &mut self,
        now: Moment,
        view: &View,
        from: NodeIncarnation,
        payload: &[u8],
    ) -> Result<(), Rejection> {
        let this = self.protocol.config.this.node;
        if from.node == this || from.node.0 >= self.protocol.config.configured {
            return Err(Rejection::UnknownPeer);
        }
        match decode(payload)? {
            Payload::Lease(message) => self.leader_lease.receive(now, from, message),
            Payload::Tables(message) => {
                let epoch = self.epoch(now);
                self.protocol.receive(now, epoch, view, from, message, &mut self.outbox);
            }
        }
        Ok(())
    }

    fn tick(&mut self, now: Moment, view: &View) {
        self.update_candidacy(now, view);
        let epoch = self.epoch(now);
        self.protocol.tick(now, epoch, view, &mut self.outbox);
    }

    fn due(&self) -> Option<Moment> {
        [Some(self.next_candidacy_check_at), self.leader_lease.next_deadline(), self.protocol.due()]
            .into_iter()
            .flatten()
            .min()
    }

    fn take_outputs(&mut self) -> Vec<Output<PlacementEvent>> {
        let lease_messages =
            self.leader_lease.take_outbox().into_iter().map(|(to, message)| (to, Payload::Lease(message)));
        let tables = std::mem::take(&mut self.outbox.sends).into_iter();
        let tables = tables.map(|(to, message)| (to, Payload::Tables(message)));
        let sends = lease_messages
            .chain(tables)
            .filter_map(|(to, payload)| Some(Output::Send { to, payload: encode(&payload)? }));
        let events = std::mem::take(&mut self.outbox.events).into_iter().map(Output::Event);
        sends.chain(events).collect()
    }
}

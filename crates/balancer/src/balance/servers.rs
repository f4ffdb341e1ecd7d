//! The server table: which servers are listed, the attempts in flight at each, the owners of keys, and the
//! caps.

mod array;

use std::collections::{BTreeMap, BTreeSet};

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

use super::fleet_totals::FleetTotals;
use super::hash_ring::{HashRing, Weights};
use super::kind_latency::KindLatency;
use super::server::Server;
use crate::interface::{EndpointEntry, Key, ServerId, Settings, TableEntry};

/// The ε of the cap on a server's attempts in flight. Each jump to another server costs a miss at the slow
/// origin, so the cap prevents overload and does not even out the load.
pub(super) const EPSILON: f64 = 0.7;
/// Floor of the cap, shared by all nodes: a few requests a core.
const FLEET_CAP_FLOOR: f64 = 8.0;

/// Epoch and version of a placement table.
type TableVersion = (u64, u64);

/// The placement table that all nodes agreed on.
struct PlacementTable {
    version: TableVersion,
    weights: Weights,
}

/// All servers that are listed or have attempts in flight.
#[derive(Default)]
pub(super) struct ServerTable {
    /// Looked up at each probe of a key. A hash map, because comparing ids took most of the time of a lookup
    /// in a large fleet.
    servers: IndexMap<ServerId, Server, FxBuildHasher>,
    ring: HashRing,
    placement: Option<PlacementTable>,
    kinds: BTreeMap<String, KindLatency>,
    totals: FleetTotals,
    /// Attempts in flight at all servers.
    in_flight: u32,
}

/// The least value of a server's cap: this node's share of the fleet's floor, 1 or more.
pub(super) fn cap_floor(settings: &Settings) -> f64 {
    (FLEET_CAP_FLOOR / f64::from(settings.balancers)).ceil()
}

impl ServerTable {
    pub(super) fn get(&self, id: &ServerId) -> Option<&Server> {
        self.servers.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &ServerId) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (&ServerId, &Server)> {
        self.servers.iter()
    }

    pub(super) fn totals(&self) -> &FleetTotals {
        &self.totals
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Attempts in flight at the mean server.
    pub(super) fn mean_in_flight(&self) -> f64 {
        f64::from(self.in_flight) / self.ready_or_one()
    }

    /// Attempts in flight at the mean server once one more is sent.
    pub(super) fn next_mean_in_flight(&self) -> f64 {
        f64::from(self.in_flight + 1) / self.ready_or_one()
    }

    fn ready_or_one(&self) -> f64 {
        self.totals.ready.max(1) as f64
    }

    pub(super) fn attempt_sent(&mut self, id: &ServerId) {
        self.in_flight += 1;
        if let Some(server) = self.servers.get_mut(id) {
            server.attempt_sent();
        }
    }

    /// Subtracts an attempt from the total over all servers; the server's own count falls when the outcome is
    /// observed.
    pub(super) fn attempt_ended(&mut self) {
        self.in_flight -= 1;
    }

    /// The cap on a server's attempts in flight: max(floor, ⌈(1+ε)n/k⌉), with n/k scaled by the server's
    /// share where sizes differ.
    pub(super) fn cap(&self, server: &Server, floor: f64) -> f64 {
        let mean_share = self.totals.share / self.ready_or_one();
        let in_flight = f64::from(self.in_flight + 1);
        let bound = (1.0 + EPSILON) * in_flight * server.share() / self.totals.share;
        let floor = floor * (server.share() / mean_share).min(1.0);
        bound.ceil().max(floor.ceil())
    }

    /// The owner of one probe of a key among the servers for which `is_eligible` holds.
    pub(super) fn owner(
        &self,
        key: Key,
        probe: u64,
        is_eligible: impl Fn(&Server) -> bool,
    ) -> Option<(&ServerId, &Server)> {
        let is_eligible_point =
            |server: &Server, rank: u16| server.has_active_point(rank) && is_eligible(server);
        let id = self.ring.owner(key, probe, |id, rank| {
            self.servers.get(id).is_some_and(|server| is_eligible_point(server, rank))
        })?;
        self.servers.get_key_value(id)
    }

    /// Whether all servers have just started by their listed start times. Readmitted servers also count as
    /// just started, but only by assumption: while a server is warm by the list, no request is rejected
    /// because the fleet is cold.
    pub(super) fn is_cold_fleet(&self) -> bool {
        self.totals.warm == 0 && self.totals.listed_warm == 0
    }

    /// Marks the servers that are missing from a complete list as gone.
    pub(super) fn mark_unlisted_gone(&mut self, listed: &[EndpointEntry]) {
        let listed: BTreeSet<&ServerId> = listed.iter().map(|entry| &entry.server).collect();
        let unlisted = self.servers.iter_mut().filter(|(id, _)| !listed.contains(id));
        unlisted.for_each(|(_, server)| server.mark_gone());
    }

    /// Applies one entry of the list.
    pub(super) fn apply(&mut self, entry: EndpointEntry, settings: &Settings) {
        let server = self.servers.entry(entry.server.clone()).or_default();
        server.apply(entry, cap_floor(settings));
    }

    /// Takes a placement table if it is newer than the current one: never an older table, and never a
    /// different one under the same version.
    pub(super) fn apply_placement(&mut self, version: TableVersion, entries: Vec<TableEntry>) -> bool {
        let is_newer = self.placement.as_ref().is_none_or(|current| current.version < version);
        if is_newer {
            let weights = entries.into_iter().map(|entry| (entry.server, entry.weight)).collect();
            self.placement = Some(PlacementTable { version, weights });
        }
        is_newer
    }

    /// Records the slowness of an answer from cache for the kind of this server.
    pub(super) fn learn_kind(&mut self, id: &ServerId, slowness: f64) {
        let Some(server) = self.servers.get(id) else { return };
        self.kinds.entry(server.entry().kind.clone()).or_default().learn(slowness);
    }

    /// How many servers are listed, and how many of them are unavailable (draining or ejected).
    pub(super) fn members(&self) -> (usize, usize) {
        let listed = || self.servers.values().filter(|server| !server.is_gone());
        let unavailable = listed().filter(|server| server.is_ejected() || !server.is_ready());
        (listed().count(), unavailable.count())
    }

    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }

    pub(super) fn point_count(&self) -> usize {
        self.ring.len()
    }

    pub(super) fn kind_count(&self) -> usize {
        self.kinds.len()
    }

    /// Entries of the placement table in force.
    pub(super) fn placement_len(&self) -> usize {
        self.placement.as_ref().map_or(0, |table| table.weights.len())
    }

    #[cfg(test)]
    pub(super) fn kinds(&self) -> impl Iterator<Item = &String> {
        self.kinds.keys()
    }
}

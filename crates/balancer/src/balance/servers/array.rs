//! Each server's share of the slot array: by weight, slow start and kind, and none while it is ejected.

use std::collections::BTreeSet;

use super::ServerTable;
use crate::balance::fleet_totals::FleetTotals;
use crate::balance::hash_ring::{scale, scaled_size};
use crate::balance::kind_latency::{KindLatency, MIN_KIND_SPEED};
use crate::balance::server::{is_origin, Server};
use crate::interface::{Seconds, ServerId, Settings, WeightSource};

/// Speeds of kinds are rounded to this many steps, so that shares do not change with every answer.
const SPEED_STEPS: f64 = 16.0;

impl ServerTable {
    /// Gives the listed servers their points by weight, and drops the servers that are gone.
    pub(in crate::balance) fn rebuild_ring(&mut self, settings: &Settings) {
        let by_weight = matches!(settings.weights, WeightSource::Nominal | WeightSource::Rough);
        let listed_weight = |server: &Server| if by_weight { server.entry().weight } else { 0.0 };
        // A placement table without any ready server is ignored: all requests would wait for the switch to
        // the next table.
        let is_ready = |id: &ServerId| self.servers.get(id).is_some_and(Server::is_ready);
        let placement = self.placement.as_ref().map(|table| &table.weights);
        let placement = placement.filter(|weights| weights.keys().any(is_ready));
        let scale = match placement {
            Some(weights) => scale(weights.values().copied()),
            None => scale(self.servers.values().map(listed_weight)),
        };
        let mut changed = BTreeSet::new();
        for (id, server) in &mut self.servers {
            let weight = match placement {
                Some(weights) => weights.get(id).copied(),
                None => Some(listed_weight(server)),
            };
            let takes_points = !server.is_gone() && weight.is_some() && !is_origin(settings, server);
            if server.resize(scaled_size(weight.unwrap_or_default(), scale), takes_points) {
                changed.insert(id.clone());
            }
        }
        self.replace_points(&changed);
        self.servers.retain(|_, server| !server.is_gone() || server.in_flight() > 0);
        self.forget_unlisted_kinds();
    }

    /// Replaces the points of these servers in the ring.
    fn replace_points(&mut self, changed: &BTreeSet<ServerId>) {
        if changed.is_empty() {
            return;
        }
        self.ring.remove(changed);
        let servers = self.servers.iter().map(|(id, server)| (id, server.points()));
        self.ring.add(servers.filter(|(id, points)| *points > 0 && changed.contains(*id)));
        self.ring.shrink();
    }

    /// Drops kinds without any server left: they would accumulate, and a quick one would make all others look
    /// slow.
    fn forget_unlisted_kinds(&mut self) {
        let listed: BTreeSet<&str> =
            self.servers.values().map(|server| server.entry().kind.as_str()).collect();
        self.kinds.retain(|kind, _| listed.contains(kind.as_str()));
    }

    /// Updates slow start, ejections and the totals over the fleet, so that no request has to compute
    /// them.
    pub(in crate::balance) fn refresh_shares(&mut self, settings: &Settings, now: Seconds) {
        let learns_kinds = settings.weights != WeightSource::Nominal;
        let fastest = self.kinds.values().map(KindLatency::slowness).fold(f64::MAX, f64::min);
        let mut totals = FleetTotals::default();
        for server in self.servers.values_mut() {
            // Kinds differ in speed: a slow machine is overloaded by a share that a fast one hardly notices.
            let kind = self.kinds.get(&server.entry().kind).filter(|_| learns_kinds);
            let speed = kind.map_or(1.0, |kind| fastest / kind.slowness());
            let speed = (speed.max(MIN_KIND_SPEED) * SPEED_STEPS).round() / SPEED_STEPS;
            server.refresh_share(speed, now, &settings.guarantees);
            if server.is_in_array() {
                totals.add(server, now, &settings.guarantees);
            }
        }
        self.totals = totals;
    }
}

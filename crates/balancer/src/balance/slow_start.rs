//! Slow start: the share of the requests for its keys that a server admits while it warms up, such that
//! the sum over all nodes stays within the server's capacity. No node sees what the others send: each
//! admits the same share of the requests that it sees.

use super::hash_ring::hash_key;
use super::request::Request;
use super::server::Server;
use super::state::BalancerState;
use crate::interface::{Guarantees, Seconds, ServerId};

/// Least share of its requests that a server admits while it is warming up, so that each node sends it some.
const MIN_ADMITTED_SHARE: f64 = 1.0 / 16.0;
/// Share of the multiple of a server's present capacity that overloads it (`Guarantees::overload_multiple`)
/// that is used where no server is warm.
const USABLE_MULTIPLE_SHARE: f64 = 0.5;
/// Reads a second, over all nodes, that probe an ejected server that is warming up.
const PROBES_PER_SECOND: f64 = 3.0;

/// Share of its full capacity that a server with this start time has, by the settings; 1 once it is warm.
pub(super) fn slow_start_factor(started: Option<Seconds>, now: Seconds, guarantees: &Guarantees) -> f64 {
    let Some(started) = started.filter(|started| now < started + guarantees.slow_start_duration) else {
        return 1.0;
    };
    let age = (now - started).max(0.0) / guarantees.slow_start_duration;
    guarantees.initial_capacity_share + (1.0 - guarantees.initial_capacity_share) * age
}

/// Share of its requests that a server admits by its age: half of its capacity at first, as nodes that are
/// not yet notified of its start send it all of them.
fn share_by_age(factor: f64) -> f64 {
    factor * (1.0 + factor) / 2.0
}

/// Share of its requests that a server admits by its latency: a server that is both cold and slow would be
/// overloaded by the share that its age allows.
fn share_by_latency(slowness: f64) -> f64 {
    1.0 / slowness.max(1.0)
}

/// Share of the requests for its keys that a server admits while others are warm.
pub(super) fn admitted_share(factor: f64, slowness: f64) -> f64 {
    if factor >= 1.0 {
        return 1.0;
    }
    share_by_age(factor).min(share_by_latency(slowness)).max(MIN_ADMITTED_SHARE)
}

impl BalancerState {
    /// Whether a server admits this request for one of its keys. The sample is drawn from the request, so it
    /// is the same for each server, and is drawn again when the client retries.
    pub(super) fn admits(&self, server: &Server, request: &Request) -> bool {
        if server.admitted_share() >= 1.0 {
            return true;
        }
        let sample = hash_key(request.key, request.arrived_at.to_bits()) as f64 / u64::MAX as f64;
        sample <= self.admission_probability(server)
    }

    fn admission_probability(&self, server: &Server) -> f64 {
        if self.servers.totals().warm > 0 {
            return server.admitted_share();
        }
        if !self.servers.is_cold_fleet() {
            return 1.0;
        }
        // No warm server can take the rest. Rejected clients retry, and the same share of twice the requests
        // is twice the load.
        let guarantees = &self.settings.guarantees;
        let usable_multiple = (guarantees.overload_multiple * USABLE_MULTIPLE_SHARE).min(1.0);
        let sustainable = share_by_age(server.slow_start_factor(self.now, guarantees)) * usable_multiple;
        let by_latency = share_by_latency(server.slowness()).max(MIN_ADMITTED_SHARE);
        sustainable.min(by_latency) * self.demand.usual_ratio()
    }

    /// The last probe at which a server that is warming up takes a request: it takes those of its own keys,
    /// not the overflow of others.
    pub(super) fn last_probe_while_warming_up(&self, request: &Request) -> u64 {
        if self.servers.is_cold_fleet() {
            request.first_probe
        } else {
            0
        }
    }

    /// Whether no server is warm, and the only one that could serve this request does not admit it: nothing
    /// changes while its client waits.
    pub(super) fn is_shed(&self, request: &Request) -> bool {
        if !self.servers.is_cold_fleet() || self.servers.totals().ready == 0 {
            return false;
        }
        let was_tried = |id: &ServerId| request.attempts.iter().any(|attempt| attempt.server == *id);
        self.owner(request, request.first_probe).is_none_or(|(id, _)| was_tried(id))
    }

    /// Whether this node probes an ejected server with a read now. At 300 nodes, one read a second from
    /// each is more than a server that is warming up can serve, so all nodes together then send at most
    /// about `PROBES_PER_SECOND`. After the slow start, the number of nodes no longer counts.
    pub(super) fn may_probe_by_read(&mut self, id: &ServerId, interval: Seconds) -> bool {
        let Some(server) = self.servers.get(id) else { return false };
        if !server.is_warming_up(self.now, &self.settings.guarantees) {
            return true;
        }
        let probability = PROBES_PER_SECOND * interval / f64::from(self.settings.balancers);
        probability >= 1.0 || self.jitter.next() < probability
    }
}

//! Selection of the server for an attempt: the first below its cap on the key's probe sequence.

use super::request::Request;
use super::server::{is_origin, Server};
use super::servers::cap_floor;
use super::state::BalancerState;
use crate::interface::{Seconds, ServerId};

/// A low-priority request may use a server's limit divided by 1 + this factor x the usual answer time / the
/// latency objective.
const LOW_PRIORITY_LATENCY_FACTOR: f64 = 6.0;
/// Probes tried before a request is held.
pub(super) const MAX_PROBES: u64 = 32;
/// A request with this multiple of the usual work is not sent to servers that are warming up: they are
/// overloaded by work, and one request in a hundred can cost as much as all others together.
const HEAVY_WORK_FACTOR: f64 = 8.0;

/// Routing properties of a request that do not depend on the server.
struct Route {
    /// Whether requests of tenants within their quota go first.
    is_low_priority: bool,
    /// Whether the request is too expensive for a server that is warming up.
    is_heavy: bool,
}

/// Result of one probe.
enum ProbeResult {
    /// The request goes to this server.
    Take,
    /// The search goes on with the next probe.
    Next,
    /// Ends the search: a low-priority request leaves the capacity of further servers to other requests.
    Stop,
}

impl BalancerState {
    /// The current owner of one probe of a request's key. A server that is warming up keeps the ownership of
    /// its keys but admits only a sample of their requests: requests for a key come from all nodes, and no
    /// node sees their sum. Requests outside the sample go to the next server that admits them. In a cold
    /// fleet they are not sent: a server slightly older than the others would get all of them.
    pub(super) fn owner(&self, request: &Request, probe: u64) -> Option<(&ServerId, &Server)> {
        let (id, owner) = self.servers.owner(request.key, probe, |_| true)?;
        if self.admits(owner, request) {
            return Some((id, owner));
        }
        if self.servers.is_cold_fleet() {
            return None;
        }
        self.servers.owner(request.key, probe, |server| self.admits(server, request))
    }

    /// The first server below its cap on the key's probe sequence; `None` if `MAX_PROBES` probes find
    /// none, if no server admits the request, or if a low-priority request meets a server at its
    /// low-priority limit.
    pub(super) fn choose(&self, request: &Request) -> Option<ServerId> {
        let route = self.route(request);
        for probe in request.first_probe..request.first_probe + MAX_PROBES {
            let (id, server) = self.owner(request, probe)?;
            match self.evaluate_probe(request, &route, probe, id, server) {
                ProbeResult::Take => return Some(id.clone()),
                ProbeResult::Next => {}
                ProbeResult::Stop => return None,
            }
        }
        None
    }

    fn route(&self, request: &Request) -> Route {
        let totals = self.servers.totals();
        // A node that takes over for others that are down or drained sees more than its share of a quota.
        // While the fleet has spare capacity, serving the excess harms nobody; once the fleet is at its
        // limits, requests within their quota go first.
        let is_full = f64::from(self.servers.in_flight()) > totals.limit;
        let is_expensive = request.work > HEAVY_WORK_FACTOR * self.latency.usual_work();
        Route { is_low_priority: request.over_quota && is_full, is_heavy: is_expensive && totals.warm > 0 }
    }

    fn evaluate_probe(
        &self,
        request: &Request,
        route: &Route,
        probe: u64,
        id: &ServerId,
        server: &Server,
    ) -> ProbeResult {
        // A server that is warming up takes requests for its own keys, not the overflow of others.
        let is_cold = server.is_warming_up(self.now, &self.settings.guarantees);
        let is_excluded = is_cold && (probe > self.last_probe_while_warming_up(request) || route.is_heavy);
        if request.has_tried(id) || is_excluded || !self.may_send(request, id, server) {
            return ProbeResult::Next;
        }
        let floor = cap_floor(&self.settings);
        let in_flight = f64::from(server.in_flight());
        // The learnt limit binds low-priority requests only: if it bound all of them, requests would be
        // rejected while servers can still queue.
        if route.is_low_priority && in_flight >= self.low_priority_limit(server, floor) {
            return ProbeResult::Stop;
        }
        if in_flight < self.servers.cap(server, floor) {
            ProbeResult::Take
        } else {
            ProbeResult::Next
        }
    }

    fn low_priority_limit(&self, server: &Server, floor: f64) -> f64 {
        let divisor =
            1.0 + LOW_PRIORITY_LATENCY_FACTOR * self.latency.answer_time() / self.tightest_objective;
        (server.limit() / divisor).floor().max(floor)
    }

    /// The origin, if it has capacity for one more fetch. Writes are always sent; they are few.
    pub(super) fn choose_origin(&self, request: &Request) -> Option<ServerId> {
        let has_capacity = |server: &Server| request.write || f64::from(server.in_flight()) < server.limit();
        let fits = |(id, server): &(&ServerId, &Server)| {
            is_origin(&self.settings, server) && has_capacity(server) && self.may_send(request, id, server)
        };
        self.servers.iter().find(fits).map(|(id, _)| id.clone())
    }

    /// Whether a client leaves before the usual answer time allows an answer.
    pub(super) fn is_short_deadline(&self, time_left: Seconds) -> bool {
        super::short_deadline_throttle::ShortDeadlineThrottle::is_short_deadline(
            time_left,
            self.latency.answer_time(),
        )
    }
}

//! How long a cached connection may stay idle: as long as cache servers keep it, and less if they lack capacity for
//! new connections. Servers do not announce their connection limit; it shows when they reject new connections. A
//! server whose idle timeout is shorter than the configured one shows it by closing the connections that were idle
//! longest.

use std::cell::Cell;
use std::time::Duration;

use hallpin_balancer::ServerId;
use tokio::time::Instant;

use super::connection::{IdleConnection, PeerState};
use super::endpoints::Endpoint;
use super::pool::Upstream;

/// Interval at which cached connections are checked.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Fraction of the server's idle timeout after which a connection is dropped, well before the server closes it: a
/// command written just as the server closes ends in a reset.
const IDLE_MARGIN_FACTOR: f64 = 0.9;
/// A server that rejects the first request on a new connection and closes it is at its connection limit, mostly
/// because of idle connections of all nodes. Each node that sees this halves its own idle limit.
const SHRINK_FACTOR: f64 = 0.5;
/// Part of the full idle limit regained with each new connection that was served. With `SHRINK_FACTOR`, one in 500
/// new connections may be rejected at the full limit, and one in 50 at a tenth of it.
const GROWTH_PER_CONNECTION: f64 = 0.001;

/// Growth of the idle timeout learnt from one server's closes with each new connection to it: those closes may have
/// had another reason, or the timeout may have changed.
const RELAX_FACTOR: f64 = 0.01;

/// Idle timeout of one server, as far as its closes have shown.
pub(super) struct ObservedIdleTimeout(Cell<Duration>);

impl Default for ObservedIdleTimeout {
    fn default() -> Self {
        ObservedIdleTimeout(Cell::new(Duration::MAX))
    }
}

impl ObservedIdleTimeout {
    /// Records a close of a connection that had been idle for `idle` and was still open `gap` earlier.
    fn observe_close(&self, idle: Duration, gap: Duration, max_idle: Duration) {
        let before = self.0.get().min(max_idle);
        self.0.set(
            before.min(
                (idle.saturating_sub(gap)).mul_f64(IDLE_MARGIN_FACTOR).max(before.mul_f64(SHRINK_FACTOR)),
            ),
        );
    }

    /// Lets the idle timeout grow after a new connection to the server.
    fn relax(&self) {
        self.0.set(self.0.get().saturating_add(self.0.get().mul_f64(RELAX_FACTOR)));
    }
}

/// Idle limit for cached connections to all servers.
pub(super) struct KeepAlive {
    max_idle: Duration,
    scale: Cell<f64>,
}

impl KeepAlive {
    /// Cache servers close a connection that has been idle for `idle_close`.
    pub(super) fn new(idle_close: Duration) -> Self {
        KeepAlive { max_idle: idle_close.mul_f64(IDLE_MARGIN_FACTOR), scale: Cell::new(1.0) }
    }

    /// How long a cached connection may stay idle now.
    pub(super) fn idle_limit(&self) -> Duration {
        self.max_idle.mul_f64(self.scale.get())
    }

    /// Records that a server had no capacity for a new connection.
    pub(super) fn shrink(&self) {
        self.scale.set(self.scale.get() * SHRINK_FACTOR);
    }

    /// Records that a server had capacity for a new connection.
    pub(super) fn grow(&self) {
        self.scale.set((self.scale.get() + GROWTH_PER_CONNECTION).min(1.0));
    }
}

impl Upstream {
    /// Whether a connection taken out of the cache may be used.
    pub(super) fn is_usable(&self, server: &ServerId, idle: &IdleConnection) -> bool {
        let endpoints = self.endpoints.borrow();
        let Some(Endpoint { idle: others, idle_timeout, .. }) = endpoints.get(server) else { return false };
        let oldest = others.iter().all(|other| other.connection.last_used >= idle.connection.last_used);
        self.may_stay_cached(idle, oldest, idle_timeout)
    }

    /// Whether a cached connection may stay; if the server has closed it, learns from that. `oldest` tells whether no
    /// other cached connection to the server has been unused for longer: a server's idle timeout closes that one first.
    fn may_stay_cached(
        &self,
        idle: &IdleConnection,
        oldest: bool,
        idle_timeout: &ObservedIdleTimeout,
    ) -> bool {
        let age = idle.connection.last_used.elapsed();
        if age >= self.keep_alive.idle_limit().min(idle_timeout.0.get()) {
            return false;
        }
        let peeked = idle.connection.peek();
        if peeked == PeerState::Closed {
            // Time since the previous check. A connection that was closed within this time of its answer was not closed
            // for being idle.
            let gap = self.sweep_after();
            if age > gap && oldest {
                idle_timeout.observe_close(age, gap, self.keep_alive.max_idle);
            } else if age <= gap && idle.connection.was_rejected_for_capacity() {
                self.keep_alive.shrink();
            }
        }
        peeked == PeerState::Quiet
    }

    /// Records that a server had capacity for a new connection.
    pub(super) fn record_accepted_connection(&self, server: &ServerId) {
        self.keep_alive.grow();
        if let Some(endpoint) = self.endpoints.borrow().get(server) {
            endpoint.idle_timeout.relax();
        }
    }

    /// Records that a server had no capacity for a new connection. Connections idle beyond the reduced limit are
    /// closed at once.
    pub(super) fn record_rejected_connection(&self) {
        self.keep_alive.shrink();
        let time = self.keep_alive.idle_limit();
        for endpoint in self.endpoints.borrow_mut().values_mut() {
            endpoint.idle.retain(|idle| idle.connection.last_used.elapsed() < time);
        }
    }

    /// Time until the next sweep, short enough to honour a short idle limit.
    pub fn sweep_after(&self) -> Duration {
        (self.keep_alive.idle_limit() / 2).clamp(SWEEP_INTERVAL / 20, SWEEP_INTERVAL)
    }

    /// Closes cached connections that are too old, dead, or lead to a server past its drain grace, as each holds a
    /// descriptor.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut endpoints = self.endpoints.borrow_mut();
        for endpoint in endpoints.values_mut() {
            let Endpoint { idle, idle_timeout, .. } = endpoint;
            let oldest = idle.iter().map(|idle| idle.connection.last_used).min();
            idle.retain(|idle| {
                self.may_stay_cached(idle, Some(idle.connection.last_used) == oldest, idle_timeout)
            });
        }
        endpoints.retain(|_, endpoint| endpoint.closes_at.is_none_or(|at| at > now));
        drop(endpoints);
        // Another process may have come to share the limits.
        while self.open_connections.get() > self.budget.max_server_connections() && self.close_oldest() {}
    }

    /// Closes the connection that has been cached for longest; returns whether there was one.
    pub fn close_oldest(&self) -> bool {
        let mut endpoints = self.endpoints.borrow_mut();
        let with_idle = endpoints.values_mut().filter(|e| !e.idle.is_empty());
        let oldest = with_idle.min_by_key(|e| e.idle[0].since);
        oldest.map(|e| e.idle.remove(0)).is_some()
    }
}

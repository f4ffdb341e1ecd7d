//! For how long a kept connection may stand idle: as long as cache servers keep it, and less where they are short of
//! places for new ones. Nobody tells a node how many a server holds; it shows in new ones that are turned away.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

use super::connection::Idle;
use super::pool::Upstream;

/// How often kept connections are looked at.
const SWEEP: Duration = Duration::from_secs(1);
/// Well before the server closes: what is written to a connection just then ends as a reset.
const AHEAD: f64 = 0.9;
/// A server that closes a new connection as it turns the first request away has its places taken, mostly by idle
/// connections of all nodes: each node that meets this halves the time for which it keeps its own.
const CUT: f64 = 0.5;
/// Part of the whole time that comes back with each new connection that was served. With `CUT` one in 500 new
/// connections may be turned away where the whole time is kept, and one in 50 where a tenth is.
const GROWTH: f64 = 0.001;

pub(super) struct KeepAlive {
    longest: Duration,
    share: Cell<f64>,
}

impl KeepAlive {
    /// Cache servers close a connection that has stood idle for `idle_close`.
    pub(super) fn new(idle_close: Duration) -> Self {
        KeepAlive { longest: idle_close.mul_f64(AHEAD), share: Cell::new(1.0) }
    }

    pub(super) fn time(&self) -> Duration {
        self.longest.mul_f64(self.share.get())
    }

    /// A server had no place for a new connection.
    pub(super) fn no_place(&self) {
        self.share.set(self.share.get() * CUT);
    }

    /// A server had one.
    pub(super) fn place(&self) {
        self.share.set((self.share.get() + GROWTH).min(1.0));
    }
}

impl Upstream {
    pub(super) fn fresh(&self, idle: &Idle) -> bool {
        idle.since.elapsed() < self.keep_alive.time() && idle.connection.quiet()
    }

    /// Where a server had no place for a new connection, idle ones are given back at once.
    pub(super) fn no_place(&self) {
        self.keep_alive.no_place();
        let time = self.keep_alive.time();
        for endpoint in self.endpoints.borrow_mut().values_mut() {
            endpoint.idle.retain(|idle| idle.since.elapsed() < time);
        }
    }

    /// When kept connections are to be looked at again: a time to keep them that is short is kept to.
    pub fn sweep_after(&self) -> Duration {
        (self.keep_alive.time() / 2).clamp(SWEEP / 20, SWEEP)
    }

    /// Closes kept connections that are old, dead or lead to a server that leaves: they hold descriptors.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut endpoints = self.endpoints.borrow_mut();
        for endpoint in endpoints.values_mut() {
            endpoint.idle.retain(|idle| self.fresh(idle));
        }
        endpoints.retain(|_, endpoint| endpoint.closes.is_none_or(|at| at > now));
        drop(endpoints);
        // Another process may have come to share the limits.
        while self.open.get() > self.budget.servers() && self.close_oldest() {}
    }

    /// Closes the kept connection that was not used for the longest time.
    pub fn close_oldest(&self) -> bool {
        let mut endpoints = self.endpoints.borrow_mut();
        let with = endpoints.values_mut().filter(|e| !e.idle.is_empty());
        let oldest = with.min_by_key(|e| e.idle[0].since);
        oldest.map(|e| e.idle.remove(0)).is_some()
    }
}

//! The address of each cache server, whether it may be written to, and the cached connections to it.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hallpin_balancer::{ServerId, Status};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

use super::connection::{revoked, Connection, ConnectionSlot, IdleConnection};
use super::dial::dial;
use super::endpoints::Endpoint;
use super::keep_alive::KeepAlive;
use crate::budget::Budget;
use crate::metrics::Metrics;
use crate::plane::PlaneRuntime;

/// A connection is reused no sooner than this after it was cached: surplus bytes of its last answer may still arrive
/// and would be read as the next one.
pub(super) const SETTLE_TIME: Duration = Duration::from_millis(5);

/// Limits on connections, from the settings.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Dial timeout: a connection that is not up by then is given up.
    pub dial_timeout: Duration,
    /// Cache servers close a connection that has been idle for this long.
    pub idle_timeout: Duration,
    /// Time after the notification of a drain during which a server may still be written to.
    pub grace: Duration,
}

/// Connections to all cache servers.
pub struct Upstream {
    pub(super) bounds: Bounds,
    pub(super) open_connections: Rc<Cell<usize>>,
    /// Attempts that wait for memory for their answer.
    pub(super) waiting_for_memory: Rc<Cell<usize>>,
    pub(super) endpoints: RefCell<BTreeMap<ServerId, Endpoint>>,
    pub(super) budget: Rc<Budget>,
    pub(super) metrics: Rc<Metrics>,
    pub(super) keep_alive: KeepAlive,
    pub(super) quantum: Cell<Duration>,
    /// Delay that a test injects between reading the clock and each write.
    #[cfg(test)]
    pub(super) injected_write_delay: Cell<Duration>,
    /// Counts the connections to each cache server, if quotas are configured.
    plane_runtime: OnceCell<Rc<PlaneRuntime>>,
}

impl Upstream {
    pub fn new(bounds: Bounds, budget: Rc<Budget>, metrics: Rc<Metrics>) -> Self {
        Upstream {
            bounds,
            open_connections: Rc::default(),
            waiting_for_memory: Rc::default(),
            endpoints: RefCell::default(),
            budget,
            metrics,
            keep_alive: KeepAlive::new(bounds.idle_timeout),
            quantum: Cell::default(),
            #[cfg(test)]
            injected_write_delay: Cell::default(),
            plane_runtime: OnceCell::new(),
        }
    }

    /// Sets the processing quantum. Writes stop at least this long before the end of a drain grace, as of a repeat
    /// window, because a write takes time to arrive.
    pub fn set_quantum(&self, quantum: Duration) {
        self.quantum.set(quantum);
    }

    /// From now on connections stay within this node's quotas.
    pub fn apply_quotas(self: &Rc<Self>, plane_runtime: Rc<PlaneRuntime>) {
        if plane_runtime.has_budgets() {
            let weak_upstream = Rc::downgrade(self);
            plane_runtime.set_idle_closer(move || {
                if let Some(upstream) = weak_upstream.upgrade() {
                    upstream.close_revoked();
                }
            });
            let first = self.plane_runtime.set(plane_runtime).is_ok();
            debug_assert!(first, "the control plane is attached once");
        }
    }

    /// Closes cached connections whose quota was revoked.
    fn close_revoked(&self) {
        for endpoint in self.endpoints.borrow_mut().values_mut() {
            endpoint.idle.retain(|idle| !idle.connection.is_revoked());
        }
    }

    /// Whether the connection leads to the server's listed address, and the server's drain grace, if any, is not
    /// over.
    pub(super) fn may_write_to(&self, server: &ServerId, connection: &Connection) -> bool {
        let endpoints = self.endpoints.borrow();
        let open = |e: &Endpoint| e.closes_at.is_none_or(|at| Instant::now() < at);
        let address = connection.stream.peer_addr().ok();
        endpoints.get(server).is_some_and(|e| open(e) && Some(e.address) == address)
    }

    /// Takes a cached connection: the most recently used one that has been quiet for long enough, so that the others
    /// age and get closed, or otherwise the one that will be quiet soonest. `unambiguous` asks for one on which a
    /// `busy` certainly answers its own command, for commands where it matters whether they ran.
    pub(super) fn take_cached(&self, server: &ServerId, unambiguous: bool) -> Option<IdleConnection> {
        let mut endpoints = self.endpoints.borrow_mut();
        let idle = &mut endpoints.get_mut(server)?.idle;
        let is_suitable = |idle: &IdleConnection| !unambiguous || idle.connection.is_unambiguous();
        let settled = idle.iter().rposition(|idle| is_suitable(idle) && idle.since.elapsed() >= SETTLE_TIME);
        let taken = idle.remove(settled.or_else(|| idle.iter().position(is_suitable))?);
        taken.connection.set_busy(true);
        Some(taken)
    }

    /// A cached connection that has been quiet for the settle time and may still be used.
    pub(super) async fn cached_connection(&self, server: &ServerId, unambiguous: bool) -> Option<Connection> {
        loop {
            let idle = self.take_cached(server, unambiguous)?;
            sleep_until(idle.since + SETTLE_TIME).await;
            if self.is_usable(server, &idle) && !idle.connection.is_revoked() {
                return Some(idle.connection);
            }
        }
    }

    /// Returns a connection to the cache, or closes it if the server has moved or is no longer listed.
    pub(super) fn cache_connection(&self, server: &ServerId, connection: Connection) {
        let address = connection.stream.peer_addr().ok();
        let mut endpoints = self.endpoints.borrow_mut();
        if let Some(endpoint) = endpoints.get_mut(server).filter(|e| Some(e.address) == address) {
            connection.set_busy(false);
            endpoint.idle.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Opens a connection within this node's connection limit and its quota of the server's connections.
    ///
    /// # Errors
    /// `Void` if a limit or a shortage of this node prevents it, `Unreachable` if the server is not listed or does not
    /// accept in time.
    pub(super) async fn connect(&self, server: &ServerId, until: Instant) -> Result<Connection, Status> {
        let address = self.endpoints.borrow().get(server).map(|e| e.address).ok_or(Status::Unreachable)?;
        if self.open_connections.get() >= self.budget.max_server_connections() && !self.close_oldest() {
            // This node's own limit says nothing about the server.
            return Err(Status::Void);
        }
        let opened = match self.plane_runtime.get() {
            // The node's own quota of the server's connections says nothing about the server.
            Some(plane_runtime) => Some(plane_runtime.open_connection(server).ok_or(Status::Void)?),
            None => None,
        };
        let slot = ConnectionSlot::take(&self.open_connections);
        let stream = tokio::select! {
            biased;
            () = revoked(opened.as_ref()) => return Err(Status::Void),
            stream = self.dial(address, until.min(Instant::now() + self.bounds.dial_timeout)) => stream?,
        };
        stream.set_nodelay(true).map_err(|_| Status::Unreachable)?;
        Ok(Connection::new(stream, opened, slot))
    }

    async fn dial(&self, address: SocketAddr, until: Instant) -> Result<TcpStream, Status> {
        dial(until, async || TcpStream::connect(address).await, || self.close_oldest()).await
    }

    /// A connection on which this server may be written to now. If `unambiguous` is set, an ambiguous one is used
    /// only if the node can open no other.
    ///
    /// # Errors
    /// As [`Upstream::connect`]; also `Unreachable` if the server may no longer be written to, and `Void` if the
    /// connection is no longer within the node's quota.
    pub(super) async fn acquire(
        &self,
        server: &ServerId,
        until: Instant,
        unambiguous: bool,
    ) -> Result<Connection, Status> {
        let connection = match self.cached_connection(server, unambiguous).await {
            Some(connection) => connection,
            None => match self.connect(server, until).await {
                Err(Status::Void) if unambiguous => {
                    self.cached_connection(server, false).await.ok_or(Status::Void)?
                }
                connected => connected?,
            },
        };
        // The endpoint list may have changed while waiting for the connection.
        if !self.may_write_to(server, &connection) {
            self.cache_connection(server, connection);
            return Err(Status::Unreachable);
        }
        // A node that was paused may have resumed after its lease expired.
        if !connection.is_within_quota() {
            return Err(Status::Void);
        }
        Ok(connection)
    }
}

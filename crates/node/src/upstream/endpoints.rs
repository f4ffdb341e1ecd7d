//! The cache servers of the endpoint list: where each is, until when it may be written to, and which process it is.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use hallpin_balancer::{ServerId, ServerState};
use tokio::time::Instant;

use super::connection::IdleConnection;
use super::keep_alive::ObservedIdleTimeout;
use super::pool::Upstream;
use crate::roster::{Member, Roster};

/// Longest expected delay of the process between reading the clock and the write that follows.
pub(super) const MAX_SCHEDULING_DELAY: Duration = Duration::from_millis(150);

/// Fraction of the drain grace left when the watch event of a drain arrives: a pushed endpoint list counts as
/// notified earlier, and `discovery/timeouts.rs` may take the other seven tenths to detect a silent watch.
const GRACE_FRACTION_AFTER_NOTICE: f64 = 0.3;

/// The address of a cache server, until when it may be written to, and the cached connections to it.
pub(super) struct Endpoint {
    pub(super) address: SocketAddr,
    /// Last start of the process, in milliseconds of Unix time; 0 if that is long ago or not known.
    started_unix_ms: u64,
    /// From when on the server may not be written to; `None` unless it drains or has left the list.
    pub(super) closes_at: Option<Instant>,
    /// Cached connections, the most recently used last.
    pub(super) idle: Vec<IdleConnection>,
    pub(super) idle_timeout: ObservedIdleTimeout,
}

impl Endpoint {
    fn new(member: &Member) -> Self {
        Endpoint {
            address: member.address,
            started_unix_ms: member.started_unix_ms,
            closes_at: None,
            idle: Vec::new(),
            idle_timeout: ObservedIdleTimeout::default(),
        }
    }

    /// Records a later start of the process: connections to the one before are of no use, even if they are still open.
    fn record_start(&mut self, started_unix_ms: u64) {
        if started_unix_ms > self.started_unix_ms {
            self.started_unix_ms = started_unix_ms;
            self.idle.clear();
        }
    }
}

impl Upstream {
    /// How long after the notification of a drain its server is written to: what the notification or one quantum leaves
    /// of the grace, whichever is less, minus the possible scheduling delay of the write, but at least half of it.
    pub(super) fn drain_write_window(&self) -> Duration {
        let grace = self.bounds.grace;
        let remaining =
            grace.mul_f64(GRACE_FRACTION_AFTER_NOTICE).min(grace.saturating_sub(self.quantum.get()));
        remaining - MAX_SCHEDULING_DELAY.min(remaining / 2)
    }

    /// Updates the endpoints from the endpoint list. A server is identified by its id, but at a new address it is
    /// another process; returns the ids of the servers whose address has changed.
    pub fn update_endpoints(&self, roster: &Roster) -> Vec<ServerId> {
        let mut moved = Vec::new();
        let mut endpoints = self.endpoints.borrow_mut();
        let now = Instant::now();
        let grace_ends = now + self.drain_write_window();
        if roster.complete {
            // A set: searching the list for each server blocked the node's only thread for seconds at ten thousand
            // servers.
            let listed: HashSet<&ServerId> = roster.members.iter().map(|m| &m.entry.server).collect();
            for (_, endpoint) in endpoints.iter_mut().filter(|(id, _)| !listed.contains(id)) {
                endpoint.closes_at.get_or_insert(grace_ends);
            }
        }
        for member in &roster.members {
            // A server that was never ready, or whose grace is over, gets no new grace from a repeated entry.
            if member.entry.state != ServerState::Ready && !endpoints.contains_key(&member.entry.server) {
                continue;
            }
            let new_endpoint = || Endpoint::new(member);
            let endpoint = endpoints.entry(member.entry.server.clone()).or_insert_with(new_endpoint);
            if endpoint.address != member.address {
                let closes_at = endpoint.closes_at;
                *endpoint = Endpoint { closes_at, ..Endpoint::new(member) };
                moved.push(member.entry.server.clone());
            }
            endpoint.record_start(member.started_unix_ms);
            if member.entry.state == ServerState::Ready {
                endpoint.closes_at = None;
            } else {
                // The grace starts with the first notification of a drain, not with each repetition.
                endpoint.closes_at.get_or_insert(grace_ends);
            }
        }
        endpoints.retain(|_, endpoint| endpoint.closes_at.is_none_or(|at| at > now));
        moved
    }

    /// Removes the servers whose address the list gives to another server that started later, or that it names later, and
    /// returns their ids: one address has one process, so theirs has gone though the list still names them.
    pub fn remove_replaced(&self, roster: &Roster) -> Vec<ServerId> {
        let mut endpoints = self.endpoints.borrow_mut();
        let ready = roster.members.iter().filter(|member| member.entry.state == ServerState::Ready);
        let mut holders: HashMap<SocketAddr, &Member> = HashMap::new();
        for member in ready {
            let holder = holders.entry(member.address).or_insert(member);
            if member.started_unix_ms >= holder.started_unix_ms {
                *holder = member;
            }
        }
        let is_replaced = |id: &ServerId, endpoint: &Endpoint| {
            holders.get(&endpoint.address).is_some_and(|holder| {
                holder.entry.server != *id && holder.started_unix_ms >= endpoint.started_unix_ms
            })
        };
        let replaced: Vec<ServerId> = endpoints
            .iter()
            .filter(|(id, endpoint)| is_replaced(id, endpoint))
            .map(|(id, _)| id.clone())
            .collect();
        endpoints.retain(|id, _| !replaced.contains(id));
        replaced
    }
}

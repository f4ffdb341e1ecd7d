//! State shared by all client connections, and the choice of those that make room for others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

use super::serve::COMMAND_TIMEOUT;
use crate::budget::Budget;
use crate::lifecycle::Lifecycle;
use crate::log::LogThrottle;
use crate::message::Message;
use crate::metrics::append_line;
use crate::upstream::Upstream;

/// Closing a connection that has been between requests for this long costs its client little.
pub(super) const LONG_IDLE: Duration = Duration::from_secs(2);
/// The connection of a client that reads nothing of its answers for this long, as long as it may take for a command,
/// may be closed to make room for others if no other connection may be.
pub(super) const STALL_EVICTION_DELAY: Duration = COMMAND_TIMEOUT;
/// A connection without a valid request that is younger than this is spared while such connections are few, as the
/// first command of a usual client may be on its way.
const FIRST_COMMAND_GRACE: Duration = Duration::from_millis(100);

/// State shared by all client connections.
pub struct Frontend {
    pub(super) driver: UnboundedSender<Message>,
    pub(super) upstream: Rc<Upstream>,
    pub(super) lifecycle: Rc<Lifecycle>,
    /// The next number for requests, and for the order of idle connections by age. No number is used twice.
    pub(super) next_number: Cell<u64>,
    pub(super) budget: Rc<Budget>,
    pub(super) error_delay: Duration,
    /// Number of open connections.
    pub(super) open: Cell<usize>,
    pub(super) closed: Notify,
    /// Connections that may be closed to make room, by rank and the oldest of a rank first.
    pub(super) candidates: RefCell<BTreeMap<(Rank, u64), EvictionCandidate>>,
    /// Connections that were closed unread, as the node was full, and those that were asked to close for others.
    pub(super) refused: Cell<u64>,
    pub(super) evicted: Cell<u64>,
    /// Limits log lines about connections that were refused.
    pub(super) refused_log: LogThrottle,
    /// Limits log lines about values that broke off.
    pub(super) broken_value_log: LogThrottle,
    /// Limits log lines about clients that read their answers too slowly.
    pub(super) stalled_client_log: LogThrottle,
}

/// Order in which connections are closed to make room.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// About to end anyway: only remaining input is discarded.
    Closing,
    /// No request, or only requests answered with an error of the client's own.
    Untrusted,
    /// The connection is between requests, or its commands wait to be started.
    Idle,
    /// The client has read nothing of its pending answers for the stall eviction delay. Closed only if no new client
    /// could be served otherwise.
    Stalled,
}

/// Lowest keys of the ranks `Idle` and `Stalled`.
const FIRST_IDLE: (Rank, u64) = (Rank::Idle, 0);
const FIRST_STALLED: (Rank, u64) = (Rank::Stalled, 0);

/// A connection that may be closed to make room.
pub(super) struct EvictionCandidate {
    pub(super) since: Instant,
    pub(super) close: Rc<Notify>,
}

impl Frontend {
    pub fn new(
        driver: UnboundedSender<Message>,
        upstream: Rc<Upstream>,
        lifecycle: Rc<Lifecycle>,
        budget: Rc<Budget>,
        error_delay: Duration,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            driver,
            upstream,
            lifecycle,
            next_number: Cell::new(1),
            budget,
            error_delay,
            open: Cell::new(0),
            closed: Notify::new(),
            candidates: RefCell::default(),
            refused: Cell::default(),
            evicted: Cell::default(),
            refused_log: LogThrottle::default(),
            broken_value_log: LogThrottle::default(),
            stalled_client_log: LogThrottle::default(),
        })
    }

    /// Appends the metrics of client connections.
    pub fn render(&self, output: &mut String) {
        let limit = self.budget.max_client_connections();
        append_line(output, format_args!("app_client_connections {}", self.open.get()));
        append_line(output, format_args!("app_client_connections_limit {limit}"));
        append_line(output, format_args!("app_client_connections_refused_total {}", self.refused.get()));
        append_line(output, format_args!("app_client_connections_evicted_total {}", self.evicted.get()));
    }

    /// Records that a new connection is closed unread.
    pub(super) fn record_refused(&self) {
        self.refused.set(self.refused.get() + 1);
        if let Some(suppressed) = self.refused_log.pass(Instant::now()) {
            let (open, limit) = (self.open.get(), self.budget.max_client_connections());
            warn!(suppressed, open, limit, "no client connection may be closed for a new one; refused");
        }
    }

    /// Asks a connection to close.
    fn evict(&self, candidate: &EvictionCandidate) {
        self.evicted.set(self.evicted.get() + 1);
        candidate.close.notify_one();
    }

    /// The next unused number.
    pub(super) fn take_number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Asks one connection to close and returns whether any may be closed: first one that is already closing, then one
    /// that has been between requests for long, as one without a valid request may belong to a usual client that is
    /// slow, and then the oldest without a valid request, or else between requests.
    pub(super) fn make_room(&self) -> bool {
        let mut candidates = self.candidates.borrow_mut();
        if let Some(closing) = candidates.first_entry().filter(|entry| entry.key().0 == Rank::Closing) {
            self.evict(&closing.remove());
            return true;
        }
        let longest_idle = candidates
            .range(FIRST_IDLE..FIRST_STALLED)
            .next()
            .filter(|(_, c)| c.since.elapsed() >= LONG_IDLE);
        if let Some(key) = longest_idle.map(|(key, _)| *key) {
            return candidates.remove(&key).inspect(|candidate| self.evict(candidate)).is_some();
        }
        let Some((&first, entry)) = candidates.range(..FIRST_STALLED).next() else { return false };
        let are_few = candidates
            .keys()
            .nth(self.budget.max_client_connections() / 8)
            .is_none_or(|key| *key >= FIRST_IDLE);
        let is_spared = are_few && entry.since.elapsed() < FIRST_COMMAND_GRACE;
        let longest_idle = candidates.range(FIRST_IDLE..FIRST_STALLED).next().map(|(key, _)| *key);
        let key = longest_idle.filter(|_| is_spared).unwrap_or(first);
        candidates.remove(&key).inspect(|candidate| self.evict(candidate)).is_some()
    }

    /// Asks the connection to close whose client has read nothing for longest, and returns whether any client has read
    /// nothing for [`STALL_EVICTION_DELAY`].
    pub(super) fn evict_stalled(&self) -> bool {
        let mut candidates = self.candidates.borrow_mut();
        let longest_stalled = candidates.range(FIRST_STALLED..).next().map(|(key, _)| *key);
        let evicted = longest_stalled.and_then(|key| candidates.remove(&key));
        evicted.inspect(|candidate| self.evict(candidate)).is_some()
    }

    /// Closes connections in excess of the budget, which shrinks when another process comes to share it.
    pub fn close_excess(&self) {
        for _ in self.budget.max_client_connections()..self.open.get() {
            if !self.make_room() {
                return;
            }
        }
    }

    /// Waits until all connections are closed, once no new ones arrive.
    pub async fn wait_until_closed(&self) {
        while self.open.get() > 0 {
            self.closed.notified().await;
        }
    }
}

/// Entry among the connections that may be closed to make room, removed on drop.
pub(super) struct EvictionEntry<'a> {
    frontend: &'a Frontend,
    key: (Rank, u64),
}

impl<'a> EvictionEntry<'a> {
    /// Registers a connection under `key`.
    pub(super) fn take(frontend: &'a Frontend, key: (Rank, u64), since: Instant, close: &Rc<Notify>) -> Self {
        frontend.candidates.borrow_mut().insert(key, EvictionCandidate { since, close: close.clone() });
        EvictionEntry { frontend, key }
    }

    /// Whether the connection has not been asked to close.
    pub(super) fn is_registered(&self) -> bool {
        self.frontend.candidates.borrow().contains_key(&self.key)
    }
}

impl Drop for EvictionEntry<'_> {
    fn drop(&mut self) {
        self.frontend.candidates.borrow_mut().remove(&self.key);
    }
}

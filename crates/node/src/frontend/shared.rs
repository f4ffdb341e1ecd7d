//! What all client connections share, and which of them make room for others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::budget::Budget;
use crate::lifecycle::Lifecycle;
use crate::log::Throttle;
use crate::message::Message;
use crate::upstream::Upstream;

/// Connections between requests for so long cost their clients little when they are closed.
pub(super) const LONG_IDLE: Duration = Duration::from_secs(2);
/// Younger connections may belong to usual clients whose first command is on its way, if they are few.
const YOUNG: Duration = Duration::from_millis(100);

/// What all client connections share.
pub struct Frontend {
    pub(super) driver: UnboundedSender<Message>,
    pub(super) upstream: Rc<Upstream>,
    pub(super) lifecycle: Rc<Lifecycle>,
    /// Numbers requests, and idle connections by age; none comes twice.
    pub(super) next_number: Cell<u64>,
    pub(super) budget: Rc<Budget>,
    /// Connections that are open.
    pub(super) open: Cell<usize>,
    pub(super) closed: Notify,
    /// Connections that may be closed to make room, those first that have asked for nothing yet or were only
    /// turned away, the longest so first.
    pub(super) closable: RefCell<BTreeMap<(Rank, u64), Closable>>,
    /// Said seldom: values that broke off, and clients that take nothing.
    pub(super) broken: Throttle,
    pub(super) stuck: Throttle,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rank {
    /// About to end anyway: only what its client still sends is taken off.
    Closing,
    /// No request of it was ever answered but with an error of the client's own.
    Doubtful,
    /// Between requests.
    Idle,
}

/// Where those between requests begin.
const IDLEST: (Rank, u64) = (Rank::Idle, 0);

pub(super) struct Closable {
    pub(super) since: Instant,
    pub(super) close: Rc<Notify>,
}

impl Frontend {
    pub fn new(
        driver: UnboundedSender<Message>,
        upstream: Rc<Upstream>,
        lifecycle: Rc<Lifecycle>,
        budget: Rc<Budget>,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            driver,
            upstream,
            lifecycle,
            next_number: Cell::new(1),
            budget,
            open: Cell::new(0),
            closed: Notify::new(),
            closable: RefCell::default(),
            broken: Throttle::default(),
            stuck: Throttle::default(),
        })
    }

    pub(super) fn number(&self) -> u64 {
        self.next_number.replace(self.next_number.get() + 1)
    }

    /// Asks one connection to close, if any may be. One that is closing goes first, then one long between requests: a
    /// half-open one may be a usual client that takes its time.
    pub(super) fn make_room(&self) -> bool {
        let mut closable = self.closable.borrow_mut();
        if let Some(closing) = closable.first_entry().filter(|entry| entry.key().0 == Rank::Closing) {
            closing.remove().close.notify_one();
            return true;
        }
        let idlest = closable.range(IDLEST..).next().filter(|(_, c)| c.since.elapsed() >= LONG_IDLE);
        if let Some(key) = idlest.map(|(key, _)| *key) {
            return closable.remove(&key).inspect(|c| c.close.notify_one()).is_some();
        }
        let Some((&first, entry)) = closable.first_key_value() else { return false };
        let few = closable.keys().nth(self.budget.clients() / 8).is_none_or(|key| *key >= IDLEST);
        let spare = few && entry.since.elapsed() < YOUNG;
        let key = if spare { closable.range(IDLEST..).next().map_or(first, |(key, _)| *key) } else { first };
        closable.remove(&key).inspect(|c| c.close.notify_one()).is_some()
    }

    /// Closes what may be closed above the budget, which shrinks when another process comes to share it.
    pub fn shed(&self) {
        for _ in self.budget.clients()..self.open.get() {
            if !self.make_room() {
                return;
            }
        }
    }

    /// No connection comes any more: waits until all are closed.
    pub async fn finish(&self) {
        while self.open.get() > 0 {
            self.closed.notified().await;
        }
    }
}

/// A place among the connections that may be closed to make room.
pub(super) struct Place<'a> {
    frontend: &'a Frontend,
    key: (Rank, u64),
}

impl<'a> Place<'a> {
    pub(super) fn take(frontend: &'a Frontend, key: (Rank, u64), since: Instant, close: &Rc<Notify>) -> Self {
        frontend.closable.borrow_mut().insert(key, Closable { since, close: close.clone() });
        Place { frontend, key }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.frontend.closable.borrow_mut().remove(&self.key);
    }
}

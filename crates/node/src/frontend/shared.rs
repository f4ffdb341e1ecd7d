//! What all client connections share, and which of them make room for others.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::serve::PATIENCE;
use crate::budget::Budget;
use crate::lifecycle::Lifecycle;
use crate::log::Throttle;
use crate::message::Message;
use crate::upstream::Upstream;

/// Connections between requests for so long cost their clients little when they are closed.
pub(super) const LONG_IDLE: Duration = Duration::from_secs(2);
/// A client that takes nothing of its answers for so long, as long as it may take over a command, gives its place to
/// others where all places are taken so.
pub(super) const UNTAKEN: Duration = PATIENCE;
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
    pub(super) penance: Duration,
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
    /// Owed answers of which its client has taken nothing for `UNTAKEN`. It goes only where nobody else can come.
    Untaken,
}

/// Where those between requests begin, and where they end.
const IDLEST: (Rank, u64) = (Rank::Idle, 0);
const UNTAKEN_LONGEST: (Rank, u64) = (Rank::Untaken, 0);

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
        penance: Duration,
    ) -> Rc<Self> {
        Rc::new(Frontend {
            driver,
            upstream,
            lifecycle,
            next_number: Cell::new(1),
            budget,
            penance,
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
        let idlest =
            closable.range(IDLEST..UNTAKEN_LONGEST).next().filter(|(_, c)| c.since.elapsed() >= LONG_IDLE);
        if let Some(key) = idlest.map(|(key, _)| *key) {
            return closable.remove(&key).inspect(|c| c.close.notify_one()).is_some();
        }
        let Some((&first, entry)) = closable.range(..UNTAKEN_LONGEST).next() else { return false };
        let few = closable.keys().nth(self.budget.clients() / 8).is_none_or(|key| *key >= IDLEST);
        let spare = few && entry.since.elapsed() < YOUNG;
        let idlest = closable.range(IDLEST..UNTAKEN_LONGEST).next().map(|(key, _)| *key);
        let key = idlest.filter(|_| spare).unwrap_or(first);
        closable.remove(&key).inspect(|c| c.close.notify_one()).is_some()
    }

    /// Asks the connection to close whose client has taken nothing of its answers for longest, if any has for too long.
    pub(super) fn cut_untaken(&self) -> bool {
        let mut closable = self.closable.borrow_mut();
        let longest = closable.range(UNTAKEN_LONGEST..).next().map(|(key, _)| *key);
        let cut = longest.and_then(|key| closable.remove(&key));
        cut.inspect(|c| c.close.notify_one()).is_some()
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

    /// Nobody has asked for it.
    pub(super) fn stands(&self) -> bool {
        self.frontend.closable.borrow().contains_key(&self.key)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.frontend.closable.borrow_mut().remove(&self.key);
    }
}

//! Opaque ids that may not be used by another request now: those of open requests, of requests that may still run though
//! their client has left, and of requests at the other process of an upgrade.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use tokio::time::Instant;
use twox_hash::XxHash3_64;

/// Most ids that are remembered beyond the open requests of this process; the one that ends first is forgotten.
const MAX_REMEMBERED: usize = 16 * 1024;

/// Hash of an opaque id, the same in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OpaqueHash(pub u64);

impl OpaqueHash {
    /// Hash of this id.
    pub fn of(opaque: &[u8]) -> Self {
        OpaqueHash(XxHash3_64::oneshot(opaque))
    }
}

/// Ids in use. Ids are kept by their hash, so their size does not matter.
#[derive(Debug, Default)]
pub struct OpaqueIds {
    /// Ids of requests of this process that have no answer yet, and until when they may run.
    open: HashMap<OpaqueHash, Instant>,
    /// Ids of other requests that may run, and until when, in both orders.
    remembered: HashMap<OpaqueHash, Instant>,
    by_end: BTreeSet<(Instant, OpaqueHash)>,
}

impl OpaqueIds {
    /// Whether a request with this id may run now.
    pub fn is_in_use(&mut self, id: OpaqueHash, now: Instant) -> bool {
        self.forget_ended(now);
        self.open.contains_key(&id) || self.remembered.contains_key(&id)
    }

    /// Records a request that is started.
    pub fn open(&mut self, id: OpaqueHash, until: Instant) {
        self.open.insert(id, until);
    }

    /// Records that a request has its answer.
    pub fn close(&mut self, id: OpaqueHash) {
        self.open.remove(&id);
    }

    /// Remembers an id as in use until `until`.
    pub fn remember(&mut self, id: OpaqueHash, until: Instant) {
        if let Some(before) = self.remembered.insert(id, until) {
            self.by_end.remove(&(before, id));
        }
        self.by_end.insert((until, id));
        if self.by_end.len() > MAX_REMEMBERED {
            self.forget_first();
        }
    }

    /// Forgets an id that was remembered.
    pub fn forget(&mut self, id: OpaqueHash) {
        if let Some(until) = self.remembered.remove(&id) {
            self.by_end.remove(&(until, id));
        }
    }

    fn forget_ended(&mut self, now: Instant) {
        while self.by_end.first().is_some_and(|(until, _)| *until <= now) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((_, id)) = self.by_end.pop_first() {
            self.remembered.remove(&id);
        }
    }

    /// Whether no id is in use.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty() && self.remembered.is_empty()
    }
}

/// A change that the other process of an upgrade has to know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdChange {
    /// A request with this id may run for so many milliseconds.
    InUse(OpaqueHash, u32),
    /// It has its answer.
    Free(OpaqueHash),
}

/// Passes a change on to the other process; returns whether that still exists.
type Report = Box<dyn Fn(IdChange) -> bool>;

/// Ids in use, shared by the driver and the connection to the other process of an upgrade.
#[derive(Default)]
pub struct SharedOpaqueIds {
    ids: RefCell<OpaqueIds>,
    report: RefCell<Option<Report>>,
}

impl SharedOpaqueIds {
    /// Whether a request with this id may run now, here or at the other process.
    pub fn is_in_use(&self, id: OpaqueHash) -> bool {
        self.ids.borrow_mut().is_in_use(id, Instant::now())
    }

    /// Records a request that is started and may run until `until`.
    pub fn open(&self, id: OpaqueHash, until: Instant) {
        self.ids.borrow_mut().open(id, until);
        self.report(in_use(id, until));
    }

    /// Records that a request has its answer, or that its client has left.
    pub fn close(&self, id: OpaqueHash) {
        self.ids.borrow_mut().close(id);
        self.report(IdChange::Free(id));
    }

    /// Remembers an id as in use until `until`.
    pub fn remember(&self, id: OpaqueHash, until: Instant) {
        self.ids.borrow_mut().remember(id, until);
        self.report(in_use(id, until));
    }

    /// Applies a change at the other process.
    pub fn apply(&self, change: IdChange) {
        let mut ids = self.ids.borrow_mut();
        match change {
            IdChange::InUse(id, milliseconds) => {
                ids.remember(id, Instant::now() + Duration::from_millis(milliseconds.into()));
            }
            IdChange::Free(id) => ids.forget(id),
        }
    }

    /// Reports changes to another process from now on, first the ids of the open requests.
    pub fn report_to(&self, report: impl Fn(IdChange) -> bool + 'static) {
        for (id, until) in &self.ids.borrow().open {
            report(in_use(*id, *until));
        }
        *self.report.borrow_mut() = Some(Box::new(report));
    }

    /// Whether no id is in use.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.ids.borrow().is_empty()
    }

    fn report(&self, change: IdChange) {
        self.report.borrow_mut().take_if(|report| !report(change));
    }
}

fn in_use(id: OpaqueHash, until: Instant) -> IdChange {
    let left = until.saturating_duration_since(Instant::now()).as_millis();
    IdChange::InUse(id, u32::try_from(left).unwrap_or(u32::MAX))
}

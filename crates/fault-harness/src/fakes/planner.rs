//! The fake planner: limits concurrent fetches, and tracks which box has a copy of which key.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::spec;
use crate::trace::{Event, Recorder};

/// The planner behind all boxes.
pub struct Planner {
    recorder: Rc<Recorder>,
    slots: Semaphore,
    fetch_duration: Duration,
    /// Version of each key that was written; others have version 0.
    versions: RefCell<BTreeMap<u64, u64>>,
    /// For each box the keys of which it has a copy.
    cached_keys: RefCell<Vec<BTreeSet<u64>>>,
}

/// A fetch in flight; its end is recorded when it is dropped.
struct InFlightFetch<'a> {
    recorder: &'a Recorder,
    of: usize,
    key: u64,
    cold: bool,
    ok: bool,
}

impl Drop for InFlightFetch<'_> {
    fn drop(&mut self) {
        let InFlightFetch { of, key, cold, ok, .. } = *self;
        self.recorder.record(Event::Fetched { of, key, cold, ok });
    }
}

impl Planner {
    /// A planner without writes, for this many boxes without copies.
    pub fn new(spec: &spec::Planner, boxes: usize, recorder: Rc<Recorder>) -> Rc<Self> {
        Rc::new(Planner {
            recorder,
            slots: Semaphore::new(spec.fetches.max(1) as usize),
            fetch_duration: Duration::from_micros(spec.fetch.0),
            versions: RefCell::default(),
            cached_keys: RefCell::new(vec![BTreeSet::new(); boxes]),
        })
    }

    /// The version of a key that a box has cached, if any.
    pub fn cached_version(&self, of: usize, key: u64) -> Option<u64> {
        self.cached_keys.borrow()[of].contains(&key).then(|| self.version(key))
    }

    /// Forgets all copies of a box.
    pub fn clear(&self, of: usize) {
        self.cached_keys.borrow_mut()[of].clear();
    }

    /// Fetches a key for a box, which has the returned version cached from then on.
    pub async fn fetch(&self, of: usize, key: u64, cold: bool) -> u64 {
        self.work(of, key, cold).await;
        self.cached_keys.borrow_mut()[of].insert(key);
        self.version(key)
    }

    /// Takes a write that a box passes on: a new version, cached by that box alone.
    pub async fn write(&self, of: usize, key: u64, cold: bool) -> u64 {
        self.work(of, key, cold).await;
        *self.versions.borrow_mut().entry(key).or_default() += 1;
        for (at, cached_keys) in self.cached_keys.borrow_mut().iter_mut().enumerate() {
            if at == of {
                cached_keys.insert(key);
            } else {
                cached_keys.remove(&key);
            }
        }
        self.version(key)
    }

    fn version(&self, key: u64) -> u64 {
        self.versions.borrow().get(&key).copied().unwrap_or(0)
    }

    async fn work(&self, of: usize, key: u64, cold: bool) {
        self.recorder.record(Event::Fetch { of, key, cold });
        let mut in_flight = InFlightFetch { recorder: &self.recorder, of, key, cold, ok: false };
        // The semaphore is never closed.
        let _slot = self.slots.acquire().await;
        sleep(self.fetch_duration).await;
        in_flight.ok = true;
    }
}

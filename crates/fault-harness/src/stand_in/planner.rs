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
    working: Semaphore,
    takes: Duration,
    versions: RefCell<BTreeMap<u64, u64>>,
    held: RefCell<Vec<BTreeSet<u64>>>,
}

/// A fetch in flight; its end is recorded when it is dropped.
struct Out<'a> {
    recorder: &'a Recorder,
    of: usize,
    key: u64,
    cold: bool,
    ok: bool,
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        let Out { of, key, cold, ok, .. } = *self;
        self.recorder.record(Event::Fetched { of, key, cold, ok });
    }
}

impl Planner {
    /// A planner without writes, for this many boxes without copies.
    pub fn new(spec: &spec::Planner, boxes: usize, recorder: Rc<Recorder>) -> Rc<Self> {
        Rc::new(Planner {
            recorder,
            working: Semaphore::new(spec.fetches.max(1) as usize),
            takes: Duration::from_micros(spec.fetch.0),
            versions: RefCell::default(),
            held: RefCell::new(vec![BTreeSet::new(); boxes]),
        })
    }

    /// The version of a key that a box has cached, if any.
    pub fn held(&self, of: usize, key: u64) -> Option<u64> {
        self.held.borrow()[of].contains(&key).then(|| self.version(key))
    }

    /// Forgets all copies of a box.
    pub fn clear(&self, of: usize) {
        self.held.borrow_mut()[of].clear();
    }

    /// Fetches a key for a box, which has the returned version cached from then on.
    pub async fn fetch(&self, of: usize, key: u64, cold: bool) -> u64 {
        self.work(of, key, cold).await;
        self.held.borrow_mut()[of].insert(key);
        self.version(key)
    }

    /// Takes a write that a box passes on: a new version, cached by that box alone.
    pub async fn write(&self, of: usize, key: u64, cold: bool) -> u64 {
        self.work(of, key, cold).await;
        *self.versions.borrow_mut().entry(key).or_default() += 1;
        for (at, held) in self.held.borrow_mut().iter_mut().enumerate() {
            if at == of {
                held.insert(key);
            } else {
                held.remove(&key);
            }
        }
        self.version(key)
    }

    fn version(&self, key: u64) -> u64 {
        self.versions.borrow().get(&key).copied().unwrap_or(0)
    }

    async fn work(&self, of: usize, key: u64, cold: bool) {
        self.recorder.record(Event::Fetch { of, key, cold });
        let mut out = Out { recorder: &self.recorder, of, key, cold, ok: false };
        // The semaphore is never closed.
        let _working = self.working.acquire().await;
        sleep(self.takes).await;
        out.ok = true;
    }
}

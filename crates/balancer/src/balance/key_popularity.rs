//! Recent request counts of keys, by which a hot key is spread over more servers than its owner.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::Key;

/// A key is hot when it recurs within the last (ready servers / this factor) requests, that is, when its
/// share of the requests is this multiple of one server's fair share.
pub(super) const HOT_KEY_FACTOR: f64 = 4.0;

/// The keys of the last requests and their counts.
#[derive(Default)]
pub(super) struct KeyPopularity {
    recent: VecDeque<Key>,
    counts: BTreeMap<Key, u64>,
}

impl KeyPopularity {
    /// Records a request for a key; returns how many of the last requests were for it, this one included.
    pub(super) fn record(&mut self, key: Key, ready_servers: usize) -> u64 {
        while self.recent.len() as f64 > ready_servers as f64 / HOT_KEY_FACTOR {
            self.forget_oldest();
        }
        self.recent.push_back(key);
        let count = self.counts.entry(key).or_default();
        *count += 1;
        *count
    }

    fn forget_oldest(&mut self) {
        let oldest = self.recent.pop_front().unwrap_or_default();
        match self.counts.get_mut(&oldest) {
            Some(count) if *count > 1 => *count -= 1,
            _ => drop(self.counts.remove(&oldest)),
        }
    }

    /// Number of requests remembered, and of distinct keys among them.
    pub(super) fn sizes(&self) -> (usize, usize) {
        (self.recent.len(), self.counts.len())
    }
}

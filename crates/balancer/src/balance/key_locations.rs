//! The key-location cache: which servers are assumed to have a key cached, and for how long.

use std::collections::BTreeMap;

use crate::interface::{Key, Seconds, ServerId};

/// Time for which a key is assumed to be cached by the server that last served it.
const TIME_TO_LIVE: Seconds = 15.0;
/// Most locations that the cache holds, unless its host allows fewer.
pub(super) const MAX_LOCATIONS: usize = 1 << 17;

/// A key and a server that was asked for it.
pub(super) type KeyLocation = (Key, ServerId);

/// When servers last answered keys, in two generations, of which the older is dropped as one. The generations
/// also rotate when the younger one is full, so a client that asks for ever new keys cannot grow the cache.
pub(super) struct KeyLocationCache {
    /// Most locations of both generations.
    capacity: usize,
    young: BTreeMap<KeyLocation, Seconds>,
    old: BTreeMap<KeyLocation, Seconds>,
    /// Time at which the young generation last became the old one.
    rotated_at: Seconds,
}

impl Default for KeyLocationCache {
    fn default() -> Self {
        KeyLocationCache {
            capacity: MAX_LOCATIONS,
            young: BTreeMap::new(),
            old: BTreeMap::new(),
            rotated_at: 0.0,
        }
    }
}

impl KeyLocationCache {
    /// Holds no more than `capacity` locations from now on.
    pub(super) fn limit(&mut self, capacity: usize) {
        self.capacity = capacity.min(MAX_LOCATIONS);
    }

    pub(super) fn contains(&self, location: &KeyLocation, now: Seconds) -> bool {
        let served_at = self.young.get(location).or_else(|| self.old.get(location));
        served_at.is_some_and(|at| now - at < TIME_TO_LIVE)
    }

    pub(super) fn insert(&mut self, location: KeyLocation, now: Seconds) {
        let is_full = self.young.len() >= self.capacity / 2;
        if is_full || now >= self.rotated_at + TIME_TO_LIVE {
            self.old = std::mem::take(&mut self.young);
            self.rotated_at = now;
        }
        self.young.insert(location, now);
    }

    pub(super) fn remove(&mut self, location: &KeyLocation) {
        self.young.remove(location);
        self.old.remove(location);
    }

    pub(super) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }
}

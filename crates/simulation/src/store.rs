//! The cached copies of a box: bounded by its memory, with one version of each key.

use std::hash::BuildHasherDefault;

use hashlink::LinkedHashMap;
use rustc_hash::FxHasher;
use serde::{Deserialize, Serialize};

use crate::time::{Span, Time};

/// Number of a simulated key, from 0.
pub type KeyId = u32;

/// Eviction policy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Evict {
    /// Evicts the least recently used copy.
    #[default]
    Lru,
    /// Evicts the copy that was stored first.
    Fifo,
}

struct CachedCopy {
    bytes: u64,
    version: u64,
    expires: Time,
}

/// The cached copies, in eviction order.
pub struct Store {
    copies: LinkedHashMap<KeyId, CachedCopy, BuildHasherDefault<FxHasher>>,
    used_bytes: u64,
    memory: u64,
    evict: Evict,
    ttl: Span,
}

impl Store {
    /// An empty store of `memory` bytes whose copies expire after `ttl`.
    pub fn new(memory: u64, evict: Evict, ttl: Span) -> Self {
        Store { copies: LinkedHashMap::default(), used_bytes: 0, memory, evict, ttl }
    }

    /// Whether a valid copy of this version is cached; marks it as used for LRU. A copy of another version or past its
    /// expiry is dropped.
    pub fn find(&mut self, key: KeyId, version: u64, now: Time) -> bool {
        let Some(copy) = self.copies.get(&key) else { return false };
        if copy.version != version || now >= copy.expires {
            self.drop_copy(key);
            return false;
        }
        if self.evict == Evict::Lru {
            self.copies.to_back(&key);
        }
        true
    }

    /// Whether a valid copy of this version is cached, without marking it as used.
    pub fn has(&self, key: KeyId, version: u64, now: Time) -> bool {
        self.copies.get(&key).is_some_and(|copy| copy.version == version && now < copy.expires)
    }

    /// Removes the key's old copy, and stores one that expires after the TTL, unless it is larger than the
    /// memory.
    pub fn insert(&mut self, key: KeyId, version: u64, bytes: u64, now: Time) {
        self.insert_until(key, version, bytes, now + self.ttl);
    }

    /// Removes the key's old copy, and stores one that expires at the given time, unless it is larger than
    /// the memory.
    pub fn insert_until(&mut self, key: KeyId, version: u64, bytes: u64, expires: Time) {
        self.drop_copy(key);
        if bytes > self.memory {
            return;
        }
        while self.used_bytes + bytes > self.memory {
            let Some((_, old)) = self.copies.pop_front() else { break };
            self.used_bytes -= old.bytes;
        }
        self.used_bytes += bytes;
        self.copies.insert(key, CachedCopy { bytes, version, expires });
    }

    /// Removes the copy of a key.
    pub fn drop_copy(&mut self, key: KeyId) {
        if let Some(copy) = self.copies.remove(&key) {
            self.used_bytes -= copy.bytes;
        }
    }

    /// Removes all copies.
    pub fn clear(&mut self) {
        self.copies.clear();
        self.used_bytes = 0;
    }

    /// Number of cached copies.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Whether no copy is cached.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NEVER_EXPIRES: Span = Span(u64::MAX / 2);

    #[test]
    fn memory_is_bounded_and_eviction_follows_the_policy() {
        for (evict, evicted) in [(Evict::Lru, 2), (Evict::Fifo, 1)] {
            let mut store = Store::new(30, evict, NEVER_EXPIRES);
            for key in 1..=3 {
                store.insert(key, 1, 10, Time(key.into()));
            }
            assert!(store.find(1, 1, Time(9)));
            store.insert(4, 1, 10, Time(10));
            assert_eq!(store.len(), 3);
            assert!(!store.find(evicted, 1, Time(11)), "{evict:?}");
        }
        let mut store = Store::new(30, Evict::Lru, NEVER_EXPIRES);
        store.insert(1, 1, 31, Time(0));
        assert!(store.is_empty(), "a copy larger than the memory evicts nothing");
    }

    #[test]
    fn a_copy_is_valid_until_it_expires_or_the_version_changes() {
        let mut store = Store::new(100, Evict::Lru, Span(10));
        store.insert(1, 1, 10, Time(0));
        assert!(store.find(1, 1, Time(9)));
        assert!(!store.find(1, 1, Time(10)) && store.is_empty());
        store.insert(1, 1, 10, Time(20));
        assert!(!store.find(1, 2, Time(21)), "the key has a newer version");
    }
}

//! Read access to the state of a box.

use super::*;

impl CacheBox {
    /// Whether the process runs.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Whether the box fell over under too much load.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// Start of the process; `None` if it started before the simulated time.
    pub fn started(&self) -> Option<Time> {
        self.started
    }

    /// Number of requests that were accepted and not answered.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Slots in use, plus requests that wait for one.
    pub fn slot_demand(&self) -> usize {
        self.slots_in_use as usize + self.fetch_done.len() + self.waiting.len()
    }

    /// Whether the limit of fetches allows one more now.
    pub fn may_fetch(&self) -> bool {
        self.fetches_in_flight < self.spec.fetch_places
    }

    /// Whether a request for this key would join a fetch in flight.
    pub fn would_join_fetch(&self, key: KeyId) -> bool {
        self.spec.joins && self.joinable.contains_key(&key)
    }

    /// Number of cached copies.
    pub fn cached_copies(&self) -> usize {
        self.store.len()
    }

    /// Whether a valid copy of this version is cached; leaves the eviction order unchanged.
    pub fn has_valid_copy(&self, now: Time, key: KeyId, version: u64) -> bool {
        self.store.has(key, version, now)
    }
}

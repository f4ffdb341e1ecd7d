//! Load of the slow origin: how many fetches are in flight, how many it sustains, and which reads wait for
//! one.

use std::collections::BTreeMap;

use super::concurrency_limit::{ConcurrencyLimit, FETCH_CUT_FACTOR};
use super::hold_queues::HoldReason;
use super::SMOOTHING;
use crate::interface::{Key, RequestId, Seconds};

/// Initial limit on reads in flight of keys that are not known to be cached; adapted from then on.
const INITIAL_FETCH_LIMIT: f64 = 64.0;
/// The fetch limit is cut while more than this share of fetches is late or fails; at half of this share,
/// the origin counts as slow. The mean time of fetches varies too much to tell.
const SLOW_ORIGIN_LATE_SHARE: f64 = 0.6;
/// Limit of writes as a multiple of the limit of fetches.
const WRITE_LIMIT_FACTOR: f64 = 2.0;
/// Weight of one read in the miss share.
const MISS_SMOOTHING: f64 = SMOOTHING / 2.0;

/// The request that fetches a key, and the reads that wait for it.
struct Fetch {
    leader: RequestId,
    waiters: Vec<RequestId>,
}

/// This node's load on the origin.
pub(super) struct OriginLoad {
    /// Attempts in flight that are expected to reach the origin.
    in_flight: u32,
    /// Smoothed share of fetches that fail or are late.
    late_share: f64,
    /// Limit on concurrent fetches, learnt from their times.
    limit: ConcurrencyLimit,
    /// Smoothed share of misses among reads of keys not known to be cached.
    miss_share: f64,
    fetches: BTreeMap<Key, Fetch>,
}

impl OriginLoad {
    pub(super) fn new() -> Self {
        OriginLoad {
            in_flight: 0,
            late_share: 0.0,
            limit: ConcurrencyLimit::new(INITIAL_FETCH_LIMIT),
            miss_share: 1.0,
            fetches: BTreeMap::new(),
        }
    }

    /// Whether the origin has capacity for one more write or fetch. Writes may use `WRITE_LIMIT_FACTOR`
    /// times the limit, so that they go before fetches; cache hits must not wait for either.
    pub(super) fn has_capacity(&self, hold: HoldReason) -> bool {
        let factor = if hold == HoldReason::Write { WRITE_LIMIT_FACTOR } else { 1.0 };
        self.expected_fetches(self.in_flight) < self.limit.value() * factor
    }

    /// Expected number of these attempts that reach the origin. A node among hundreds knows the location of
    /// almost no key; counting each of its reads as a fetch would hold back reads that servers answer from
    /// cache.
    fn expected_fetches(&self, attempts: u32) -> f64 {
        f64::from(attempts) * self.miss_share
    }

    /// Whether so many fetches are late that a late attempt is not the fault of its server.
    pub(super) fn is_slow(&self) -> bool {
        self.late_share > SLOW_ORIGIN_LATE_SHARE / 2.0
    }

    pub(super) fn attempt_sent(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn attempt_ended(&mut self) {
        self.in_flight -= 1;
    }

    /// Lets a read wait for a fetch of its key that is in flight. `false` if there is none.
    pub(super) fn join_fetch(&mut self, key: Key, request: RequestId) -> bool {
        let Some(fetch) = self.fetches.get_mut(&key) else { return false };
        fetch.waiters.push(request);
        true
    }

    /// Makes a request the leader of its key's fetch, unless another request is.
    pub(super) fn lead_fetch(&mut self, key: Key, leader: RequestId) {
        self.fetches.entry(key).or_insert(Fetch { leader, waiters: Vec::new() });
    }

    /// Ends this request's fetch of a key; returns the reads that waited for it.
    pub(super) fn end_fetch(&mut self, key: Key, leader: RequestId) -> Vec<RequestId> {
        if self.fetches.get(&key).is_none_or(|fetch| fetch.leader != leader) {
            return Vec::new();
        }
        self.fetches.remove(&key).map(|fetch| fetch.waiters).unwrap_or_default()
    }

    /// Records a read of a key that was not known to be cached.
    pub(super) fn learn_miss(&mut self, missed: bool) {
        self.miss_share += MISS_SMOOTHING * (f64::from(missed) - self.miss_share);
    }

    /// Records a fetch that was in time, or was late or failed, and adapts the limit.
    pub(super) fn learn_fetch(&mut self, late: bool, now: Seconds, elapsed: Seconds) {
        self.late_share += SMOOTHING * (f64::from(late) - self.late_share);
        let load = self.expected_fetches(self.in_flight + 1);
        if self.late_share > SLOW_ORIGIN_LATE_SHARE {
            self.limit.cut(FETCH_CUT_FACTOR, load, now, elapsed);
        } else {
            self.limit.grow(load);
        }
    }

    /// Number of requests that fetch or wait for a fetch.
    pub(super) fn len(&self) -> usize {
        self.fetches.values().map(|fetch| 1 + fetch.waiters.len()).sum()
    }

    #[cfg(test)]
    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    #[cfg(test)]
    pub(super) fn limit(&self) -> f64 {
        self.limit.value()
    }

    #[cfg(test)]
    pub(super) fn leaders(&self) -> impl Iterator<Item = &RequestId> {
        self.fetches.values().map(|fetch| &fetch.leader)
    }
}

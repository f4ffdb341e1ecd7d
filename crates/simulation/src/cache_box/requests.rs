//! State of a box: its pending requests with their stages, its fetches, and the ends of work in service.

use hallpin_balancer::CacheNote;

use super::Job;
use crate::store::KeyId;

/// How far a pending request has come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Waits for a slot and has not been looked up in the store.
    Waiting,
    /// Waits for a fetch; `keeps_slot` if it occupies its slot meanwhile.
    Fetching { keeps_slot: bool },
    /// The fetch succeeded and the request waits for a slot again.
    Fetched,
    /// In service on the cores.
    Serving,
    /// The write was sent to the planner; the request keeps its slot.
    Writing,
}

/// A request that a box accepted and has not answered.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingRequest {
    pub job: Job,
    pub stage: Stage,
    pub note: CacheNote,
    pub version: u64,
}

/// A call to the planner, a read or a write.
pub(super) struct Fetch {
    pub key: KeyId,
    /// Indexes of the requests that wait for the call.
    pub waiters: Vec<usize>,
    /// For a write: its idempotency key, if it has one. `None` for a read.
    pub write: Option<Option<u64>>,
    pub retries: u32,
    /// The call timed out: no request waits for it, but the planner's reply to a read can still be cached.
    pub abandoned: bool,
}

/// The end of work in service, which belongs to a request or is overhead without one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ServiceEnd {
    /// Value of the attained work per request at which this work is finished.
    pub finish_work: f64,
    pub sequence: u64,
    pub request: Option<usize>,
}

impl Eq for ServiceEnd {}

impl PartialOrd for ServiceEnd {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ServiceEnd {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.finish_work.total_cmp(&other.finish_work).then(self.sequence.cmp(&other.sequence))
    }
}

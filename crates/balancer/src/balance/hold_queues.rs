//! Queues of held requests, by the reason for which they are held.

use std::collections::VecDeque;

use crate::interface::RequestId;

/// Reason for which a request is held.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum HoldReason {
    /// The origin has no capacity for another write.
    Write,
    /// The origin has no capacity for another fetch.
    Fetch,
    /// No server has capacity.
    Server,
}

impl HoldReason {
    /// All reasons, in the order in which their queues are dispatched.
    pub(super) const ALL: [HoldReason; 3] = [HoldReason::Write, HoldReason::Fetch, HoldReason::Server];
}

/// The held requests of each queue, first in, first out.
#[derive(Default)]
pub(super) struct HoldQueues {
    queues: [VecDeque<RequestId>; 3],
}

impl HoldQueues {
    pub(super) fn push(&mut self, hold: HoldReason, request: RequestId) {
        self.queues[hold as usize].push_back(request);
    }

    /// Takes a complete queue; [`HoldQueues::put_back`] returns it.
    pub(super) fn take(&mut self, hold: HoldReason) -> VecDeque<RequestId> {
        std::mem::take(&mut self.queues[hold as usize])
    }

    /// Returns a queue, ahead of the requests that were pushed since it was taken.
    pub(super) fn put_back(&mut self, hold: HoldReason, mut queue: VecDeque<RequestId>) {
        let queued = &mut self.queues[hold as usize];
        queue.append(queued);
        *queued = queue;
    }

    pub(super) fn len(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }
}

//! View of the simulated world for policies that may see its true state.

use super::*;

/// How the key of a request is found.
pub(super) enum RequestKeys<'a> {
    /// From the tries that the node has accepted.
    Tries(&'a FxHashMap<TryId, AcceptedTry>),
    /// The same key for any request, used before the run begins.
    Fixed(KeyId),
}

/// State of the world at one time, as seen from one node.
pub(super) struct PolicyView<'a> {
    pub run_spec: &'a RunSpec,
    pub boxes: &'a [BoxState],
    pub servers: &'a FxHashMap<ServerId, BoxId>,
    pub planner: &'a Planner,
    pub partition_counts: &'a [u32],
    pub depot: usize,
    pub now: Time,
    pub request_keys: RequestKeys<'a>,
}

impl PolicyView<'_> {
    fn key(&self, request: RequestId) -> Option<KeyId> {
        match &self.request_keys {
            RequestKeys::Tries(tries) => tries.get(&request.0).map(|accepted| accepted.key),
            RequestKeys::Fixed(key) => Some(*key),
        }
    }
}

impl WorldView for PolicyView<'_> {
    fn boxes(&self) -> usize {
        self.boxes.len()
    }

    fn depot(&self) -> usize {
        self.depot
    }

    fn find(&self, server: &ServerId) -> Option<usize> {
        self.servers.get(server).copied()
    }

    fn look(&self, at: usize) -> TrueBox {
        let box_state = &self.boxes[at];
        let (depots, there) = (self.run_spec.depots.len(), self.run_spec.boxes[at].depot);
        let partitioned = self.partition_counts[self.depot * depots + there]
            + self.partition_counts[there * depots + self.depot]
            > 0;
        let slots = f64::from(box_state.cache.spec.slots);
        let share = box_state.cache.present_capacity(self.now) / box_state.cache.spec.capacity();
        TrueBox {
            up: box_state.cache.is_up() && box_state.silence_count == 0 && !partitioned,
            slots,
            current_slots: slots * share,
            demanded_slots: box_state.cache.slot_demand() + box_state.in_transit,
            can_fetch: box_state.cache.may_fetch(),
        }
    }

    fn keeps(&self, at: usize, request: RequestId) -> bool {
        let key = self.key(request);
        key.is_some_and(|key| self.boxes[at].cache.has_valid_copy(self.now, key, self.planner.version(key)))
    }

    fn fetches(&self, at: usize, request: RequestId) -> bool {
        self.key(request).is_some_and(|key| self.boxes[at].cache.would_join_fetch(key))
    }

    fn planner(&self) -> TruePlanner {
        self.planner.actual_state()
    }
}

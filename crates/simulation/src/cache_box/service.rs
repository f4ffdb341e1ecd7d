//! Requests at a box, from arrival to answer.

use super::*;

impl CacheBox {
    /// Puts work into service, for the request with this index or as overhead without one.
    pub(super) fn enter_service(&mut self, work: f64, request: Option<usize>) {
        self.last_sequence += 1;
        self.serving.push(Reverse(ServiceEnd {
            finish_work: self.attained_work + work.max(1.0),
            sequence: self.last_sequence,
            request,
        }));
    }

    /// Takes a request that was received completely: queues it, or rejects it if no slot is free and the queue is full.
    pub fn request(&mut self, now: Time, job: Job, planner: &Planner, out: &mut Vec<BoxOutput>) {
        self.advance(now);
        let free =
            self.slots_in_use < self.spec.slots && self.fetch_done.is_empty() && self.waiting.is_empty();
        if !free && self.waiting.len() >= self.spec.waiting as usize {
            out.push(BoxOutput::Answer(job.token, BoxAnswer::Busy));
        } else {
            let request = PendingRequest { job, stage: Stage::Waiting, note: CacheNote::Hit, version: 0 };
            let index = self.requests.insert(request);
            self.waiting.push_back(index);
        }
        self.record_offered_work(now, job.work, out);
        if self.up {
            self.fill_slots(now, planner, out);
        }
    }

    /// Cancels a request. If the box drops cancelled requests, one that waits for its first slot is dropped; work that
    /// has begun goes on.
    pub fn cancel(&mut self, now: Time, token: u64, planner: &Planner, out: &mut Vec<BoxOutput>) {
        self.advance(now);
        if !self.spec.drops_cancelled {
            return;
        }
        let dropped = self.waiting.iter().position(|i| self.requests[*i].job.token == token);
        if let Some(index) = dropped.and_then(|position| self.waiting.remove(position)) {
            self.requests.remove(index);
        }
        self.fill_slots(now, planner, out);
    }

    /// Gives free slots to waiting requests; those whose fetch succeeded go first.
    pub(super) fn fill_slots(&mut self, now: Time, planner: &Planner, out: &mut Vec<BoxOutput>) {
        while self.slots_in_use < self.spec.slots {
            if let Some(index) = self.fetch_done.pop_front() {
                self.slots_in_use += 1;
                self.begin_service(index);
            } else if let Some(index) = self.waiting.pop_front() {
                self.slots_in_use += 1;
                self.dispatch(now, index, planner, out);
            } else {
                return;
            }
        }
    }

    /// Looks up a request that got its first slot: serves a write or a hit, and lets a miss join or start a fetch.
    /// Rejected: expired requests, if the box drops those, and misses over the fetch limit that cannot join.
    pub(super) fn dispatch(&mut self, now: Time, index: usize, planner: &Planner, out: &mut Vec<BoxOutput>) {
        let job = self.requests[index].job;
        if self.spec.drops_expired && now >= job.deadline {
            return self.answer(index, BoxAnswer::Busy, out);
        }
        let current = planner.version(job.key);
        if job.write.is_some() || self.store.find(job.key, current, now) {
            self.requests[index].version = current;
            return self.begin_service(index);
        }
        let joined = self.joinable.get(&job.key).copied().filter(|_| self.spec.joins);
        let fetch = match joined {
            Some(fetch) => {
                self.requests[index].note = CacheNote::MissFetching;
                fetch
            }
            None if self.fetches_in_flight >= self.spec.fetch_places => {
                return self.answer(index, BoxAnswer::Busy, out);
            }
            None => {
                self.requests[index].note = CacheNote::Miss;
                self.fetch(now, job.key, None, out)
            }
        };
        self.requests[index].job.work *= 1.0 + self.spec.miss_extra;
        self.requests[index].stage = Stage::Fetching { keeps_slot: self.spec.miss_holds };
        if let Some(fetch) = self.fetches.get_mut(&fetch) {
            fetch.waiters.push(index);
        }
        if !self.spec.miss_holds {
            self.slots_in_use -= 1;
        }
    }

    /// Puts a request into service.
    pub(super) fn begin_service(&mut self, index: usize) {
        self.requests[index].stage = Stage::Serving;
        self.enter_service(self.requests[index].job.work, Some(index));
    }

    /// The answer to a request that succeeded.
    pub(super) fn served_answer(&self, index: usize) -> BoxAnswer {
        let request = &self.requests[index];
        BoxAnswer::Served { note: request.note, version: request.version }
    }

    /// Answers and removes a request, and frees its slot if it has one.
    pub(super) fn answer(&mut self, index: usize, answer: BoxAnswer, out: &mut Vec<BoxOutput>) {
        let request = self.requests.remove(index);
        let has_slot = match request.stage {
            Stage::Fetching { keeps_slot } => keeps_slot,
            // A request that is rejected in `dispatch` already has its slot.
            Stage::Waiting | Stage::Serving | Stage::Writing => true,
            Stage::Fetched => false,
        };
        self.slots_in_use -= u32::from(has_slot);
        self.report.completed += 1;
        out.push(BoxOutput::Answer(request.job.token, answer));
    }

    /// Time at which the box next needs a call of `wake`, if any.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let end = self.serving.peek().map(|Reverse(end)| {
            let remaining_us = (end.finish_work - self.attained_work).max(0.0) / self.rate(now).max(1e-12);
            // The box may speed up while it warms up, so the estimate is renewed after 1 s at the latest.
            self.updated_at + Span((remaining_us.ceil() as u64).clamp(1, 1_000_000))
        });
        let fetch_timeout = self.fetch_order.front().map(|(since, _)| *since + self.spec.fetch_timeout);
        [end, fetch_timeout].into_iter().flatten().min()
    }

    /// Handles everything that is due by now: finished work and timed out fetches.
    pub fn wake(&mut self, now: Time, planner: &Planner, out: &mut Vec<BoxOutput>) {
        if !self.up {
            return;
        }
        self.advance(now);
        // Rounding to whole microseconds can leave a small remainder of work.
        while let Some(Reverse(end)) =
            self.serving.peek().filter(|Reverse(end)| end.finish_work <= self.attained_work + 1e-3)
        {
            let ended = end.request;
            self.serving.pop();
            if let Some(index) = ended {
                self.finish_service(now, index, out);
            }
        }
        while let Some((since, id)) = self.fetch_order.front().copied() {
            let is_live = self.fetches.get(&id).is_some_and(|fetch| !fetch.abandoned);
            if is_live && now.since(since) < self.spec.fetch_timeout {
                break;
            }
            self.fetch_order.pop_front();
            if let Some(fetch) = self.fetches.get_mut(&id).filter(|_| is_live) {
                // The planner still works on the call; the reply to a read can still be cached.
                let waiters = std::mem::take(&mut fetch.waiters);
                let (key, write) = (fetch.key, fetch.write);
                fetch.abandoned = true;
                let ended = Fetch { key, waiters, write, retries: 0, abandoned: false };
                self.fail_fetch(id, ended, out);
            }
        }
        self.fill_slots(now, planner, out);
    }

    /// Ends the service of a request: it fails by the error rate, goes to the planner if it is a write, and is answered
    /// otherwise.
    pub(super) fn finish_service(&mut self, now: Time, index: usize, out: &mut Vec<BoxOutput>) {
        if self.rng.bernoulli(self.spec.error_rate + self.extra_error_rate) {
            return self.answer(index, BoxAnswer::Failed, out);
        }
        let job = self.requests[index].job;
        if let Some(effect) = job.write {
            self.requests[index].stage = Stage::Writing;
            let fetch = self.fetch(now, job.key, Some(effect), out);
            if let Some(fetch) = self.fetches.get_mut(&fetch) {
                fetch.waiters.push(index);
            }
            return;
        }
        self.answer(index, self.served_answer(index), out);
    }
}

//! Calls from a box to the planner; requests that miss on the same key share one fetch.

use super::*;

impl CacheBox {
    /// Starts a call to the planner, a write or a read, and returns its id.
    pub(super) fn fetch(
        &mut self,
        now: Time,
        key: KeyId,
        write: Option<Option<u64>>,
        out: &mut Vec<BoxOutput>,
    ) -> u64 {
        self.last_fetch_id += 1;
        let id = self.last_fetch_id;
        let fetch = Fetch { key, waiters: Vec::new(), write, retries: 0, abandoned: false };
        self.fetches.insert(id, fetch);
        if write.is_none() {
            self.joinable.insert(key, id);
            self.fetches_in_flight += 1;
        }
        self.fetch_order.push_back((now, id));
        out.push(BoxOutput::Ask {
            ask: PlannerCall { id, key, write },
            cold: self.slow_start_factor(now) < 1.0,
        });
        id
    }

    /// Handles the planner's reply to a call of this process: the key's version, or `None` for a failure.
    pub fn on_planner_reply(
        &mut self,
        now: Time,
        id: u64,
        version: Option<u64>,
        bytes: impl Fn(KeyId) -> u64,
        planner: &Planner,
        out: &mut Vec<BoxOutput>,
    ) {
        self.advance(now);
        let Some(fetch) = self.fetches.get(&id) else { return };
        let (key, abandoned, write) = (fetch.key, fetch.abandoned, fetch.write);
        if version.is_none() && !abandoned && self.retry_fetch(now, id, out) {
            return;
        }
        let Some(version) = version else {
            self.fetches.remove(&id).into_iter().for_each(|fetch| self.fail_fetch(id, fetch, out));
            return self.fill_slots(now, planner, out);
        };
        let Some(fetch) = self.fetches.remove(&id) else { return };
        if write.is_some() {
            // The cached copy has the version before the write.
            self.store.drop_copy(key);
        } else if version == planner.version(key) {
            // Cached only if no write changed the key while the reply was on its way; otherwise only the waiting
            // requests get this version.
            self.store.insert(key, version, bytes(key), now);
        }
        self.release_fetch(id, &fetch);
        for index in fetch.waiters {
            let Some(request) = self.requests.get_mut(index) else { continue };
            request.version = version;
            match request.stage {
                Stage::Writing => self.answer(index, self.served_answer(index), out),
                Stage::Fetching { keeps_slot: true } => self.begin_service(index),
                Stage::Fetching { keeps_slot: false } => {
                    request.stage = Stage::Fetched;
                    self.fetch_done.push_back(index);
                }
                Stage::Waiting | Stage::Fetched | Stage::Serving => {}
            }
        }
        self.fill_slots(now, planner, out);
    }

    /// Retries a failed fetch; false for a write and when the retries are used up.
    pub(super) fn retry_fetch(&mut self, now: Time, id: u64, out: &mut Vec<BoxOutput>) -> bool {
        let cold = self.slow_start_factor(now) < 1.0;
        let Some(fetch) = self.fetches.get_mut(&id) else { return false };
        if fetch.write.is_some() || fetch.retries >= self.spec.fetch_retries {
            return false;
        }
        fetch.retries += 1;
        out.push(BoxOutput::Ask { ask: PlannerCall { id, key: fetch.key, write: None }, cold });
        true
    }

    /// Stops counting a fetch as in flight and lets no more requests join it.
    pub(super) fn release_fetch(&mut self, id: u64, fetch: &Fetch) {
        if self.joinable.get(&fetch.key) == Some(&id) {
            self.joinable.remove(&fetch.key);
        }
        if fetch.write.is_none() && !fetch.abandoned {
            self.fetches_in_flight -= 1;
        }
    }

    /// Fails all requests that wait for a fetch.
    pub(super) fn fail_fetch(&mut self, id: u64, fetch: Fetch, out: &mut Vec<BoxOutput>) {
        self.release_fetch(id, &fetch);
        for index in fetch.waiters {
            if self.requests.contains(index) {
                self.answer(index, BoxAnswer::Failed, out);
            }
        }
    }
}

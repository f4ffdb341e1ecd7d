//! Admission of a new request: its deadline, its first probe and its tenant's quota.

use super::due_timers::TimerKind;
use super::hash_ring::hash_key;
use super::request::Request;
use super::servers::EPSILON;
use super::state::BalancerState;
use crate::interface::{Key, NewRequest, Seconds};

impl BalancerState {
    pub(super) fn on_request(&mut self, new_request: NewRequest) {
        if self.requests.contains_key(&new_request.id) {
            return;
        }
        self.demand.record_arrival();
        if let Some(work) = new_request.work_hint.filter(|work| work.is_finite()) {
            self.latency.learn_work(work);
        }
        let request = self.build_request(&new_request);
        self.timers.schedule(request.give_up_at, TimerKind::GiveUp, new_request.id);
        self.requests.insert(new_request.id, request);
        if self.is_throttled(new_request.time_left) {
            self.end(new_request.id);
        } else {
            self.dispatch(new_request.id);
        }
        self.arm_timer();
    }

    fn build_request(&mut self, new_request: &NewRequest) -> Request {
        // Requests of an unknown class use the class that `add_unknown_class` put last.
        let unknown_class = self.settings.classes.len() - 1;
        let key = new_request.key.unwrap_or(Key(hash_key(Key(new_request.id.0), 0)));
        // The request is ended two event-delivery intervals before the client's deadline, whatever else
        // happens.
        let time_to_answer = (new_request.time_left - 2.0 * self.settings.event_interval).max(0.0);
        Request {
            class: new_request.class.map_or(unknown_class, |class| class.0.min(unknown_class)),
            key,
            write: new_request.write,
            arrived_at: self.now,
            deadline: self.now + new_request.time_left,
            work: new_request.work_hint.unwrap_or(0.0),
            over_quota: self.tenant_quotas.is_over_quota(new_request.tenant, &self.settings, self.now),
            give_up_at: self.now + time_to_answer,
            first_probe: self.first_probe(key),
            ..Request::default()
        }
    }

    /// The index at which a request starts on its key's probe sequence: one more for each cap of the mean
    /// server that recent requests for the key fill. By attempts in flight alone, each of many nodes would
    /// see a hot key's owner as idle, even if the owner is far too small for the key.
    fn first_probe(&mut self, key: Key) -> u64 {
        let request_count = self.popularity.record(key, self.servers.totals().ready);
        let fair_share = ((1.0 + EPSILON) * self.servers.next_mean_in_flight()).ceil();
        (request_count - 1) / fair_share as u64
    }

    /// Whether a request is ended unsent because hardly any requests with so short a deadline are served.
    fn is_throttled(&mut self, time_left: Seconds) -> bool {
        let probability = self.short_deadline_throttle.admission_probability();
        self.is_short_deadline(time_left) && probability < 1.0 && self.jitter.next() >= probability
    }
}

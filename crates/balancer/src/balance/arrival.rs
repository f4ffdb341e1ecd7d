//! Admission of a new request: its deadline, its first probe and its tenant's quota.

use super::due_timers::Due;
use super::hash_ring::hash_key;
use super::request::Request;
use super::servers::EPSILON;
use super::state::BalancerState;
use crate::interface::{Key, NewRequest, Seconds};

impl BalancerState {
    pub(super) fn on_request(&mut self, new: NewRequest) {
        if self.requests.contains_key(&new.id) {
            return;
        }
        self.demand.note_arrived();
        if let Some(work) = new.work.filter(|work| work.is_finite()) {
            self.latency.learn_work(work);
        }
        let request = self.take_request(&new);
        self.timers.schedule(request.give_up_at, Due::GiveUp, new.id);
        self.requests.insert(new.id, request);
        if self.is_throttled(new.left) {
            self.end(new.id);
        } else {
            self.dispatch(new.id);
        }
        self.arm_timer();
    }

    fn take_request(&mut self, new: &NewRequest) -> Request {
        // Requests of an unknown class use the class that `add_unknown_class` put last.
        let unknown_class = self.settings.classes.len() - 1;
        let key = new.key.unwrap_or(Key(hash_key(Key(new.id.0), 0)));
        // The request is ended two event-delivery intervals before the client's deadline, whatever else
        // happens.
        let time = (new.left - 2.0 * self.settings.round).max(0.0);
        Request {
            class: new.class.map_or(unknown_class, |class| class.0.min(unknown_class)),
            key,
            write: new.write,
            arrived_at: self.now,
            deadline: self.now + new.left,
            work: new.work.unwrap_or(0.0),
            over_quota: self.tenant_quotas.is_over_quota(new.tenant, &self.settings, self.now),
            give_up_at: self.now + time,
            first_probe: self.first_probe(key),
            ..Request::default()
        }
    }

    /// The index at which a request starts on its key's probe sequence. To each of many nodes, a hot key's
    /// owner looks idle even if it is far too small for the key, so the cap on what one server holds is also
    /// applied to the last requests.
    fn first_probe(&mut self, key: Key) -> u64 {
        let asked = self.popularity.note(key, self.servers.totals().ready);
        let fair_share = ((1.0 + EPSILON) * self.servers.next_mean_in_flight()).ceil();
        (asked - 1) / fair_share as u64
    }

    /// Whether a request is ended unsent because hardly any requests with so short a deadline are served.
    fn is_throttled(&mut self, left: Seconds) -> bool {
        let probability = self.brief_throttle.admission_probability();
        self.is_brief(left) && probability < 1.0 && self.jitter.next() >= probability
    }
}

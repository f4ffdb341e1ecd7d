//! Hedged requests: when an attempt counts as late, and the second attempt that follows.

use super::due_timers::TIMER_TOLERANCE;
use super::request::Request;
use super::retry_budget::RETRY_COST;
use super::routing::MAX_PROBES;
use super::state::BalancerState;
use crate::interface::{Effect, Key, RequestId, Seconds, ServerId};

/// Share of the latency objective after which an attempt is late.
pub(super) const LATE_OBJECTIVE_SHARE: f64 = 0.4;
/// Least time until an attempt is late, as a multiple of the usual answer time and of the request's own cost.
const LATE_ANSWER_TIME_FACTOR: f64 = 4.0;

impl BalancerState {
    /// Time from the sending of an attempt until it counts as late.
    pub(super) fn time_until_late(&self, request: &Request) -> Seconds {
        let by_objective = self.class(request).latency_objective * LATE_OBJECTIVE_SHARE;
        by_objective.max(LATE_ANSWER_TIME_FACTOR * self.latency.answer_time().max(request.work))
    }

    /// Sends a hedged request if the last attempt is late: otherwise a server that hangs, is unreachable or
    /// is overloaded would fail the request.
    pub(super) fn on_late(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(late_server) = self.late_server(request) else { return };
        let key = request.key;
        let next_probe = self.next_owner_probe(request, &late_server);
        let may_repeat = self.settings.limits.hedging && self.class(request).effect != Effect::NonIdempotent;
        let may_hedge = may_repeat && self.retry_budget.affords(RETRY_COST);
        let target = self.choose(request).filter(|_| may_hedge);
        let write = request.write;
        self.retry_budget.spend(if may_repeat { RETRY_COST } else { 0.0 });
        match target {
            Some(server) => {
                let to_origin = write || !self.is_cached(&(key, server.clone()));
                self.send(id, &server, to_origin);
            }
            // All requests that wait for this fetch would otherwise wait as long as its server is silent.
            None => self.release_waiters(key, id, next_probe),
        }
    }

    /// The server of a request's last attempt, if that attempt is late and its server is to blame.
    fn late_server(&self, request: &Request) -> Option<ServerId> {
        let last = request.attempts.last()?;
        let is_over = request.ended || request.streaming || request.give_up_at <= self.now + TIMER_TOLERANCE;
        let late_at = last.sent_at + self.time_until_late(request) - self.settings.event_interval;
        let is_late = last.is_in_flight() && self.now >= late_at;
        // If the origin is slow, attempts are late whatever their server; a server that answered another
        // attempt since this one was sent is alive, and only this request is slow.
        let server = self.servers.get(&last.server);
        let is_alive = server.is_none_or(|server| server.answered_since(last.sent_at));
        let is_excused = is_alive || self.origin.is_slow();
        (is_late && !is_over && !is_excused).then(|| last.server.clone())
    }

    /// The next probe of a request's key whose owner is a different server; the request's first probe if
    /// there is none.
    fn next_owner_probe(&self, request: &Request, server: &ServerId) -> u64 {
        let is_other = |probe: &u64| self.owner(request, *probe).map(|(id, _)| id) != Some(server);
        let first = request.first_probe;
        (first + 1..first + MAX_PROBES).find(is_other).unwrap_or(first)
    }

    /// Ends this request's fetch of a key and dispatches the reads that wait for it, from `first_probe` on.
    pub(super) fn release_waiters(&mut self, key: Key, leader: RequestId, first_probe: u64) {
        for waiter in self.origin.end_fetch(key, leader) {
            if let Some(request) = self.requests.get_mut(&waiter) {
                request.missed = false;
                request.first_probe = first_probe;
            }
            self.dispatch(waiter);
        }
    }
}

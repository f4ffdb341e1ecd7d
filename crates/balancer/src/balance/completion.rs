//! The end of a request: its final answer and the cancellation of its attempts.

use super::due_timers::TimerKind;
use super::state::BalancerState;
use crate::interface::{Action, AttemptId, RequestId, Seconds};

impl BalancerState {
    /// Ends a request: rejects it where a retry by the client is harmless, else fails it.
    pub(super) fn end(&mut self, id: RequestId) {
        let jitter_factor = 0.5 + self.jitter.next();
        let request = self.requests.get(&id).filter(|request| !request.ended && !request.streaming);
        let Some(request) = request else { return };
        let answer = if self.may_reject(request) {
            Action::Reject { request: id, retry_after: self.retry_after(jitter_factor) }
        } else {
            Action::Fail(id)
        };
        self.actions.push(answer);
        self.on_finished(id);
    }

    /// Delay after which a rejected client should retry; `None` if it is 0. Capacity frees within about
    /// one answer time, and the jitter keeps clients from retrying at the same moment.
    fn retry_after(&self, jitter_factor: f64) -> Option<Seconds> {
        let delay = (self.latency.answer_time() * jitter_factor).min(self.settings.limits.max_retry_after);
        (delay > 0.0).then_some(delay)
    }

    /// The client reads this attempt's answer, so all other attempts of the request are cancelled.
    pub(super) fn on_stream_started(&mut self, id: RequestId, attempt: AttemptId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let was_streaming = std::mem::replace(&mut request.streaming, true);
        if !was_streaming {
            self.cancel_attempts(id, Some(attempt));
        }
    }

    /// Cancels the attempts in flight, except for one, where the settings allow cancellation.
    fn cancel_attempts(&mut self, id: RequestId, except: Option<AttemptId>) {
        if !self.settings.limits.cancel {
            return;
        }
        let Some(request) = self.requests.get(&id) else { return };
        let in_flight = request.in_flight().filter(|attempt| Some(*attempt) != except);
        self.actions.extend(in_flight.map(|attempt| Action::Cancel { request: id, attempt }));
    }

    /// The request has its final answer, or its client has left: cancels the attempts in flight, and drops
    /// the request once all of them have ended.
    pub(super) fn on_finished(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        self.timers.cancel(request.give_up_at, TimerKind::GiveUp, id);
        self.timers.cancel(request.late_at, TimerKind::Late, id);
        let had_ended = std::mem::replace(&mut request.ended, true);
        if !had_ended && !request.streaming {
            self.cancel_attempts(id, None);
        }
        if self.requests.get(&id).is_some_and(|request| request.attempts_in_flight() == 0) {
            self.requests.remove(&id);
        }
    }
}

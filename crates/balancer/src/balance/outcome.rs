//! Handling of an attempt's outcome: the final answer, a retry, or neither.

use super::hedging::LATE_OBJECTIVE_SHARE;
use super::observation::EndedAttempt;
use super::retry_budget::RETRY_COST;
use super::state::BalancerState;
use crate::interface::{Outcome, RequestId, Seconds, Status};

impl BalancerState {
    /// Learns from the outcome of an attempt, then finishes its request, retries it or waits for its other
    /// attempts.
    pub(super) fn on_outcome(&mut self, outcome: Outcome) {
        let Some(ended) = self.record_outcome(&outcome) else { return };
        self.observe(&ended, &outcome);
        if ended.to_origin {
            // The fetch is over, whether it succeeded or not: the reads that waited for it are dispatched to
            // where it was made.
            self.release_waiters(ended.key, outcome.request, ended.first_probe);
        }
        if ended.request_ended || outcome.finished {
            self.on_finished(outcome.request);
        } else {
            self.retry(outcome.request, &outcome, ended.to_origin);
        }
        self.dispatch_some_held();
    }

    /// Records the outcome of an attempt and returns what is known of it. `None` if the attempt is unknown or
    /// its outcome is already recorded.
    fn record_outcome(&mut self, outcome: &Outcome) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&outcome.request)?;
        let attempt = request.attempts.get_mut(outcome.attempt.0 as usize)?;
        if !attempt.is_in_flight() {
            return None;
        }
        attempt.status = Some(outcome.status);
        if outcome.status == Status::Success {
            self.demand.record_served();
        }
        let objective = self.settings.classes[request.class].latency_objective;
        let time_to_deadline = request.deadline - attempt.sent_at;
        let ended = EndedAttempt {
            key: request.key,
            server: attempt.server.clone(),
            write: request.write,
            work: request.work,
            to_origin: attempt.to_origin,
            first_probe: request.first_probe,
            request_ended: request.ended,
        };
        if outcome.status == Status::Success && outcome.elapsed <= objective * LATE_OBJECTIVE_SHARE {
            self.retry_budget.earn(self.servers.mean_in_flight());
        }
        self.servers.attempt_ended();
        if ended.to_origin {
            self.origin.attempt_ended();
        }
        self.learn_short_deadline(time_to_deadline, outcome.status);
        Some(ended)
    }

    /// Records whether an attempt with a short deadline succeeded. An error is the server's fault, however
    /// long the client waits, and does not count.
    fn learn_short_deadline(&mut self, time_to_deadline: Seconds, status: Status) {
        let is_servers_fault = matches!(status, Status::Error | Status::Unknown);
        if self.is_short_deadline(time_to_deadline) && !is_servers_fault {
            self.short_deadline_throttle.learn(status == Status::Success);
        }
    }

    /// Retries a request whose attempt did not serve it, or ends the request.
    fn retry(&mut self, id: RequestId, outcome: &Outcome, to_origin: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_over = self.now + 2.0 * self.settings.event_interval >= request.deadline;
        if request.attempts_in_flight() > 0 && !is_over {
            return;
        }
        request.missed |= outcome.status == Status::Absent;
        let was_cancelled = matches!(outcome.status, Status::Cancelled | Status::Void);
        // A fetch that failed at the origin fails at other servers too. Unless the fleet is failing (see
        // `is_fleet_failing`), the error is taken for the server's own.
        let origin_fails = outcome.status == Status::Error && to_origin && self.outliers.is_fleet_failing();
        // An attempt that never ran cost no server any work.
        let cost_no_work = matches!(outcome.status, Status::Absent | Status::Unreachable);
        let cost = if cost_no_work { 0.0 } else { RETRY_COST };
        if is_over || was_cancelled || origin_fails || !self.retry_budget.affords(cost) {
            return self.end(id);
        }
        self.retry_budget.spend(cost);
        self.dispatch(id);
    }
}

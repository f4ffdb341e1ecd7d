//! Estimates of the latency of answers from cache and of the usual work of a request.

use super::SMOOTHING;
use crate::interface::Seconds;

/// Share of the tightest latency objective beyond which an answer from cache shows an overloaded server.
pub(super) const OVERLOAD_OBJECTIVE_SHARE: f64 = 0.5;
/// Initial estimate of an answer's time, as a multiple of its request's work hint.
const INITIAL_TIME_PER_WORK: f64 = 2.0;
/// Weight of one request in the usual work.
const WORK_SMOOTHING: f64 = SMOOTHING / 10.0;

/// Smoothed figures of answers from cache.
pub(super) struct LatencyEstimate {
    /// Time of an answer.
    answer_time: Seconds,
    /// Time of an answer, divided by the work hint of its request.
    time_per_work: f64,
    /// Work hint of a request; 0 until a request had one.
    usual_work: Seconds,
}

impl LatencyEstimate {
    pub(super) fn new(tightest_objective: Seconds) -> Self {
        LatencyEstimate {
            answer_time: tightest_objective * OVERLOAD_OBJECTIVE_SHARE / 2.0,
            time_per_work: INITIAL_TIME_PER_WORK,
            usual_work: 0.0,
        }
    }

    /// The usual time of an answer from cache.
    pub(super) fn answer_time(&self) -> Seconds {
        self.answer_time
    }

    /// The usual work hint of a request; 0 until a request had one.
    pub(super) fn usual_work(&self) -> Seconds {
        self.usual_work
    }

    pub(super) fn learn_work(&mut self, work: Seconds) {
        let is_first = self.usual_work == 0.0;
        let weight = if is_first { 1.0 } else { WORK_SMOOTHING };
        self.usual_work += weight * (work - self.usual_work);
    }

    /// Slowness of an answer: its time divided by the time expected from its request's work hint, or by the
    /// usual answer time where there is no hint.
    pub(super) fn slowness(&self, time: Seconds, work: Seconds) -> f64 {
        let expected = if work > 0.0 { work * self.time_per_work } else { self.answer_time };
        time / expected
    }

    pub(super) fn learn(&mut self, time: Seconds, work: Seconds) {
        if work > 0.0 {
            self.time_per_work += SMOOTHING * (time / work - self.time_per_work);
        }
        self.answer_time += SMOOTHING * (time - self.answer_time);
    }
}

//! Adaptive throttling of requests whose clients wait for too short a time to be served.

use crate::interface::Seconds;

/// A deadline is short if the client waits for less than this multiple of the usual answer time. Clients that
/// leave early and retry at once would otherwise fill the servers with work that nobody reads.
const SHORT_DEADLINE_ANSWER_TIMES: f64 = 2.0;
/// Ratio of admitted to recently served requests with a short deadline: adaptive throttling as in Beyer and
/// others, "Site Reliability Engineering", ch. 21.
const OVERADMISSION_FACTOR: f64 = 2.0;
/// Least probability of admission, so that a recovery is noticed.
const MIN_PROBABILITY: f64 = 0.02;
/// Weight of one outcome in the served share.
const SMOOTHING: f64 = 0.05;
/// Time constant with which a low served share moves towards 1 by itself, without any outcomes.
const RECOVERY_TIME: Seconds = 60.0;

/// Smoothed share of attempts with a short deadline that succeeded.
pub(super) struct ShortDeadlineThrottle {
    served_share: f64,
}

impl ShortDeadlineThrottle {
    pub(super) fn new() -> Self {
        ShortDeadlineThrottle { served_share: 1.0 }
    }

    /// Whether a client that waits for `time_left` leaves before the usual answer time allows an answer.
    pub(super) fn is_short_deadline(time_left: Seconds, answer_time: Seconds) -> bool {
        time_left < answer_time * SHORT_DEADLINE_ANSWER_TIMES
    }

    /// Probability with which a request with a short deadline is admitted; 1 or more admits all.
    pub(super) fn admission_probability(&self) -> f64 {
        (self.served_share * OVERADMISSION_FACTOR).max(MIN_PROBABILITY)
    }

    pub(super) fn learn(&mut self, served: bool) {
        self.served_share += SMOOTHING * (f64::from(served) - self.served_share);
    }

    /// Moves the served share towards 1, for this much elapsed time.
    pub(super) fn recover(&mut self, elapsed: Seconds) {
        self.served_share += (1.0 - self.served_share) * elapsed / RECOVERY_TIME;
    }
}

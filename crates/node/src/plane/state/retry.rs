//! Exponential backoff after failed writes, and rate limiting of their log lines. Pure: the time is an argument.

#[cfg(test)]
mod tests;

use std::time::Duration;

use hallpin_membership::names::Moment;

/// Backoff after the first failure; it doubles with each consecutive one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff, and thus the time within which a disk with free space is used again.
const MAX_BACKOFF: Duration = Duration::from_secs(10);
/// Shortest time between two warnings, whether writes keep failing or fail intermittently.
const WARN_INTERVAL: Duration = Duration::from_secs(60);

/// Consecutive failures, and the time of the next warning.
#[derive(Debug, Default)]
pub struct Retry {
    failures: u32,
    /// Whether a warning was logged for the current run of failures.
    warned: bool,
    next_warn_at: Moment,
}

/// What to do after a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureOutcome {
    /// Wait before the next attempt.
    pub retry_after: Duration,
    /// Whether to log a warning.
    pub should_warn: bool,
}

impl Retry {
    /// Whether the last write failed.
    pub fn is_failing(&self) -> bool {
        self.failures > 0
    }

    /// Records a failed write.
    pub fn record_failure(&mut self, now: Moment) -> FailureOutcome {
        let doublings = self.failures.min(16);
        self.failures = self.failures.saturating_add(1);
        let should_warn = now >= self.next_warn_at;
        if should_warn {
            (self.warned, self.next_warn_at) = (true, now + WARN_INTERVAL);
        }
        FailureOutcome { retry_after: (INITIAL_BACKOFF * (1 << doublings)).min(MAX_BACKOFF), should_warn }
    }

    /// Records a successful write. Returns the number of failures before it if a warning was logged for them.
    pub fn record_success(&mut self) -> Option<u32> {
        let failures = std::mem::take(&mut self.failures);
        std::mem::take(&mut self.warned).then_some(failures)
    }
}

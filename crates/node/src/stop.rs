//! The times of a planned stop: what the platform leaves a node between SIGTERM and the kill, and how it is spent.

#[cfg(test)]
mod tests;

use std::time::Duration;

/// The kill comes no sooner after SIGTERM than the longest deadline, this at most, and [`GRACE`] more.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// What comes within this after SIGTERM has its whole deadline before the kill; what the kill finds unanswered of
/// later requests is lost.
const GRACE: Duration = Duration::from_millis(700);
/// The node is done a little ahead of the kill.
const AHEAD: Duration = Duration::from_millis(100);

/// When, counted from SIGTERM, kept connections are closed between requests, and the last answer is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    pub part_after: Duration,
    pub end_after: Duration,
}

impl Stop {
    /// For a node whose clients wait for up to `longest`.
    pub fn of(longest: Duration) -> Self {
        let counted = longest.min(LONGEST_COUNTED);
        // Clients send on what they hold for as long as it is open: it closes while a request that has just come
        // still has its whole deadline, as far as the platform counts that.
        Stop { part_after: GRACE - AHEAD, end_after: counted + GRACE - AHEAD }
    }

    /// By when kept connections are closed where another process accepts at this address: behind an answer no close
    /// crosses with a request, so a client that rests is waited for, and what it then asks has half of that time.
    pub fn relieved_part_after(&self) -> Duration {
        (self.part_after + self.end_after) / 2
    }
}

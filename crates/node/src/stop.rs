//! Timing of a planned shutdown: how long the platform waits between SIGTERM and the kill, and how the node uses that
//! time.

#[cfg(test)]
mod tests;

use std::time::Duration;

use hallpin_protocol::MAX_VALUE_BYTES;

use crate::transfer::{time_at_min_rate, STALL_TIMEOUT};

/// Cap on the longest deadline that the platform waits for: the kill comes no sooner after SIGTERM than the longest
/// deadline, limited to this, plus [`KILL_GRACE`].
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// Requests that arrive within this time after SIGTERM have their full deadline before the kill. Later requests that
/// are still unanswered at the kill are lost.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Safety margin by which the node finishes ahead of the kill.
const KILL_MARGIN: Duration = Duration::from_millis(100);
/// Time behind the last answers until connections that have ended and only discard input are closed, so that the
/// process ends by itself ahead of the kill.
pub const LAST_LINGER: Duration = Duration::from_millis(50);

/// Times of a shutdown, counted from SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownTimes {
    /// Time until idle client connections are closed.
    pub close_idle_after: Duration,
    /// Time until the last answer must be given.
    pub finish_after: Duration,
}

impl ShutdownTimes {
    /// Times for a node whose longest request deadline is `longest`.
    pub fn of(longest: Duration) -> Self {
        let counted = longest.min(MAX_COUNTED_DEADLINE);
        // Clients go on using an open connection. It is closed while a request that arrives last still has its full
        // deadline, limited to what the platform counts.
        ShutdownTimes {
            close_idle_after: KILL_GRACE - KILL_MARGIN,
            finish_after: counted + KILL_GRACE - KILL_MARGIN,
        }
    }

    /// Time until the process ends with connections still open: the longest value that was on its way when the last
    /// answers were given has arrived by then.
    pub fn exit_after(&self) -> Duration {
        self.finish_after + STALL_TIMEOUT + time_at_min_rate(MAX_VALUE_BYTES as u64)
    }

    /// Time until idle connections are closed if another process accepts at this address. A connection closed right
    /// after an answer cannot cross with a request, so the node waits for idle clients to send once more, until half
    /// of the remaining time is left for that request.
    pub fn close_after_with_successor(&self) -> Duration {
        (self.close_idle_after + self.finish_after) / 2
    }
}

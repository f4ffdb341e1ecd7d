//! The node's clock: seconds on the monotonic clock, and conversion of servers' start times from the wall clock.

pub mod source;
mod start_times;
#[cfg(test)]
mod tests;

use std::sync::{Mutex, MutexGuard, PoisonError};

use hallpin_balancer::{Seconds, ServerId};
use tokio::time::Instant;

use source::{Reading, SystemClock, TimeSource};
use start_times::StartTimes;

/// Seconds since the process started, independent of steps of the wall clock. Copies share the known start times of
/// servers. These are leaked, as a node has one clock for the life of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    source: &'static dyn TimeSource,
    start: Instant,
    start_times: &'static Mutex<StartTimes>,
}

impl Clock {
    /// A clock based on the machine's clocks that starts at 0 now.
    pub fn start() -> Self {
        Self::with_source(&SystemClock)
    }

    /// A clock based on `source` that starts at 0 now.
    pub fn with_source(source: &'static dyn TimeSource) -> Self {
        let reading = Reading::take(source);
        let start_times = Mutex::new(StartTimes::new(reading.wall_ms()));
        Clock { source, start: reading.monotonic, start_times: Box::leak(Box::new(start_times)) }
    }

    /// Converts a time of the monotonic clock; 0 if it is before the start.
    pub fn at(&self, instant: Instant) -> Seconds {
        instant.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Reads both clocks once, to convert the start times of one list.
    pub fn read_list(&self) -> ListReading {
        let reading = Reading::take(self.source);
        let now = self.at(reading.monotonic);
        let mut start_times = self.start_times.lock().unwrap_or_else(PoisonError::into_inner);
        if reading.is_exact() {
            start_times.observe(now, reading.wall_ms());
        }
        ListReading { now, start_times }
    }
}

/// Converts the start times that one list names.
pub struct ListReading {
    now: Seconds,
    start_times: MutexGuard<'static, StartTimes>,
}

impl ListReading {
    /// Converts a server's start from milliseconds of Unix time to the node's clock; never later than now. The same
    /// start of a server always converts to the same time, so a step of the wall clock does not look like a restart.
    pub fn started(&mut self, server: &ServerId, up_since_ms: f64) -> Seconds {
        self.start_times.convert(self.now, server, up_since_ms)
    }

    /// Ends the reading of a complete list, which names these servers; others may be forgotten.
    pub fn complete<'a>(&mut self, listed: impl Iterator<Item = &'a ServerId>) {
        self.start_times.forget_unlisted(listed);
    }
}

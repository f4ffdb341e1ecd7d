//! Sliding window: counts the events within any second.

use std::collections::VecDeque;

use hallpin_simulation::time::{Span, Time};

use super::scheduling_delay::SchedulingDelay;

const SECOND: Span = Span::from_millis(1000);

/// The times of the events of the last second.
#[derive(Default)]
pub(super) struct Window(VecDeque<Time>);

impl Window {
    /// Adds an event; returns the number of events in the second that ends with it.
    pub fn add(&mut self, at: Time) -> usize {
        while self.0.front().is_some_and(|first| at.since(*first) >= SECOND) {
            self.0.pop_front();
        }
        self.0.push_back(at);
        self.0.len()
    }
}

/// Maximum number of events in the second that ends at `at`, extended for events whose recording was delayed.
pub(super) fn extended_limit(limit: u32, at: Time, delays: &SchedulingDelay) -> usize {
    let delay = delays.allowance(at.saturating_sub(SECOND), at).as_secs();
    (f64::from(limit) * (1.0 + delay)).floor() as usize
}

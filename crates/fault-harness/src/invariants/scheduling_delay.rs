//! Scheduling delay of the harness itself: every time limit is extended by it where it falls.
//!
//! The harness measures its own delay by a periodic timer. The nodes run on the same machine and are delayed as well,
//! at other times; so twice the harness's delay is allowed for.

use hallpin_simulation::time::{Span, Time};

use crate::trace::{Event, Record};

/// A delay is recorded when the timer fires, which may be a little after the events that it delayed.
const RECORDING_LAG: Span = Span::from_millis(100);

const SECOND: Span = Span::from_millis(1000);
/// Threshold for twice the scheduling delay within a second.
const EXCESSIVE_DELAY: Span = Span::from_millis(100);

/// The scheduling delays over a run, with the times at which they were recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct SchedulingDelay(Vec<(Time, Span)>);

impl SchedulingDelay {
    /// Reads the delays from a trace.
    pub fn of(records: &[Record]) -> Self {
        let delay = |record: &Record| match record.event {
            Event::Late { by } => Some((record.at, Span(by))),
            _ => None,
        };
        SchedulingDelay(records.iter().filter_map(delay).collect())
    }

    /// Whether the last second had so much delay that queues are full, so that attempts say nothing about placement
    /// tables.
    pub fn is_excessive(&self, at: Time) -> bool {
        self.allowance(at.saturating_sub(SECOND), at) > EXCESSIVE_DELAY
    }

    /// The extension of a time limit for this interval: twice the scheduling delay in it.
    pub fn allowance(&self, from: Time, to: Time) -> Span {
        let first = self.0.partition_point(|(at, _)| *at < from);
        let within = self.0.iter().skip(first).take_while(|(at, _)| *at <= to + RECORDING_LAG);
        Span(within.map(|(_, by)| by.0.saturating_mul(2)).sum())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_delay_extends_the_limits_of_the_intervals_that_it_falls_into() {
        let delay = |ms: u64, by| Record { at: Time(ms * 1000), event: Event::Late { by } };
        let delays = SchedulingDelay::of(&[delay(100, 30_000), delay(500, 50_000)]);
        let allowance = |from: u64, to: u64| delays.allowance(Time(from * 1000), Time(to * 1000)).0;
        assert!(delays.is_excessive(Time(550_000)) && !delays.is_excessive(Time(1_600_000)));
        assert_eq!([allowance(0, 50), allowance(101, 390), allowance(50, 600)], [60_000, 0, 160_000]);
    }
}

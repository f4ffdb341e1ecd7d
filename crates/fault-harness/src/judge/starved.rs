//! Scheduling delay of the harness itself: every time limit is extended by it where it falls.
//!
//! The harness measures its own delay by a periodic timer. The nodes run on the same machine and are delayed as well,
//! at other times; so twice the harness's delay is allowed for.

use hallpin_simulation::time::{Span, Time};

use crate::trace::{Event, Record};

/// A delay is recorded when the timer fires, which may be a little after the events that it delayed.
const TOLD_AFTER: Span = Span::from_millis(100);

const SECOND: Span = Span::from_millis(1000);
/// Threshold for twice the scheduling delay within a second.
const MUCH: Span = Span::from_millis(100);

/// The scheduling delays over a run, with the times at which they were recorded.
#[derive(Clone, Debug, Default)]
pub(super) struct Starved(Vec<(Time, Span)>);

impl Starved {
    /// Reads the delays from a trace.
    pub fn of(records: &[Record]) -> Self {
        let late = |record: &Record| match record.event {
            Event::Late { by } => Some((record.at, Span(by))),
            _ => None,
        };
        Starved(records.iter().filter_map(late).collect())
    }

    /// Whether the last second had so much delay that queues are full, so that attempts say nothing about placement
    /// tables.
    pub fn lately(&self, at: Time) -> bool {
        self.between(at.back(SECOND), at) > MUCH
    }

    /// By how much a time limit for this interval is extended.
    pub fn between(&self, from: Time, to: Time) -> Span {
        let first = self.0.partition_point(|(at, _)| *at < from);
        let within = self.0.iter().skip(first).take_while(|(at, _)| *at <= to + TOLD_AFTER);
        Span(within.map(|(_, by)| by.0.saturating_mul(2)).sum())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn lateness_counts_where_it_falls() {
        let late = |ms: u64, by| Record { at: Time(ms * 1000), event: Event::Late { by } };
        let starved = Starved::of(&[late(100, 30_000), late(500, 50_000)]);
        let between = |from: u64, to: u64| starved.between(Time(from * 1000), Time(to * 1000)).0;
        assert!(starved.lately(Time(550_000)) && !starved.lately(Time(1_600_000)));
        assert_eq!([between(0, 50), between(101, 390), between(50, 600)], [60_000, 0, 160_000]);
    }
}

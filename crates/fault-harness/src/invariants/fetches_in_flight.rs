//! Fetches in flight at the planner, in total and for each box.

use std::collections::BTreeMap;

use crate::trace::{Event, Record};

/// Counts fetches as they start and end.
#[derive(Default)]
pub(super) struct FetchesInFlight {
    /// All fetches in flight.
    pub all: u32,
    /// Fetches in flight for each box that was cold at their start.
    pub cold: BTreeMap<usize, u32>,
}

impl FetchesInFlight {
    /// Processes a record; returns the box if the record starts a fetch.
    pub fn observe(&mut self, record: &Record) -> Option<usize> {
        match record.event {
            Event::Fetch { of, cold, .. } => {
                self.all += 1;
                *self.cold.entry(of).or_default() += u32::from(cold);
                Some(of)
            }
            Event::Fetched { of, cold, .. } => {
                self.all = self.all.saturating_sub(1);
                let out = self.cold.entry(of).or_default();
                *out = out.saturating_sub(u32::from(cold));
                None
            }
            _ => None,
        }
    }
}

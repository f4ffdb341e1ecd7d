//! Rule `planner-kept`: the concurrent fetches from the planner, over all boxes, stay within a bound.

use super::fetches_in_flight::FetchesInFlight;
use super::{Rule, Violations};
use crate::trace::Record;

pub(super) struct PlannerKept {
    limit: u32,
    fetches_in_flight: FetchesInFlight,
}

impl PlannerKept {
    pub fn new(limit: u32) -> Self {
        PlannerKept { limit, fetches_in_flight: FetchesInFlight::default() }
    }
}

impl Rule for PlannerKept {
    fn observe(&mut self, record: &Record, violations: &mut Violations) {
        let Some(of) = self.fetches_in_flight.observe(record) else { return };
        if self.fetches_in_flight.all > self.limit {
            let what = format!(
                "{} fetches in flight at the planner, limit {}; the last one by b{of}",
                self.fetches_in_flight.all, self.limit
            );
            violations.add("planner-kept", record.at, what);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{violation_times, NONE};
    use super::*;
    use crate::trace::Event;

    fn history(ends: u64) -> Vec<(u64, Event)> {
        let fetch = |key| Event::Fetch { of: 0, key, cold: false };
        let done = Event::Fetched { of: 0, key: 1, cold: false, ok: true };
        let mut events = vec![(0, fetch(1)), (1, fetch(2)), (4, fetch(3)), (ends, done)];
        events.sort_by_key(|(at, _)| *at);
        events
    }

    #[test]
    fn only_concurrent_fetches_beyond_the_limit_are_a_violation() {
        assert_eq!(violation_times(PlannerKept::new(2), history(5)), [4]);
        assert_eq!(violation_times(PlannerKept::new(2), history(3)), NONE);
    }
}

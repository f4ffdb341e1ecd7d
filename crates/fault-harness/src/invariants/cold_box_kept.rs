//! Rule `cold-box-kept`: the concurrent fetches of one cold box stay within a bound.

use super::fetches_in_flight::FetchesInFlight;
use super::{Rule, Violations};
use crate::trace::Record;

pub(super) struct ColdBoxKept {
    limit: u32,
    fetches_in_flight: FetchesInFlight,
}

impl ColdBoxKept {
    pub fn new(limit: u32) -> Self {
        ColdBoxKept { limit, fetches_in_flight: FetchesInFlight::default() }
    }
}

impl Rule for ColdBoxKept {
    fn observe(&mut self, record: &Record, violations: &mut Violations) {
        let Some(of) = self.fetches_in_flight.observe(record) else { return };
        let cold = self.fetches_in_flight.cold.get(&of).copied().unwrap_or(0);
        if cold > self.limit {
            let what = format!("cold box b{of} has {cold} fetches in flight, limit {}", self.limit);
            violations.add("cold-box-kept", record.at, what);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{violation_times, NONE};
    use super::*;
    use crate::trace::Event;

    fn history(cold: bool) -> Vec<(u64, Event)> {
        let fetch = |of, key, cold| Event::Fetch { of, key, cold };
        vec![(0, fetch(0, 1, true)), (1, fetch(1, 2, true)), (2, fetch(0, 3, cold))]
    }

    #[test]
    fn only_two_fetches_of_one_cold_box_are_a_violation() {
        assert_eq!(violation_times(ColdBoxKept::new(1), history(true)), [2]);
        assert_eq!(violation_times(ColdBoxKept::new(1), history(false)), NONE);
    }
}

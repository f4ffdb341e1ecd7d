//! Rule `planner-kept`: the concurrent fetches from the planner, over all boxes, stay within a bound.

use super::out::Out;
use super::{Found, Rule};
use crate::trace::Record;

pub(super) struct PlannerKept {
    most: u32,
    out: Out,
}

impl PlannerKept {
    pub fn new(most: u32) -> Self {
        PlannerKept { most, out: Out::default() }
    }
}

impl Rule for PlannerKept {
    fn see(&mut self, record: &Record, found: &mut Found) {
        let Some(of) = self.out.see(record) else { return };
        if self.out.all > self.most {
            let what = format!(
                "{} fetches out at the planner, at most {}; the last of b{of}",
                self.out.all, self.most
            );
            found.add("planner-kept", record.at, what);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{found, NONE};
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
    fn one_fetch_too_many_is_found_and_one_after_another_is_not() {
        assert_eq!(found(PlannerKept::new(2), history(5)), [4]);
        assert_eq!(found(PlannerKept::new(2), history(3)), NONE);
    }
}

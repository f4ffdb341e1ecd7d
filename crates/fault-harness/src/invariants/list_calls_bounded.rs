//! Rule `list-calls-bounded`: the calls of one node to the endpoint list within any second stay within a bound.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::scheduling_delay::SchedulingDelay;
use super::window::{extended_limit, Window};
use super::{Rule, Violations};
use crate::trace::{Event, Record};

pub(super) struct ListCallsBounded {
    limit: u32,
    calls: BTreeMap<usize, Window>,
    delays: Rc<SchedulingDelay>,
}

impl ListCallsBounded {
    pub fn new(limit: u32, delays: Rc<SchedulingDelay>) -> Self {
        ListCallsBounded { limit, calls: BTreeMap::new(), delays }
    }
}

impl Rule for ListCallsBounded {
    fn observe(&mut self, record: &Record, violations: &mut Violations) {
        let Event::ListAsked { node } = record.event else { return };
        let calls = self.calls.entry(node).or_default().add(record.at);
        if calls > extended_limit(self.limit, record.at, &self.delays) {
            let what = format!(
                "n{node} called the endpoint list {calls} times within a second, limit {}",
                self.limit
            );
            violations.add("list-calls-bounded", record.at, what);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{violation_times, NONE};
    use super::*;

    fn history(third: u64) -> Vec<(u64, Event)> {
        let asked = |node| Event::ListAsked { node };
        vec![(0, asked(0)), (500, asked(0)), (600, asked(1)), (third, asked(0))]
    }

    #[test]
    fn only_calls_beyond_the_limit_within_a_second_are_a_violation() {
        assert_eq!(violation_times(ListCallsBounded::new(2, Rc::default()), history(999)), [999]);
        assert_eq!(violation_times(ListCallsBounded::new(2, Rc::default()), history(1000)), NONE);
    }
}

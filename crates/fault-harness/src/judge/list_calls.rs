//! Rule `list-calls-bounded`: the calls of one node to the endpoint list within any second stay within a bound.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::starved::Starved;
use super::window::{allowed, Window};
use super::{Found, Rule};
use crate::trace::{Event, Record};

pub(super) struct ListCallsBounded {
    most: u32,
    calls: BTreeMap<usize, Window>,
    starved: Rc<Starved>,
}

impl ListCallsBounded {
    pub fn new(most: u32, starved: Rc<Starved>) -> Self {
        ListCallsBounded { most, calls: BTreeMap::new(), starved }
    }
}

impl Rule for ListCallsBounded {
    fn see(&mut self, record: &Record, found: &mut Found) {
        let Event::ListAsked { node } = record.event else { return };
        let calls = self.calls.entry(node).or_default().take(record.at);
        if calls > allowed(self.most, record.at, &self.starved) {
            let what = format!("n{node} has called {calls} times within a second, at most {}", self.most);
            found.add("list-calls-bounded", record.at, what);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{found, NONE};
    use super::*;

    fn history(third: u64) -> Vec<(u64, Event)> {
        let asked = |node| Event::ListAsked { node };
        vec![(0, asked(0)), (500, asked(0)), (600, asked(1)), (third, asked(0))]
    }

    #[test]
    fn three_calls_within_a_second_are_found_and_over_more_than_one_they_are_not() {
        assert_eq!(found(ListCallsBounded::new(2, Rc::default()), history(999)), [999]);
        assert_eq!(found(ListCallsBounded::new(2, Rc::default()), history(1000)), NONE);
    }
}

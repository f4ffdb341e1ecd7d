//! Rule `cold-box-kept`: the concurrent fetches of one cold box stay within a bound.

use super::out::Out;
use super::{Found, Rule};
use crate::trace::Record;

pub(super) struct ColdBoxKept {
    most: u32,
    out: Out,
}

impl ColdBoxKept {
    pub fn new(most: u32) -> Self {
        ColdBoxKept { most, out: Out::default() }
    }
}

impl Rule for ColdBoxKept {
    fn see(&mut self, record: &Record, found: &mut Found) {
        let Some(of) = self.out.see(record) else { return };
        let cold = self.out.cold.get(&of).copied().unwrap_or(0);
        if cold > self.most {
            let what = format!("b{of}, cold, has {cold} fetches out, at most {}", self.most);
            found.add("cold-box-kept", record.at, what);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{found, NONE};
    use super::*;
    use crate::trace::Event;

    fn history(cold: bool) -> Vec<(u64, Event)> {
        let fetch = |of, key, cold| Event::Fetch { of, key, cold };
        vec![(0, fetch(0, 1, true)), (1, fetch(1, 2, true)), (2, fetch(0, 3, cold))]
    }

    #[test]
    fn two_fetches_of_one_cold_box_are_found_and_those_of_two_or_of_a_warm_one_are_not() {
        assert_eq!(found(ColdBoxKept::new(1), history(true)), [2]);
        assert_eq!(found(ColdBoxKept::new(1), history(false)), NONE);
    }
}

//! Rule `no-older-table`: no node uses an older placement table after a newer one, in any of its process generations.

use std::collections::BTreeMap;
use std::rc::Rc;

use hallpin_simulation::time::Time;

use super::scheduling_delay::SchedulingDelay;
use super::table_history::{LaggingNodes, Placement};
use super::{Rule, Violations};
use crate::trace::Record;

pub(super) struct NoOlderTable {
    /// For each node a lower bound of the newest table that it has used.
    newest_used: BTreeMap<usize, usize>,
    lagging: LaggingNodes,
    delays: Rc<SchedulingDelay>,
}

impl NoOlderTable {
    pub fn new(delays: Rc<SchedulingDelay>) -> Self {
        NoOlderTable { newest_used: BTreeMap::new(), lagging: LaggingNodes::default(), delays }
    }
}

impl Rule for NoOlderTable {
    fn observe(&mut self, _: &Record, _: &mut Violations) {}

    fn observe_placement(&mut self, at: Time, placement: &Placement, violations: &mut Violations) {
        let (Some(first), Some(last)) = (placement.by.first(), placement.by.last()) else { return };
        let newest_used = self.newest_used.entry(placement.node).or_insert(*first);
        let is_conclusive = first >= newest_used || (last < newest_used && !self.delays.is_excessive(at));
        if is_conclusive && self.lagging.count_attempt(placement.node, last < newest_used) {
            let Placement { node, key, .. } = placement;
            let what = format!("n{node} placed key {key:016x} by table {last}, after table {newest_used}");
            violations.add("no-older-table", at, what);
        }
        *newest_used = (*newest_used).max(*first);
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{violation_times_with_placements, NONE};
    use super::*;

    #[test]
    fn an_older_table_after_a_newer_one_is_a_violation() {
        let by = |node, by: &[usize]| Placement { node, key: 1, by: by.to_vec() };
        let rule = || NoOlderTable::new(Rc::default());
        let forwards = vec![(1, by(0, &[0])), (2, by(0, &[0, 1])), (3, by(0, &[1])), (5, by(1, &[0]))];
        let stray = |at| (at, by(0, &[0]));
        let check =
            |more: Vec<_>| violation_times_with_placements(rule(), vec![], [forwards.clone(), more].concat());
        assert_eq!(check(vec![]), NONE);
        assert_eq!(check(vec![stray(6), stray(7), (8, by(0, &[0, 1])), stray(9)]), [9]);
        assert_eq!(
            check(vec![stray(6), stray(7), (8, by(0, &[1])), stray(9)]),
            NONE,
            "a conclusive attempt by the newer table resets the count"
        );
    }
}

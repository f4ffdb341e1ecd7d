//! Rule `no-older-table`: no node uses an older placement table after a newer one, in any of its process generations.

use std::collections::BTreeMap;
use std::rc::Rc;

use hallpin_simulation::time::Time;

use super::starved::Starved;
use super::tables::{Behind, Placed};
use super::{Found, Rule};
use crate::trace::Record;

pub(super) struct NoOlderTable {
    /// For each node a lower bound of the newest table that it has used.
    reached: BTreeMap<usize, usize>,
    behind: Behind,
    starved: Rc<Starved>,
}

impl NoOlderTable {
    pub fn new(starved: Rc<Starved>) -> Self {
        NoOlderTable { reached: BTreeMap::new(), behind: Behind::default(), starved }
    }
}

impl Rule for NoOlderTable {
    fn see(&mut self, _: &Record, _: &mut Found) {}

    fn placed(&mut self, at: Time, placed: &Placed, found: &mut Found) {
        let (Some(first), Some(last)) = (placed.by.first(), placed.by.last()) else { return };
        let reached = self.reached.entry(placed.node).or_insert(*first);
        let tells = first >= reached || (last < reached && !self.starved.lately(at));
        if tells && self.behind.take(placed.node, last < reached) {
            let Placed { node, key, .. } = placed;
            let what = format!("n{node} placed key {key:016x} by table {last}, after table {reached}");
            found.add("no-older-table", at, what);
        }
        *reached = (*reached).max(*first);
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{found_placed, NONE};
    use super::*;

    #[test]
    fn an_older_table_after_a_newer_one_is_found() {
        let by = |node, by: &[usize]| Placed { node, key: 1, by: by.to_vec() };
        let rule = || NoOlderTable::new(Rc::default());
        let forwards = vec![(1, by(0, &[0])), (2, by(0, &[0, 1])), (3, by(0, &[1])), (5, by(1, &[0]))];
        let stray = |at| (at, by(0, &[0]));
        let judged = |more: Vec<_>| found_placed(rule(), vec![], [forwards.clone(), more].concat());
        assert_eq!(judged(vec![]), NONE);
        assert_eq!(judged(vec![stray(6), stray(7), (8, by(0, &[0, 1])), stray(9)]), [9]);
        assert_eq!(
            judged(vec![stray(6), stray(7), (8, by(0, &[1])), stray(9)]),
            NONE,
            "two went astray, and one"
        );
    }
}

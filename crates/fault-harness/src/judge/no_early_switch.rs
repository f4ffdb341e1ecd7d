//! Rule `no-early-switch`: after a partition from another running node, no node uses a placement table that is newer
//! than the partition before that node's lease has ended; and no node ever does while it and the nodes that it can
//! reach are half of all nodes or fewer.

use std::collections::BTreeMap;

use hallpin_simulation::time::{Span, Time};

use super::reach::Reach;
use super::tables::Placed;
use super::{Found, Rule};
use crate::trace::{Event, Record};

pub(super) struct NoEarlySwitch {
    nodes: usize,
    lease: Span,
    reach: Reach,
    /// Time of the last change of the endpoint list.
    listed: Time,
    /// For each node a lower bound of the newest table that it has used.
    reached: BTreeMap<usize, usize>,
}

impl NoEarlySwitch {
    /// `lease` is the minimum time between a cut and the end of a lease.
    pub fn new(nodes: usize, lease: Span) -> Self {
        NoEarlySwitch { nodes, lease, reach: Reach::new(nodes), listed: Time::ZERO, reached: BTreeMap::new() }
    }
}

impl Rule for NoEarlySwitch {
    fn see(&mut self, record: &Record, _: &mut Found) {
        self.reach.see(record);
        if let Event::Listed { .. } = record.event {
            self.listed = record.at;
        }
    }

    fn placed(&mut self, at: Time, placed: &Placed, found: &mut Found) {
        let Placed { node, by, .. } = placed;
        let Some(first) = by.first() else { return };
        let reached = self.reached.entry(*node).or_insert(*first);
        if first <= reached {
            return;
        }
        *reached = *first;
        let parted = (0..self.nodes).filter(|other| self.reach.runs(*other));
        let parted = parted.filter_map(|other| Some((other, self.reach.parted(*node, other)?)));
        for (other, since) in parted.filter(|(_, since)| *since <= self.listed) {
            let passed = at.since(since);
            let what = match passed < self.lease {
                true => format!(
                    "n{node} went on to table {first}, parted from n{other} for {:.3} s",
                    passed.as_secs()
                ),
                false if !self.reach.has_majority(*node) => {
                    format!("n{node} went on to table {first} with half of all nodes or fewer")
                }
                false => continue,
            };
            found.add("no-early-switch", at, what);
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{found_placed, NONE};
    use super::*;
    use crate::relay::Site;
    use hallpin_simulation::list::Phase;

    /// Times of the violations of a run with three nodes, one of which is cut off at 1 s; the list has a new table at 2
    /// s, which `node` uses at `at`.
    fn judged(node: usize, at: u64, cut: bool) -> Vec<u64> {
        let started = |node| (0, Event::NodeStarted { node, life: 1, pid: 1 });
        let link = |a, b| (1000, Event::Link { from: Site::Node(a), to: Site::Node(b), cut });
        let events = vec![
            started(0),
            started(1),
            started(2),
            link(0, 2),
            link(1, 2),
            (2000, Event::Listed { revision: 2, of: 4, phase: Phase::Ready }),
        ];
        let by = |by: usize| Placed { node, key: 1, by: vec![by] };
        found_placed(NoEarlySwitch::new(3, Span::from_millis(1800)), events, vec![(500, by(0)), (at, by(1))])
    }

    #[test]
    fn a_switch_before_the_lease_of_one_that_is_cut_off_is_found_and_so_is_one_of_its_own() {
        assert_eq!(judged(0, 2799, true), [2799]);
        assert_eq!(judged(0, 2800, true), NONE);
        assert_eq!(judged(2, 2800, true), [2800], "the smaller side never may");
        assert_eq!(judged(0, 2100, false), NONE);
    }
}

//! Rule `no-early-switch`: after a partition from another running node, no node uses a placement table that is newer
//! than the partition before that node's lease has ended; and no node ever does while it and the nodes that it can
//! reach are half of all nodes or fewer.

use std::collections::BTreeMap;

use hallpin_simulation::time::{Span, Time};

use super::connectivity::Connectivity;
use super::table_history::Placement;
use super::{Rule, Violations};
use crate::trace::{Event, Record};

pub(super) struct NoEarlySwitch {
    node_count: usize,
    lease: Span,
    connectivity: Connectivity,
    /// Time of the last change of the endpoint list.
    listed: Time,
    /// For each node a lower bound of the newest table that it has used.
    newest_used: BTreeMap<usize, usize>,
}

impl NoEarlySwitch {
    /// `lease` is the minimum time between a cut and the end of a lease.
    pub fn new(node_count: usize, lease: Span) -> Self {
        NoEarlySwitch {
            node_count,
            lease,
            connectivity: Connectivity::new(node_count),
            listed: Time::ZERO,
            newest_used: BTreeMap::new(),
        }
    }
}

impl Rule for NoEarlySwitch {
    fn observe(&mut self, record: &Record, _: &mut Violations) {
        self.connectivity.observe(record);
        if let Event::Listed { .. } = record.event {
            self.listed = record.at;
        }
    }

    fn observe_placement(&mut self, at: Time, placement: &Placement, violations: &mut Violations) {
        let Placement { node, by, .. } = placement;
        let Some(first) = by.first() else { return };
        let newest_used = self.newest_used.entry(*node).or_insert(*first);
        if first <= newest_used {
            return;
        }
        *newest_used = *first;
        let parted = (0..self.node_count).filter(|other| self.connectivity.is_running(*other));
        let parted = parted.filter_map(|other| Some((other, self.connectivity.cut_since(*node, other)?)));
        for (other, since) in parted.filter(|(_, since)| *since <= self.listed) {
            let passed = at.since(since);
            let what = match passed < self.lease {
                true => format!(
                    "n{node} went on to table {first}, parted from n{other} for {:.3} s",
                    passed.as_secs()
                ),
                false if !self.connectivity.has_majority(*node) => {
                    format!("n{node} went on to table {first} with half of all nodes or fewer")
                }
                false => continue,
            };
            violations.add("no-early-switch", at, what);
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{times_with_placements, NONE};
    use super::*;
    use crate::relay::Site;
    use hallpin_simulation::list::Phase;

    /// Times of the violations of a run with three nodes, one of which is cut off at 1 s; the list has a new table at 2
    /// s, which `node` uses at `at`.
    fn check(node: usize, at: u64, cut: bool) -> Vec<u64> {
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
        let by = |by: usize| Placement { node, key: 1, by: vec![by] };
        times_with_placements(
            NoEarlySwitch::new(3, Span::from_millis(1800)),
            events,
            vec![(500, by(0)), (at, by(1))],
        )
    }

    #[test]
    fn a_switch_before_the_lease_of_one_that_is_cut_off_is_found_and_so_is_one_of_its_own() {
        assert_eq!(check(0, 2799, true), [2799]);
        assert_eq!(check(0, 2800, true), NONE);
        assert_eq!(check(2, 2800, true), [2800], "the smaller side never may");
        assert_eq!(check(0, 2100, false), NONE);
    }
}

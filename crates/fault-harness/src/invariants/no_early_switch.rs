//! Rule `no-early-switch`: a node that is partitioned from another running node does not switch to a placement table
//! that was listed after the partition before the other node's lease has ended; and it never does while it and the
//! nodes that it can reach are half of all nodes or fewer.

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
    list_changed: Time,
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
            list_changed: Time::ZERO,
            newest_used: BTreeMap::new(),
        }
    }
}

impl Rule for NoEarlySwitch {
    fn observe(&mut self, record: &Record, _: &mut Violations) {
        self.connectivity.observe(record);
        if let Event::Listed { .. } = record.event {
            self.list_changed = record.at;
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
        let cut_off = (0..self.node_count).filter(|other| self.connectivity.is_running(*other));
        let cut_off = cut_off.filter_map(|other| Some((other, self.connectivity.cut_since(*node, other)?)));
        for (other, since) in cut_off.filter(|(_, since)| *since <= self.list_changed) {
            let passed = at.since(since);
            let what = match passed < self.lease {
                true => format!(
                    "n{node} switched to table {first}, partitioned from n{other} for only {:.3} s",
                    passed.as_secs()
                ),
                false if !self.connectivity.has_majority(*node) => {
                    format!("n{node} switched to table {first} without a majority of the nodes")
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
    use super::super::tests::{violation_times_with_placements, NONE};
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
        violation_times_with_placements(
            NoEarlySwitch::new(3, Span::from_millis(1800)),
            events,
            vec![(500, by(0)), (at, by(1))],
        )
    }

    #[test]
    fn a_switch_before_the_lease_of_a_cut_off_node_ends_or_by_the_minority_is_a_violation() {
        assert_eq!(check(0, 2799, true), [2799]);
        assert_eq!(check(0, 2800, true), NONE);
        assert_eq!(check(2, 2800, true), [2800], "the minority must never switch");
        assert_eq!(check(0, 2100, false), NONE);
    }
}

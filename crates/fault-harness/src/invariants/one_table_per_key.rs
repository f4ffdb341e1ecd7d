//! Rule `one-table-per-key`: once a node uses a placement table, all others use it or a newer one within a
//! bound, except nodes that are or recently were cut off, paused or started.

use std::rc::Rc;

use hallpin_simulation::time::{Span, Time};

use super::connectivity::Connectivity;
use super::scheduling_delay::SchedulingDelay;
use super::table_history::{LaggingNodes, Placement};
use super::{Rule, Violations};
use crate::trace::Record;

pub(super) struct OneTablePerKey {
    /// Maximum time from the first use of a table until all nodes use it or a newer one.
    spread: Span,
    /// How long a node that rejoined may lag behind.
    catch_up: Span,
    connectivity: Connectivity,
    /// For each table the time at which a node first used it or a newer one.
    first_used: Vec<Option<Time>>,
    lagging: LaggingNodes,
    delays: Rc<SchedulingDelay>,
}

impl OneTablePerKey {
    pub fn new(node_count: usize, spread: Span, catch_up: Span, delays: Rc<SchedulingDelay>) -> Self {
        let (connectivity, first_used, lagging) =
            (Connectivity::new(node_count), Vec::new(), LaggingNodes::default());
        OneTablePerKey { spread, catch_up, connectivity, first_used, lagging, delays }
    }
}

impl Rule for OneTablePerKey {
    fn observe(&mut self, record: &Record, _: &mut Violations) {
        self.connectivity.observe(record);
    }

    fn observe_placement(&mut self, at: Time, placement: &Placement, violations: &mut Violations) {
        let (Some(first), Some(last)) = (placement.by.first(), placement.by.last()) else { return };
        if self.first_used.len() <= *last {
            self.first_used.resize(last + 1, None);
        }
        for first_used in self.first_used.iter_mut().take(first + 1) {
            first_used.get_or_insert(at);
        }
        // The earliest used table among those newer than the tables that this attempt fits.
        let newer = self
            .first_used
            .iter()
            .enumerate()
            .skip(last + 1)
            .filter_map(|(t, first_used)| Some((t, (*first_used)?)));
        let newer = newer.min_by_key(|(_, first_used)| *first_used);
        let Placement { node, key, .. } = placement;
        let is_late = |first_used: Time| {
            !self.delays.is_excessive(at)
                && at.since(first_used) > self.spread + self.delays.allowance(first_used, at)
        };
        let Some((table, first_used)) = newer else {
            // The attempt fits the newest table in use; it clears the node only if it fits no other table.
            if first == last {
                self.lagging.count_attempt(*node, false);
            }
            return;
        };
        if is_late(first_used)
            && !self.connectivity.was_disconnected(*node, at, self.catch_up)
            && self.lagging.count_attempt(*node, true)
        {
            let late = at.since(first_used).as_secs();
            let what = format!(
                "n{node} placed key {key:016x} by table {last}, {late:.3} s after the first use of table {table}"
            );
            violations.add("one-table-per-key", at, what);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{violation_times_with_placements, NONE};
    use super::*;
    use crate::trace::Event;

    #[test]
    fn a_lagging_node_is_a_violation_unless_it_was_disconnected() {
        let by = |node, by: &[usize]| Placement { node, key: 1, by: by.to_vec() };
        let violation_times = |at, events| {
            let rule = OneTablePerKey::new(2, Span::from_millis(300), Span::from_millis(2000), Rc::default());
            let lagging = |at| (at, by(1, &[0]));
            let placement = [(1000, by(0, &[0])), (3000, by(0, &[1]))];
            violation_times_with_placements(rule, events, [placement.to_vec(), vec![lagging(at); 3]].concat())
        };
        assert_eq!(violation_times(3300, vec![]), NONE);
        assert_eq!(violation_times(3301, vec![]), [3301]);
        let out = vec![(100, Event::NodePaused { node: 1 }), (3200, Event::NodeResumed { node: 1 })];
        assert_eq!(violation_times(5200, out.clone()), NONE);
        assert_eq!(violation_times(5201, out), [5201]);
    }
}

//! Rule `one-table-per-key`: once a node uses a placement table, all others do within a bound, except nodes that are or
//! recently were cut off, paused or started.

use std::rc::Rc;

use hallpin_simulation::time::{Span, Time};

use super::reach::Reach;
use super::starved::Starved;
use super::tables::{Behind, Placed};
use super::{Found, Rule};
use crate::trace::Record;

pub(super) struct OneTablePerKey {
    spread: Span,
    catch_up: Span,
    reach: Reach,
    /// For each table the time at which a node first used it or a newer one.
    begun: Vec<Option<Time>>,
    behind: Behind,
    starved: Rc<Starved>,
}

impl OneTablePerKey {
    pub fn new(nodes: usize, spread: Span, catch_up: Span, starved: Rc<Starved>) -> Self {
        let (reach, begun, behind) = (Reach::new(nodes), Vec::new(), Behind::default());
        OneTablePerKey { spread, catch_up, reach, begun, behind, starved }
    }
}

impl Rule for OneTablePerKey {
    fn see(&mut self, record: &Record, _: &mut Found) {
        self.reach.see(record);
    }

    fn placed(&mut self, at: Time, placed: &Placed, found: &mut Found) {
        let (Some(first), Some(last)) = (placed.by.first(), placed.by.last()) else { return };
        if self.begun.len() <= *last {
            self.begun.resize(last + 1, None);
        }
        for begun in self.begun.iter_mut().take(first + 1) {
            begun.get_or_insert(at);
        }
        // Of the tables newer than those that this attempt fits, the one that was first used earliest.
        let newer =
            self.begun.iter().enumerate().skip(last + 1).filter_map(|(t, begun)| Some((t, (*begun)?)));
        let newer = newer.min_by_key(|(_, begun)| *begun);
        let Placed { node, key, .. } = placed;
        let late = |begun: Time| {
            !self.starved.lately(at) && at.since(begun) > self.spread + self.starved.between(begun, at)
        };
        let Some((table, begun)) = newer else {
            // The attempt fits the newest table in use; it clears the node only if it fits no other table.
            if first == last {
                self.behind.take(*node, false);
            }
            return;
        };
        if late(begun) && !self.reach.was_out(*node, at, self.catch_up) && self.behind.take(*node, true) {
            let late = at.since(begun).as_secs();
            let what = format!(
                "n{node} placed key {key:016x} by table {last}, {late:.3} s after one had begun with {table}"
            );
            found.add("one-table-per-key", at, what);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{found_placed, NONE};
    use super::*;
    use crate::trace::Event;

    #[test]
    fn a_node_that_stays_behind_is_found_unless_it_is_out_of_it() {
        let by = |node, by: &[usize]| Placed { node, key: 1, by: by.to_vec() };
        let judged = |late, events| {
            let rule = OneTablePerKey::new(2, Span::from_millis(300), Span::from_millis(2000), Rc::default());
            let behind = |late| (late, by(1, &[0]));
            let placed = [(1000, by(0, &[0])), (3000, by(0, &[1]))];
            found_placed(rule, events, [placed.to_vec(), vec![behind(late); 3]].concat())
        };
        assert_eq!(judged(3300, vec![]), NONE);
        assert_eq!(judged(3301, vec![]), [3301]);
        let out = vec![(100, Event::NodePaused { node: 1 }), (3200, Event::NodeResumed { node: 1 })];
        assert_eq!(judged(5200, out.clone()), NONE);
        assert_eq!(judged(5201, out), [5201]);
    }
}

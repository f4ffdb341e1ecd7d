//! Rule `whole-kept`: the connections open at a box, by the box's own count, never exceed its connection limit.

use std::collections::BTreeMap;

use super::{Rule, Violations};
use crate::trace::{Event, Record};

#[derive(Default)]
pub(super) struct WholeKept {
    /// For each box its connection limit, and the number of open connections.
    boxes: BTreeMap<usize, (u32, u32)>,
}

impl WholeKept {
    pub fn new() -> Self {
        WholeKept::default()
    }
}

impl Rule for WholeKept {
    fn observe(&mut self, record: &Record, violations: &mut Violations) {
        match record.event {
            Event::BoxUp { of, whole, .. } => self.boxes.entry(of).or_default().0 = whole,
            Event::Opened { of, node, .. } => {
                let (whole, open) = self.boxes.entry(of).or_default();
                *open += 1;
                if open > whole {
                    let what = format!(
                        "b{of} has {open} connections open, the last from n{node}; its limit is {whole}"
                    );
                    violations.add("whole-kept", record.at, what);
                }
            }
            Event::Closed { of, .. } => {
                let (_, open) = self.boxes.entry(of).or_default();
                *open = open.saturating_sub(1);
            }
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{violation_times, NONE};
    use super::*;

    fn history(third_at: u64) -> Vec<(u64, Event)> {
        let opened = |connection| Event::Opened { of: 0, node: 0, connection };
        let mut events = vec![
            (0, Event::BoxUp { of: 0, life: 1, whole: 2, cold: false }),
            (1, opened(1)),
            (2, opened(2)),
            (4, Event::Closed { of: 0, connection: 1 }),
            (third_at, opened(3)),
        ];
        events.sort_by_key(|(at, _)| *at);
        events
    }

    #[test]
    fn only_a_connection_beyond_the_limit_is_a_violation() {
        assert_eq!(violation_times(WholeKept::new(), history(3)), [3]);
        assert_eq!(violation_times(WholeKept::new(), history(5)), NONE);
    }
}

//! Timeouts of suspected nodes, which shrink as other nodes confirm the suspicion independently (Lifeguard).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::names::{Moment, NodeId};

/// Progress from the longest to the shortest timeout with c of k confirmations, in thousandths: log(c + 1) / log(k +
/// 1), as in Lifeguard. A table, so that all machines compute the same value. With no node to confirm, the longest
/// timeout applies.
const SHRINK_THOUSANDTHS: [[u32; 4]; 4] =
    [[0; 4], [0, 1000, 1000, 1000], [0, 631, 1000, 1000], [0, 500, 792, 1000]];

#[derive(Clone, Debug, Default)]
pub(crate) struct Suspicions {
    open: BTreeMap<NodeId, Suspicion>,
    /// When the suspected nodes are pinged again.
    next_ping_at: Moment,
}

#[derive(Clone, Debug)]
struct Suspicion {
    /// Distinct nodes that suspect this one; the first opened the suspicion, the others confirmed it.
    accusers: Vec<NodeId>,
    /// When the suspicion was opened, moved on by the pauses of this node.
    since: Moment,
    /// Number of confirmations that shrink the timeout to `min`, 0 to 3.
    expected: usize,
    /// Timeout once all expected confirmations have arrived.
    min: Duration,
    /// Timeout without a confirmation.
    max: Duration,
}

impl Suspicion {
    fn ends_at(&self) -> Moment {
        let confirmed = (self.accusers.len() - 1).min(3);
        self.since + self.max - (self.max - self.min) * SHRINK_THOUSANDTHS[self.expected][confirmed] / 1000
    }
}

impl Suspicions {
    /// Opens a suspicion or counts another accuser, and returns whether there is only one accuser so far. `times` are
    /// the shortest and the longest timeout of a new suspicion.
    pub fn accuse(
        &mut self,
        now: Moment,
        node: NodeId,
        by: NodeId,
        expected: usize,
        times: (Duration, Duration),
    ) -> bool {
        let expected = expected.min(3);
        let (min, max) = times;
        if self.open.is_empty() {
            self.next_ping_at = now;
        }
        let open = self.open.entry(node).or_insert_with(|| Suspicion {
            accusers: vec![],
            since: now,
            expected,
            min,
            max,
        });
        if !open.accusers.contains(&by) && open.accusers.len() <= open.expected {
            open.accusers.push(by);
        }
        open.accusers.len() == 1
    }

    /// Returns whether another accuser would change nothing: it is already counted, or the limit is reached.
    pub fn has_counted(&self, node: NodeId, by: NodeId) -> bool {
        let counted = |open: &Suspicion| open.accusers.contains(&by) || open.accusers.len() > open.expected;
        self.open.get(&node).is_some_and(counted)
    }

    /// Ends a suspicion that was refuted or decided.
    pub fn close(&mut self, node: NodeId) {
        self.open.remove(&node);
    }

    /// Returns one of the accusers; as `time` counts up, each accuser has its turn.
    pub fn accuser(&self, node: NodeId, time: usize) -> Option<NodeId> {
        let accusers = &self.open.get(&node)?.accusers;
        accusers.get(time % accusers.len().max(1)).copied()
    }

    /// Returns the nodes whose timeout has passed. A node heard within the shortest timeout stays suspected: it is up,
    /// and only its refutation is missing.
    pub fn expired(&self, now: Moment, last_heard: impl Fn(NodeId) -> Option<Moment>) -> Vec<NodeId> {
        let is_expired = |node: NodeId, open: &Suspicion| {
            open.ends_at() <= now && last_heard(node).is_none_or(|last_heard| last_heard + open.min <= now)
        };
        self.open.iter().filter(|(node, open)| is_expired(**node, open)).map(|(node, _)| *node).collect()
    }

    /// Returns the suspected nodes, which are pinged again, once in each interval `every`; else none.
    pub fn due_pings(&mut self, now: Moment, every: Duration) -> Vec<NodeId> {
        if now < self.next_ping_at || self.open.is_empty() {
            return Vec::new();
        }
        self.next_ping_at = now + every;
        self.open.keys().copied().collect()
    }

    /// Returns when the next timeout passes or the suspected nodes are pinged again.
    pub fn due(&self, last_heard: impl Fn(NodeId) -> Option<Moment>) -> Option<Moment> {
        let ends_at = |node: NodeId, open: &Suspicion| {
            last_heard(node).map_or(open.ends_at(), |last_heard| open.ends_at().max(last_heard + open.min))
        };
        let first = self.open.iter().map(|(node, open)| ends_at(*node, open)).min();
        first.map(|first| first.min(self.next_ping_at))
    }

    /// Extends all timeouts after this node itself was paused, because no node could answer it meanwhile.
    pub fn postpone(&mut self, by: Duration) {
        for open in self.open.values_mut() {
            open.since += by;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn timeout_shrinks_with_distinct_accusers_but_not_with_repetitions() {
        let ms = Duration::from_millis;
        let mut suspicions = Suspicions::default();
        let mut ends = Vec::new();
        for by in [1, 1, 1, 2, 3, 3, 4, 5] {
            suspicions.accuse(ms(0), NodeId(9), NodeId(by), 3, (ms(500), ms(2000)));
            suspicions.due_pings(ms(0), ms(9000));
            ends.push(suspicions.due(|_| None).unwrap().as_millis());
        }
        assert_eq!(ends, [2000, 2000, 2000, 1250, 812, 812, 500, 500]);
        assert!(suspicions.expired(ms(499), |_| None).is_empty());
        assert!(
            suspicions.expired(ms(600), |_| Some(ms(200))).is_empty(),
            "heard directly but declared dead"
        );
        assert_eq!(suspicions.expired(ms(700), |_| Some(ms(200))), [NodeId(9)]);
    }
}

//! Restarts: nine in ten restarted nodes must be ready within 10 s.

use super::*;

const IN_TIME: Span = Span::from_millis(10_000);
/// One in this many restarts may take longer.
const FOR_EACH_LATE: u64 = 10;

/// Counts of restarted processes, and of those that were not ready in time.
#[derive(Default)]
pub(super) struct Restarts {
    /// Nodes that have run before, whose next start is a restart.
    ran: FxHashSet<NodeId>,
    starting: FxHashMap<NodeId, Time>,
    all: u64,
    late: u64,
    /// True if the trace has readiness events. In virtual time it has none, as nodes are ready at once.
    told: bool,
}

impl Restarts {
    pub fn up(&mut self, at: Time, node: NodeId) {
        if !self.ran.insert(node) {
            self.starting.insert(node, at);
        }
    }

    pub fn ready(&mut self, at: Time, node: NodeId) {
        self.told = true;
        if let Some(since) = self.starting.remove(&node) {
            self.judge(at, since);
        }
    }

    /// Counts a process that ends before it is ready as late if its time had passed; otherwise it isn't counted.
    pub fn ended(&mut self, at: Time, node: NodeId) {
        if let Some(since) = self.starting.remove(&node).filter(|since| at.since(*since) > IN_TIME) {
            self.judge(at, since);
        }
    }

    fn judge(&mut self, at: Time, since: Time) {
        self.all += 1;
        self.late += u64::from(at.since(since) > IN_TIME);
    }
}

impl Referee {
    /// Compares the late restarts of the run with the share that may be late.
    pub(super) fn restarts_in_all(&mut self, at: Time) {
        let starting: Vec<NodeId> = self.restarts.starting.keys().copied().collect();
        starting.into_iter().for_each(|node| self.restarts.ended(at, node));
        let Restarts { all, late, told, .. } = self.restarts;
        if told && late * FOR_EACH_LATE > all {
            let what = format!("{late} of {all} restarted nodes were not ready within {IN_TIME}");
            self.breach(Rule::Ready, at, what);
        }
    }
}

//! Restarts: nine in ten restarted nodes must be ready within 10 s.

use super::*;

/// Time within which a restarted node must be ready.
const READY_TIME_LIMIT: Span = Span::from_millis(10_000);
/// One in this many restarts may take longer.
const RESTARTS_PER_LATE_ONE: u64 = 10;

/// Counts of restarted processes, and of those that were not ready in time.
#[derive(Default)]
pub(super) struct Restarts {
    /// Nodes that have run before, whose next start is a restart.
    has_run: FxHashSet<NodeId>,
    /// Restarted nodes that are not ready yet, and when they started.
    starting: FxHashMap<NodeId, Time>,
    restarted: u64,
    late: u64,
    /// True if the trace has readiness events. In virtual time it has none, as nodes are ready at once.
    readiness_reported: bool,
}

impl Restarts {
    pub fn up(&mut self, at: Time, node: NodeId) {
        if !self.has_run.insert(node) {
            self.starting.insert(node, at);
        }
    }

    pub fn ready(&mut self, at: Time, node: NodeId) {
        self.readiness_reported = true;
        if let Some(since) = self.starting.remove(&node) {
            self.count_restart(at, since);
        }
    }

    /// Counts a process that ends before it is ready as late if its time had passed; otherwise it isn't counted.
    pub fn ended(&mut self, at: Time, node: NodeId) {
        if let Some(since) = self.starting.remove(&node).filter(|since| at.since(*since) > READY_TIME_LIMIT) {
            self.count_restart(at, since);
        }
    }

    fn count_restart(&mut self, at: Time, since: Time) {
        self.restarted += 1;
        self.late += u64::from(at.since(since) > READY_TIME_LIMIT);
    }
}

impl InvariantChecker {
    /// Compares the late restarts of the run with the share that may be late.
    pub(super) fn check_restarts(&mut self, at: Time) {
        let starting: Vec<NodeId> = self.restarts.starting.keys().copied().collect();
        starting.into_iter().for_each(|node| self.restarts.ended(at, node));
        let Restarts { restarted, late, readiness_reported, .. } = self.restarts;
        if readiness_reported && late * RESTARTS_PER_LATE_ONE > restarted {
            let what =
                format!("{late} of {restarted} restarted nodes were not ready within {READY_TIME_LIMIT}");
            self.report_violation(Rule::Ready, at, what);
        }
    }
}

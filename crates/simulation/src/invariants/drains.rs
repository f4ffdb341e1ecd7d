//! Rule three: a node sends nothing new to a draining or removed box once the grace period after its notification has
//! passed.

use super::*;

/// State of a box as a node has been notified of it.
#[derive(Default)]
pub(super) struct NotifiedBox {
    pub phase: Option<Phase>,
    /// Time of the first notification, since the box was last ready, that the box drains or is gone.
    pub closing_since: Option<Time>,
    /// Start of the process, if it started during the run.
    pub started: Option<Time>,
}

impl InvariantChecker {
    /// Checks that a node sends an attempt to a box that it may use.
    pub(super) fn check_target(&mut self, at: Time, node: NodeId, to: BoxId) {
        self.verdict.attempts += 1;
        self.second_at(at).attempts += 1;
        let known = self.notified.get(&(node, to));
        let late =
            known.and_then(|k| k.closing_since).filter(|since| at > *since + self.parameters.drain_grace);
        if known.and_then(|k| k.phase).is_none() {
            self.report_violation(
                Rule::Drain,
                at,
                format!("node {node} sent to box {to}, which was never in its endpoint list"),
            );
        } else if let Some(since) = late {
            let elapsed = at.since(since);
            self.report_violation(
                Rule::Drain,
                at,
                format!("node {node} sent to box {to} {elapsed} after notice that the box is closing"),
            );
        }
    }

    pub(super) fn box_notified(
        &mut self,
        at: Time,
        node: NodeId,
        of: BoxId,
        phase: Phase,
        started: Option<Time>,
    ) {
        let known = self.notified.entry((node, of)).or_default();
        known.started = started;
        known.phase = Some(phase);
        match phase {
            Phase::Ready => known.closing_since = None,
            // The grace period runs from the first notification, not from repeated ones.
            Phase::Draining | Phase::Gone => {
                known.closing_since.get_or_insert(at);
            }
        }
    }
}

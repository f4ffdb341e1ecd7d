//! Rule three: a node sends nothing new to a draining or removed box once the grace period after its notification has
//! passed.

use super::*;

/// State of a box as a node has been notified of it.
#[derive(Default)]
pub(super) struct Known {
    pub phase: Option<Phase>,
    /// Time of the first notification that the box drains or is gone.
    pub closing: Option<Time>,
    pub started: Option<Time>,
}

impl Referee {
    /// Checks that a node sends an attempt to a box that it may use.
    pub(super) fn sends(&mut self, at: Time, node: NodeId, to: BoxId) {
        self.verdict.attempts += 1;
        self.second(at).attempts += 1;
        let known = self.told.get(&(node, to));
        let late = known.and_then(|k| k.closing).filter(|since| at > *since + self.terms.drain_grace);
        if known.and_then(|k| k.phase).is_none() {
            self.breach(Rule::Drain, at, format!("node {node} sent to box {to}, which its list never named"));
        } else if let Some(since) = late {
            let held = at.since(since);
            self.breach(Rule::Drain, at, format!("node {node} sent to box {to} {held} after it was told"));
        }
    }

    pub(super) fn hears(&mut self, at: Time, node: NodeId, of: BoxId, phase: Phase, started: Option<Time>) {
        let known = self.told.entry((node, of)).or_default();
        known.started = started;
        known.phase = Some(phase);
        match phase {
            Phase::Ready => known.closing = None,
            // The grace period runs from the first notification, not from repeated ones.
            Phase::Draining | Phase::Gone => {
                known.closing.get_or_insert(at);
            }
        }
    }
}

//! Time from which a node is responsible for a change of the endpoint list, whether or not the change has arrived. The
//! rules on drains and cold starts use this time.
//!
//! A pushed change counts once the node's agent has it, a polled one 6 s later at the latest. A silent watch is broken,
//! whether the list is pushed or polled: a change that it misses counts 6 s after the watch fell silent, or 2 s after
//! the wait of its long poll ends if that is later. After SIGHUP no change counts earlier than 4 s after it. A change
//! that has arrived counts at once.
//!
//! After a call that failed, was rejected or was abandoned, and until the watch is reopened, every change counts 6 s
//! after discovery had it and was reachable, or sooner: this limit overrides the longer time of a silent call.

use super::*;

/// A change that discovery offers, or that a silent watch misses, counts as notified after this time.
const POLL_LIMIT: Span = Span::from_millis(6000);
/// Added to the wait of a silent long poll.
const WAIT_MARGIN: Span = Span::from_millis(2000);
/// After SIGHUP, no change counts as notified before this time has passed.
const RECONFIGURATION_DELAY: Span = Span::from_millis(4000);

/// Entry of a box in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EndpointState {
    pub phase: Phase,
    /// Start of the process, if it started during the run.
    pub started: Option<Time>,
}

/// Notification deadlines of all nodes. For each node and box at most the last pending change is kept.
#[derive(Default)]
pub(super) struct NotificationDeadlines {
    /// Time from which changes missed by a node's silent watch count.
    silent_until: FxHashMap<NodeId, Time>,
    /// Earliest time at which changes count after a node's SIGHUP.
    reconfigured_until: FxHashMap<NodeId, Time>,
    /// Nodes whose last call to discovery has failed.
    failed_calls: FxHashSet<NodeId>,
    /// Pending changes: deadline, deadline after a failed call, and the new state.
    pending: BTreeMap<(NodeId, BoxId), (Time, Time, EndpointState)>,
    /// Pending changes by deadline.
    due: BTreeSet<(Time, NodeId, BoxId)>,
}

impl NotificationDeadlines {
    pub fn watch_silent(&mut self, at: Time, node: NodeId, waits: Option<Span>) {
        let wait = waits.map_or(at, |waits| at + waits + WAIT_MARGIN);
        self.silent_until.insert(node, (at + POLL_LIMIT).max(wait));
    }

    pub fn watch_opened(&mut self, node: NodeId) {
        self.silent_until.remove(&node);
        self.failed_calls.remove(&node);
    }

    /// Records a failed call of a node, which shortens the deadlines of its pending changes.
    pub fn call_failed(&mut self, node: NodeId) {
        self.failed_calls.insert(node);
        let late =
            self.pending.range_mut((node, 0)..=(node, BoxId::MAX)).filter(|(_, (at, latest, _))| at > latest);
        for ((node, of), (at, latest, _)) in late {
            self.due.remove(&(*at, *node, *of));
            self.due.insert((*latest, *node, *of));
            *at = *latest;
        }
    }

    pub fn reconfigured(&mut self, at: Time, node: NodeId) {
        self.reconfigured_until.insert(node, at + RECONFIGURATION_DELAY);
    }

    /// Records a change that is available for a node and sets its deadline.
    pub fn change_available(&mut self, at: Time, node: NodeId, of: BoxId, state: EndpointState, asked: bool) {
        let usual = if asked { at + POLL_LIMIT } else { at };
        let silent = self.silent_until.get(&node).copied().unwrap_or(at);
        let reconfigured = self.reconfigured_until.get(&node).copied().unwrap_or(at);
        let latest = at + POLL_LIMIT;
        let longest = usual.max(silent).max(reconfigured);
        let deadline = if self.failed_calls.contains(&node) { longest.min(latest) } else { longest };
        // A newer change replaces a pending one, but keeps its deadline if both of them close the box.
        let closes = |state: &EndpointState| state.phase != Phase::Ready;
        let before = self.take_pending(node, of).filter(|(.., old)| closes(old) && closes(&state));
        let (deadline, latest) = before.map_or((deadline, latest), |(first, latest, _)| (first, latest));
        self.pending.insert((node, of), (deadline, latest, state));
        self.due.insert((deadline, node, of));
    }

    /// Drops the pending change of a box that a node has now been notified of.
    pub fn change_arrived(&mut self, node: NodeId, of: BoxId) {
        self.take_pending(node, of);
    }

    fn take_pending(&mut self, node: NodeId, of: BoxId) -> Option<(Time, Time, EndpointState)> {
        let (at, latest, state) = self.pending.remove(&(node, of))?;
        self.due.remove(&(at, node, of));
        Some((at, latest, state))
    }

    /// Takes the next change whose deadline has passed.
    pub fn take_due(&mut self, now: Time) -> Option<(Time, NodeId, BoxId, EndpointState)> {
        let (at, node, of) = self.due.first().copied().filter(|(at, ..)| *at <= now)?;
        let (.., state) = self.take_pending(node, of)?;
        Some((at, node, of, state))
    }

    /// Resets the state of a node whose process has ended; the next process starts without pending changes.
    pub fn process_ended(&mut self, node: NodeId) {
        self.watch_opened(node);
        self.reconfigured_until.remove(&node);
        let boxes: Vec<BoxId> =
            self.pending.range((node, 0)..=(node, BoxId::MAX)).map(|((_, of), _)| *of).collect();
        for of in boxes {
            self.change_arrived(node, of);
        }
    }
}

impl InvariantChecker {
    /// Applies all changes whose notification deadline has passed, arrived or not.
    pub(super) fn apply_due_notifications(&mut self, now: Time) {
        while let Some((at, node, of, EndpointState { phase, started })) =
            self.notification_deadlines.take_due(now)
        {
            self.box_notified(at, node, of, phase, started);
        }
    }
}

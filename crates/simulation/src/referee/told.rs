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
const LATEST: Span = Span::from_millis(6000);
/// Added to the wait of a silent long poll.
const PAST_WAIT: Span = Span::from_millis(2000);
/// After SIGHUP, no change counts as notified before this time has passed.
const PAST_HUP: Span = Span::from_millis(4000);

/// Entry of a box in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct News {
    pub phase: Phase,
    pub started: Option<Time>,
}

/// Notification deadlines of all nodes. For each node and box at most the last pending change is kept.
#[derive(Default)]
pub(super) struct Clocks {
    /// Time from which changes missed by a node's silent watch count.
    silent: FxHashMap<NodeId, Time>,
    /// Earliest time at which changes count after a node's SIGHUP.
    hup: FxHashMap<NodeId, Time>,
    /// Nodes whose last call to discovery has failed.
    failed: FxHashSet<NodeId>,
    /// Pending changes: deadline, deadline after a failed call, and the new state.
    pending: BTreeMap<(NodeId, BoxId), (Time, Time, News)>,
    due: BTreeSet<(Time, NodeId, BoxId)>,
}

impl Clocks {
    pub fn silent(&mut self, at: Time, node: NodeId, waits: Option<Span>) {
        let wait = waits.map_or(at, |waits| at + waits + PAST_WAIT);
        self.silent.insert(node, (at + LATEST).max(wait));
    }

    pub fn opened(&mut self, node: NodeId) {
        self.silent.remove(&node);
        self.failed.remove(&node);
    }

    /// Records a failed call of a node, which shortens the deadlines of its pending changes.
    pub fn failed(&mut self, node: NodeId) {
        self.failed.insert(node);
        let late =
            self.pending.range_mut((node, 0)..=(node, BoxId::MAX)).filter(|(_, (at, latest, _))| at > latest);
        for ((node, of), (at, latest, _)) in late {
            self.due.remove(&(*at, *node, *of));
            self.due.insert((*latest, *node, *of));
            *at = *latest;
        }
    }

    pub fn hup(&mut self, at: Time, node: NodeId) {
        self.hup.insert(node, at + PAST_HUP);
    }

    /// Records a change that is available for a node and sets its deadline.
    pub fn has(&mut self, at: Time, node: NodeId, of: BoxId, news: News, asked: bool) {
        let usual = if asked { at + LATEST } else { at };
        let silent = self.silent.get(&node).copied().unwrap_or(at);
        let hup = self.hup.get(&node).copied().unwrap_or(at);
        let latest = at + LATEST;
        let longest = usual.max(silent).max(hup);
        let counts = if self.failed.contains(&node) { longest.min(latest) } else { longest };
        // A newer change replaces a pending one, but keeps its deadline if both of them close the box.
        let closes = |news: &News| news.phase != Phase::Ready;
        let before = self.taken(node, of).filter(|(.., old)| closes(old) && closes(&news));
        let (counts, latest) = before.map_or((counts, latest), |(first, latest, _)| (first, latest));
        self.pending.insert((node, of), (counts, latest, news));
        self.due.insert((counts, node, of));
    }

    /// Drops the pending change of a box that a node has now been notified of.
    pub fn arrived(&mut self, node: NodeId, of: BoxId) {
        self.taken(node, of);
    }

    fn taken(&mut self, node: NodeId, of: BoxId) -> Option<(Time, Time, News)> {
        let (at, latest, news) = self.pending.remove(&(node, of))?;
        self.due.remove(&(at, node, of));
        Some((at, latest, news))
    }

    /// Takes the next change whose deadline has passed.
    pub fn counted(&mut self, now: Time) -> Option<(Time, NodeId, BoxId, News)> {
        let (at, node, of) = self.due.first().copied().filter(|(at, ..)| *at <= now)?;
        let (.., news) = self.taken(node, of)?;
        Some((at, node, of, news))
    }

    /// Resets the state of a node whose process has ended; the next process starts without pending changes.
    pub fn ended(&mut self, node: NodeId) {
        self.opened(node);
        self.hup.remove(&node);
        let boxes: Vec<BoxId> =
            self.pending.range((node, 0)..=(node, BoxId::MAX)).map(|((_, of), _)| *of).collect();
        for of in boxes {
            self.arrived(node, of);
        }
    }
}

impl Referee {
    /// Applies all changes whose notification deadline has passed, arrived or not.
    pub(super) fn counts_as_told(&mut self, now: Time) {
        while let Some((at, node, of, News { phase, started })) = self.clocks.counted(now) {
            self.hears(at, node, of, phase, started);
        }
    }
}

//! Connectivity of the nodes: which can reach each other, and which are or recently were cut off, paused or not
//! running.

use std::collections::{BTreeMap, BTreeSet};

use hallpin_simulation::time::{Span, Time};

use crate::relay::Site;
use crate::trace::{Event, Record};

/// State of the links between nodes and of their processes.
#[derive(Default)]
pub(super) struct Connectivity {
    node_count: usize,
    /// Directions that are cut, with the time of the cut.
    cut: BTreeMap<(usize, usize), Time>,
    paused: BTreeSet<usize>,
    running: BTreeSet<usize>,
    /// Time at which each node last rejoined: a cut of one of its links healed, or it was resumed, started or became
    /// ready.
    rejoined: BTreeMap<usize, Time>,
}

impl Connectivity {
    pub fn new(node_count: usize) -> Self {
        Connectivity { node_count, ..Connectivity::default() }
    }

    pub fn observe(&mut self, record: &Record) {
        let at = record.at;
        match record.event {
            Event::Link { from: Site::Node(from), to: Site::Node(to), cut } if from != to => {
                if cut {
                    self.cut.entry((from, to)).or_insert(at);
                } else if self.cut.remove(&(from, to)).is_some() {
                    self.rejoined.extend([(from, at), (to, at)]);
                }
            }
            Event::NodePaused { node } => drop(self.paused.insert(node)),
            Event::NodeResumed { node } => {
                self.paused.remove(&node);
                self.rejoined.insert(node, at);
            }
            Event::NodeStarted { node, .. } => {
                self.running.insert(node);
                self.rejoined.insert(node, at);
            }
            Event::NodeReady { node, .. } => drop(self.rejoined.insert(node, at)),
            Event::NodeEnded { node, .. } => drop(self.running.remove(&node)),
            _ => {}
        }
    }

    /// Time since which two nodes cannot reach each other in both directions, if they cannot.
    pub fn cut_since(&self, a: usize, b: usize) -> Option<Time> {
        let since = [(a, b), (b, a)].into_iter().filter_map(|direction| self.cut.get(&direction));
        since.min().copied()
    }

    /// Whether the node has a process, running or paused.
    pub fn is_running(&self, node: usize) -> bool {
        self.running.contains(&node)
    }

    /// Whether the node and those that it can reach in both directions are more than half of all nodes.
    pub fn has_majority(&self, node: usize) -> bool {
        let is_up = |other: &usize| self.running.contains(other) && !self.paused.contains(other);
        let reachable = (0..self.node_count)
            .filter(|other| *other == node || (is_up(other) && self.cut_since(node, *other).is_none()));
        reachable.count() * 2 > self.node_count
    }

    /// Whether a link of the node is cut, the node is paused, or it rejoined at most `within` before `at`.
    pub fn was_disconnected(&self, node: usize, at: Time, within: Span) -> bool {
        let cut = self.cut.keys().any(|(from, to)| *from == node || *to == node);
        cut || self.paused.contains(&node)
            || self.rejoined.get(&node).is_some_and(|rejoined| at.since(*rejoined) <= within)
    }
}

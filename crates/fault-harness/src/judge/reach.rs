//! Connectivity of the nodes: which can reach each other, and which are or recently were cut off, paused or not
//! running.

use std::collections::{BTreeMap, BTreeSet};

use hallpin_simulation::time::{Span, Time};

use crate::relay::Site;
use crate::trace::{Event, Record};

/// State of the links between nodes and of their processes.
#[derive(Default)]
pub(super) struct Reach {
    nodes: usize,
    /// Directions that are cut, with the time of the cut.
    cut: BTreeMap<(usize, usize), Time>,
    paused: BTreeSet<usize>,
    running: BTreeSet<usize>,
    /// Time at which each node last rejoined: after a cut, a pause or a start.
    out: BTreeMap<usize, Time>,
}

impl Reach {
    pub fn new(nodes: usize) -> Self {
        Reach { nodes, ..Reach::default() }
    }

    pub fn see(&mut self, record: &Record) {
        let at = record.at;
        match record.event {
            Event::Link { from: Site::Node(from), to: Site::Node(to), cut } if from != to => {
                if cut {
                    self.cut.entry((from, to)).or_insert(at);
                } else if self.cut.remove(&(from, to)).is_some() {
                    self.out.extend([(from, at), (to, at)]);
                }
            }
            Event::NodePaused { node } => drop(self.paused.insert(node)),
            Event::NodeResumed { node } => {
                self.paused.remove(&node);
                self.out.insert(node, at);
            }
            Event::NodeStarted { node, .. } => {
                self.running.insert(node);
                self.out.insert(node, at);
            }
            Event::NodeReady { node, .. } => drop(self.out.insert(node, at)),
            Event::NodeEnded { node, .. } => drop(self.running.remove(&node)),
            _ => {}
        }
    }

    /// Time since which two nodes cannot reach each other in both directions, if they cannot.
    pub fn parted(&self, a: usize, b: usize) -> Option<Time> {
        let since = [(a, b), (b, a)].into_iter().filter_map(|way| self.cut.get(&way));
        since.min().copied()
    }

    /// Whether the node has a process, running or paused.
    pub fn runs(&self, node: usize) -> bool {
        self.running.contains(&node)
    }

    /// Whether the node and those that it can reach in both directions are more than half of all nodes.
    pub fn has_majority(&self, node: usize) -> bool {
        let hears = |other: &usize| self.running.contains(other) && !self.paused.contains(other);
        let with = (0..self.nodes)
            .filter(|other| *other == node || (hears(other) && self.parted(node, *other).is_none()));
        with.count() * 2 > self.nodes
    }

    /// Whether the node is cut off or paused, or rejoined within the given time.
    pub fn was_out(&self, node: usize, at: Time, within: Span) -> bool {
        let cut = self.cut.keys().any(|(from, to)| *from == node || *to == node);
        cut || self.paused.contains(&node) || self.out.get(&node).is_some_and(|out| at.since(*out) <= within)
    }
}

//! Selection of the configured node to search for next among those that are unknown, dead or left.

use std::collections::VecDeque;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::names::{Moment, NodeId};

/// Greatest number of nodes queued to be pinged soon; others are reached in the shuffled order.
const MAX_QUEUED: usize = 64;

#[derive(Clone, Debug)]
pub(crate) struct MissingNodeSearch {
    /// Nodes that others claim to be there, pinged first.
    queued: VecDeque<NodeId>,
    /// The remaining nodes of the current pass, the next one last.
    order: Vec<NodeId>,
    /// When the next missing node is to be pinged.
    pub next_at: Moment,
}

impl MissingNodeSearch {
    /// Starts with the nodes stored by an earlier incarnation, which are only hints.
    pub fn new(known: Vec<NodeId>, first: Moment) -> Self {
        MissingNodeSearch { queued: VecDeque::new(), order: known, next_at: first }
    }

    /// Queues a node to be pinged soon because others claim that it is there.
    pub fn enqueue(&mut self, node: NodeId) {
        if self.queued.len() < MAX_QUEUED && !self.queued.contains(&node) {
            self.queued.push_back(node);
        }
    }

    pub fn has_queued(&self) -> bool {
        !self.queued.is_empty()
    }

    /// Returns the next node of those that are missing.
    pub fn next(&mut self, rng: &mut Pcg64Mcg, missing: &[NodeId]) -> Option<NodeId> {
        while let Some(node) = self.queued.pop_front() {
            if missing.contains(&node) {
                return Some(node);
            }
        }
        for _ in 0..2 {
            while let Some(node) = self.order.pop() {
                if missing.contains(&node) {
                    return Some(node);
                }
            }
            self.order = missing.to_vec();
            self.order.shuffle(rng);
        }
        None
    }
}

//! Selection of probe targets and the state of the current probe: every other node once in a shuffled round, urgent
//! ones first.

use std::collections::VecDeque;

use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;

use crate::names::{Moment, NodeId};

/// Greatest number of urgent targets; further ones wait for their turn in the round.
const MAX_URGENT: usize = 16;

#[derive(Clone, Debug)]
pub(crate) struct ProbeRound {
    /// Nodes of the current round that are still to be probed, the next one last.
    order: Vec<NodeId>,
    /// Nodes to be probed before the round continues, the next one first.
    urgent: VecDeque<NodeId>,
    /// The last target was urgent, so the next one is taken from the round: a flood of accusations cannot stop the
    /// round.
    last_was_urgent: bool,
    pub probe: Option<Probe>,
    /// When the next probe may start.
    pub next_at: Moment,
}

/// A probe in progress.
#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub target: NodeId,
    pub seq: u32,
    pub started_at: Moment,
    /// When other nodes are asked to ping the target; `None` once they have been.
    pub indirect_at: Option<Moment>,
    pub ends_at: Moment,
    /// Nodes asked to ping the target that have not responded yet.
    pub pending_helpers: Vec<NodeId>,
    /// At least one node that was asked has responded.
    pub helper_responded: bool,
    pub answered: bool,
}

impl ProbeRound {
    pub fn new(first: Moment) -> Self {
        ProbeRound {
            order: vec![],
            urgent: VecDeque::new(),
            last_was_urgent: false,
            probe: None,
            next_at: first,
        }
    }

    /// Queues a node to be probed before the round continues.
    pub fn enqueue_urgent(&mut self, node: NodeId) {
        if self.urgent.len() < MAX_URGENT && !self.urgent.contains(&node) {
            self.urgent.push_back(node);
        }
    }

    /// Returns the next target: an urgent node that is alive or suspected, else the next of `alive`. Suspected nodes
    /// are pinged separately (see `resolve_suspicions`).
    pub fn next(
        &mut self,
        rng: &mut Pcg64Mcg,
        alive: &[NodeId],
        is_active: impl Fn(NodeId) -> bool,
    ) -> Option<NodeId> {
        while let Some(node) = if self.last_was_urgent { None } else { self.urgent.pop_front() } {
            if is_active(node) {
                self.last_was_urgent = true;
                return Some(node);
            }
        }
        self.last_was_urgent = false;
        for _ in 0..2 {
            while let Some(node) = self.order.pop() {
                if alive.contains(&node) {
                    return Some(node);
                }
            }
            self.order = alive.to_vec();
            self.order.shuffle(rng);
        }
        None
    }

    /// Processes an acknowledgement of the current probe.
    pub fn on_ack(&mut self, seq: u32, from: NodeId) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
            probe.answered |= probe.target == from;
        }
    }

    /// Processes a response of a node that was asked to ping the target. With `relayed` the target answered it;
    /// otherwise only the asked node is known to be up.
    pub fn on_helper_response(&mut self, seq: u32, from: NodeId, relayed: bool) {
        if let Some(probe) = self.probe.as_mut().filter(|probe| probe.seq == seq) {
            let before = probe.pending_helpers.len();
            probe.pending_helpers.retain(|node| *node != from);
            let new = probe.pending_helpers.len() < before;
            probe.helper_responded |= new;
            probe.answered |= relayed && new;
        }
    }

    pub fn due(&self) -> Moment {
        match &self.probe {
            Some(probe) if !probe.answered => probe.indirect_at.unwrap_or(probe.ends_at).min(probe.ends_at),
            _ => self.next_at,
        }
    }
}

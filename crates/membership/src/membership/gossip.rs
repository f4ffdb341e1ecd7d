//! The queue of claims to gossip: the least sent first, each for a limited number of times.

use std::collections::BTreeMap;

use crate::names::NodeId;

#[derive(Clone, Debug, Default)]
pub(crate) struct Gossip {
    /// How often the claim about each queued node was sent.
    times_sent: BTreeMap<NodeId, u8>,
}

impl Gossip {
    /// Approximate number of claims that fit one datagram.
    pub const CLAIMS_PER_DATAGRAM: usize = 12;
    /// Upper bound on the claims that fit one datagram.
    const MAX_CLAIMS_PER_DATAGRAM: usize = 48;

    /// Queues a node whose state has changed, for the full number of sends.
    pub fn enqueue(&mut self, node: NodeId) {
        self.times_sent.insert(node, 0);
    }

    /// Queues a node about which there is more to send: behind new changes, for half of `limit` sends
    /// (rounded up), or for the sends that are left where those are more.
    pub fn requeue(&mut self, node: NodeId, limit: u8) {
        let times_sent = self.times_sent.entry(node).or_insert(limit);
        *times_sent = (*times_sent).min(limit / 2);
    }

    pub fn len(&self) -> usize {
        self.times_sent.len()
    }

    /// Returns the nodes whose claims are sent next, at most as many as fit one datagram.
    pub fn order(&self) -> Vec<NodeId> {
        let mut order: Vec<(u8, NodeId)> =
            self.times_sent.iter().map(|(node, times_sent)| (*times_sent, *node)).collect();
        if order.len() > Self::MAX_CLAIMS_PER_DATAGRAM {
            order.select_nth_unstable(Self::MAX_CLAIMS_PER_DATAGRAM);
            order.truncate(Self::MAX_CLAIMS_PER_DATAGRAM);
        }
        order.sort_unstable();
        order.into_iter().map(|(_, node)| node).collect()
    }

    /// Returns how often a node's claim was sent; it selects which of the accusers is named.
    pub fn times_sent(&self, node: NodeId) -> usize {
        self.times_sent.get(&node).map_or(0, |times_sent| usize::from(*times_sent))
    }

    /// Counts one more send, and removes the claim at the limit.
    pub fn mark_sent(&mut self, node: NodeId, limit: u8) {
        let Some(times_sent) = self.times_sent.get_mut(&node) else { return };
        *times_sent += 1;
        if *times_sent >= limit {
            self.times_sent.remove(&node);
        }
    }
}

//! The merged view of the federation, as far as this node has heard. A wrong view may slow things down; no safety
//! guarantee may depend on it.

use std::collections::BTreeMap;

use crate::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};

/// State of a node in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The node was heard of recently.
    Alive,
    /// The node did not answer a probe and may still refute the suspicion.
    Suspect,
    /// The suspicion was not refuted in time.
    Dead,
    /// The node announced that it leaves.
    Left,
}

/// A node as this node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The newest known incarnation of the node.
    pub node_incarnation: NodeIncarnation,
    /// The zone in which the node runs.
    pub zone: ZoneId,
    /// Its state.
    pub state: MemberState,
    /// Time since which it has been in this state, by this node's own clock.
    pub since: Moment,
}

/// The view of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// The viewing node.
    pub this: NodeIncarnation,
    /// The zone in which the viewing node runs.
    pub zone: ZoneId,
    /// Number of nodes in the federation's configuration, this one included; the same at every node.
    pub configured: u16,
    /// The known nodes, this one included.
    pub members: BTreeMap<NodeId, Member>,
    /// Whether this node has heard no other node for as long as it takes to declare a node dead, although others are
    /// configured.
    pub cut_off: bool,
    /// Grows by 1 with each change.
    pub version: u64,
}

impl View {
    /// Creates the view of a node that has heard no other node yet.
    pub fn alone(this: NodeIncarnation, zone: ZoneId, configured: u16, now: Moment) -> Self {
        let member = Member { node_incarnation: this, zone, state: MemberState::Alive, since: now };
        let members = BTreeMap::from([(this.node, member)]);
        View { this, zone, configured, members, cut_off: false, version: 0 }
    }

    /// Returns the nodes that are alive, this one included, in the order of their numbers.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.state == MemberState::Alive)
    }

    /// Returns whether a node is alive.
    pub fn is_alive(&self, node: NodeId) -> bool {
        self.members.get(&node).is_some_and(|member| member.state == MemberState::Alive)
    }

    /// Returns the newest known incarnation of a node.
    pub fn incarnation(&self, node: NodeId) -> Option<Incarnation> {
        self.members.get(&node).map(|member| member.node_incarnation.incarnation)
    }
}

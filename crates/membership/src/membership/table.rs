//! The membership table: the view and the additional state of each node.

use std::collections::BTreeMap;

use crate::message::{Claim, ClaimedState};
use crate::names::{Incarnation, Moment, NodeId, NodeIncarnation, ZoneId};
use crate::view::{Member, MemberState, View};

/// Greatest number of refutations by which a claim may be ahead, so that one false claim cannot exhaust the counter.
pub(super) const MAX_REFUTATION_LEAD: u32 = 1000;

#[derive(Clone, Debug)]
pub(crate) struct Table {
    pub view: View,
    pub(super) details: BTreeMap<NodeId, MemberDetail>,
    /// Cached fingerprint with the version of the view that it was computed for.
    fingerprint: Option<(u64, [u8; 4])>,
}

/// State of a node in addition to its entry in the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct MemberDetail {
    pub refutations: u32,
    /// Whether the node itself or two others announced this incarnation. Until then it is a hint and is not gossiped.
    pub confirmed: bool,
    /// The node that announced this incarnation, while the incarnation is a hint.
    pub source: Option<NodeId>,
    /// Time of the last datagram from this incarnation of the node.
    pub last_heard_at: Option<Moment>,
    /// An unconfirmed claim of one other node: the claimed incarnation, the kind of claim and that node.
    pub rumor: Option<(Incarnation, RumorKind, NodeId)>,
}

/// Kind of a claim that would remove a node at once, and so needs a second source.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum RumorKind {
    /// The node has a newer incarnation.
    Newer,
    /// The node has left.
    Left,
}

/// Result of applying a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Nothing changed.
    Nothing,
    /// The view has changed because of one node's claim alone, which is not gossiped.
    Hint,
    /// The view has changed, and the change is to be gossiped.
    Changed,
    /// The node is suspected; the accuser may be a new one.
    Accused(NodeId),
    /// The node that the claim is about is to be pinged.
    Check,
    /// The claim is from an earlier incarnation.
    Stale,
}

impl Table {
    pub fn new(this: NodeIncarnation, zone: ZoneId, configured: u16, now: Moment) -> Self {
        let own =
            MemberDetail { refutations: 0, confirmed: true, source: None, last_heard_at: None, rumor: None };
        Table {
            view: View::alone(this, zone, configured, now),
            details: BTreeMap::from([(this.node, own)]),
            fingerprint: None,
        }
    }

    pub fn last_heard(&self, node: NodeId) -> Option<Moment> {
        self.details.get(&node)?.last_heard_at
    }

    pub fn state(&self, node: NodeId) -> Option<MemberState> {
        self.view.members.get(&node).map(|member| member.state)
    }

    /// Returns whether a node is alive or suspected.
    pub fn is_active(&self, node: NodeId) -> bool {
        self.view.members.get(&node).is_some_and(is_active)
    }

    /// Returns the other nodes that are alive or suspected.
    pub fn active(&self) -> impl Iterator<Item = NodeId> + '_ {
        let this = self.view.this.node;
        self.view
            .members
            .iter()
            .filter(move |(node, member)| **node != this && is_active(member))
            .map(|(node, _)| *node)
    }

    /// Returns the claim to send about a node, if it is confirmed. A suspected node needs an accuser to name.
    pub fn claim(&self, node: NodeId, accuser: Option<NodeId>) -> Option<Claim> {
        let (member, details) = (self.view.members.get(&node)?, self.details.get(&node)?);
        let state = match member.state {
            MemberState::Alive => ClaimedState::Alive,
            MemberState::Suspect => ClaimedState::Suspect { by: accuser? },
            MemberState::Dead => ClaimedState::Dead,
            MemberState::Left => ClaimedState::Left,
        };
        let NodeIncarnation { node, incarnation } = member.node_incarnation;
        let claim = Claim { node, incarnation, refutations: details.refutations, zone: member.zone, state };
        details.confirmed.then_some(claim)
    }

    /// Marks an alive node as suspected; returns `Accused` for any node that is then suspected.
    pub fn suspect(&mut self, now: Moment, node: NodeId, by: NodeId) -> Effect {
        if self.state(node) == Some(MemberState::Alive) {
            self.set_state(now, node, MemberState::Suspect);
        }
        match self.state(node) {
            Some(MemberState::Suspect) => Effect::Accused(by),
            _ => Effect::Nothing,
        }
    }

    /// Declares a suspected node dead, by this node's own decision.
    pub fn declare_dead(&mut self, now: Moment, node: NodeId) {
        if self.state(node) == Some(MemberState::Suspect) {
            self.set_state(now, node, MemberState::Dead);
        }
    }

    /// Removes nodes that have been dead or left since before `before`.
    pub fn forget(&mut self, before: Moment) {
        let gone = |member: &Member| {
            matches!(member.state, MemberState::Dead | MemberState::Left) && member.since < before
        };
        let gone: Vec<NodeId> =
            self.view.members.values().filter(|m| gone(m)).map(|m| m.node_incarnation.node).collect();
        for node in gone.into_iter().filter(|node| *node != self.view.this.node) {
            self.view.members.remove(&node);
            self.details.remove(&node);
            self.view.version += 1;
        }
    }

    /// Returns how often this node has refuted claims against it.
    pub fn own_refutations(&self) -> u32 {
        self.details.get(&self.view.this.node).map_or(0, |details| details.refutations)
    }

    /// Refutes a claim about this incarnation of this node, and returns whether it did: one that the node is not alive
    /// with at least its own count of refutations, or any claim with more. The count is raised above that of the claim,
    /// by at most [`MAX_REFUTATION_LEAD`] + 1.
    pub fn refute(&mut self, claim: &Claim) -> bool {
        let this = self.view.this;
        let Some(own) = self.details.get_mut(&this.node) else { return false };
        let against = claim.state != ClaimedState::Alive && claim.refutations >= own.refutations;
        let needed =
            claim.incarnation == this.incarnation && (against || claim.refutations > own.refutations);
        if needed {
            own.refutations =
                claim.refutations.min(own.refutations.saturating_add(MAX_REFUTATION_LEAD)).saturating_add(1);
        }
        needed
    }

    /// Marks this node as leaving.
    pub fn leave(&mut self, now: Moment) {
        self.set_state(now, self.view.this.node, MemberState::Left);
    }

    pub fn set_cut_off(&mut self, cut_off: bool) {
        self.view.cut_off = cut_off;
        self.view.version += 1;
    }

    /// Returns a CRC-32 fingerprint of the incarnations that are alive or suspected.
    pub fn fingerprint(&mut self) -> [u8; 4] {
        let version = self.view.version;
        if let Some((_, fingerprint)) = self.fingerprint.filter(|(of, _)| *of == version) {
            return fingerprint;
        }
        let mut hasher = crc32fast::Hasher::new();
        for member in self.view.members.values().filter(|member| is_active(member)) {
            hasher.update(&member.node_incarnation.node.0.to_be_bytes());
            hasher.update(&member.node_incarnation.incarnation.0.to_be_bytes());
        }
        let fingerprint = hasher.finalize().to_be_bytes();
        self.fingerprint = Some((version, fingerprint));
        fingerprint
    }

    pub(super) fn set_state(&mut self, now: Moment, node: NodeId, state: MemberState) {
        let Some(member) = self.view.members.get_mut(&node) else { return };
        (member.state, member.since) = (state, now);
        self.view.version += 1;
    }

    pub(super) fn upsert(
        &mut self,
        now: Moment,
        node_incarnation: NodeIncarnation,
        zone: ZoneId,
        state: MemberState,
        details: MemberDetail,
    ) -> Effect {
        let since = match self.view.members.get(&node_incarnation.node) {
            Some(member) if member.node_incarnation == node_incarnation && member.state == state => {
                member.since
            }
            _ => now,
        };
        let member = Member { node_incarnation, zone, state, since };
        if self.view.members.insert(node_incarnation.node, member) != Some(member) {
            self.view.version += 1;
        }
        self.details.insert(node_incarnation.node, details);
        Effect::Changed
    }
}

fn is_active(member: &Member) -> bool {
    matches!(member.state, MemberState::Alive | MemberState::Suspect)
}

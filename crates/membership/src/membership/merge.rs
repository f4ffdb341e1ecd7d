//! Merges claims about nodes into the membership table: those of a node about itself and those of others.
//!
//! Within one incarnation, claims are ordered by refutations and then by state, so the result does not
//! depend on the order of arrival. A claim that would remove a node at once (a newer incarnation, or its
//! leaving) is accepted from the node itself or from two others that agree. From one other it is a rumor,
//! and the node itself is pinged; only a node that is itself known as a hint is replaced by the hint of a
//! newer incarnation.

use crate::membership::table::{Effect, MemberDetail, RumorKind, Table, MAX_REFUTATION_LEAD};
use crate::message::{Claim, ClaimedState, SenderInfo};
use crate::names::{Moment, NodeId, NodeIncarnation};
use crate::view::MemberState;

impl Table {
    /// Applies what a node says about itself in its own datagram.
    pub fn apply_direct(&mut self, now: Moment, from: NodeIncarnation, sender: &SenderInfo) -> Effect {
        let known = self.view.members.get(&from.node).copied().zip(self.details.get(&from.node).copied());
        let state = if sender.leaving { MemberState::Left } else { MemberState::Alive };
        let details = MemberDetail {
            refutations: sender.refutations,
            confirmed: true,
            source: None,
            last_heard_at: Some(now),
            rumor: None,
        };
        let Some((member, known)) = known else {
            return self.upsert(now, from, sender.zone, state, details);
        };
        if from != member.node_incarnation {
            if from.incarnation < member.node_incarnation.incarnation && known.confirmed {
                return Effect::Stale;
            }
            return self.upsert(now, from, sender.zone, state, details);
        }
        let refuted = sender.refutations > known.refutations;
        let updated = MemberDetail {
            refutations: known.refutations.max(sender.refutations),
            rumor: known.rumor,
            ..details
        };
        if sender.leaving && member.state != MemberState::Left
            || refuted
            || !known.confirmed
            || sender.zone != member.zone
        {
            // Claims about a node that was only a hint are void once the node itself is heard.
            let state = if refuted || sender.leaving || !known.confirmed { state } else { member.state };
            return self.upsert(now, from, sender.zone, state, updated);
        }
        self.details.insert(from.node, updated);
        let needs_refutation =
            member.state != MemberState::Alive && !sender.leaving && sender.refutations == known.refutations;
        if needs_refutation {
            Effect::Check
        } else {
            Effect::Nothing
        }
    }

    /// Applies a claim of `source` about a third node. `is_event` is false for claims on a page of a pull: a peer that
    /// lists a node as dead there may have been cut off itself without having noticed.
    pub fn apply_claim(&mut self, now: Moment, claim: &Claim, source: NodeId, is_event: bool) -> Effect {
        let known = self.view.members.get(&claim.node).copied().zip(self.details.get(&claim.node).copied());
        let can_be_hint = !matches!(claim.state, ClaimedState::Dead | ClaimedState::Left);
        let Some((member, known)) = known else {
            return if can_be_hint { self.add_hint(now, claim, source) } else { Effect::Nothing };
        };
        if claim.incarnation < member.node_incarnation.incarnation {
            return Effect::Nothing;
        }
        if claim.incarnation > member.node_incarnation.incarnation {
            return match known.confirmed {
                false if can_be_hint => self.add_hint(now, claim, source),
                _ => self.record_rumor(now, claim, RumorKind::Newer, source),
            };
        }
        let mut effect = Effect::Nothing;
        if !known.confirmed && known.source != Some(source) {
            self.details.insert(claim.node, MemberDetail { confirmed: true, source: None, ..known });
            effect = Effect::Changed;
        }
        match self.apply_same_incarnation(now, claim, source, is_event) {
            Effect::Nothing => effect,
            other => other,
        }
    }

    /// Applies a claim about the incarnation that this node knows.
    fn apply_same_incarnation(
        &mut self,
        now: Moment,
        claim: &Claim,
        source: NodeId,
        is_event: bool,
    ) -> Effect {
        let (Some(member), Some(known)) =
            (self.view.members.get(&claim.node).copied(), self.details.get(&claim.node).copied())
        else {
            return Effect::Nothing;
        };
        let ahead = claim.refutations > known.refutations;
        if claim.refutations < known.refutations
            || ahead && known.confirmed && claim.refutations - known.refutations > MAX_REFUTATION_LEAD
        {
            return Effect::Nothing;
        }
        // A node with more refutations than known here was alive after the known state.
        let state = if ahead { MemberState::Alive } else { member.state };
        let mut effect = Effect::Nothing;
        if ahead {
            let details = MemberDetail { refutations: claim.refutations, ..known };
            effect = self.upsert(now, member.node_incarnation, member.zone, state, details);
        }
        match (claim.state, state) {
            (ClaimedState::Dead, MemberState::Alive) if is_event => self.suspect(now, claim.node, source),
            (ClaimedState::Alive, MemberState::Dead) | (ClaimedState::Dead, MemberState::Alive) => {
                Effect::Check
            }
            (ClaimedState::Suspect { by }, MemberState::Alive | MemberState::Suspect) => {
                self.suspect(now, claim.node, by)
            }
            (ClaimedState::Dead, MemberState::Suspect) => Effect::Accused(source),
            (ClaimedState::Left, MemberState::Alive | MemberState::Suspect | MemberState::Dead) => {
                self.record_rumor(now, claim, RumorKind::Left, source)
            }
            _ => effect,
        }
    }

    fn add_hint(&mut self, now: Moment, claim: &Claim, source: NodeId) -> Effect {
        let node_incarnation = NodeIncarnation { node: claim.node, incarnation: claim.incarnation };
        let refutations = claim.refutations;
        let details = MemberDetail {
            refutations,
            confirmed: false,
            source: Some(source),
            last_heard_at: None,
            rumor: None,
        };
        self.upsert(now, node_incarnation, claim.zone, MemberState::Alive, details);
        Effect::Hint
    }

    /// Accepts a claim once a second node makes the same one; after the first node's claim, the node that
    /// it is about is to be pinged.
    fn record_rumor(&mut self, now: Moment, claim: &Claim, kind: RumorKind, source: NodeId) -> Effect {
        let Some(known) = self.details.get_mut(&claim.node) else { return Effect::Nothing };
        let second = known.rumor.is_some_and(|(incarnation, known_kind, by)| {
            (incarnation, known_kind) == (claim.incarnation, kind) && by != source
        });
        if !second {
            known.rumor = Some((claim.incarnation, kind, source));
            return Effect::Check;
        }
        let state = match claim.state {
            ClaimedState::Alive | ClaimedState::Suspect { .. } => MemberState::Alive,
            ClaimedState::Dead => MemberState::Dead,
            ClaimedState::Left => MemberState::Left,
        };
        let last_heard_at = if kind == RumorKind::Left { known.last_heard_at } else { None };
        let details = MemberDetail {
            refutations: claim.refutations,
            confirmed: true,
            source: None,
            last_heard_at,
            rumor: None,
        };
        self.upsert(
            now,
            NodeIncarnation { node: claim.node, incarnation: claim.incarnation },
            claim.zone,
            state,
            details,
        )
    }
}

//! Writing and rate limiting of outgoing datagrams.

use rand::seq::SliceRandom;

use super::Peers;
use crate::machine::Output;
use crate::membership::gossip::Gossip;
use crate::message::{Claim, Item, Purpose, Report, SenderInfo, Writer};
use crate::names::{Moment, NodeId};
use crate::rate::TokenBucket;
use crate::view::MemberState;

/// Bytes reserved for two reports while a change must be sent: observations of boxes must not wait until a wave of
/// joins has passed.
const REPORT_RESERVE_BYTES: usize = 64;

/// Priority of a datagram: how much it must leave in the token bucket.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Urgency {
    /// A probe, or a request to probe.
    Probe,
    /// An answer: limited per second for each peer, and a quarter of the bucket is left to probes.
    Answer,
    /// A datagram that can wait: half of the bucket is left to the others.
    Spare,
}

impl Peers {
    /// Sends a datagram filled with claims and reports, and returns whether the bounds allowed it.
    pub(super) fn send(&mut self, now: Moment, to: NodeId, purpose: Purpose, urgency: Urgency) -> bool {
        if !self.allows_send(now, to, urgency) {
            return false;
        }
        let mut writer = Writer::new(&self.sender(), &purpose);
        if let Some(claim) = self.accusation_against(to) {
            writer.push(&Item::Member(claim), 0);
        }
        self.write_claims(&mut writer, to);
        self.write_reports(now, &mut writer, purpose == Purpose::Gossip);
        self.outputs.push(Output::Send { to, payload: writer.finish() });
        true
    }

    /// Sends a page of the membership table, from one node on.
    pub(super) fn send_page(&mut self, now: Moment, to: NodeId, from: u16) {
        if !self.allows_send(now, to, Urgency::Answer) {
            return;
        }
        let claims: Vec<Claim> =
            self.table.view.members.range(NodeId(from)..).filter_map(|(node, _)| self.claim(*node)).collect();
        let sender = self.sender();
        let write = |next: Option<u16>| {
            let mut writer = Writer::new(&sender, &Purpose::Page { from, next });
            let fitted = claims.iter().take_while(|claim| writer.push(&Item::Member(**claim), 0)).count();
            (writer, fitted)
        };
        let (complete, fitted) = write(None);
        let payload = match claims.get(fitted) {
            None => complete.finish(),
            Some(_) => {
                // `next` is first encoded at its greatest length. The actual value is no longer, so at least the claims
                // before `next` fit.
                let (_, fitted) = write(Some(u16::MAX));
                write(claims.get(fitted).map(|claim| claim.node.0)).0.finish()
            }
        };
        self.outputs.push(Output::Send { to, payload });
    }

    /// Announces to other nodes in random order that this node leaves, as far as the bounds allow.
    pub(super) fn farewell(&mut self, now: Moment) {
        let mut targets: Vec<NodeId> = self.table.active().collect();
        targets.shuffle(&mut self.rng);
        for node in targets {
            if !self.send(now, node, Purpose::Gossip, Urgency::Probe) {
                return;
            }
        }
    }

    fn allows_send(&mut self, now: Moment, to: NodeId, urgency: Urgency) -> bool {
        let bounds = &self.config.bounds;
        if to == self.config.this.node {
            return false;
        }
        if urgency == Urgency::Answer {
            let (rate, burst) = (bounds.answers_each, bounds.answers_each);
            let limiter = self.answer_limiters.entry(to).or_insert_with(|| TokenBucket::new(rate, burst));
            if !limiter.take(now, 0) {
                return false;
            }
        }
        let reserve = match urgency {
            Urgency::Probe => 0,
            Urgency::Answer => bounds.burst / 4,
            Urgency::Spare => bounds.burst / 2,
        };
        self.send_limiter.take(now, reserve)
    }

    fn sender(&mut self) -> SenderInfo {
        let refutations = self.table.own_refutations();
        SenderInfo {
            zone: self.config.zone,
            refutations,
            leaving: self.leaving,
            fingerprint: self.table.fingerprint(),
        }
    }

    /// Returns the claim against the receiver, if it is not alive in the table. It is sent first, so that the receiver
    /// can refute it (Lifeguard's buddy system).
    fn accusation_against(&self, to: NodeId) -> Option<Claim> {
        self.claim(to).filter(|_| self.table.state(to) != Some(MemberState::Alive))
    }

    fn claim(&self, node: NodeId) -> Option<Claim> {
        self.table.claim(node, self.suspicions.accuser(node, self.gossip.times_sent(node)))
    }

    fn write_claims(&mut self, writer: &mut Writer, to: NodeId) {
        let limit = self.retransmit_limit();
        let spare = if self.own_facts.has_urgent() { REPORT_RESERVE_BYTES } else { 0 };
        for node in self.gossip.order().into_iter().filter(|node| *node != to) {
            let claim = self.claim(node);
            if claim.is_some_and(|claim| !writer.push(&Item::Member(claim), spare)) {
                return;
            }
            self.gossip.mark_sent(node, limit);
        }
    }

    fn write_reports(&mut self, now: Moment, writer: &mut Writer, is_gossip: bool) {
        let order: Vec<Report> = self.own_facts.send_order(now, |id| self.peer_facts.is_contested(id));
        for report in order {
            if !writer.push(&Item::Box(report), 0) {
                return;
            }
            self.own_facts.mark_sent(now, &report, is_gossip);
        }
    }

    /// Returns whether more is to be sent than the probes' datagrams can carry.
    pub(super) fn has_backlog(&self) -> bool {
        self.own_facts.has_urgent() || self.gossip.len() > Gossip::CLAIMS_PER_DATAGRAM
    }
}

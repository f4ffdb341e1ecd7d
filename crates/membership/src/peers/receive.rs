//! Processing of received datagrams and their answers.

use rand::RngExt;

use super::send::Urgency;
use super::{Peers, Relay};
use crate::envelope::Rejection;
use crate::machine::Output;
use crate::membership::table::Effect;
use crate::message::{Claim, ClaimedState, Item, Message, Purpose};
use crate::names::{Moment, NodeId, NodeIncarnation};
use crate::view::MemberState;
use crate::PeersEvent;

impl Peers {
    /// Processes a payload from any sender that claims to be `from`.
    ///
    /// # Errors
    /// [`Rejection::UnknownPeer`] from a node that is not configured, from this node, or from an incarnation of a node
    /// earlier than the confirmed one; [`Rejection::Payload`] if the payload cannot be decoded. Then nothing has
    /// changed.
    pub fn receive(&mut self, now: Moment, from: NodeIncarnation, payload: &[u8]) -> Result<(), Rejection> {
        if from.node.0 >= self.config.configured || from.node == self.config.this.node {
            return Err(Rejection::UnknownPeer);
        }
        let message = Message::decode(payload, self.config.configured)?;
        match self.table.apply_direct(now, from, &message.sender) {
            Effect::Stale => return Err(Rejection::UnknownPeer),
            effect => self.apply_effect(now, from.node, effect),
        }
        self.peer_facts.drop_older_incarnations(from);
        self.heard_at = Some(now);
        self.update_cut_off(now);
        let is_event = !matches!(message.purpose, Purpose::Page { .. });
        for item in &message.items {
            match item {
                Item::Member(claim) => self.on_claim(now, from.node, claim, is_event),
                Item::Box(report) => self.peer_facts.accept(now, from, report),
            }
        }
        if !self.leaving && !message.sender.leaving && message.sender.fingerprint != self.table.fingerprint()
        {
            let pages = 1 + u32::from(self.config.configured) / 64;
            let next_at = self.jittered(now, self.config.timing.pull_every * pages);
            self.pull.start(now, from.node, next_at);
        }
        self.on_purpose(now, from.node, message.purpose);
        self.emit_events();
        Ok(())
    }

    /// Emits an event if this node became cut off from all others, or no longer is.
    pub(super) fn update_cut_off(&mut self, now: Moment) {
        let silent = now.saturating_sub(self.heard_at.unwrap_or(self.started_at));
        let cut_off = self.config.configured > 1 && silent >= self.config.timing.heard_within;
        if cut_off != self.table.view.cut_off {
            self.table.set_cut_off(cut_off);
            self.outputs.push(Output::Event(PeersEvent::CutOff(cut_off)));
        }
    }

    /// Acts on the effect of a claim about a node.
    pub(super) fn apply_effect(&mut self, now: Moment, node: NodeId, effect: Effect) {
        if self.table.state(node) != Some(MemberState::Suspect) {
            self.suspicions.close(node);
        }
        match effect {
            Effect::Nothing | Effect::Stale | Effect::Hint => {}
            Effect::Changed => self.gossip.enqueue(node),
            Effect::Accused(by) => self.accuse(now, node, by),
            Effect::Check if self.table.is_active(node) => self.probe_round.enqueue_urgent(node),
            Effect::Check => {
                self.search.enqueue(node);
                self.search.next_at = self.search.next_at.min(now + self.config.timing.page_every);
            }
        }
    }

    /// Counts an accuser. Some of the nodes that hear of the accusation probe the accused node themselves, so that it
    /// is soon confirmed or refuted: on average twice as many as must confirm, however many nodes there are.
    fn accuse(&mut self, now: Moment, node: NodeId, by: NodeId) {
        if self.suspicions.has_counted(node, by) {
            return;
        }
        let timing = &self.config.timing;
        let scale = self.log2_members().max(4);
        let times = (timing.suspicion_min * scale / 4, timing.suspicion_max * scale / 4);
        let confirmations = usize::from(timing.confirmations);
        let others = self.table.active().filter(|other| *other != node).count();
        let is_first_accuser = self.suspicions.accuse(now, node, by, confirmations.min(others), times);
        match is_first_accuser {
            true => self.gossip.enqueue(node),
            false => self.gossip.requeue(node, self.retransmit_limit()),
        }
        let probability = 2.0 * confirmations as f64 / (others + 1) as f64;
        if by != self.config.this.node && self.rng.random::<f64>() < probability {
            self.probe_round.enqueue_urgent(node);
        }
    }

    fn on_claim(&mut self, now: Moment, source: NodeId, claim: &Claim, is_event: bool) {
        if claim.node == self.config.this.node {
            if !self.leaving && self.table.refute(claim) {
                self.gossip.enqueue(claim.node);
                if matches!(claim.state, ClaimedState::Suspect { .. } | ClaimedState::Dead) {
                    self.awareness.record_failure();
                }
            }
        } else if claim.node != source {
            let effect = self.table.apply_claim(now, claim, source, is_event);
            self.apply_effect(now, claim.node, effect);
        }
    }

    fn on_purpose(&mut self, now: Moment, from: NodeId, purpose: Purpose) {
        match purpose {
            Purpose::Ping { seq } => {
                self.send(now, from, Purpose::Ack { seq }, Urgency::Answer);
            }
            Purpose::Ack { seq } => {
                self.probe_round.on_ack(seq, from);
                if self.relays.get(&seq).is_some_and(|relay| relay.target == from) {
                    if let Some(relay) = self.relays.remove(&seq) {
                        self.send(now, relay.requester, Purpose::Relayed { seq: relay.seq }, Urgency::Answer);
                    }
                }
            }
            Purpose::PingRequest { seq, target } => self.on_ping_request(now, from, seq, target),
            Purpose::Relayed { seq } => self.probe_round.on_helper_response(seq, from, true),
            Purpose::Nack { seq } => self.probe_round.on_helper_response(seq, from, false),
            Purpose::PullRequest { from: at } => self.send_page(now, from, at),
            Purpose::Page { from: at, next } => self.pull.on_page(now, from, at, next),
            Purpose::Gossip => {}
        }
    }

    fn on_ping_request(&mut self, now: Moment, requester: NodeId, seq: u32, target: NodeId) {
        if target == self.config.this.node
            || target == requester
            || self.relays.len() >= self.config.bounds.relays
        {
            return;
        }
        let relay_seq = self.next_seq();
        if self.send(now, target, Purpose::Ping { seq: relay_seq }, Urgency::Answer) {
            let (nack_at, ends_at) =
                (now + self.config.timing.probe_timeout, now + self.config.timing.probe_every);
            self.relays.insert(relay_seq, Relay { requester, seq, target, nack_at: Some(nack_at), ends_at });
        }
    }

    pub(super) fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.wrapping_add(1);
        self.seq
    }
}

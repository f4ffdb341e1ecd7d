//! Timed actions: probes, suspicion timeouts, the search for missing nodes, pulls, gossip and expiry.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::RngExt;

use super::send::Urgency;
use super::Peers;
use crate::membership::probe_round::Probe;
use crate::message::Purpose;
use crate::names::{Moment, NodeId};

/// Mean number of nodes that ping a suspected node in one interval.
const MEAN_PINGERS_PER_SUSPECT: f64 = 16.0;
/// Greatest number of suspected nodes that one node pings in one interval: when many nodes fail, the datagrams are
/// needed more to spread the membership changes.
const MAX_SUSPECTS_PINGED: usize = 2;

impl Peers {
    /// Returns when [`Peers::tick`] is next needed.
    pub fn due(&self) -> Option<Moment> {
        if self.leaving || self.config.configured < 2 {
            return None;
        }
        let cut_off = self.heard_at.unwrap_or(self.started_at) + self.config.timing.heard_within;
        let relays = self.relays.values().map(|relay| relay.nack_at.unwrap_or(relay.ends_at)).min();
        [
            (!self.table.view.cut_off).then_some(cut_off),
            self.suspicions.due(|node| self.table.last_heard(node)),
            Some(self.probe_round.due()),
            relays,
            Some(self.search.next_at),
            self.pull.due(),
            self.has_backlog().then_some(self.next_gossip_at),
            (!self.peer_facts.is_empty()).then_some(self.next_sweep_at),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Advances time. Must be called when [`Peers::due`] is reached, and may be called at any time.
    pub fn tick(&mut self, now: Moment) {
        let Some(due) = self.due().filter(|due| *due <= now) else { return };
        self.compensate_pause(now, now - due);
        self.update_cut_off(now);
        self.resolve_suspicions(now);
        self.probe(now);
        self.expire_relays(now);
        self.search_missing(now);
        if let Some((from, at)) = self.pull.next_request(now) {
            self.send(now, from, Purpose::PullRequest { from: at }, Urgency::Spare);
        }
        self.send_gossip(now);
        if now >= self.next_sweep_at {
            self.next_sweep_at = now + self.config.timing.recent / 4;
            self.peer_facts.expire(now);
            self.table.forget(now.saturating_sub(self.config.timing.forget_after));
        }
        self.emit_events();
    }

    /// After a call that comes long after it was due, this node was paused, and the silence of others meanwhile proves
    /// nothing.
    fn compensate_pause(&mut self, now: Moment, lateness: Duration) {
        if lateness >= self.config.timing.probe_every {
            self.suspicions.postpone(lateness);
            self.probe_round.probe = None;
            self.probe_round.next_at = now;
            self.awareness.record_failure();
        }
    }

    fn resolve_suspicions(&mut self, now: Moment) {
        for node in self.suspicions.expired(now, |node| self.table.last_heard(node)) {
            self.suspicions.close(node);
            self.table.declare_dead(now, node);
            self.gossip.requeue(node, self.retransmit_limit());
        }
        // A suspected node may not know of the accusation: on average 16 nodes keep pinging it, however many nodes
        // there are.
        let mut accused = self.suspicions.due_pings(now, self.config.timing.probe_every / 2);
        if accused.is_empty() {
            return;
        }
        accused.shuffle(&mut self.rng);
        let others = self.table.active().count().max(1);
        for node in accused.into_iter().take(MAX_SUSPECTS_PINGED) {
            if self.rng.random::<f64>() < MEAN_PINGERS_PER_SUSPECT / others as f64 {
                let seq = self.next_seq();
                self.send(now, node, Purpose::Ping { seq }, Urgency::Spare);
            }
        }
    }

    fn probe(&mut self, now: Moment) {
        match self.probe_round.probe.take() {
            Some(probe) if probe.answered => self.awareness.record_success(),
            Some(probe) if probe.ends_at <= now => self.on_probe_failed(now, &probe),
            Some(probe) if probe.indirect_at.is_some_and(|at| at <= now) => {
                self.probe_round.probe = Some(self.ask_others(now, probe));
            }
            probe => self.probe_round.probe = probe,
        }
        if self.probe_round.probe.is_some() || self.probe_round.next_at > now {
            return;
        }
        let every = self.awareness.scale(self.config.timing.probe_every);
        self.probe_round.next_at = now + every;
        let alive = self.alive();
        let Some(target) = self.probe_round.next(&mut self.rng, &alive, |node| self.table.is_active(node))
        else {
            return;
        };
        let seq = self.next_seq();
        if self.send(now, target, Purpose::Ping { seq }, Urgency::Probe) {
            let indirect_at = Some(now + self.awareness.scale(self.config.timing.probe_timeout));
            let (started_at, ends_at) = (now, now + every);
            self.probe_round.probe = Some(Probe {
                target,
                seq,
                started_at,
                indirect_at,
                ends_at,
                pending_helpers: vec![],
                helper_responded: false,
                answered: false,
            });
        }
    }

    /// Returns the other nodes that are alive in the view.
    fn alive(&self) -> Vec<NodeId> {
        let this = self.config.this.node;
        self.table
            .view
            .alive()
            .map(|member| member.node_incarnation.node)
            .filter(|node| *node != this)
            .collect()
    }

    /// Asks other nodes to ping the target and pings it once more: a lost datagram is mostly lost only once.
    fn ask_others(&mut self, now: Moment, mut probe: Probe) -> Probe {
        let mut others = self.alive();
        others.retain(|node| *node != probe.target);
        others.shuffle(&mut self.rng);
        others.truncate(self.config.timing.indirect.into());
        let (seq, target) = (probe.seq, probe.target);
        others.retain(|other| self.send(now, *other, Purpose::PingRequest { seq, target }, Urgency::Probe));
        self.send(now, target, Purpose::Ping { seq }, Urgency::Probe);
        (probe.pending_helpers, probe.indirect_at) = (others, None);
        probe
    }

    /// Suspects a node that did not answer, unless it was heard itself since the probe started.
    fn on_probe_failed(&mut self, now: Moment, probe: &Probe) {
        // Nodes that were asked to ping the target respond even if it does not answer (`Nack`); if none did,
        // the fault may be on this side.
        if !probe.pending_helpers.is_empty() && !probe.helper_responded {
            self.awareness.record_failure();
        }
        if self.table.last_heard(probe.target).is_none_or(|heard| heard < probe.started_at) {
            let effect = self.table.suspect(now, probe.target, self.config.this.node);
            self.apply_effect(now, probe.target, effect);
        }
    }

    fn expire_relays(&mut self, now: Moment) {
        let due = |at: Option<Moment>| at.is_some_and(|at| at <= now);
        let nacks: Vec<(NodeId, u32)> = self
            .relays
            .values()
            .filter(|relay| due(relay.nack_at))
            .map(|relay| (relay.requester, relay.seq))
            .collect();
        for relay in self.relays.values_mut().filter(|relay| due(relay.nack_at)) {
            relay.nack_at = None;
        }
        self.relays.retain(|_, relay| relay.ends_at > now);
        for (requester, seq) in nacks {
            self.send(now, requester, Purpose::Nack { seq }, Urgency::Answer);
        }
    }

    /// Pings one of the missing nodes, so that both sides of a partition find each other again.
    fn search_missing(&mut self, now: Moment) {
        if now < self.search.next_at {
            return;
        }
        let this = self.config.this.node;
        let missing: Vec<NodeId> = (0..self.config.configured)
            .map(NodeId)
            .filter(|node| *node != this && !self.table.is_active(*node))
            .collect();
        if let Some(node) = self.search.next(&mut self.rng, &missing) {
            let seq = self.next_seq();
            self.send(now, node, Purpose::Ping { seq }, Urgency::Spare);
        }
        let timing = &self.config.timing;
        let every = match (self.search.has_queued(), self.table.active().next()) {
            (true, _) => timing.page_every,
            (false, None) => timing.seek_every / 2,
            (false, Some(_)) => timing.seek_every,
        };
        self.search.next_at = self.jittered(now, every);
    }

    /// Sends what the probes' datagrams cannot carry, to one node after the other in a shuffled order.
    fn send_gossip(&mut self, now: Moment) {
        if !self.has_backlog() || now < self.next_gossip_at {
            return;
        }
        self.next_gossip_at = self.jittered(now, self.config.timing.page_every);
        if self.gossip_targets.is_empty() {
            self.gossip_targets = self.table.active().collect();
            self.gossip_targets.shuffle(&mut self.rng);
        }
        while let Some(to) = self.gossip_targets.pop() {
            if self.table.is_active(to) {
                self.send(now, to, Purpose::Gossip, Urgency::Spare);
                return;
            }
        }
    }
}

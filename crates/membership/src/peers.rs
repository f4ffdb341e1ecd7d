//! The membership state machine: owns the view and the evidence, and decides what is sent to which node.

mod receive;
mod send;
mod time;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::config::{ConfigError, PeersConfig};
use crate::digest::own_facts::OwnFacts;
use crate::digest::peer_facts::PeerFacts;
use crate::facts::{BoxEvidence, OwnObservation, PeersEvent};
use crate::machine::Output;
use crate::membership::awareness::Awareness;
use crate::membership::gossip::Gossip;
use crate::membership::probe_round::ProbeRound;
use crate::membership::pull::Pull;
use crate::membership::search::MissingNodeSearch;
use crate::membership::suspicion::Suspicions;
use crate::membership::table::Table;
use crate::names::{Moment, NodeId, NodeIncarnation};
use crate::rate::TokenBucket;
use crate::view::View;

/// Membership and digests of one node.
///
/// It has no clock: `now` never decreases from call to call. What it sends stays within [`Bounds`](crate::Bounds).
#[derive(Clone, Debug)]
pub struct Peers {
    config: PeersConfig,
    rng: Pcg64Mcg,
    started_at: Moment,
    /// Time of the last datagram from any peer.
    heard_at: Option<Moment>,
    leaving: bool,
    seq: u32,
    table: Table,
    suspicions: Suspicions,
    awareness: Awareness,
    gossip: Gossip,
    probe_round: ProbeRound,
    search: MissingNodeSearch,
    pull: Pull,
    /// Pings on behalf of other nodes, by the sequence number of the ping.
    relays: BTreeMap<u32, Relay>,
    own_facts: OwnFacts,
    peer_facts: PeerFacts,
    next_gossip_at: Moment,
    /// Targets of the next gossip datagrams.
    gossip_targets: Vec<NodeId>,
    next_sweep_at: Moment,
    send_limiter: TokenBucket,
    answer_limiters: BTreeMap<NodeId, TokenBucket>,
    /// Version of the view at the last event about it.
    reported_version: u64,
    outputs: Vec<Output<PeersEvent>>,
}

/// Greatest number of nodes that are sent a changed observation of a box at once.
const MAX_INITIAL_TARGETS: usize = 32;

/// A ping on behalf of another node.
#[derive(Clone, Debug)]
struct Relay {
    /// The node that asked for the ping.
    requester: NodeId,
    /// Sequence number of its request, which the response repeats.
    seq: u32,
    target: NodeId,
    /// When the requester is told that the target has not answered; `None` once it was.
    nack_at: Option<Moment>,
    ends_at: Moment,
}

impl Peers {
    /// Creates a node that has heard no other node yet. `known` are the incarnations that an earlier incarnation
    /// stored: hints which nodes to ping first, and no members of the view.
    ///
    /// # Errors
    /// Names the setting that the protocol cannot work with.
    pub fn new(
        config: PeersConfig,
        seed: u64,
        now: Moment,
        known: &[NodeIncarnation],
    ) -> Result<Peers, ConfigError> {
        config.check()?;
        let (timing, bounds) = (&config.timing, &config.bounds);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut first = |within: Duration| now + within.mul_f64(rng.random());
        let (first_probe_at, first_search_at) = (first(timing.probe_every), first(timing.seek_every / 2));
        let hints = known.iter().map(|stored| stored.node).filter(|node| node.0 < config.configured);
        Ok(Peers {
            started_at: now,
            heard_at: None,
            leaving: false,
            seq: 0,
            table: Table::new(config.this, config.zone, config.configured, now),
            suspicions: Suspicions::default(),
            awareness: Awareness::new(bounds.awareness),
            gossip: Gossip::default(),
            probe_round: ProbeRound::new(first_probe_at),
            search: MissingNodeSearch::new(hints.take(config.configured.into()).collect(), first_search_at),
            pull: Pull::new(timing.page_every),
            relays: BTreeMap::new(),
            own_facts: OwnFacts::new(timing.recent, bounds.boxes),
            peer_facts: PeerFacts::new(timing.recent, bounds.boxes),
            next_gossip_at: now,
            gossip_targets: Vec::new(),
            next_sweep_at: now,
            send_limiter: TokenBucket::new(bounds.sends, bounds.burst),
            answer_limiters: BTreeMap::new(),
            reported_version: 0,
            outputs: Vec::new(),
            rng,
            config,
        })
    }

    /// Returns the nodes that are there, as far as this node has heard.
    pub fn view(&self) -> &View {
        &self.table.view
    }

    /// Takes the outputs since the last call, in order.
    pub fn take_outputs(&mut self) -> Vec<Output<PeersEvent>> {
        std::mem::take(&mut self.outputs)
    }

    /// Records an own observation of a box. It is sent to peers, and never mixed with their reports.
    pub fn observe(&mut self, now: Moment, fact: OwnObservation) {
        let others = self.table.active().take(MAX_INITIAL_TARGETS).count() as u8;
        let retransmit_limit = self.retransmit_limit().max(others);
        if self.own_facts.observe(now, fact, retransmit_limit) {
            // Every node is to get the change once before any gets it twice.
            self.gossip_targets.clear();
        }
        self.emit_events();
    }

    /// Returns the evidence about boxes merged from the peers' unexpired reports.
    pub fn evidence(&self, now: Moment) -> Vec<BoxEvidence> {
        self.peer_facts.evidence(now, |id| self.own_facts.started(id))
    }

    /// Announces that this node leaves, to as many nodes as the bounds allow at once; they gossip it on. From then on
    /// only answers are sent.
    pub fn leave(&mut self, now: Moment) {
        if !self.leaving {
            self.leaving = true;
            self.table.leave(now);
            self.farewell(now);
            self.emit_events();
        }
    }

    /// Returns the number of doublings up to the number of known nodes, at least 1.
    fn log2_members(&self) -> u32 {
        (self.table.view.members.len() as u32).ilog2() + 1
    }

    /// Returns how often a claim is sent.
    fn retransmit_limit(&self) -> u8 {
        self.config.bounds.retell.saturating_mul(self.log2_members() as u8)
    }

    /// Returns a random time between three and five quarters of `length` from now.
    fn jittered(&mut self, now: Moment, length: Duration) -> Moment {
        now + length.mul_f64(0.75 + 0.5 * self.rng.random::<f64>())
    }

    /// Emits events for a changed view or changed evidence.
    fn emit_events(&mut self) {
        if self.reported_version != self.table.view.version {
            self.reported_version = self.table.view.version;
            self.outputs.push(Output::Event(PeersEvent::View));
        }
        if std::mem::take(&mut self.peer_facts.dirty) {
            self.outputs.push(Output::Event(PeersEvent::Evidence));
        }
    }
}

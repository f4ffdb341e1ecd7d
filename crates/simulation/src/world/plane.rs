//! The plane between nodes: datagrams on the simulated network, scheduling, and counters.

use super::*;
use crate::plane::{NodePlane, NodePosition, PlaneNotification, RevisionSpread, SentAttempt, Switch, Tally};

/// State that the planes of all nodes share.
pub(super) struct PlaneState {
    pub switch: Switch,
    /// Separate from the network's random stream, so that the plane does not change any other draw of a run.
    rng: RandomStream,
    pub tally: Tally,
    /// When the first unanswered attempt at each box ended during its current silence.
    silent_since: FxHashMap<BoxId, Time>,
}

impl PlaneState {
    pub fn new(seed: u64) -> Self {
        let rng = RandomStream::new(seed, "plane");
        PlaneState { switch: Switch::Off, rng, tally: Tally::default(), silent_since: FxHashMap::default() }
    }
}

impl<S: Sink> World<'_, S> {
    /// Enables these parts of the plane on every node.
    ///
    /// # Errors
    /// If the run has more nodes than a plane supports, or membership or placement rejects its configuration.
    pub fn with_plane(mut self, switch: Switch) -> Result<Self, WorldError> {
        self.planes.switch = switch;
        for node in 0..self.nodes.len() {
            self.nodes[node].plane = self.new_plane(node)?;
        }
        Ok(self)
    }

    /// Creates the plane of a node's current process; `None` if the plane is disabled.
    pub(super) fn new_plane(&self, node: NodeId) -> Result<Option<Box<NodePlane>>, WorldError> {
        let state = &self.nodes[node];
        let (nodes, depots) = (self.nodes.len(), self.run_spec.depots.len());
        let seat = NodePosition { node, nodes, depot: state.depot, depots, start: state.start_count };
        let seed = node_seed(self.run_spec.seed, node, state.start_count);
        let plane = NodePlane::new(self.planes.switch, &seat, &state.settings, seed, self.now)?;
        Ok(plane.map(Box::new))
    }

    /// Runs what is due in a node's plane, applies its outputs and schedules its next wake-up.
    pub(super) fn run_plane(&mut self, node: NodeId) {
        let now = self.now;
        let Some(plane) = &mut self.nodes[node].plane else { return };
        let outputs = plane.run_due(now);
        let (due, generation) = (plane.next_due(now), self.nodes[node].generation);
        if let Some(plane) = self.nodes[node].plane.as_mut().filter(|plane| plane.next_wake != Some(due)) {
            plane.next_wake = Some(due);
            self.schedule_at(due, ScheduledEvent::PlaneWakes { node, generation });
        }
        for output in outputs {
            match output {
                PlaneNotification::Datagram(to, bytes) => self.send_datagram(node, to, bytes),
                PlaneNotification::News(news) => {
                    self.nodes[node].pending_events.push_back(decisions::Event::Fleet(news))
                }
                PlaneNotification::Table(news, revision) => {
                    self.nodes[node].pending_events.push_back(decisions::Event::Fleet(news));
                    self.set_placement_revision(node, revision);
                }
            }
        }
        self.process_events(node);
    }

    /// Runs a node's plane, unless its wake-up was rescheduled.
    pub(super) fn plane_wakes(&mut self, node: NodeId) {
        let now = self.now;
        if self.nodes[node]
            .plane
            .as_mut()
            .is_some_and(|plane| plane.next_wake.take_if(|at| *at == now).is_some())
        {
            self.run_plane(node);
        }
    }

    /// Sends a datagram from one node to another; it may be lost without notice.
    fn send_datagram(&mut self, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        self.planes.tally.count_datagram(self.now, from, bytes.len());
        let partitioned = self.is_partitioned(self.nodes[from].depot, self.nodes[to].depot);
        let rng = &mut self.planes.rng;
        if partitioned || rng.bernoulli(self.run_spec.network.message_loss) || self.faults.loses_message(rng)
        {
            return;
        }
        let factor = 1.0 + self.run_spec.network.jitter * rng.normal();
        let delay = self.run_spec.network.message.0 as f64 * factor.max(0.2);
        self.schedule_after(
            Span((delay.round() as u64).max(1)),
            ScheduledEvent::Datagram { to, from, bytes },
        );
    }

    /// Delivers a datagram to the process that runs at a node's address, whatever its generation.
    pub(super) fn receive_datagram(&mut self, to: NodeId, from: NodeId, bytes: &[u8]) {
        let now = self.now;
        let state = &mut self.nodes[to];
        if let Some(plane) = state.plane.as_mut().filter(|_| state.alive) {
            plane.receive(now, from, bytes);
            self.run_plane(to);
        }
    }

    /// Passes the node's endpoint list to its plane; `revision` is `None` for a list that may be stale.
    pub(super) fn update_plane_list(&mut self, node: NodeId, revision: Option<u64>) {
        let (now, NodeState { plane, cached_endpoints, .. }) = (self.now, &mut self.nodes[node]);
        if let Some(plane) = plane {
            plane.set_list(now, revision, cached_endpoints);
            self.run_plane(node);
        }
        if let Some(revision) = revision.filter(|_| self.planes.switch != Switch::Table) {
            self.set_placement_revision(node, revision);
        }
    }

    /// Stops a node's plane; only a planned stop is announced to peers.
    pub(super) fn stop_plane(&mut self, node: NodeId, planned: bool) {
        let now = self.now;
        if let Some(plane) = self.nodes[node].plane.as_mut().filter(|_| planned) {
            plane.leave(now);
            self.run_plane(node);
        }
        self.nodes[node].plane = None;
        self.nodes[node].placement_revision = 0;
    }

    /// Reports a new attempt to the node's plane; returns the plane's record of it.
    pub(super) fn plane_attempt_sent(&mut self, node: NodeId, server: &ServerId) -> Option<SentAttempt> {
        self.nodes[node].plane.as_mut().and_then(|plane| plane.record_sent(server))
    }

    /// Passes the end of an attempt to its node's plane, and counts attempts that a silent box did not answer.
    pub(super) fn plane_attempt_ended(
        &mut self,
        node: NodeId,
        to: BoxId,
        sent_at: Time,
        sent: Option<SentAttempt>,
        status: Status,
    ) {
        if let (Some(plane), Some(sent)) = (self.nodes[node].plane.as_mut(), sent) {
            plane.record_outcome(sent, status);
        }
        let unanswered = matches!(status, Status::TimedOut | Status::Unreachable | Status::Broken);
        if unanswered && self.boxes[to].silence_count > 0 {
            let first = *self.planes.silent_since.entry(to).or_insert(self.now);
            self.planes.tally.unanswered += 1;
            self.planes.tally.after_evidence += u64::from(sent_at > first);
        }
    }

    /// Forgets when the first unanswered attempt at a box ended; called when one of the box's silences ends.
    pub(super) fn clear_silence_evidence(&mut self, at: BoxId) {
        self.planes.silent_since.remove(&at);
    }

    /// Records when the list reached a revision.
    pub(super) fn record_list_revision(&mut self, revision: u64) {
        self.planes.tally.spreads.push(RevisionSpread { revision, listed: self.now, all: None });
    }

    /// Sets the list revision by which a node places keys.
    fn set_placement_revision(&mut self, node: NodeId, revision: u64) {
        self.nodes[node].placement_revision = revision;
        self.record_placement_spread();
    }

    /// Records the oldest list revision by which any running node places keys.
    pub(super) fn record_placement_spread(&mut self) {
        let running = self.nodes.iter().filter(|state| state.alive);
        if let Some(oldest) = running.map(|state| state.placement_revision).min() {
            self.planes.tally.record_all_place_by(self.now, oldest);
        }
    }
}

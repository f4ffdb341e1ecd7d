//! The plane between nodes: its datagrams on the world's network, its turns, and what is counted of it.

use super::*;
use crate::plane::{NodePlane, Seat, Sent, Spread, Switch, Tally, Told};

/// What a world holds for its nodes' planes.
pub(super) struct PlaneState {
    pub switch: Switch,
    /// Apart from the network's, so that a day has the same chances with the plane and without.
    rng: Chance,
    pub tally: Tally,
    /// Since when a box is known to be silent by any node's experience.
    silent_since: FxHashMap<BoxId, Time>,
}

impl PlaneState {
    pub fn new(seed: u64) -> Self {
        let rng = Chance::new(seed, "plane");
        PlaneState { switch: Switch::Off, rng, tally: Tally::default(), silent_since: FxHashMap::default() }
    }
}

impl<S: Sink> World<'_, S> {
    /// The same world with these parts of the plane at every node.
    ///
    /// # Errors
    /// Where the day has more nodes than a plane can.
    pub fn with_plane(mut self, switch: Switch) -> Result<Self, WorldError> {
        self.planes.switch = switch;
        for node in 0..self.nodes.len() {
            self.nodes[node].plane = self.new_plane(node)?;
        }
        Ok(self)
    }

    pub(super) fn new_plane(&self, node: NodeId) -> Result<Option<Box<NodePlane>>, WorldError> {
        let state = &self.nodes[node];
        let (nodes, depots) = (self.nodes.len(), self.day.depots.len());
        let seat = Seat { node, nodes, depot: state.depot, depots, start: state.start_count };
        let seed = node_seed(self.day.seed, node, state.start_count);
        let plane = NodePlane::new(self.planes.switch, &seat, &state.settings, seed, self.now)?;
        Ok(plane.map(Box::new))
    }

    /// A node's plane has its turn: what is due is done, what comes out is carried out.
    pub(super) fn run_plane(&mut self, node: NodeId) {
        let now = self.now;
        let Some(plane) = &mut self.nodes[node].plane else { return };
        let outputs = plane.turn(now);
        let (due, generation) = (plane.due(now), self.nodes[node].generation);
        if let Some(plane) = self.nodes[node].plane.as_mut().filter(|plane| plane.wakes != Some(due)) {
            plane.wakes = Some(due);
            self.schedule_at(due, ScheduledEvent::PlaneWakes { node, generation });
        }
        for output in outputs {
            match output {
                Told::Datagram(to, bytes) => self.send_datagram(node, to, bytes),
                Told::News(news) => self.nodes[node].pending_events.push_back(decisions::Event::Fleet(news)),
                Told::Table(news, revision) => {
                    self.nodes[node].pending_events.push_back(decisions::Event::Fleet(news));
                    self.set_placement_revision(node, revision);
                }
            }
        }
        self.process_events(node);
    }

    pub(super) fn plane_wakes(&mut self, node: NodeId) {
        let now = self.now;
        if self.nodes[node].plane.as_mut().is_some_and(|plane| plane.wakes.take_if(|at| *at == now).is_some())
        {
            self.run_plane(node);
        }
    }

    /// A datagram from one node to another: it may be lost, and nothing says so.
    fn send_datagram(&mut self, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        self.planes.tally.datagram(self.now, from, bytes.len());
        let parted = self.is_partitioned(self.nodes[from].depot, self.nodes[to].depot);
        let rng = &mut self.planes.rng;
        if parted || rng.happens(self.day.network.message_loss) || self.faults.loses_message(rng) {
            return;
        }
        let factor = 1.0 + self.day.network.jitter * rng.normal();
        let delay = self.day.network.message.0 as f64 * factor.max(0.2);
        self.schedule_after(
            Span((delay.round() as u64).max(1)),
            ScheduledEvent::Datagram { to, from, bytes },
        );
    }

    /// Whichever life of a node runs has what comes to its address.
    pub(super) fn receive_datagram(&mut self, to: NodeId, from: NodeId, bytes: &[u8]) {
        let now = self.now;
        let state = &mut self.nodes[to];
        if let Some(plane) = state.plane.as_mut().filter(|_| state.alive) {
            plane.receive(now, from, bytes);
            self.run_plane(to);
        }
    }

    /// A node's plane hears of the list; `None` for one that may be old.
    pub(super) fn update_plane_list(&mut self, node: NodeId, revision: Option<u64>) {
        let (now, NodeState { plane, cached_endpoints, .. }) = (self.now, &mut self.nodes[node]);
        if let Some(plane) = plane {
            plane.learn(now, revision, cached_endpoints);
            self.run_plane(node);
        }
        if let Some(revision) = revision.filter(|_| self.planes.switch != Switch::Table) {
            self.set_placement_revision(node, revision);
        }
    }

    /// A node that leaves as planned says so; one that dies does not.
    pub(super) fn stop_plane(&mut self, node: NodeId, planned: bool) {
        let now = self.now;
        if let Some(plane) = self.nodes[node].plane.as_mut().filter(|_| planned) {
            plane.leave(now);
            self.run_plane(node);
        }
        self.nodes[node].plane = None;
        self.nodes[node].placement_revision = 0;
    }

    pub(super) fn plane_attempt_sent(&mut self, node: NodeId, server: &ServerId) -> Option<Sent> {
        self.nodes[node].plane.as_mut().and_then(|plane| plane.sent(server))
    }

    /// An attempt has ended: its node's plane hears of it, and one that a silent box did not answer is counted.
    pub(super) fn plane_attempt_ended(
        &mut self,
        node: NodeId,
        to: BoxId,
        since: Time,
        sent: Option<Sent>,
        status: Status,
    ) {
        if let (Some(plane), Some(sent)) = (self.nodes[node].plane.as_mut(), sent) {
            plane.ended(sent, status);
        }
        let unanswered = matches!(status, Status::TimedOut | Status::Unreachable | Status::Broken);
        if unanswered && self.boxes[to].silence_count > 0 {
            let first = *self.planes.silent_since.entry(to).or_insert(self.now);
            self.planes.tally.unanswered += 1;
            self.planes.tally.after_evidence += u64::from(since > first);
        }
    }

    pub(super) fn clear_silence_evidence(&mut self, at: BoxId) {
        self.planes.silent_since.remove(&at);
    }

    pub(super) fn record_list_revision(&mut self, revision: u64) {
        self.planes.tally.spreads.push(Spread { revision, listed: self.now, all: None });
    }

    fn set_placement_revision(&mut self, node: NodeId, revision: u64) {
        self.nodes[node].placement_revision = revision;
        self.record_placement_spread();
    }

    /// Sees by which revision all nodes place that run.
    pub(super) fn record_placement_spread(&mut self) {
        let running = self.nodes.iter().filter(|state| state.alive);
        if let Some(least) = running.map(|state| state.placement_revision).min() {
            self.planes.tally.all_place_by(self.now, least);
        }
    }
}

//! The network: delays, partitions, messages between nodes and health checks.

use super::*;

impl<S: Sink> World<'_, S> {
    /// A duration with the network's jitter: normally distributed, at least 20% of the duration and 1 µs.
    pub(super) fn jittered(&mut self, span: Span) -> Span {
        let factor = 1.0 + self.run_spec.network.jitter * self.network_rng.normal();
        Span(((span.0 as f64 * factor.max(0.2)).round() as u64).max(1))
    }

    /// A one-way delay between two depots.
    pub(super) fn network_delay(&mut self, from: usize, to: usize) -> Span {
        self.jittered(if from == to { self.run_spec.network.same } else { self.run_spec.network.cross })
    }

    /// Returns whether packets from depot `a` to depot `b` are lost.
    pub(super) fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partition_counts[a * self.run_spec.depots.len() + b] > 0
    }

    /// Returns whether packets between two depots are lost in at least one direction.
    pub(super) fn is_partitioned_either_way(&self, a: usize, b: usize) -> bool {
        self.is_partitioned(a, b) || self.is_partitioned(b, a)
    }

    /// Adds `by` to the partition counts of directed depot pairs.
    pub(super) fn adjust_partitions(&mut self, pairs: &[(usize, usize)], by: i32) {
        for (a, b) in pairs {
            let pair = &mut self.partition_counts[a * self.run_spec.depots.len() + b];
            *pair = pair.saturating_add_signed(by);
        }
    }

    /// Sends a message from one node to all others; each copy may be lost.
    pub(super) fn broadcast(&mut self, from: NodeId, bytes: Vec<u8>) {
        self.next_message += 1;
        let message = self.next_message;
        let mut copies = 0;
        for to in (0..self.nodes.len()).filter(|to| *to != from) {
            let partitioned = self.is_partitioned(self.nodes[from].depot, self.nodes[to].depot);
            let lost = self.network_rng.bernoulli(self.run_spec.network.message_loss);
            if partitioned || lost || self.faults.loses_message(&mut self.network_rng) {
                continue;
            }
            let (delay, generation) =
                (self.jittered(self.run_spec.network.message), self.nodes[to].generation);
            self.schedule_after(delay, ScheduledEvent::Message { to, generation, from, message });
            copies += 1;
        }
        if copies > 0 {
            self.messages.insert(message, (bytes, copies));
        }
    }

    /// Delivers a copy of a broadcast message, if the receiver's process still runs.
    pub(super) fn deliver_message(&mut self, to: NodeId, generation: u32, from: NodeId, message: u64) {
        let Some((bytes, copies)) = self.messages.get_mut(&message) else { return };
        let bytes = bytes.clone();
        *copies -= 1;
        if *copies == 0 {
            self.messages.remove(&message);
        }
        if self.is_current(to, generation) {
            self.record(Event::Message { bytes: bytes.len() });
            self.notify_policy(to, decisions::Event::Message { from: from as u32, bytes });
        }
    }

    /// Sends a health check from a node to a box. If the box is silent or a partition cuts either direction,
    /// the check ends as `TimedOut` after `probe_timeout`.
    pub(super) fn start_health_check(&mut self, node: NodeId, server: &ServerId) {
        let Some(of) = self.servers.get(server).copied() else { return };
        self.record(Event::Probed { of });
        let (generation, (from, at)) =
            (self.nodes[node].generation, (self.nodes[node].depot, self.run_spec.boxes[of].depot));
        if self.boxes[of].silence_count > 0 || self.is_partitioned_either_way(from, at) {
            let status = Status::TimedOut;
            return self.schedule_after(
                self.run_spec.limits.probe_timeout,
                ScheduledEvent::ProbeEnds { node, generation, of, status },
            );
        }
        let delay = self.network_delay(from, at);
        self.schedule_after(delay, ScheduledEvent::ProbeAtBox { node, generation, of });
    }

    /// Handles a health check at its box.
    pub(super) fn health_check_at_box(&mut self, node: NodeId, generation: u32, of: BoxId) {
        let delay = self.network_delay(self.nodes[node].depot, self.run_spec.boxes[of].depot);
        let status = if self.boxes[of].cache.is_up() { Status::Success } else { Status::Unreachable };
        if status == Status::Success {
            let work = self.run_spec.boxes[of].probe_work.0 as f64;
            self.record(Event::Reached { to: of, node, work, read: false });
            let mut outputs = std::mem::take(&mut self.outputs);
            self.boxes[of].cache.probe(self.now, &mut outputs);
            self.outputs = outputs;
            self.apply_box_outputs(of);
        }
        self.schedule_after(delay, ScheduledEvent::ProbeEnds { node, generation, of, status });
    }
}

//! Connections from nodes to boxes: opening, reuse and closing.

use super::*;

impl<S: Sink> World<'_, S> {
    /// Removes an attempt from those in flight.
    pub(super) fn remove_in_flight(&mut self, token: u64) {
        let in_flight = self.in_flight.remove(slab_index(token));
        if !in_flight.arrived {
            self.boxes[in_flight.to].in_transit -= 1;
        }
    }

    /// Takes the most recently used idle connection and returns its box's generation. If even that one has been idle
    /// for 90% of the box's idle timeout, closes all and returns `None`.
    pub(super) fn take_idle_connection(&mut self, node: NodeId, to: BoxId) -> Option<u32> {
        let max_idle = self.run_spec.boxes[to].idle_close * 0.9;
        let (since, generation) = self.nodes[node].idle_connections[to].pop_back()?;
        if self.now.since(since) < max_idle {
            return Some(generation);
        }
        // All others have been idle for longer.
        self.nodes[node].idle_connections[to].push_back((since, generation));
        self.close_idle_connections(node, to, 0);
        None
    }

    /// Closes a node's idle connections to a box, the longest idle first, until `keep` are left.
    pub(super) fn close_idle_connections(&mut self, node: NodeId, to: BoxId, keep: usize) {
        let delay = self.network_delay(self.nodes[node].depot, self.run_spec.boxes[to].depot);
        while self.nodes[node].idle_connections[to].len() > keep {
            let Some((_, generation)) = self.nodes[node].idle_connections[to].pop_front() else { return };
            self.record(Event::Closed { to });
            self.schedule_after(delay, ScheduledEvent::ClosedAtBox { at: to, generation, cancels: None });
        }
    }

    /// Opens a connection for an attempt; the dial times out if the box cannot be reached.
    pub(super) fn open_connection(&mut self, token: u64) {
        let Some(in_flight) = self.find_in_flight(token) else { return };
        let (node, to) = (in_flight.node, in_flight.to);
        let (from, at) = (self.nodes[node].depot, self.run_spec.boxes[to].depot);
        if self.boxes[to].silence_count > 0 || self.is_partitioned_either_way(from, at) {
            return self.schedule_after(self.run_spec.limits.dial_timeout, ScheduledEvent::DialFails(token));
        }
        let handshake = self.network_delay(from, at) * (2.0 * self.run_spec.network.handshake_rtts);
        self.schedule_after(handshake, ScheduledEvent::ConnectionUp(token));
    }

    /// Handles the end of a connection's handshake: writes the command, or fails the attempt if the box is
    /// down or accepts no more connections. If the box has gone silent, the dial times out instead.
    pub(super) fn connection_up(&mut self, token: u64) {
        let Some(in_flight) = self.find_in_flight(token) else { return };
        let to = in_flight.to;
        if self.boxes[to].silence_count > 0 {
            // The box went silent during the handshake.
            return self.schedule_after(self.run_spec.limits.dial_timeout, ScheduledEvent::DialFails(token));
        }
        let mut outputs = std::mem::take(&mut self.outputs);
        let box_state = &mut self.boxes[to];
        let up = box_state.cache.is_up() && box_state.cache.connect(self.now, &mut outputs);
        self.outputs = outputs;
        if !up {
            return self.end_in_flight(token, Status::Unreachable);
        }
        self.record(Event::Opened { to });
        let work = self.run_spec.boxes[to].connection_work.0 as f64;
        let node = self.in_flight[slab_index(token)].node;
        self.record(Event::Reached { to, node, work, read: false });
        self.in_flight[slab_index(token)].box_generation = self.boxes[to].generation;
        self.apply_box_outputs(to);
        self.write_command(token);
    }

    /// Writes an attempt's command to its connection.
    pub(super) fn write_command(&mut self, token: u64) {
        let Some(in_flight) = self.in_flight.get_mut(slab_index(token)).filter(|f| f.token == token) else {
            return;
        };
        in_flight.written = true;
        let (node, to) = (in_flight.node, in_flight.to);
        let delay = self.network_delay(self.nodes[node].depot, self.run_spec.boxes[to].depot);
        self.schedule_after(delay, ScheduledEvent::AttemptAtBox(token));
    }

    /// Removes an attempt in flight and closes its connection. The box notices after one network delay if the
    /// command was written; before that there is no connection.
    pub(super) fn close_connection(&mut self, token: u64) {
        let Some(in_flight) = self.find_in_flight(token) else { return };
        let (node, to, generation, written) =
            (in_flight.node, in_flight.to, in_flight.box_generation, in_flight.written);
        self.remove_in_flight(token);
        if written {
            self.record(Event::Closed { to });
            let delay = self.network_delay(self.nodes[node].depot, self.run_spec.boxes[to].depot);
            self.schedule_after(
                delay,
                ScheduledEvent::ClosedAtBox { at: to, generation, cancels: Some(token) },
            );
        }
    }

    /// Ends an attempt whose connection was reset: `Broken` if the command was written, else `Unreachable`.
    pub(super) fn connection_reset(&mut self, token: u64) {
        let written = self.find_in_flight(token).is_some_and(|f| f.written);
        self.end_in_flight(token, if written { Status::Broken } else { Status::Unreachable });
    }

    /// Closes a node's connections that were idle for 90% of their box's idle timeout, and schedules the next sweep.
    pub(super) fn close_expired_connections(&mut self, node: NodeId) {
        let generation = self.nodes[node].generation;
        for to in 0..self.boxes.len() {
            let max_idle = self.run_spec.boxes[to].idle_close * 0.9;
            let now = self.now;
            let expired_in = |pool: &VecDeque<(Time, u32)>| {
                pool.iter().take_while(|(since, _)| now.since(*since) >= max_idle).count()
            };
            let pool = &self.nodes[node].idle_connections[to];
            let (expired, open) = (expired_in(pool), pool.len());
            if expired > 0 {
                self.close_idle_connections(node, to, open - expired);
            }
        }
        self.schedule_after(SWEEP_INTERVAL, ScheduledEvent::Sweep { node, generation });
    }
}

//! Lifecycle of node processes: starts, crashes and planned stops.

use super::*;

/// Interval at which the sizes of policies are sampled.
const SIZES_INTERVAL: Span = Span(10_000_000);

impl<S: Sink> World<'_, S> {
    /// Starts a node's work with its cached endpoint list. Discovery's list follows after a random delay of
    /// at most `list.spread`, or later if an incident delays it or discovery is down.
    pub(super) fn start_process(&mut self, node: NodeId) {
        let cached = self.nodes[node].cached_endpoints.clone();
        let generation = self.nodes[node].generation;
        for entry in &cached {
            if let Some(&of) = self.servers.get(&entry.server) {
                let phase = if entry.state == ServerState::Ready { Phase::Ready } else { Phase::Draining };
                let started = entry.started.map(|s| Time::ZERO + Span::from_secs(s));
                self.record(Event::Notified { node, of, phase, started });
            }
        }
        self.notify_policy(node, decisions::Event::Endpoints(EndpointUpdate::Cached(cached)));
        self.update_plane_list(node, None);
        self.nodes[node].revision = 0;
        let delay = Span::from_secs(self.network_rng.between(0.0, self.run_spec.list.spread.as_secs()));
        self.notify_agent_after(delay, node);
        self.schedule_after(SWEEP_INTERVAL, ScheduledEvent::Sweep { node, generation });
    }

    /// Starts a new process of a node that is down.
    pub(super) fn node_starts(&mut self, node: NodeId) {
        if self.nodes[node].alive {
            return;
        }
        let state = &mut self.nodes[node];
        state.start_count += 1;
        let seed = node_seed(self.run_spec.seed, node, state.start_count);
        // Cannot fail: the same settings were accepted when the run began.
        if let Ok(policy) = (self.start)(state.settings.clone(), seed) {
            state.policy = policy;
            (state.alive, state.accepts_until, state.new_connections_until, state.unavailable_since) =
                (true, None, None, None);
            // Cannot fail: the number of nodes is the same as when the run began.
            self.nodes[node].plane = self.new_plane(node).ok().flatten();
            self.record(Event::NodeUp { node });
            self.start_process(node);
            // The node's agent answers at once, unless discovery is down.
            self.notify_node(node);
            if self.list_outages > 0 {
                self.schedule_watch_reopen(node);
            }
        }
    }

    /// Restarts a node as planned: it accepts tries for a while, answers all of them, exits and starts again. With
    /// `stop`, clients keep using open connections for as long as the node does, and it is killed if it has not exited
    /// after `stop.kill`.
    pub(super) fn restart_node(&mut self, node: NodeId, stop: Option<StopTimings>) {
        if !self.nodes[node].alive {
            return;
        }
        let (now, generation) = (self.now, self.nodes[node].generation);
        let state = &mut self.nodes[node];
        state.unavailable_since = Some(now);
        let Some(StopTimings { new_connections_time, kill }) = stop else {
            state.accepts_until = Some(now + ACCEPT_AFTER_STOP);
            let leave = self.run_spec.longest_deadline() + LEAVE_DELAY;
            self.schedule_after(leave, ScheduledEvent::NodeLeaves { node, generation });
            return self.schedule_after(leave + LEAVE_DELAY, ScheduledEvent::NodeStarts(node));
        };
        (state.accepts_until, state.new_connections_until) =
            (Some(now + self.run_spec.node_timings.parting), Some(now + new_connections_time));
        self.record(Event::Stopping { node });
        self.schedule_after(kill, ScheduledEvent::NodeKilled { node, generation });
        self.schedule_after(kill + LEAVE_DELAY, ScheduledEvent::NodeStarts(node));
    }

    /// Ends the process of a node: its connections close and its open tries are reset.
    pub(super) fn node_ends(&mut self, node: NodeId, planned: bool) {
        if !self.nodes[node].alive {
            return;
        }
        self.stop_plane(node, planned);
        self.record(Event::NodeDown { node, planned });
        let state = &mut self.nodes[node];
        (state.alive, state.unavailable_since) = (false, state.unavailable_since.or(Some(self.now)));
        state.generation += 1;
        state.watch_silent = false;
        state.pending_events.clear();
        let mut open: Vec<(TryId, bool)> =
            state.tries.drain().map(|(id, accepted)| (id, accepted.answered)).collect();
        open.sort_unstable();
        let tokens: Vec<u64> =
            self.in_flight.iter().filter(|(_, f)| f.node == node).map(|(_, f)| f.token).collect();
        tokens.into_iter().for_each(|token| self.close_connection(token));
        for to in 0..self.boxes.len() {
            self.close_idle_connections(node, to, 0);
        }
        self.record_placement_spread();
        for (id, _) in open.into_iter().filter(|(_, answered)| !answered) {
            let delay = self.jittered(self.run_spec.network.client);
            self.schedule_after(delay, ScheduledEvent::Reply { id, reply: Reply::Reset });
        }
    }

    /// Ends the process of a node as planned.
    pub(super) fn node_leaves(&mut self, node: NodeId) {
        self.node_ends(node, true);
    }

    /// Records the largest policy sizes, once each `SIZES_INTERVAL`.
    pub(super) fn sample_policy_sizes(&mut self) {
        if self.now.0.is_multiple_of(SIZES_INTERVAL.0) {
            let alive = self.nodes.iter().filter(|state| state.alive);
            let largest = alive.map(|state| state.policy.sizes()).fold(Sizes::default(), Sizes::max_of_each);
            self.sizes.push((self.now, largest));
        }
    }
}

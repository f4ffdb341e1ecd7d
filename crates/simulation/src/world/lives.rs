//! Lives of nodes: starts, deaths and planned stops.

use super::*;

/// What policies hold is looked at so often.
const SIZES_INTERVAL: Span = Span(10_000_000);

impl<S: Sink> World<'_, S> {
    /// A node's process is up: it has its last list, and soon what discovery has.
    pub(super) fn start_process(&mut self, node: NodeId) {
        let held = self.nodes[node].cached_endpoints.clone();
        let generation = self.nodes[node].generation;
        for entry in &held {
            if let Some(&of) = self.servers.get(&entry.server) {
                let phase = if entry.state == ServerState::Ready { Phase::Ready } else { Phase::Draining };
                let started = entry.started.map(|s| Time::ZERO + Span::from_secs(s));
                self.record(Event::Told { node, of, phase, started });
            }
        }
        self.notify_policy(node, decisions::Event::Endpoints(EndpointUpdate::Cached(held)));
        self.update_plane_list(node, None);
        self.nodes[node].revision = 0;
        let late = Span::from_secs(self.network_rng.between(0.0, self.day.list.spread.as_secs()));
        self.notify_agent_after(late, node);
        self.schedule_after(SWEEP_INTERVAL, ScheduledEvent::Sweep { node, generation });
    }

    pub(super) fn node_starts(&mut self, node: NodeId) {
        if self.nodes[node].alive {
            return;
        }
        let state = &mut self.nodes[node];
        state.start_count += 1;
        let seed = node_seed(self.day.seed, node, state.start_count);
        // The same settings were good at the day's beginning.
        if let Ok(policy) = (self.start)(state.settings.clone(), seed) {
            state.policy = policy;
            (state.alive, state.accepts_until, state.new_connections_until, state.unavailable_since) =
                (true, None, None, None);
            // As many nodes as at the day's beginning can have a plane.
            self.nodes[node].plane = self.new_plane(node).ok().flatten();
            self.record(Event::NodeUp { node });
            self.start_process(node);
            // Its agent answers from the first moment on, unless discovery is down.
            self.notify_node(node);
            if self.list_outages > 0 {
                self.schedule_watch_reopen(node);
            }
        }
    }

    /// A planned restart: the node accepts a little longer, answers all, leaves and comes back. With a stop of the
    /// platform's, clients go on with the connections that they hold for as long as the node keeps them, and it is
    /// killed if it has not ended by then.
    pub(super) fn restart_node(&mut self, node: NodeId, stop: Option<Stop>) {
        if !self.nodes[node].alive {
            return;
        }
        let (now, generation) = (self.now, self.nodes[node].generation);
        let state = &mut self.nodes[node];
        state.unavailable_since = Some(now);
        let Some(Stop { coming, kill }) = stop else {
            state.accepts_until = Some(now + ACCEPT_AFTER_STOP);
            let leave = self.day.longest_deadline() + LEAVE_DELAY;
            self.schedule_after(leave, ScheduledEvent::NodeLeaves { node, generation });
            return self.schedule_after(leave + LEAVE_DELAY, ScheduledEvent::NodeStarts(node));
        };
        (state.accepts_until, state.new_connections_until) =
            (Some(now + self.day.shell.parting), Some(now + coming));
        self.record(Event::Stopping { node });
        self.schedule_after(kill, ScheduledEvent::NodeKilled { node, generation });
        self.schedule_after(kill + LEAVE_DELAY, ScheduledEvent::NodeStarts(node));
    }

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
        let held: Vec<u64> =
            self.in_flight.iter().filter(|(_, f)| f.node == node).map(|(_, f)| f.token).collect();
        held.into_iter().for_each(|token| self.close_connection(token));
        for to in 0..self.boxes.len() {
            self.close_idle_connections(node, to, 0);
        }
        self.record_placement_spread();
        for (id, _) in open.into_iter().filter(|(_, answered)| !answered) {
            let delay = self.jittered(self.day.network.client);
            self.schedule_after(delay, ScheduledEvent::Reply { id, reply: Reply::Reset });
        }
    }

    pub(super) fn node_leaves(&mut self, node: NodeId) {
        self.node_ends(node, true);
    }

    pub(super) fn sample_policy_sizes(&mut self) {
        if self.now.0.is_multiple_of(SIZES_INTERVAL.0) {
            let alive = self.nodes.iter().filter(|state| state.alive);
            let most = alive.map(|state| state.policy.sizes()).fold(Sizes::default(), Sizes::max_of_each);
            self.sizes.push((self.now, most));
        }
    }
}

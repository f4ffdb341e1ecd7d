//! Lives of nodes: starts, deaths and planned stops.

use super::*;

/// What policies hold is looked at so often.
const SIZES_EVERY: Span = Span(10_000_000);

impl<S: Sink> World<'_, S> {
    /// A node's process is up: it has its last list, and soon what discovery has.
    pub(super) fn start_host(&mut self, node: NodeId) {
        let held = self.hosts[node].held.clone();
        let life = self.hosts[node].life;
        for entry in &held {
            if let Some(&of) = self.servers.get(&entry.server) {
                let phase = if entry.state == ServerState::Ready { Phase::Ready } else { Phase::Draining };
                let started = entry.started.map(|s| Time::ZERO + Span::from_secs(s));
                self.record(Event::Told { node, of, phase, started });
            }
        }
        self.tell(node, decisions::Event::Endpoints(EndpointUpdate::Cached(held)));
        self.plane_learns(node, None);
        self.hosts[node].revision = 0;
        let late = Span::from_secs(self.network.between(0.0, self.day.list.spread.as_secs()));
        self.news_after(late, node);
        self.after(SWEEP, Due::Sweep { node, life });
    }

    pub(super) fn node_starts(&mut self, node: NodeId) {
        if self.hosts[node].alive {
            return;
        }
        let host = &mut self.hosts[node];
        host.starts += 1;
        let seed = seed_of(self.day.seed, node, host.starts);
        // The same settings were good at the day's beginning.
        if let Ok(policy) = (self.start)(host.settings.clone(), seed) {
            host.policy = policy;
            (host.alive, host.leaving, host.coming, host.gone_at) = (true, None, None, None);
            // As many nodes as at the day's beginning can have a plane.
            self.hosts[node].plane = self.new_plane(node).ok().flatten();
            self.record(Event::NodeUp { node });
            self.start_host(node);
            // Its agent answers from the first moment on, unless discovery is down.
            self.told(node);
            if self.list_silent > 0 {
                self.reopens_later(node);
            }
        }
    }

    /// A planned restart: the node accepts a little longer, answers all, leaves and comes back. With a stop of the
    /// platform's, clients go on with the connections that they hold for as long as the node keeps them, and it is
    /// killed if it has not ended by then.
    pub(super) fn restart(&mut self, node: NodeId, stop: Option<Stop>) {
        if !self.hosts[node].alive {
            return;
        }
        let (now, life) = (self.now, self.hosts[node].life);
        let host = &mut self.hosts[node];
        host.gone_at = Some(now);
        let Some(Stop { coming, kill }) = stop else {
            host.leaving = Some(now + STILL_COMING);
            let leave = self.day.longest_deadline() + LEAVE;
            self.after(leave, Due::NodeLeaves { node, life });
            return self.after(leave + LEAVE, Due::NodeStarts(node));
        };
        (host.leaving, host.coming) = (Some(now + self.day.shell.parting), Some(now + coming));
        self.record(Event::Stopping { node });
        self.after(kill, Due::NodeKilled { node, life });
        self.after(kill + LEAVE, Due::NodeStarts(node));
    }

    pub(super) fn node_ends(&mut self, node: NodeId, planned: bool) {
        if !self.hosts[node].alive {
            return;
        }
        self.plane_ends(node, planned);
        self.record(Event::NodeDown { node, planned });
        let host = &mut self.hosts[node];
        (host.alive, host.gone_at) = (false, host.gone_at.or(Some(self.now)));
        host.life += 1;
        host.silent = false;
        host.events.clear();
        let mut open: Vec<(TryId, bool)> = host.tries.drain().map(|(id, live)| (id, live.answered)).collect();
        open.sort_unstable();
        let held: Vec<u64> =
            self.flights.iter().filter(|(_, f)| f.node == node).map(|(_, f)| f.token).collect();
        held.into_iter().for_each(|token| self.hang_up(token));
        for to in 0..self.boxes.len() {
            self.drop_pool(node, to, 0);
        }
        self.all_place_by();
        for (id, _) in open.into_iter().filter(|(_, answered)| !answered) {
            let way = self.jittered(self.day.network.client);
            self.after(way, Due::Reply { id, reply: Reply::Reset });
        }
    }

    pub(super) fn node_leaves(&mut self, node: NodeId) {
        self.node_ends(node, true);
    }

    pub(super) fn look_at_sizes(&mut self) {
        if self.now.0.is_multiple_of(SIZES_EVERY.0) {
            let alive = self.hosts.iter().filter(|host| host.alive);
            let most = alive.map(|host| host.policy.sizes()).fold(Sizes::default(), Sizes::max_of_each);
            self.sizes.push((self.now, most));
        }
    }
}

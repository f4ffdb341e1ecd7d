//! The list as nodes are told it.

use super::*;

impl<S: Sink> World<'_, S> {
    pub(super) fn update_list_after(&mut self, delay: Span, listing: Listing) {
        self.schedule_after(delay, ScheduledEvent::ListUpdate(listing));
    }

    /// Discovery comes to know of a box, unless that has been overtaken.
    pub(super) fn update_list(&mut self, listing: Listing) {
        let up = self.boxes[listing.cache_box].cache.is_up();
        let silent = self.boxes[listing.cache_box].silence_count > 0;
        let overtaken = match listing.phase {
            Phase::Gone => up,
            Phase::Ready | Phase::Draining => !up && !silent,
        };
        if let Some(revision) = (!overtaken).then(|| self.list.set(listing)).flatten() {
            self.record_list_revision(revision);
            self.distribute_list();
        }
    }

    pub(super) fn distribute_list(&mut self) {
        if self.list_outages > 0 {
            return;
        }
        for node in 0..self.nodes.len() {
            let late = Span::from_secs(self.network_rng.between(0.0, self.day.list.spread.as_secs()));
            self.notify_agent_after(late, node);
        }
    }

    /// A node's agent has the list as it is now after this time, or later where it comes late.
    pub(super) fn notify_agent_after(&mut self, late: Span, node: NodeId) {
        let delay = self.faults.list_delay(self.nodes[node].depot);
        let until = (!delay.is_zero()).then(|| self.list.revision());
        self.schedule_after(late + delay, ScheduledEvent::AgentNotified { node, until });
    }

    /// A node's agent is sent the list, and hands it on to a node that listens. What it has while the node does not is
    /// the node's to know all the same.
    pub(super) fn agent_notified(&mut self, node: NodeId, until: Option<u64>) {
        let until = until.unwrap_or(self.list.revision());
        let state = &mut self.nodes[node];
        if self.list_outages > 0 || state.agent_revision.max(state.revision) > until {
            return;
        }
        let before = std::mem::replace(&mut state.agent_revision, until);
        if state.alive && state.watch_silent {
            for l in self.list.between(before, until).listings {
                let (of, phase, started) = (l.cache_box, l.phase, l.started);
                self.record(Event::Has { node, of, phase, started, asked: false });
            }
        }
        self.notify_node(node);
    }

    /// A node that listens is told what its agent has.
    pub(super) fn notify_node(&mut self, node: NodeId) {
        let state = &self.nodes[node];
        if !state.alive
            || state.watch_silent
            || self.list_outages > 0
            || state.revision >= state.agent_revision
        {
            return;
        }
        let news = self.list.between(state.revision, state.agent_revision);
        self.deliver_list_update(node, news);
    }

    /// Discovery falls silent: the calls that are out are given up in time, if it lasts for so long.
    pub(super) fn discovery_fails(&mut self) {
        self.list_outages += 1;
        let waiting: Vec<NodeId> =
            (0..self.nodes.len()).filter(|node| !self.nodes[*node].watch_silent).collect();
        if self.list_outages == 1 {
            waiting.into_iter().for_each(|node| self.schedule_watch_reopen(node));
        }
    }

    /// Right after an outage agents answer again, with what they had before it.
    pub(super) fn discovery_recovers(&mut self) {
        self.list_outages -= 1;
        let waiting = |state: &NodeState| self.list_outages == 0 && state.alive && !state.watch_silent;
        let nodes: Vec<NodeId> = (0..self.nodes.len()).filter(|node| waiting(&self.nodes[*node])).collect();
        for node in nodes {
            self.record(Event::WatchOpened { node });
            self.notify_node(node);
        }
    }

    /// Watches of the list fall silent.
    pub(super) fn watches_silent(&mut self, at: usize) {
        let silence = &self.day.silences[at];
        for &node in &silence.nodes {
            if self.nodes[node].alive && !std::mem::replace(&mut self.nodes[node].watch_silent, true) {
                self.record(Event::WatchSilent { node, waits: silence.waits });
                self.schedule_watch_reopen(node);
            }
        }
    }

    pub(super) fn schedule_watch_reopen(&mut self, node: NodeId) {
        let generation = self.nodes[node].generation;
        self.schedule_after(self.day.shell.reopens, ScheduledEvent::WatchOpens { node, generation });
    }

    /// A node gives up a call that brings nothing, and opens its watch anew; while discovery is down that call fails.
    pub(super) fn watch_opens(&mut self, node: NodeId) {
        if self.list_outages > 0 {
            self.record(Event::CallFailed { node });
            return self.schedule_watch_reopen(node);
        }
        // Discovery has answered meanwhile, unless it was the watch that fell silent.
        if std::mem::take(&mut self.nodes[node].watch_silent) {
            self.record(Event::WatchOpened { node });
            self.notify_node(node);
        }
    }

    pub(super) fn deliver_list_update(&mut self, node: NodeId, news: News) {
        self.nodes[node].revision = news.revision;
        let entries: Vec<EndpointEntry> = news.listings.iter().map(|l| self.entry(*l)).collect();
        if news.complete {
            // Whoever is missing has left.
            let listed: FxHashSet<&ServerId> = entries.iter().map(|e| &e.server).collect();
            let removed = self.nodes[node].cached_endpoints.iter().filter(|e| !listed.contains(&e.server));
            let missing: Vec<BoxId> = removed.filter_map(|e| self.servers.get(&e.server).copied()).collect();
            for of in missing {
                self.record(Event::Told { node, of, phase: Phase::Gone, started: None });
            }
        }
        for l in &news.listings {
            self.record(Event::Told { node, of: l.cache_box, phase: l.phase, started: l.started });
        }
        let held = &mut self.nodes[node].cached_endpoints;
        if news.complete {
            *held = entries.clone();
        } else {
            let new: FxHashSet<&ServerId> = entries.iter().map(|e| &e.server).collect();
            held.retain(|e| !new.contains(&e.server));
            held.extend(entries.iter().filter(|e| e.state != ServerState::Gone).cloned());
        }
        let update =
            if news.complete { EndpointUpdate::Full(entries) } else { EndpointUpdate::Delta(entries) };
        self.notify_policy(node, decisions::Event::Endpoints(update));
        self.update_plane_list(node, Some(news.revision));
    }

    pub(super) fn entry(&self, listing: Listing) -> EndpointEntry {
        let spec = &self.day.boxes[listing.cache_box];
        EndpointEntry {
            server: self.boxes[listing.cache_box].server.clone(),
            state: match listing.phase {
                Phase::Ready => ServerState::Ready,
                Phase::Draining => ServerState::Draining,
                Phase::Gone => ServerState::Gone,
            },
            zone: self.day.depots[spec.depot].clone(),
            weight: spec.size,
            kind: spec.kind.clone(),
            started: listing.started.map(Time::as_secs),
            cell: spec.cell,
        }
    }
}

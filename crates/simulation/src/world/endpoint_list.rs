//! The endpoint list and how nodes receive its changes.

use super::*;

impl<S: Sink> World<'_, S> {
    /// Schedules an update of discovery's list.
    pub(super) fn update_list_after(&mut self, delay: Span, listing: Listing) {
        self.schedule_after(delay, ScheduledEvent::ListUpdate(listing));
    }

    /// Updates discovery's list with the state of a box, unless a later change has made it obsolete.
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

    /// Sends the list to the agents of all nodes, each after a random delay; nothing is sent during an outage.
    pub(super) fn distribute_list(&mut self) {
        if self.list_outages > 0 {
            return;
        }
        for node in 0..self.nodes.len() {
            let delay = Span::from_secs(self.network_rng.between(0.0, self.run_spec.list.spread.as_secs()));
            self.notify_agent_after(delay, node);
        }
    }

    /// Schedules an update of a node's agent. Where an incident delays the list, the agent gets it later and as it is
    /// now.
    pub(super) fn notify_agent_after(&mut self, delay: Span, node: NodeId) {
        let extra_delay = self.faults.list_delay(self.nodes[node].depot);
        let until = (!extra_delay.is_zero()).then(|| self.list.revision());
        self.schedule_after(delay + extra_delay, ScheduledEvent::AgentNotified { node, until });
    }

    /// Updates a node's agent, unless discovery is down or the agent or node has a later revision. A working
    /// watch gets the list at once; for a silent watch, the trace records that the update was available.
    pub(super) fn agent_notified(&mut self, node: NodeId, until: Option<u64>) {
        let until = until.unwrap_or(self.list.revision());
        let state = &mut self.nodes[node];
        if self.list_outages > 0 || state.agent_revision.max(state.revision) > until {
            return;
        }
        let previous = std::mem::replace(&mut state.agent_revision, until);
        if state.alive && state.watch_silent {
            for l in self.list.changes_between(previous, until).listings {
                let (of, phase, started) = (l.cache_box, l.phase, l.started);
                self.record(Event::ChangeAvailable { node, of, phase, started, asked: false });
            }
        }
        self.notify_node(node);
    }

    /// Sends a running node with a working watch the list changes that its agent has and the node lacks,
    /// unless discovery is down.
    pub(super) fn notify_node(&mut self, node: NodeId) {
        let state = &self.nodes[node];
        if !state.alive
            || state.watch_silent
            || self.list_outages > 0
            || state.revision >= state.agent_revision
        {
            return;
        }
        let update = self.list.changes_between(state.revision, state.agent_revision);
        self.deliver_list_update(node, update);
    }

    /// Begins an outage of discovery; nodes give up their open calls if it lasts longer than the call timeout.
    pub(super) fn discovery_fails(&mut self) {
        self.list_outages += 1;
        let waiting: Vec<NodeId> =
            (0..self.nodes.len()).filter(|node| !self.nodes[*node].watch_silent).collect();
        if self.list_outages == 1 {
            waiting.into_iter().for_each(|node| self.schedule_watch_reopen(node));
        }
    }

    /// Ends one outage of discovery. If no other is active, agents answer running nodes with a working watch
    /// at once with the list that the agents had before the outage.
    pub(super) fn discovery_recovers(&mut self) {
        self.list_outages -= 1;
        let waiting = |state: &NodeState| self.list_outages == 0 && state.alive && !state.watch_silent;
        let nodes: Vec<NodeId> = (0..self.nodes.len()).filter(|node| waiting(&self.nodes[*node])).collect();
        for node in nodes {
            self.record(Event::WatchOpened { node });
            self.notify_node(node);
        }
    }

    /// Makes the list watches of the running nodes named by the silence with this index silent.
    pub(super) fn watches_silent(&mut self, at: usize) {
        let silence = &self.run_spec.watch_silences[at];
        for &node in &silence.nodes {
            if self.nodes[node].alive && !std::mem::replace(&mut self.nodes[node].watch_silent, true) {
                self.record(Event::WatchSilent { node, waits: silence.waits });
                self.schedule_watch_reopen(node);
            }
        }
    }

    /// Schedules the reopening of a node's watch after the call timeout.
    pub(super) fn schedule_watch_reopen(&mut self, node: NodeId) {
        let generation = self.nodes[node].generation;
        self.schedule_after(
            self.run_spec.node_timings.reopens,
            ScheduledEvent::WatchOpens { node, generation },
        );
    }

    /// Reopens a node's watch after a call without an answer; the new call fails while discovery is down.
    pub(super) fn watch_opens(&mut self, node: NodeId) {
        if self.list_outages > 0 {
            self.record(Event::CallFailed { node });
            return self.schedule_watch_reopen(node);
        }
        // Without a silent watch, discovery has answered in the meantime.
        if std::mem::take(&mut self.nodes[node].watch_silent) {
            self.record(Event::WatchOpened { node });
            self.notify_node(node);
        }
    }

    /// Delivers a list update to a node's policy and plane, and records it.
    pub(super) fn deliver_list_update(&mut self, node: NodeId, update: WatchEvent) {
        self.nodes[node].revision = update.revision;
        let entries: Vec<EndpointEntry> = update.listings.iter().map(|l| self.entry(*l)).collect();
        if update.complete {
            // Boxes that are missing from a complete list have left.
            let listed: FxHashSet<&ServerId> = entries.iter().map(|e| &e.server).collect();
            let removed = self.nodes[node].cached_endpoints.iter().filter(|e| !listed.contains(&e.server));
            let missing: Vec<BoxId> = removed.filter_map(|e| self.servers.get(&e.server).copied()).collect();
            for of in missing {
                self.record(Event::Notified { node, of, phase: Phase::Gone, started: None });
            }
        }
        for l in &update.listings {
            self.record(Event::Notified { node, of: l.cache_box, phase: l.phase, started: l.started });
        }
        let cached = &mut self.nodes[node].cached_endpoints;
        if update.complete {
            *cached = entries.clone();
        } else {
            let new: FxHashSet<&ServerId> = entries.iter().map(|e| &e.server).collect();
            cached.retain(|e| !new.contains(&e.server));
            cached.extend(entries.iter().filter(|e| e.state != ServerState::Gone).cloned());
        }
        let event =
            if update.complete { EndpointUpdate::Full(entries) } else { EndpointUpdate::Delta(entries) };
        self.notify_policy(node, decisions::Event::Endpoints(event));
        self.update_plane_list(node, Some(update.revision));
    }

    /// The endpoint entry of a listed box, as a policy receives it.
    pub(super) fn entry(&self, listing: Listing) -> EndpointEntry {
        let spec = &self.run_spec.boxes[listing.cache_box];
        EndpointEntry {
            server: self.boxes[listing.cache_box].server.clone(),
            state: match listing.phase {
                Phase::Ready => ServerState::Ready,
                Phase::Draining => ServerState::Draining,
                Phase::Gone => ServerState::Gone,
            },
            zone: self.run_spec.depots[spec.depot].clone(),
            weight: spec.size,
            kind: spec.kind.clone(),
            started: listing.started.map(Time::as_secs),
            cell: spec.cell,
        }
    }
}

//! The list as nodes are told it.

use super::*;

impl<S: Sink> World<'_, S> {
    pub(super) fn known_after(&mut self, delay: Span, listing: Listing) {
        self.after(delay, Due::Known(listing));
    }

    /// Discovery comes to know of a box, unless that has been overtaken.
    pub(super) fn known(&mut self, listing: Listing) {
        let up = self.boxes[listing.cache_box].cache.is_up();
        let silent = self.boxes[listing.cache_box].silent > 0;
        let overtaken = match listing.phase {
            Phase::Gone => up,
            Phase::Ready | Phase::Draining => !up && !silent,
        };
        if let Some(revision) = (!overtaken).then(|| self.list.set(listing)).flatten() {
            self.list_has(revision);
            self.spread_news();
        }
    }

    pub(super) fn spread_news(&mut self) {
        if self.list_silent > 0 {
            return;
        }
        for node in 0..self.hosts.len() {
            let late = Span::from_secs(self.network.between(0.0, self.day.list.spread.as_secs()));
            self.news_after(late, node);
        }
    }

    /// A node's agent has the list as it is now after this time, or later where it comes late.
    pub(super) fn news_after(&mut self, late: Span, node: NodeId) {
        let delay = self.faults.list_delay(self.hosts[node].depot);
        let until = (!delay.is_zero()).then(|| self.list.revision());
        self.after(late + delay, Due::Tells { node, until });
    }

    /// A node's agent is sent the list, and hands it on to a node that listens. What it has while the node does not is
    /// the node's to know all the same.
    pub(super) fn agent_has(&mut self, node: NodeId, until: Option<u64>) {
        let until = until.unwrap_or(self.list.revision());
        let host = &mut self.hosts[node];
        if self.list_silent > 0 || host.agent.max(host.revision) > until {
            return;
        }
        let before = std::mem::replace(&mut host.agent, until);
        if host.alive && host.silent {
            for l in self.list.between(before, until).listings {
                let (of, phase, started) = (l.cache_box, l.phase, l.started);
                self.record(Event::Has { node, of, phase, started, asked: false });
            }
        }
        self.told(node);
    }

    /// A node that listens is told what its agent has.
    pub(super) fn told(&mut self, node: NodeId) {
        let host = &self.hosts[node];
        if !host.alive || host.silent || self.list_silent > 0 || host.revision >= host.agent {
            return;
        }
        let news = self.list.between(host.revision, host.agent);
        self.hand_over(node, news);
    }

    /// Discovery falls silent: the calls that are out are given up in time, if it lasts for so long.
    pub(super) fn agents_silent(&mut self) {
        self.list_silent += 1;
        let waiting: Vec<NodeId> = (0..self.hosts.len()).filter(|node| !self.hosts[*node].silent).collect();
        if self.list_silent == 1 {
            waiting.into_iter().for_each(|node| self.reopens_later(node));
        }
    }

    /// Right after an outage agents answer again, with what they had before it.
    pub(super) fn agents_answer(&mut self) {
        self.list_silent -= 1;
        let waiting = |host: &Host| self.list_silent == 0 && host.alive && !host.silent;
        let nodes: Vec<NodeId> = (0..self.hosts.len()).filter(|node| waiting(&self.hosts[*node])).collect();
        for node in nodes {
            self.record(Event::WatchOpened { node });
            self.told(node);
        }
    }

    /// Watches of the list fall silent.
    pub(super) fn watches_silent(&mut self, at: usize) {
        let silence = &self.day.silences[at];
        for &node in &silence.nodes {
            if self.hosts[node].alive && !std::mem::replace(&mut self.hosts[node].silent, true) {
                self.record(Event::WatchSilent { node, waits: silence.waits });
                self.reopens_later(node);
            }
        }
    }

    pub(super) fn reopens_later(&mut self, node: NodeId) {
        let life = self.hosts[node].life;
        self.after(self.day.shell.reopens, Due::WatchOpens { node, life });
    }

    /// A node gives up a call that brings nothing, and opens its watch anew; while discovery is down that call fails.
    pub(super) fn watch_opens(&mut self, node: NodeId) {
        if self.list_silent > 0 {
            self.record(Event::CallFailed { node });
            return self.reopens_later(node);
        }
        // Discovery has answered meanwhile, unless it was the watch that fell silent.
        if std::mem::take(&mut self.hosts[node].silent) {
            self.record(Event::WatchOpened { node });
            self.told(node);
        }
    }

    pub(super) fn hand_over(&mut self, node: NodeId, news: News) {
        self.hosts[node].revision = news.revision;
        let entries: Vec<EndpointEntry> = news.listings.iter().map(|l| self.entry(*l)).collect();
        if news.complete {
            // Whoever is missing has left.
            let listed: FxHashSet<&ServerId> = entries.iter().map(|e| &e.server).collect();
            let left = self.hosts[node].held.iter().filter(|e| !listed.contains(&e.server));
            let missing: Vec<BoxId> = left.filter_map(|e| self.servers.get(&e.server).copied()).collect();
            for of in missing {
                self.record(Event::Told { node, of, phase: Phase::Gone, started: None });
            }
        }
        for l in &news.listings {
            self.record(Event::Told { node, of: l.cache_box, phase: l.phase, started: l.started });
        }
        let held = &mut self.hosts[node].held;
        if news.complete {
            *held = entries.clone();
        } else {
            let new: FxHashSet<&ServerId> = entries.iter().map(|e| &e.server).collect();
            held.retain(|e| !new.contains(&e.server));
            held.extend(entries.iter().filter(|e| e.state != ServerState::Gone).cloned());
        }
        let told = if news.complete { EndpointUpdate::Full(entries) } else { EndpointUpdate::Delta(entries) };
        self.tell(node, decisions::Event::Endpoints(told));
        self.plane_learns(node, Some(news.revision));
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

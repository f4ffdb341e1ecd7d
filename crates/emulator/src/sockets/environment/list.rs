//! Propagation of the endpoint list to agents and nodes, process states of nodes, and the clients' next steps.

use super::*;

impl Environment {
    /// Applies a change to the endpoint list, unless it lists a running box as gone, or as ready or draining
    /// a box that is down on a machine that answers.
    pub(super) fn apply_list_change(&mut self, listing: Listing) {
        let box_state = &self.box_states[listing.cache_box];
        let (up, silent) = (box_state.cache.is_up(), box_state.silent > 0);
        let is_outdated = match listing.phase {
            Phase::Gone => up,
            Phase::Ready | Phase::Draining => !up && !silent,
        };
        if !is_outdated && self.list.set(listing).is_some() {
            self.schedule_agent_updates();
        }
    }

    /// Schedules the update of each node's agent after a random delay, and after the delay of faults.
    pub(super) fn schedule_agent_updates(&mut self) {
        for node in 0..self.agents.len() {
            let spread = Span::from_secs(self.rng.between(0.0, self.run_spec.list.spread.as_secs()));
            let delay = self.faults.list_delay(self.run_spec.nodes[node]);
            let until = (!delay.is_zero()).then(|| self.list.revision());
            self.schedule_in(spread + delay, ScheduledEvent::AgentUpdated(node, until));
        }
    }

    /// Gives an agent the list as of revision `until` (`None`: the current list), unless discovery is silent
    /// or that list is not newer than the agent's.
    pub(super) fn update_agent(&mut self, node: NodeId, until: Option<u64>) {
        let list = match until {
            Some(until) => self.list.at_revision(until),
            None => self.list.clone(),
        };
        if *self.list_silent.borrow() == 0 && list.revision() > self.agents[node].list.revision() {
            // The node counts as informed whether or not it has a call open that the agent could answer.
            let missed = list.changes_since(self.agents[node].list.revision()).listings;
            let alive = self.nodes_alive[node];
            for l in missed.into_iter().filter(|_| alive) {
                let (of, phase, started) = (l.cache_box, l.phase, l.started);
                self.record(Event::ChangeAvailable { node, of, phase, started, asked: false });
            }
            self.agents[node].changed.send_replace(list.revision());
            self.agents[node].list = list;
        }
    }

    /// Records that a running node has abandoned a call.
    pub fn call_failed(&mut self, node: NodeId) {
        if self.nodes_alive[node] {
            self.agents[node].failed = true;
            self.record(Event::CallFailed { node });
        }
    }

    /// Records that the node's watch is open again if this answered call is the first after a failed call.
    pub fn call_answered(&mut self, node: NodeId) {
        if std::mem::take(&mut self.agents[node].failed) {
            self.record(Event::WatchOpened { node });
        }
    }

    /// Records that a node has been notified of these entries.
    pub fn record_notified(&mut self, node: NodeId, listings: &[Listing]) {
        for l in listings {
            self.record(Event::Notified { node, of: l.cache_box, phase: l.phase, started: l.started });
        }
    }

    /// Records that a node's process runs; from here on it must answer every request that it takes.
    pub fn node_started(&mut self, node: NodeId) {
        self.record(Event::NodeUp { node });
        self.nodes_alive[node] = true;
    }

    /// Marks a node whose process takes no further requests.
    pub fn node_ends(&mut self, node: NodeId) {
        self.nodes_up[node] = false;
        self.nodes_alive[node] = false;
        self.agents[node].failed = false;
    }

    /// Records the end of a node's process, after all of its answers have been read.
    pub fn node_down(&mut self, node: NodeId, planned: bool) {
        self.record(Event::NodeDown { node, planned });
    }

    /// Carries out the clients' next steps and returns the time and request of each try that is due.
    pub fn client_steps(&mut self, steps: Vec<ClientOutput>) -> VecDeque<(Time, u64)> {
        let mut tries = VecDeque::new();
        for step in steps {
            match step {
                ClientOutput::Record(event) => self.record(event),
                ClientOutput::TryAt(at, ask) => tries.push_back((at, ask)),
            }
        }
        tries
    }
}

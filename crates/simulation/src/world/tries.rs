//! Requests and tries of clients: arrival, acceptance by a node, and deadlines.

use super::*;

/// Allowance for the network delay from the client, by which a node shortens a try's deadline.
const CLIENT_DELAY_MARGIN: Span = Span(2_000);

impl<S: Sink> World<'_, S> {
    /// Schedules the next new request of a client.
    pub(super) fn schedule_arrival(&mut self) {
        if let Some(at) = self.clients.next_arrival(self.now) {
            self.schedule_at(at, ScheduledEvent::Arrival);
        }
    }

    /// Schedules the next change of a key, if keys change.
    pub(super) fn schedule_key_change(&mut self) {
        if self.run_spec.keys.changes > 0.0 {
            let wait = Span::from_secs(self.rng.exponential(1.0 / self.run_spec.keys.changes));
            self.schedule_after(wait, ScheduledEvent::KeyChanges);
        }
    }

    /// Carries out the next steps of clients.
    pub(super) fn client_steps(&mut self, steps: Vec<ClientOutput>) {
        for step in steps {
            match step {
                ClientOutput::Record(event) => self.record(event),
                ClientOutput::TryAt(at, ask) => self.schedule_at(at, ScheduledEvent::NextTry(ask)),
            }
        }
    }

    /// Sends the next try of a request to one of the nodes that clients can reach.
    pub(super) fn next_try(&mut self, ask: u64) {
        let (now, entry) = (self.now, self.run_spec.clients.entry);
        let notice = self.run_spec.clients.front_detection_delay;
        let is_open = |state: &NodeState| match state.new_connections_until {
            _ if entry == Entry::Own => true,
            // A stopping node gets new connections until `until`, and tries on kept connections for as long
            // as it accepts tries, whether or not the front has noticed the stop.
            Some(until) => now < until || state.alive && state.accepts_until.is_some_and(|at| now < at),
            None => state
                .unavailable_since
                .is_none_or(|at| state.alive && state.accepts_until.is_none() || now < at + notice),
        };
        let open: Vec<bool> = self.nodes.iter().map(is_open).collect();
        let Some((id, deadline)) = self.clients.next_try(now, ask, &open) else { return };
        let delay = self.jittered(self.run_spec.network.client);
        let writing = self.clients.open_try(id).map_or(Span::ZERO, |t| t.writing);
        self.schedule_after(delay + writing, ScheduledEvent::TryAtNode(id));
        self.schedule_at(deadline, ScheduledEvent::TryDeadline(id));
    }

    /// Handles a try whose last byte has reached its node; the node accepts it if it runs and still accepts
    /// tries, as a stopping node does until `accepts_until`.
    pub(super) fn accept_try(&mut self, id: TryId) {
        let Some(t) = self.clients.open_try(id) else { return };
        let (node, ask, until, first_byte) = (t.node, t.ask, t.until, self.now.saturating_sub(t.writing));
        let state = &self.nodes[node];
        let generation = state.generation;
        if !state.alive || state.accepts_until.is_some_and(|at| self.now >= at) {
            // A kept connection was closed in the middle of the command, which is not a request yet.
            let half_written = state.accepts_until.is_some_and(|at| first_byte < at);
            if state.new_connections_until.is_some_and(|until| self.now < until) && !half_written {
                // The try came on a new connection, as kept ones have been closed.
                self.record(Event::Dropped { ask, node });
            }
            let delay = self.jittered(self.run_spec.network.client);
            return self.schedule_after(delay, ScheduledEvent::Reply { id, reply: Reply::Unreached });
        }
        let Some(a) = self.clients.ask(ask) else { return };
        let (class, tenant, key, work, hint) = (a.class, a.tenant, a.key, a.work, a.hint);
        let write = self.run_spec.classes[class].write.then_some(a.effect);
        self.record(Event::TryAccepted { id, ask, node, until });
        let deadline = until.saturating_sub(CLIENT_DELAY_MARGIN);
        let accepted = AcceptedTry { key, work, write, deadline, answered: false, attempts: Vec::new() };
        self.nodes[node].tries.insert(id, accepted);
        self.schedule_at(
            deadline.saturating_sub(Span(2_500)),
            ScheduledEvent::AnswerDeadline { node, generation, id },
        );
        let request = NewRequest {
            id: RequestId(id),
            time_left: deadline.since(self.now).as_secs(),
            class: Some(ClassId(class)),
            tenant: tenant.map(TenantId),
            key: Some(self.keys.hashed(key)),
            write: write.is_some(),
            work_hint: hint,
        };
        self.notify_policy(node, decisions::Event::Request(request));
    }

    /// Handles the end of a client's wait for a try; a node that has not answered is told that the client left.
    pub(super) fn try_deadline(&mut self, id: TryId) {
        let Some(open_try) = self.clients.open_try(id) else { return };
        let node = open_try.node;
        self.record(Event::Abandoned { id });
        if self.mark_answered(node, id) {
            self.notify_policy(node, decisions::Event::ClientLeft(RequestId(id)));
            self.cancel_unsent_attempts(node, id);
            self.process_events(node);
        }
        let steps = self.clients.reply(self.now, id, Reply::Nothing);
        self.client_steps(steps);
    }
}

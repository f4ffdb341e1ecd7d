//! Events for the policy of a node, and execution of its actions.

use super::*;

impl<S: Sink> World<'_, S> {
    /// Returns whether the process of this generation is still running on a node.
    pub(super) fn is_current(&self, node: NodeId, generation: u32) -> bool {
        self.nodes[node].alive && self.nodes[node].generation == generation
    }

    /// Passes an event to the policy of a node, after those already pending.
    pub(super) fn notify_policy(&mut self, node: NodeId, event: decisions::Event) {
        self.nodes[node].pending_events.push_back(event);
        self.process_events(node);
    }

    /// Passes a node's pending events to its policy in order; the actions may add more events.
    pub(super) fn process_events(&mut self, node: NodeId) {
        let now = self.now.as_secs();
        while let Some(event) = self.nodes[node].pending_events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let NodeState { policy, tries, depot, .. } = &mut self.nodes[node];
            let view = PolicyView {
                run_spec: self.run_spec,
                boxes: &self.boxes,
                servers: &self.servers,
                planner: self.origin.planner(),
                partition_counts: &self.partition_counts,
                depot: *depot,
                now: self.now,
                request_keys: RequestKeys::Tries(tries),
            };
            policy.handle(now, event, &view, &mut actions);
            for action in actions.drain(..) {
                self.apply_action(node, action);
            }
            self.actions = actions;
        }
    }

    /// Carries out one action of a node's policy.
    pub(super) fn apply_action(&mut self, node: NodeId, action: Action) {
        match action {
            Action::Send { request, server, timeout } => {
                self.start_attempt(node, request.0, &server, timeout)
            }
            Action::Cancel { request, attempt } => {
                self.abandon_attempt(node, request.0, attempt.0, Status::Cancelled);
            }
            Action::Reject { request, retry_after } => {
                let advice = retry_after.filter(|_| self.run_spec.limits.retry_after).map(Span::from_secs);
                self.answer_client(node, request.0, TryOutcome::Rejected, advice, None);
                self.cancel_unsent_attempts(node, request.0);
            }
            Action::Fail(request) => {
                self.answer_client(node, request.0, TryOutcome::Failed, None, None);
                self.cancel_unsent_attempts(node, request.0);
            }
            Action::SetTimer { token, after } => {
                let generation = self.nodes[node].generation;
                self.schedule_after(
                    Span::from_secs(after),
                    ScheduledEvent::Timer { node, generation, token },
                );
            }
            Action::HealthCheck(server) if self.run_spec.limits.probes => {
                self.start_health_check(node, &server)
            }
            Action::Broadcast(bytes) if self.run_spec.limits.peers => self.broadcast(node, bytes),
            // Health checks and broadcasts have no effect if the run's limits switch them off. The simulated
            // list is pushed without a subscription, and log lines are not simulated.
            Action::HealthCheck(_) | Action::Broadcast(_) | Action::Subscribe | Action::Log(_) => {}
        }
    }

    /// Starts an attempt at a box; an unknown box or try is ignored. The outcome is `Void` if the try is
    /// answered or has no attempts left, or if the attempt has no time left.
    pub(super) fn start_attempt(&mut self, node: NodeId, id: TryId, server: &ServerId, timeout: Option<f64>) {
        let (now, generation, max) =
            (self.now, self.nodes[node].generation, self.run_spec.limits.max_attempts as usize);
        let Some(to) = self.servers.get(server).copied() else { return };
        let Some(accepted) = self.nodes[node].tries.get_mut(&id) else { return };
        let attempt = accepted.attempts.len() as u32;
        let until = timeout.map_or(accepted.deadline, |t| (now + Span::from_secs(t)).min(accepted.deadline));
        if accepted.answered || accepted.attempts.len() >= max || until <= now {
            accepted.attempts.push(Attempt { sent_at: now, to, sent: None, token: None });
            return self.record_outcome(node, id, attempt, Status::Void, None, now);
        }
        let (key, work, write) = (accepted.key, accepted.work, accepted.write);
        let work = work * self.clients.attempt_factor();
        self.attempts_started += 1;
        let index = self.in_flight.vacant_key();
        let token = self.attempts_started << state::SLAB_INDEX_BITS | index as u64;
        let job = Job { token, key, bytes: self.keys.bytes(key), work, write, deadline: until };
        let in_flight = InFlightAttempt {
            token,
            node,
            node_generation: generation,
            id,
            attempt,
            to,
            box_generation: self.boxes[to].generation,
            job,
            written: false,
            arrived: false,
        };
        self.in_flight.insert(in_flight);
        self.boxes[to].in_transit += 1;
        let sent = self.plane_attempt_sent(node, server);
        if let Some(accepted) = self.nodes[node].tries.get_mut(&id) {
            accepted.attempts.push(Attempt { sent_at: now, to, sent, token: Some(token) });
        }
        let crosses = self.nodes[node].depot != self.run_spec.boxes[to].depot;
        // `wait` is not recorded: the box is told the job's deadline, which is never after the client's.
        self.record(Event::Sent { id, attempt, node, to, crosses, wait: None });
        self.schedule_at(until, ScheduledEvent::AttemptDeadline { node, generation, id, attempt });
        match self.take_idle_connection(node, to) {
            Some(box_generation) => {
                self.in_flight[index].box_generation = box_generation;
                self.write_command(token);
            }
            None => self.open_connection(token),
        }
    }

    /// The attempt with this token, unless it has ended and its slab slot was reused.
    pub(super) fn find_in_flight(&self, token: u64) -> Option<&InFlightAttempt> {
        self.in_flight.get(slab_index(token)).filter(|in_flight| in_flight.token == token)
    }

    /// Records the outcome of an attempt and queues it for its node's policy.
    pub(super) fn record_outcome(
        &mut self,
        node: NodeId,
        id: TryId,
        attempt: u32,
        status: Status,
        note: Option<CacheNote>,
        sent_at: Time,
    ) {
        let finished = self.nodes[node].tries.get(&id).is_none_or(|accepted| accepted.answered);
        let elapsed = self.now.since(sent_at).as_secs();
        self.record(Event::Ended { id, attempt, how: status.into() });
        let outcome = Outcome {
            request: RequestId(id),
            attempt: AttemptId(attempt),
            status,
            elapsed,
            finished,
            cache_note: note,
        };
        self.nodes[node].pending_events.push_back(decisions::Event::Outcome(outcome));
    }

    /// Ends an attempt in flight with this status; its connection is not reused.
    pub(super) fn end_in_flight(&mut self, token: u64, status: Status) {
        let Some(in_flight) = self.find_in_flight(token) else { return };
        let (node, node_generation, id, attempt) =
            (in_flight.node, in_flight.node_generation, in_flight.id, in_flight.attempt);
        self.remove_in_flight(token);
        if self.is_current(node, node_generation) {
            self.end_attempt(node, id, attempt, status, None);
            self.cancel_unsent_attempts(node, id);
            self.process_events(node);
        }
    }

    /// Records the outcome of an attempt that has none yet.
    pub(super) fn end_attempt(
        &mut self,
        node: NodeId,
        id: TryId,
        attempt: u32,
        status: Status,
        note: Option<CacheNote>,
    ) {
        let Some(accepted) = self.nodes[node].tries.get_mut(&id) else { return };
        let Some(entry) = accepted.attempts.get_mut(attempt as usize) else { return };
        if entry.token.take().is_some() {
            let (sent_at, to, sent) = (entry.sent_at, entry.to, entry.sent);
            self.plane_attempt_ended(node, to, sent_at, sent, status);
            self.record_outcome(node, id, attempt, status, note, sent_at);
        }
    }

    /// Abandons an attempt and closes its connection.
    pub(super) fn abandon_attempt(&mut self, node: NodeId, id: TryId, attempt: u32, status: Status) {
        let Some(accepted) = self.nodes[node].tries.get(&id) else { return };
        let Some(token) = accepted.attempts.get(attempt as usize).and_then(|a| a.token) else { return };
        // A command that was not completely written cannot have run, so its timeout counts as `Unreachable`.
        let written = self.find_in_flight(token).is_some_and(|f| f.written);
        let status = if status == Status::TimedOut && !written { Status::Unreachable } else { status };
        self.close_connection(token);
        self.end_attempt(node, id, attempt, status, None);
        self.remove_finished_try(node, id);
    }

    /// Handles a box's answer at the node, unless the node's process has ended; the connection becomes idle.
    pub(super) fn answer_at_node(&mut self, token: u64, answer: BoxAnswer) {
        let Some(in_flight) = self.find_in_flight(token) else { return };
        let (node, generation, id, attempt, to) =
            (in_flight.node, in_flight.node_generation, in_flight.id, in_flight.attempt, in_flight.to);
        let box_generation = in_flight.box_generation;
        self.remove_in_flight(token);
        if !self.is_current(node, generation) {
            return;
        }
        self.nodes[node].idle_connections[to].push_back((self.now, box_generation));
        let (status, note, version) = match answer {
            BoxAnswer::Served { note, version } => (Status::Success, Some(note), Some(version)),
            BoxAnswer::Busy => (Status::Overloaded, None, None),
            BoxAnswer::Failed => (Status::Error, None, None),
        };
        if status == Status::Success {
            self.answer_client(node, id, TryOutcome::Completed, None, version);
        }
        self.end_attempt(node, id, attempt, status, note);
        self.cancel_unsent_attempts(node, id);
        self.process_events(node);
    }
}

//! Nodes at work: what a policy is told, and what its actions come to.

use super::*;

impl<S: Sink> World<'_, S> {
    pub(super) fn lives(&self, node: NodeId, life: u32) -> bool {
        self.hosts[node].alive && self.hosts[node].life == life
    }

    pub(super) fn tell(&mut self, node: NodeId, event: decisions::Event) {
        self.hosts[node].events.push_back(event);
        self.drain(node);
    }

    /// Hands over a node's events in their order; actions may bring more of them.
    pub(super) fn drain(&mut self, node: NodeId) {
        let now = self.now.as_secs();
        while let Some(event) = self.hosts[node].events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            let Host { policy, tries, depot, .. } = &mut self.hosts[node];
            let eyes = Eyes {
                day: self.day,
                boxes: &self.boxes,
                servers: &self.servers,
                planner: self.origin.planner(),
                parted: &self.parted,
                depot: *depot,
                now: self.now,
                asked: Asked::Tries(tries),
            };
            policy.handle(now, event, &eyes, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(node, action);
            }
            self.actions = actions;
        }
    }

    pub(super) fn carry_out(&mut self, node: NodeId, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.send(node, request.0, &server, timeout),
            Action::Cancel { request, attempt } => {
                self.give_up(node, request.0, attempt.0, Status::Cancelled);
            }
            Action::Reject { request, retry_after } => {
                let advice = retry_after.filter(|_| self.day.limits.retry_after).map(Span::from_secs);
                self.answer(node, request.0, How::Rejected, advice, None);
                self.settle(node, request.0);
            }
            Action::Fail(request) => {
                self.answer(node, request.0, How::Failed, None, None);
                self.settle(node, request.0);
            }
            Action::SetTimer { token, after } => {
                let life = self.hosts[node].life;
                self.after(Span::from_secs(after), Due::Timer { node, life, token });
            }
            Action::HealthCheck(server) if self.day.limits.probes => self.probe(node, &server),
            Action::Broadcast(bytes) if self.day.limits.peers => self.broadcast(node, bytes),
            // Lists are pushed here, and the log is the operators'.
            Action::HealthCheck(_) | Action::Broadcast(_) | Action::Subscribe | Action::Log(_) => {}
        }
    }

    pub(super) fn send(&mut self, node: NodeId, id: TryId, server: &ServerId, timeout: Option<f64>) {
        let (now, life, max) = (self.now, self.hosts[node].life, self.day.limits.max_attempts as usize);
        let Some(to) = self.servers.get(server).copied() else { return };
        let Some(live) = self.hosts[node].tries.get_mut(&id) else { return };
        let attempt = live.attempts.len() as u32;
        let until = timeout.map_or(live.deadline, |t| (now + Span::from_secs(t)).min(live.deadline));
        if live.answered || live.attempts.len() >= max || until <= now {
            live.attempts.push(Attempt { since: now, to, sent: None, flight: None });
            return self.outcome(node, id, attempt, Status::Void, None, now);
        }
        let (key, work, write) = (live.key, live.work, live.write);
        let work = work * self.clients.attempt_factor();
        self.flown += 1;
        let place = self.flights.vacant_key();
        let token = self.flown << due::PLACE_BITS | place as u64;
        let job = Job { token, key, bytes: self.keys.bytes(key), work, write, deadline: until };
        let flight = Flight {
            token,
            node,
            node_life: life,
            id,
            attempt,
            to,
            box_life: self.boxes[to].life,
            job,
            written: false,
            arrived: false,
        };
        self.flights.insert(flight);
        self.boxes[to].coming += 1;
        let sent = self.plane_sent(node, server);
        if let Some(live) = self.hosts[node].tries.get_mut(&id) {
            live.attempts.push(Attempt { since: now, to, sent, flight: Some(token) });
        }
        let crosses = self.hosts[node].depot != self.day.boxes[to].depot;
        // The time that it tells is its job's, which is never beyond the client's.
        self.record(Event::Sent { id, attempt, node, to, crosses, wait: None });
        self.enter(until, Due::GiveUp { node, life, id, attempt });
        match self.kept(node, to) {
            Some(box_life) => {
                self.flights[place].box_life = box_life;
                self.write(token);
            }
            None => self.dial(token),
        }
    }

    pub(super) fn flight(&self, token: u64) -> Option<&Flight> {
        self.flights.get(place_of(token)).filter(|flight| flight.token == token)
    }

    /// An attempt's outcome comes about at its node.
    pub(super) fn outcome(
        &mut self,
        node: NodeId,
        id: TryId,
        attempt: u32,
        status: Status,
        note: Option<CacheNote>,
        since: Time,
    ) {
        let finished = self.hosts[node].tries.get(&id).is_none_or(|live| live.answered);
        let elapsed = self.now.since(since).as_secs();
        self.record(Event::Ended { id, attempt, how: status.into() });
        let outcome = Outcome {
            request: RequestId(id),
            attempt: AttemptId(attempt),
            status,
            elapsed,
            finished,
            cache_note: note,
        };
        self.hosts[node].events.push_back(decisions::Event::Outcome(outcome));
    }

    /// A flight ends at its node with this status; its connection, if it had one, is of no use any more.
    pub(super) fn end_flight(&mut self, token: u64, status: Status) {
        let Some(flight) = self.flight(token) else { return };
        let (node, node_life, id, attempt) = (flight.node, flight.node_life, flight.id, flight.attempt);
        self.land(token);
        if self.lives(node, node_life) {
            self.end_attempt(node, id, attempt, status, None);
            self.settle(node, id);
            self.drain(node);
        }
    }

    pub(super) fn end_attempt(
        &mut self,
        node: NodeId,
        id: TryId,
        attempt: u32,
        status: Status,
        note: Option<CacheNote>,
    ) {
        let Some(live) = self.hosts[node].tries.get_mut(&id) else { return };
        let Some(a) = live.attempts.get_mut(attempt as usize) else { return };
        if a.flight.take().is_some() {
            let (since, to, sent) = (a.since, a.to, a.sent);
            self.plane_ended(node, to, since, sent, status);
            self.outcome(node, id, attempt, status, note, since);
        }
    }

    /// The node stops waiting for an attempt and closes its connection.
    pub(super) fn give_up(&mut self, node: NodeId, id: TryId, attempt: u32, status: Status) {
        let Some(live) = self.hosts[node].tries.get(&id) else { return };
        let Some(token) = live.attempts.get(attempt as usize).and_then(|a| a.flight) else { return };
        // What was never wholly written never ran.
        let written = self.flight(token).is_some_and(|f| f.written);
        let status = if status == Status::TimedOut && !written { Status::Unreachable } else { status };
        self.hang_up(token);
        self.end_attempt(node, id, attempt, status, None);
        self.forget(node, id);
    }

    pub(super) fn answer_at_node(&mut self, token: u64, answer: BoxAnswer) {
        let Some(flight) = self.flight(token) else { return };
        let (node, life, id, attempt, to) =
            (flight.node, flight.node_life, flight.id, flight.attempt, flight.to);
        let box_life = flight.box_life;
        self.land(token);
        if !self.lives(node, life) {
            return;
        }
        self.hosts[node].pools[to].push_back((self.now, box_life));
        let (status, note, version) = match answer {
            BoxAnswer::Served { note, version } => (Status::Success, Some(note), Some(version)),
            BoxAnswer::Busy => (Status::Overloaded, None, None),
            BoxAnswer::Failed => (Status::Error, None, None),
        };
        if status == Status::Success {
            self.answer(node, id, How::Completed, None, version);
        }
        self.end_attempt(node, id, attempt, status, note);
        self.settle(node, id);
        self.drain(node);
    }
}

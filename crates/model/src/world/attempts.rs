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
            Action::Refuse { request, retry_after } => {
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
            Action::Probe(server) if self.day.limits.probes => self.probe(node, &server),
            Action::Tell(bytes) if self.day.limits.peers => self.broadcast(node, bytes),
            // Lists are pushed here, and the log is the operators'.
            Action::Probe(_) | Action::Tell(_) | Action::Subscribe | Action::Log(_) => {}
        }
    }

    pub(super) fn send(&mut self, node: NodeId, id: TryId, server: &ServerId, timeout: Option<f64>) {
        let (now, life, max) = (self.now, self.hosts[node].life, self.day.limits.max_attempts as usize);
        let Some(to) = self.servers.get(server).copied() else { return };
        let Some(live) = self.hosts[node].tries.get_mut(&id) else { return };
        let attempt = live.attempts.len() as u32;
        let until = timeout.map_or(live.deadline, |t| (now + Span::from_secs(t)).min(live.deadline));
        if live.answered || live.attempts.len() >= max || until <= now {
            live.attempts.push(Attempt { since: now, flight: None });
            return self.outcome(node, id, attempt, Status::Void, None, now);
        }
        let (key, work, write) = (live.key, live.work, live.write);
        let work = work * self.clients.attempt_factor();
        self.flown += 1;
        let place = self.flights.vacant_key();
        let token = self.flown << PLACE_BITS | place as u64;
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
        if let Some(live) = self.hosts[node].tries.get_mut(&id) {
            live.attempts.push(Attempt { since: now, flight: Some(token) });
        }
        let crosses = self.hosts[node].depot != self.day.boxes[to].depot;
        self.record(Event::Sent { id, attempt, node, to, crosses });
        self.enter(until, Due::GiveUp { node, life, id, attempt });
        match self.kept(node, to) {
            Some(box_life) => {
                self.flights[place].box_life = box_life;
                self.write(token);
            }
            None => self.dial(token),
        }
    }

    /// A kept connection that is not too old, the last used first.
    pub(super) fn kept(&mut self, node: NodeId, to: BoxId) -> Option<u32> {
        let fresh = self.day.boxes[to].idle_close * 0.9;
        let (since, life) = self.hosts[node].pools[to].pop_back()?;
        if self.now.since(since) < fresh {
            return Some(life);
        }
        // All others are older still.
        self.hosts[node].pools[to].push_back((since, life));
        self.drop_pool(node, to, 0);
        None
    }

    /// Closes all but so many of a node's kept connections to a box, the oldest first.
    pub(super) fn drop_pool(&mut self, node: NodeId, to: BoxId, but: usize) {
        let way = self.way(self.hosts[node].depot, self.day.boxes[to].depot);
        while self.hosts[node].pools[to].len() > but {
            let Some((_, life)) = self.hosts[node].pools[to].pop_front() else { return };
            self.record(Event::Closed { to });
            self.after(way, Due::ClosedAtBox { at: to, life, cancels: None });
        }
    }

    /// Opens a connection for a flight.
    pub(super) fn dial(&mut self, token: u64) {
        let Some(flight) = self.flight(token) else { return };
        let (node, to) = (flight.node, flight.to);
        let (from, at) = (self.hosts[node].depot, self.day.boxes[to].depot);
        if self.boxes[to].silent > 0 || self.is_cut(from, at) {
            return self.after(self.day.limits.dial_timeout, Due::DialFails(token));
        }
        let takes = self.way(from, at) * (2.0 * self.day.network.handshake_rtts);
        self.after(takes, Due::ConnectionUp(token));
    }

    pub(super) fn connection_up(&mut self, token: u64) {
        let Some(flight) = self.flight(token) else { return };
        let to = flight.to;
        if self.boxes[to].silent > 0 {
            // It went silent meanwhile: the connection never comes up.
            return self.after(self.day.limits.dial_timeout, Due::DialFails(token));
        }
        let mut outs = std::mem::take(&mut self.outs);
        let place = &mut self.boxes[to];
        let up = place.cache.is_up() && place.cache.connect(self.now, &mut outs);
        self.outs = outs;
        if !up {
            return self.end_flight(token, Status::Unreachable);
        }
        self.record(Event::Opened { to });
        let work = self.day.boxes[to].connection_work.0 as f64;
        let node = self.flights[place_of(token)].node;
        self.record(Event::Reached { to, node, work, read: false });
        self.flights[place_of(token)].box_life = self.boxes[to].life;
        self.after_box(to);
        self.write(token);
    }

    /// The command is written to the connection.
    pub(super) fn write(&mut self, token: u64) {
        let Some(flight) = self.flights.get_mut(place_of(token)).filter(|f| f.token == token) else { return };
        flight.written = true;
        let (node, to) = (flight.node, flight.to);
        let way = self.way(self.hosts[node].depot, self.day.boxes[to].depot);
        self.after(way, Due::AtBox(token));
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
        let outcome =
            Outcome { request: RequestId(id), attempt: AttemptId(attempt), status, elapsed, finished, note };
        self.hosts[node].events.push_back(decisions::Event::Outcome(outcome));
    }

    /// A flight is over.
    fn land(&mut self, token: u64) {
        let flight = self.flights.remove(place_of(token));
        if !flight.arrived {
            self.boxes[flight.to].coming -= 1;
        }
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
            let since = a.since;
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

    /// Closes a flight's connection; the box hears of it a way later.
    pub(super) fn hang_up(&mut self, token: u64) {
        let Some(flight) = self.flight(token) else { return };
        let (node, to, life, written) = (flight.node, flight.to, flight.box_life, flight.written);
        self.land(token);
        if written {
            self.record(Event::Closed { to });
            let way = self.way(self.hosts[node].depot, self.day.boxes[to].depot);
            self.after(way, Due::ClosedAtBox { at: to, life, cancels: Some(token) });
        }
    }

    /// Gives a try's final answer, unless it has one.
    pub(super) fn answer(
        &mut self,
        node: NodeId,
        id: TryId,
        how: How,
        advice: Option<Span>,
        version: Option<u64>,
    ) -> bool {
        if !self.close(node, id) {
            return false;
        }
        self.record(Event::Answered { id, how, version, advice });
        let way = self.jittered(self.day.network.client);
        self.after(way, Due::Reply { id, reply: Reply::Answer { how, advice } });
        true
    }

    pub(super) fn close(&mut self, node: NodeId, id: TryId) -> bool {
        let live = self.hosts[node].tries.get_mut(&id);
        live.is_some_and(|live| !std::mem::replace(&mut live.answered, true))
    }

    /// What a final answer leaves behind: attempts that wait for their connection are given up.
    pub(super) fn settle(&mut self, node: NodeId, id: TryId) {
        let Some(live) = self.hosts[node].tries.get(&id).filter(|live| live.answered) else { return };
        let unsent = |a: &Attempt| a.flight.is_some_and(|t| self.flight(t).is_some_and(|f| !f.written));
        let unsent: Vec<u32> = (0..).zip(&live.attempts).filter(|(_, a)| unsent(a)).map(|(n, _)| n).collect();
        for attempt in unsent {
            self.give_up(node, id, attempt, Status::Cancelled);
        }
        self.forget(node, id);
    }

    pub(super) fn forget(&mut self, node: NodeId, id: TryId) {
        let over = |live: &Live| live.answered && live.attempts.iter().all(|a| a.flight.is_none());
        if self.hosts[node].tries.get(&id).is_some_and(over) {
            self.hosts[node].tries.remove(&id);
        }
        let host = &self.hosts[node];
        if host.leaving.is_some_and(|at| self.now >= at) && host.tries.values().all(|live| live.answered) {
            let life = host.life;
            self.after(Span(1), Due::NodeLeaves { node, life });
        }
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

    pub(super) fn reset(&mut self, token: u64) {
        let written = self.flight(token).is_some_and(|f| f.written);
        self.end_flight(token, if written { Status::Broken } else { Status::Unreachable });
    }

    pub(super) fn sweep(&mut self, node: NodeId) {
        let life = self.hosts[node].life;
        for to in 0..self.boxes.len() {
            let oldest = self.day.boxes[to].idle_close * 0.9;
            let now = self.now;
            let old = |pool: &VecDeque<(Time, u32)>| {
                pool.iter().take_while(|(since, _)| now.since(*since) >= oldest).count()
            };
            let pool = &self.hosts[node].pools[to];
            let (old, held) = (old(pool), pool.len());
            if old > 0 {
                self.drop_pool(node, to, held - old);
            }
        }
        self.after(SWEEP, Due::Sweep { node, life });
    }
}

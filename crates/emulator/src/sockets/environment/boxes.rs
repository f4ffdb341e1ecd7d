//! Boxes: connections, commands, answers, process starts and ends, and calls to the planner.

use super::*;

impl Environment {
    /// Subscribes to the mode of a box's machine.
    pub fn mode(&self, box_id: BoxId) -> watch::Receiver<MachineMode> {
        self.box_states[box_id].mode.subscribe()
    }

    /// Subscribes to the number of current incidents that partition the nodes of depot `from` from a box.
    pub fn link(&self, from: usize, box_id: BoxId) -> watch::Receiver<u32> {
        self.links[from * self.run_spec.depots.len() + self.run_spec.boxes[box_id].depot].subscribe()
    }

    /// Draws the round-trip time between a node and a box, to be added to that of loopback.
    pub fn round_trip(&mut self, node: NodeId, box_id: BoxId) -> Duration {
        let network = &self.run_spec.network;
        let same = self.run_spec.nodes[node] == self.run_spec.boxes[box_id].depot;
        let one_way = if same { network.same } else { network.cross };
        let factor = (1.0 + network.jitter * self.rng.normal()).max(0.2);
        Duration::from_micros((one_way.0 as f64 * 2.0 * factor) as u64)
    }

    /// Registers an established connection; false if the box's connection table is full.
    pub fn connected(&mut self, box_id: BoxId) -> bool {
        let (now, mut outputs) = (self.now(), Vec::new());
        let taken = self.box_states[box_id].cache.connect(now, &mut outputs);
        if taken {
            self.record(Event::Opened { to: box_id });
        }
        self.process_box_outputs(box_id, outputs);
        taken
    }

    /// Registers the end of a connection, unless the box process that accepted it has ended or is silent.
    pub fn disconnected(&mut self, box_id: BoxId, incarnation: u32) {
        let now = self.now();
        if self.box_states[box_id].incarnation == incarnation && self.box_states[box_id].cache.is_up() {
            self.box_states[box_id].cache.disconnect(now);
            self.record(Event::Closed { to: box_id });
        }
    }

    /// Counts a health check or a load request as a health check, which costs the box work.
    pub fn health_checked(&mut self, box_id: BoxId) {
        let (now, mut outputs) = (self.now(), Vec::new());
        self.record(Event::Probed { of: box_id });
        self.box_states[box_id].cache.probe(now, &mut outputs);
        self.process_box_outputs(box_id, outputs);
    }

    /// The box's load report as field names and values, rounded to three decimals.
    pub fn load(&mut self, box_id: BoxId) -> Vec<(String, f64)> {
        let now = self.now();
        let load = self.box_states[box_id].cache.load(now);
        let fields = [("inflight", load.inflight), ("util", load.util), ("qps", load.qps)];
        let rounded = |(name, value): (&str, f64)| (name.to_string(), (value * 1000.0).round() / 1000.0);
        fields.into_iter().map(rounded).collect()
    }

    /// Handles a command that a box's socket has received completely. The answer is sent to `reply`, unless
    /// `heard` is false (the depots are partitioned) or the box is silent or down. Returns the attempt's
    /// token and the try's node, or `None` if the command names no known try.
    pub fn handle_command(
        &mut self,
        box_id: BoxId,
        heard: bool,
        command: &Command,
        reply: oneshot::Sender<Vec<u8>>,
    ) -> Option<(u64, NodeId)> {
        let opaque = String::from_utf8_lossy(&command.opaque()).into_owned();
        let id = TryId::from_str_radix(&opaque, 16).ok()?;
        let try_state = self.tries.get_mut(&id)?;
        let (node, attempt) = (try_state.node, try_state.attempts);
        try_state.attempts += 1;
        let ask = self.clients.open_try(id).map(|t| (t.ask, t.until));
        let crosses = self.run_spec.nodes[node] != self.run_spec.boxes[box_id].depot;
        let wait = Some(Span(command.wait.as_micros() as u64));
        self.record(Event::Sent { id, attempt, node, to: box_id, crosses, wait });
        // If the client has gone away, the request is no longer known; the box still does its work.
        let request = ask.and_then(|(ask, until)| self.clients.ask(ask).map(|a| (a.clone(), until)));
        let now = self.now();
        let (key, work, write, deadline) = match request {
            Some((a, until)) => {
                let write = self.run_spec.classes[a.class].write.then_some(a.effect);
                (a.key, a.work * self.clients.attempt_factor(), write, until)
            }
            None => (0, 1000.0, None, now),
        };
        self.last_token += 1;
        let token = self.last_token;
        let job = Job { token, key, bytes: self.keys.bytes(key), work, write, deadline };
        self.pending_attempts.insert(token, PendingAttempt { reply, id, attempt, box_id, opaque, job });
        if heard && self.box_states[box_id].silent == 0 && self.box_states[box_id].cache.is_up() {
            self.record(Event::Reached { to: box_id, node, work, read: write.is_none() });
            let mut outputs = Vec::new();
            self.box_states[box_id].cache.request(now, job, self.origin.planner(), &mut outputs);
            self.process_box_outputs(box_id, outputs);
        }
        Some((token, node))
    }

    /// Cancels an attempt whose connection the node has closed before the answer.
    pub fn cancel_attempt(&mut self, token: u64) {
        let Some(pending) = self.pending_attempts.remove(&token) else { return };
        self.record(Event::Ended {
            id: pending.id,
            attempt: pending.attempt,
            how: AttemptOutcome::Cancelled,
        });
        if self.box_states[pending.box_id].cache.is_up() {
            let (now, mut outputs) = (self.now(), Vec::new());
            self.box_states[pending.box_id].cache.cancel(now, token, self.origin.planner(), &mut outputs);
            self.process_box_outputs(pending.box_id, outputs);
        }
    }

    /// Carries out a box's outputs and schedules its next wake-up.
    pub(super) fn process_box_outputs(&mut self, box_id: BoxId, outputs: Vec<BoxOutput>) {
        for out in outputs {
            match out {
                BoxOutput::Answer(token, answer) => self.box_answers(box_id, token, answer),
                BoxOutput::Ask { ask, cold } => self.call_origin(box_id, ask, cold),
                BoxOutput::Fell => {
                    self.record(Event::BoxCrashed { of: box_id });
                    self.end_process(box_id, MachineMode::Down);
                    self.schedule_in(
                        self.run_spec.list.notice,
                        ScheduledEvent::ListChanged(listing(box_id, Phase::Gone, None)),
                    );
                }
            }
        }
        let now = self.now();
        let box_state = &mut self.box_states[box_id];
        if let Some(wake) = box_state.cache.next_wake(now).filter(|_| box_state.cache.is_up()) {
            let wake = wake.max(now + Span(1));
            if box_state.wakes.is_none_or(|scheduled| wake < scheduled || scheduled <= now) {
                box_state.wakes = Some(wake);
                self.schedule(wake, ScheduledEvent::BoxWakes(box_id));
            }
        }
    }

    /// Encodes a box's answer and sends it to the attempt's connection, unless a fault loses it or resets the
    /// connection.
    pub(super) fn box_answers(&mut self, box_id: BoxId, token: u64, answer: BoxAnswer) {
        let Some(PendingAttempt { reply, id, attempt, opaque, job, .. }) =
            self.pending_attempts.remove(&token)
        else {
            return;
        };
        let load = if self.run_spec.limits.reports { self.load(box_id) } else { Vec::new() };
        let (how, text) = match answer {
            BoxAnswer::Served { note, version } => {
                let remarks = AnswerMetadata { cache_note: Some(note), load };
                let text = match job.write {
                    Some(_) => cache_server::receipt(&opaque, &version.to_string(), &remarks),
                    None => {
                        let value = format!("{version:<width$}", width = job.bytes as usize);
                        cache_server::value(&opaque, value.as_bytes(), &remarks)
                    }
                };
                (AttemptOutcome::Success, text)
            }
            BoxAnswer::Busy => {
                (AttemptOutcome::Overloaded, cache_server::busy(&AnswerMetadata { cache_note: None, load }))
            }
            BoxAnswer::Failed => {
                (AttemptOutcome::Error, cache_server::failed(&AnswerMetadata { cache_note: None, load }))
            }
        };
        let hit = matches!(answer, BoxAnswer::Served { note: CacheNote::Hit, .. });
        if how != AttemptOutcome::Overloaded {
            let hit = job.write.is_none().then_some(hit);
            self.record(Event::Worked { id, attempt, work: job.work, hit });
        }
        let fate = self.faults.answer_fate(&mut self.rng);
        if fate == AnswerFate::Lost {
            // The connection stays open without an answer, until the node closes it.
            self.pending_attempts.insert(token, PendingAttempt { reply, id, attempt, box_id, opaque, job });
            return;
        }
        let how = if fate == AnswerFate::Reset { AttemptOutcome::Broken } else { how };
        self.record(Event::Ended { id, attempt, how });
        if fate == AnswerFate::Reset {
            // Dropping the sender closes the connection.
            return;
        }
        // The receiver is gone if the connection has closed.
        let _ = reply.send(text);
    }

    /// Passes a box's call to the planner on to the origin.
    pub(super) fn call_origin(&mut self, by: BoxId, ask: PlannerCall, cold: bool) {
        let (now, incarnation, mut outputs) = (self.now(), self.box_states[by].incarnation, Vec::new());
        self.origin.call(now, by, incarnation, ask, cold, &mut outputs);
        self.process_origin_outputs(outputs);
    }

    /// Carries out the origin's outputs.
    pub(super) fn process_origin_outputs(&mut self, outputs: Vec<OriginOutput>) {
        for out in outputs {
            match out {
                OriginOutput::Record(event) => self.record(event),
                OriginOutput::Answer { to, incarnation, id, version } => {
                    let one_way = self.run_spec.network.same;
                    self.schedule_in(
                        one_way,
                        ScheduledEvent::PlannerAnswers { to, incarnation, id, version },
                    );
                }
                OriginOutput::WakeAt(time) => self.schedule(time, ScheduledEvent::PlannerWakes),
            }
        }
    }

    /// Ends a box's process, records all attempts that wait for the box as broken, and sets the machine's
    /// mode.
    pub(super) fn end_process(&mut self, box_id: BoxId, mode: MachineMode) {
        self.box_states[box_id].incarnation += 1;
        self.box_states[box_id].wakes = None;
        let mut lost: Vec<u64> =
            self.pending_attempts.iter().filter(|(_, w)| w.box_id == box_id).map(|(t, _)| *t).collect();
        lost.sort_unstable();
        for token in lost {
            if let Some(w) = self.pending_attempts.remove(&token) {
                self.record(Event::Ended { id: w.id, attempt: w.attempt, how: AttemptOutcome::Broken });
            }
        }
        self.box_states[box_id].mode.send_replace(mode);
    }

    /// Stops a box's process.
    pub(super) fn stop_box(&mut self, box_id: BoxId) {
        self.box_states[box_id].cache.stop();
        self.record(Event::BoxDown { of: box_id });
        self.end_process(box_id, MachineMode::Down);
    }

    /// Starts a box with a cold cache and announces it to the endpoint list.
    pub(super) fn start_box(&mut self, box_id: BoxId) {
        let now = self.now();
        self.end_process(box_id, MachineMode::Down);
        self.box_states[box_id].cache.start(now);
        let incarnation = self.box_states[box_id].incarnation;
        self.box_states[box_id].mode.send_replace(MachineMode::Open(incarnation));
        self.record_box_up(box_id, true);
        // The start time as recorded in the trace: with an earlier time in the list, the invariant checker would count
        // every node as not informed of this start.
        let started = self.last_recorded_at;
        self.schedule_in(
            self.run_spec.list.add,
            ScheduledEvent::ListChanged(listing(box_id, Phase::Ready, Some(started))),
        );
    }

    /// Records that a box's process runs, with its capacity.
    pub(super) fn record_box_up(&mut self, of: BoxId, cold: bool) {
        let spec = &self.run_spec.boxes[of];
        let (capacity, size, from, ramp) = (spec.capacity(), spec.size, spec.cold_from, spec.ramp);
        self.record(Event::BoxUp { of, capacity, size, cold, from, ramp });
    }
}

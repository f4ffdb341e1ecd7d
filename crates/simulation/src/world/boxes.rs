//! Requests to boxes and the planner, and their answers.

use super::*;

impl<S: Sink> World<'_, S> {
    /// Handles an attempt's command at its box.
    pub(super) fn attempt_at_box(&mut self, token: u64) {
        let Some(in_flight) = self.find_in_flight(token) else { return };
        let (node, to, box_generation, mut job) =
            (in_flight.node, in_flight.to, in_flight.box_generation, in_flight.job);
        let box_state = &self.boxes[to];
        let (from, at) = (self.nodes[node].depot, self.run_spec.boxes[to].depot);
        if box_state.silence_count > 0 || self.is_partitioned(from, at) {
            // The request is lost; its connection is reset when the machine is back.
            return;
        }
        if box_state.generation != box_generation || !box_state.cache.is_up() {
            let delay = self.network_delay(from, at);
            return self.schedule_after(delay, ScheduledEvent::ResetAtNode(token));
        }
        // The attempt is in transit until here, and from here on counted by the box.
        job.token = token;
        self.in_flight[slab_index(token)].arrived = true;
        self.boxes[to].in_transit -= 1;
        self.record(Event::Reached { to, node, work: job.work, read: job.write.is_none() });
        let mut outputs = std::mem::take(&mut self.outputs);
        self.boxes[to].cache.request(self.now, job, self.origin.planner(), &mut outputs);
        self.outputs = outputs;
        self.apply_box_outputs(to);
    }

    /// Handles the end of a connection at its box, and cancels the attempt that used it.
    pub(super) fn closed_at_box(&mut self, at: BoxId, generation: u32, cancels: Option<u64>) {
        if self.boxes[at].generation != generation || !self.boxes[at].cache.is_up() {
            return;
        }
        self.boxes[at].cache.disconnect(self.now);
        if let Some(token) = cancels {
            let mut outputs = std::mem::take(&mut self.outputs);
            self.boxes[at].cache.cancel(self.now, token, self.origin.planner(), &mut outputs);
            self.outputs = outputs;
        }
        self.apply_box_outputs(at);
    }

    /// Applies the pending outputs of a box and schedules its next wake-up.
    pub(super) fn apply_box_outputs(&mut self, at: BoxId) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            match output {
                BoxOutput::Answer(token, answer) => self.box_answers(at, token, answer),
                BoxOutput::Ask { ask, cold } => {
                    let (delay, generation) =
                        (self.jittered(self.run_spec.network.same), self.boxes[at].generation);
                    self.schedule_after(
                        delay,
                        ScheduledEvent::AskAtPlanner { by: at, generation, ask, cold },
                    );
                }
                BoxOutput::Fell => {
                    self.record(Event::BoxCrashed { of: at });
                    self.boxes[at].generation += 1;
                    self.nodes.iter_mut().for_each(|state| state.idle_connections[at].clear());
                    self.reset_connections(at);
                    self.update_list_after(self.run_spec.list.notice, listing(at, Phase::Gone, None));
                }
            }
        }
        self.outputs = outputs;
        let box_state = &mut self.boxes[at];
        let wakes = box_state.cache.next_wake(self.now).filter(|_| box_state.cache.is_up());
        if let Some(wake) = wakes.map(|at| at.max(self.now + Span(1))) {
            if box_state.wakes.is_none_or(|scheduled| wake < scheduled || scheduled <= self.now) {
                box_state.wakes = Some(wake);
                self.schedule_at(wake, ScheduledEvent::BoxWakes(at));
            }
        }
    }

    /// Sends a box's answer to the node. A partition from the box's depot to the node's drops the answer;
    /// network faults may drop the answer or reset the connection.
    pub(super) fn box_answers(&mut self, at: BoxId, token: u64, answer: BoxAnswer) {
        // The attempt is gone if its node has abandoned it or died.
        let Some(in_flight) = self.find_in_flight(token) else { return };
        let (node, id, attempt, work) = (in_flight.node, in_flight.id, in_flight.attempt, in_flight.job.work);
        let read = in_flight.job.write.is_none();
        let hit = read.then_some(matches!(answer, BoxAnswer::Served { note: CacheNote::Hit, .. }));
        if answer != BoxAnswer::Busy {
            self.record(Event::Worked { id, attempt, work, hit });
        }
        let (from, to) = (self.run_spec.boxes[at].depot, self.nodes[node].depot);
        if self.is_partitioned(from, to) {
            return;
        }
        let delay = self.network_delay(from, to);
        match self.faults.answer_fate(&mut self.network_rng) {
            AnswerFate::Arrives => self.schedule_after(delay, ScheduledEvent::AnswerAtNode { token, answer }),
            AnswerFate::Lost => {}
            AnswerFate::Reset => self.schedule_after(delay, ScheduledEvent::ResetAtNode(token)),
        }
    }

    /// Schedules a connection reset at the node for each attempt in flight whose command was written to an
    /// earlier process of a box.
    pub(super) fn reset_connections(&mut self, at: BoxId) {
        let generation = self.boxes[at].generation;
        let broken: Vec<(u64, NodeId)> = self
            .in_flight
            .iter()
            .filter(|(_, f)| f.to == at && f.written && f.box_generation != generation)
            .map(|(_, f)| (f.token, f.node))
            .collect();
        for (token, node) in broken {
            let delay = self.network_delay(self.run_spec.boxes[at].depot, self.nodes[node].depot);
            self.schedule_after(delay, ScheduledEvent::ResetAtNode(token));
        }
    }

    /// Stops the process of a box; its machine resets connections in use and closes idle ones.
    pub(super) fn stop_box(&mut self, at: BoxId) {
        self.boxes[at].cache.stop();
        self.boxes[at].generation += 1;
        self.record(Event::BoxDown { of: at });
        for state in &mut self.nodes {
            state.idle_connections[at].clear();
        }
        self.reset_connections(at);
    }

    /// Starts the process of a box with an empty store.
    pub(super) fn start_box(&mut self, at: BoxId) {
        self.boxes[at].cache.start(self.now);
        self.boxes[at].generation += 1;
        self.boxes[at].wakes = None;
        self.record_box_up(at, true);
        self.reset_connections(at);
        self.update_list_after(self.run_spec.list.add, listing(at, Phase::Ready, Some(self.now)));
    }

    /// Records the start of a box with its capacity and warm-up.
    pub(super) fn record_box_up(&mut self, of: BoxId, cold: bool) {
        let spec = &self.run_spec.boxes[of];
        let (capacity, size, from, ramp) = (spec.capacity(), spec.size, spec.cold_from, spec.ramp);
        self.record(Event::BoxUp { of, capacity, size, cold, from, ramp });
    }

    /// Handles a box's call at the planner.
    pub(super) fn ask_at_planner(&mut self, by: BoxId, generation: u32, ask: PlannerCall, cold: bool) {
        let mut outputs = Vec::new();
        self.planes.tally.count_fetch(self.now, by, ask.key, ask.write.is_some());
        self.origin.call(self.now, by, generation, ask, cold, &mut outputs);
        self.apply_origin_outputs(outputs);
    }

    /// Records the planner's events, sends its answers and schedules its wake-ups.
    pub(super) fn apply_origin_outputs(&mut self, outputs: Vec<OriginOutput>) {
        for output in outputs {
            match output {
                OriginOutput::Record(event) => self.record(event),
                OriginOutput::Answer { to, incarnation: generation, id, version } => {
                    let delay = self.jittered(self.run_spec.network.same);
                    self.schedule_after(
                        delay,
                        ScheduledEvent::PlannerAnswers { to, generation, id, version },
                    );
                }
                OriginOutput::WakeAt(at) => self.schedule_at(at, ScheduledEvent::PlannerWakes),
            }
        }
    }

    /// Handles the planner's answer at a box; ignored if the box's process has ended.
    pub(super) fn planner_answers(&mut self, to: BoxId, generation: u32, id: u64, version: Option<u64>) {
        let box_state = &mut self.boxes[to];
        if box_state.generation != generation || !box_state.cache.is_up() {
            return;
        }
        let (mut outputs, keys) = (std::mem::take(&mut self.outputs), &self.keys);
        box_state.cache.on_planner_reply(
            self.now,
            id,
            version,
            |key| keys.bytes(key),
            self.origin.planner(),
            &mut outputs,
        );
        self.outputs = outputs;
        self.apply_box_outputs(to);
    }
}

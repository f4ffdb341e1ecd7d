//! Boxes: their connections and commands, their answers, their lives, and their calls to the planner.

use super::*;

impl Stage {
    pub fn mode(&self, at: BoxId) -> watch::Receiver<Mode> {
        self.places[at].mode.subscribe()
    }

    /// How many incidents part the nodes of a depot from a box.
    pub fn link(&self, from: usize, at: BoxId) -> watch::Receiver<u32> {
        self.links[from * self.day.depots.len() + self.day.boxes[at].depot].subscribe()
    }

    /// Round trip between a node and a box beyond what loopback takes.
    pub fn round_trip(&mut self, node: NodeId, at: BoxId) -> Duration {
        let network = &self.day.network;
        let same = self.day.nodes[node] == self.day.boxes[at].depot;
        let way = if same { network.same } else { network.cross };
        let factor = (1.0 + network.jitter * self.chance.normal()).max(0.2);
        Duration::from_micros((way.0 as f64 * 2.0 * factor) as u64)
    }

    /// A connection has come up; false if the box's table is full.
    pub fn connected(&mut self, at: BoxId) -> bool {
        let (now, mut outs) = (self.now(), Vec::new());
        let taken = self.places[at].cache.connect(now, &mut outs);
        if taken {
            self.record(Event::Opened { to: at });
        }
        self.after_box(at, outs);
        taken
    }

    pub fn disconnected(&mut self, at: BoxId, life: u32) {
        let now = self.now();
        if self.places[at].life == life && self.places[at].cache.is_up() {
            self.places[at].cache.disconnect(now);
            self.record(Event::Closed { to: at });
        }
    }

    pub fn probed(&mut self, at: BoxId) {
        let (now, mut outs) = (self.now(), Vec::new());
        self.record(Event::Probed { of: at });
        self.places[at].cache.probe(now, &mut outs);
        self.after_box(at, outs);
    }

    /// The load report as fields and values.
    pub fn load(&mut self, at: BoxId) -> Vec<(String, f64)> {
        let now = self.now();
        let load = self.places[at].cache.load(now);
        let fields = [("inflight", load.inflight), ("util", load.util), ("qps", load.qps)];
        let rounded = |(name, value): (&str, f64)| (name.to_string(), (value * 1000.0).round() / 1000.0);
        fields.into_iter().map(rounded).collect()
    }

    /// A command has come whole to a box's socket: what becomes of it comes by the channel, unless the box does not
    /// hear it or its machine is silent.
    pub fn command(
        &mut self,
        at: BoxId,
        heard: bool,
        command: &Command,
        reply: oneshot::Sender<Vec<u8>>,
    ) -> Option<(u64, NodeId)> {
        let opaque = String::from_utf8_lossy(&command.opaque()).into_owned();
        let id = TryId::from_str_radix(&opaque, 16).ok()?;
        let tried = self.tries.get_mut(&id)?;
        let (node, attempt) = (tried.node, tried.attempts);
        tried.attempts += 1;
        let ask = self.clients.open_try(id).map(|t| (t.ask, t.until));
        let crosses = self.day.nodes[node] != self.day.boxes[at].depot;
        let wait = Some(Span(command.wait.as_micros() as u64));
        self.record(Event::Sent { id, attempt, node, to: at, crosses, wait });
        // A client that has gone away meanwhile has taken the request along; its work is done all the same.
        let asking = ask.and_then(|(ask, until)| self.clients.ask(ask).map(|a| (a.clone(), until)));
        let now = self.now();
        let (key, work, write, deadline) = match asking {
            Some((a, until)) => {
                let write = self.day.classes[a.class].write.then_some(a.effect);
                (a.key, a.work * self.clients.attempt_factor(), write, until)
            }
            None => (0, 1000.0, None, now),
        };
        self.tokens += 1;
        let token = self.tokens;
        let job = Job { token, key, bytes: self.keys.bytes(key), work, write, deadline };
        self.waiting.insert(token, Waiting { reply, id, attempt, at, opaque, job });
        if heard && self.places[at].silent == 0 && self.places[at].cache.is_up() {
            self.record(Event::Reached { to: at, node, work, read: write.is_none() });
            let mut outs = Vec::new();
            self.places[at].cache.request(now, job, self.origin.planner(), &mut outs);
            self.after_box(at, outs);
        }
        Some((token, node))
    }

    /// The node has closed the connection of an attempt that had no answer yet.
    pub fn hung_up(&mut self, token: u64) {
        let Some(waiting) = self.waiting.remove(&token) else { return };
        self.record(Event::Ended { id: waiting.id, attempt: waiting.attempt, how: Ended::Cancelled });
        if self.places[waiting.at].cache.is_up() {
            let (now, mut outs) = (self.now(), Vec::new());
            self.places[waiting.at].cache.cancel(now, token, self.origin.planner(), &mut outs);
            self.after_box(waiting.at, outs);
        }
    }

    pub(super) fn after_box(&mut self, at: BoxId, outs: Vec<BoxOut>) {
        for out in outs {
            match out {
                BoxOut::Answer(token, answer) => self.box_answers(at, token, answer),
                BoxOut::Ask { ask, cold } => self.ask_origin(at, ask, cold),
                BoxOut::Fell => {
                    self.record(Event::BoxFell { of: at });
                    self.end_process(at, Mode::Down);
                    self.after(self.day.list.notice, Due::Known(listing(at, Phase::Gone, None)));
                }
            }
        }
        let now = self.now();
        let place = &mut self.places[at];
        if let Some(wake) = place.cache.wakes(now).filter(|_| place.cache.is_up()) {
            let wake = wake.max(now + Span(1));
            if place.wakes.is_none_or(|scheduled| wake < scheduled || scheduled <= now) {
                place.wakes = Some(wake);
                self.enter(wake, Due::BoxWakes(at));
            }
        }
    }

    pub(super) fn box_answers(&mut self, at: BoxId, token: u64, answer: BoxAnswer) {
        let Some(Waiting { reply, id, attempt, opaque, job, .. }) = self.waiting.remove(&token) else {
            return;
        };
        let load = if self.day.limits.reports { self.load(at) } else { Vec::new() };
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
                (Ended::Success, text)
            }
            BoxAnswer::Busy => {
                (Ended::Overloaded, cache_server::busy(&AnswerMetadata { cache_note: None, load }))
            }
            BoxAnswer::Failed => {
                (Ended::Error, cache_server::failed(&AnswerMetadata { cache_note: None, load }))
            }
        };
        let hit = matches!(answer, BoxAnswer::Served { note: CacheNote::Hit, .. });
        if how != Ended::Overloaded {
            let hit = job.write.is_none().then_some(hit);
            self.record(Event::Worked { id, attempt, work: job.work, hit });
        }
        let fate = self.faults.fate(&mut self.chance);
        if fate == Fate::Lost {
            // The connection stays, and its end is its node's to tell.
            self.waiting.insert(token, Waiting { reply, id, attempt, at, opaque, job });
            return;
        }
        let how = if fate == Fate::Reset { Ended::Broken } else { how };
        self.record(Event::Ended { id, attempt, how });
        if fate == Fate::Reset {
            // Nothing will come: that ends the connection.
            return;
        }
        // A connection that has closed meanwhile takes nothing.
        let _ = reply.send(text);
    }

    pub(super) fn ask_origin(&mut self, by: BoxId, ask: Ask, cold: bool) {
        let (now, life, mut outs) = (self.now(), self.places[by].life, Vec::new());
        self.origin.ask(now, by, life, ask, cold, &mut outs);
        self.after_origin(outs);
    }

    pub(super) fn after_origin(&mut self, outs: Vec<OriginOut>) {
        for out in outs {
            match out {
                OriginOut::Record(event) => self.record(event),
                OriginOut::Answer { to, life, id, version } => {
                    let way = self.day.network.same;
                    self.after(way, Due::PlannerAnswers { to, life, id, version });
                }
                OriginOut::WakeAt(at) => self.enter(at, Due::PlannerWakes),
            }
        }
    }

    /// A box's process is gone: what waits for it has lost its connection.
    pub(super) fn end_process(&mut self, at: BoxId, mode: Mode) {
        self.places[at].life += 1;
        self.places[at].wakes = None;
        let mut lost: Vec<u64> = self.waiting.iter().filter(|(_, w)| w.at == at).map(|(t, _)| *t).collect();
        lost.sort_unstable();
        for token in lost {
            if let Some(w) = self.waiting.remove(&token) {
                self.record(Event::Ended { id: w.id, attempt: w.attempt, how: Ended::Broken });
            }
        }
        self.places[at].mode.send_replace(mode);
    }

    pub(super) fn stop_box(&mut self, at: BoxId) {
        self.places[at].cache.stop();
        self.record(Event::BoxDown { of: at });
        self.end_process(at, Mode::Down);
    }

    pub(super) fn start_box(&mut self, at: BoxId) {
        let now = self.now();
        self.end_process(at, Mode::Down);
        self.places[at].cache.start(now);
        let life = self.places[at].life;
        self.places[at].mode.send_replace(Mode::Open(life));
        self.tell_up(at, true);
        // As the trace has it: a start told earlier than that would make every node one that did not know of it.
        let started = self.told_at;
        self.after(self.day.list.add, Due::Known(listing(at, Phase::Ready, Some(started))));
    }

    pub(super) fn tell_up(&mut self, of: BoxId, cold: bool) {
        let spec = &self.day.boxes[of];
        let (capacity, size, from, ramp) = (spec.capacity(), spec.size, spec.cold_from, spec.ramp);
        self.record(Event::BoxUp { of, capacity, size, cold, from, ramp });
    }
}

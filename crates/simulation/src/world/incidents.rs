//! Begin and end of incidents.

use super::*;

impl<S: Sink> World<'_, S> {
    /// Applies an incident, and schedules its end if it has a duration.
    pub(super) fn incident_begins(&mut self, at: usize) {
        let scheduled = &self.run_spec.fault_events[at];
        self.record(Event::FaultBegins { incident: at, what: scheduled.incident.to_string() });
        let mut outputs = Vec::new();
        match &scheduled.incident {
            FaultEvent::Silent(boxes) => boxes.iter().for_each(|&b| self.silence_box(b)),
            FaultEvent::Slow(boxes, factor) => boxes.iter().for_each(|&b| {
                self.boxes[b].cache.slow_by(self.now, *factor);
                self.apply_box_outputs(b);
            }),
            FaultEvent::Erring(boxes, share) => {
                boxes.iter().for_each(|&b| self.boxes[b].cache.add_error_rate(*share))
            }
            FaultEvent::Kill(boxes) => boxes.iter().for_each(|&b| self.kill_box(b)),
            FaultEvent::Heavy { class, share, factor } => {
                self.clients.set_heavy_work(*class, Some((*share, *factor)))
            }
            FaultEvent::NodeDeath(nodes) => nodes.iter().for_each(|&node| self.node_ends(node, false)),
            FaultEvent::NodeRestart(nodes) => {
                nodes.iter().for_each(|&node| self.restart_node(node, scheduled.stop))
            }
            FaultEvent::ListOutage => self.discovery_fails(),
            FaultEvent::PlannerSlow(factor) => self.origin.planner_mut().slow_by(*factor),
            FaultEvent::PlannerSilent => self.origin.silence(self.now, true, &mut outputs),
            FaultEvent::Partition(pairs) => self.adjust_partitions(pairs, 1),
            FaultEvent::Shift { depot, factor } => self.clients.scale_depot_traffic(*depot, *factor),
            FaultEvent::Impatient { share, hurry } => self.clients.set_impatient(at, Some((*share, *hurry))),
            FaultEvent::Hasty(haste) => self.clients.set_hasty(at, Some(*haste)),
            FaultEvent::SlowWriters(slow) => self.clients.set_slow_writers(at, Some(*slow)),
            FaultEvent::LateList { .. }
            | FaultEvent::LostAnswers(_)
            | FaultEvent::Resets(_)
            | FaultEvent::LostMessages(_) => self.faults.begin(at, &scheduled.incident),
            FaultEvent::Drain(boxes) => boxes.iter().for_each(|&b| {
                let started = self.boxes[b].cache.started();
                self.update_list_after(self.run_spec.list.notice, listing(b, Phase::Draining, started));
            }),
            FaultEvent::Join(boxes) => boxes.iter().for_each(|&b| self.start_box(b)),
            FaultEvent::Burst { factor, share, keys } => {
                let drawn = self.rng.sample_indices(*keys as usize, self.run_spec.keys.count as usize);
                let keys = drawn.into_iter().map(|key| key as KeyId).collect();
                self.clients.set_surge(at, Some((*factor, *share, keys)));
            }
        }
        self.apply_origin_outputs(outputs);
        if !scheduled.lasts.is_zero() {
            self.schedule_after(scheduled.lasts, ScheduledEvent::IncidentEnds(at));
        }
    }

    /// Ends an incident: reverts its effect, or stops the boxes of a drain. A node restart and a join stay.
    pub(super) fn incident_ends(&mut self, at: usize) {
        self.record(Event::FaultEnds { incident: at });
        let mut outputs = Vec::new();
        match &self.run_spec.fault_events[at].incident {
            FaultEvent::Silent(boxes) => boxes.iter().for_each(|&b| self.unsilence_box(b)),
            FaultEvent::Slow(boxes, factor) => boxes.iter().for_each(|&b| {
                self.boxes[b].cache.slow_by(self.now, 1.0 / factor);
                self.apply_box_outputs(b);
            }),
            FaultEvent::Erring(boxes, share) => {
                boxes.iter().for_each(|&b| self.boxes[b].cache.add_error_rate(-share))
            }
            FaultEvent::Kill(boxes) => boxes.iter().for_each(|&b| self.revive_box(b)),
            FaultEvent::Heavy { class, .. } => self.clients.set_heavy_work(*class, None),
            FaultEvent::NodeDeath(nodes) => nodes.iter().for_each(|&node| self.node_starts(node)),
            FaultEvent::NodeRestart(_) => {}
            FaultEvent::ListOutage => {
                self.discovery_recovers();
                self.distribute_list();
            }
            FaultEvent::PlannerSlow(factor) => self.origin.planner_mut().slow_by(1.0 / factor),
            FaultEvent::PlannerSilent => self.origin.silence(self.now, false, &mut outputs),
            FaultEvent::Partition(pairs) => self.adjust_partitions(pairs, -1),
            FaultEvent::Shift { depot, factor } => self.clients.scale_depot_traffic(*depot, factor.recip()),
            FaultEvent::Impatient { .. } => self.clients.set_impatient(at, None),
            FaultEvent::Hasty(_) => self.clients.set_hasty(at, None),
            FaultEvent::SlowWriters(_) => self.clients.set_slow_writers(at, None),
            FaultEvent::LateList { .. }
            | FaultEvent::LostAnswers(_)
            | FaultEvent::Resets(_)
            | FaultEvent::LostMessages(_) => self.faults.end(at),
            FaultEvent::Drain(boxes) => boxes.iter().for_each(|&b| {
                self.stop_box(b);
                self.update_list_after(self.run_spec.list.notice, listing(b, Phase::Gone, None));
            }),
            FaultEvent::Join(_) => {}
            FaultEvent::Burst { .. } => self.clients.set_surge(at, None),
        }
        self.apply_origin_outputs(outputs);
    }

    /// Makes a box's machine unresponsive: connections stay open without an answer, and the list
    /// notices after `list.silent_detection_delay`.
    pub(super) fn silence_box(&mut self, at: BoxId) {
        self.boxes[at].silence_count += 1;
        if self.boxes[at].silence_count > 1 || !self.boxes[at].cache.is_up() {
            return;
        }
        self.boxes[at].cache.stop();
        self.record(Event::BoxDown { of: at });
        self.update_list_after(self.run_spec.list.silent_detection_delay, listing(at, Phase::Gone, None));
    }

    /// Ends one silence of a box; its process restarts with an empty store once no other silence is active.
    pub(super) fn unsilence_box(&mut self, at: BoxId) {
        self.boxes[at].silence_count -= 1;
        self.clear_silence_evidence(at);
        self.revive_box(at);
    }

    /// Kills the process of a box, if it runs and the box is not silent: its machine resets connections, and
    /// the list notices after `list.notice`.
    pub(super) fn kill_box(&mut self, at: BoxId) {
        if self.boxes[at].silence_count == 0 && self.boxes[at].cache.is_up() {
            self.stop_box(at);
            self.update_list_after(self.run_spec.list.notice, listing(at, Phase::Gone, None));
        }
    }

    /// Restarts the process of a box with an empty store, unless its machine is silent or it crashed from overload.
    pub(super) fn revive_box(&mut self, at: BoxId) {
        if self.boxes[at].silence_count == 0
            && !self.boxes[at].cache.is_up()
            && !self.boxes[at].cache.has_fallen()
        {
            self.start_box(at);
        }
    }

    /// The current state of the world as seen from a node.
    pub(super) fn policy_view<'b>(&'b self, node: NodeId, request_keys: RequestKeys<'b>) -> PolicyView<'b> {
        PolicyView {
            run_spec: self.run_spec,
            boxes: &self.boxes,
            servers: &self.servers,
            planner: self.origin.planner(),
            partition_counts: &self.partition_counts,
            depot: self.nodes[node].depot,
            now: self.now,
            request_keys,
        }
    }
}

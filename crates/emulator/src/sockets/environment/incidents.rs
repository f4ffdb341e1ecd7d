//! Begin and end of the scenario's incidents.

use super::*;

impl Environment {
    /// Applies an incident and schedules its end, if it has a duration.
    pub(super) fn incident_begins(&mut self, index: usize) {
        let run_spec = self.run_spec.clone();
        let scheduled = &run_spec.fault_events[index];
        self.record(Event::FaultBegins { incident: index, what: scheduled.incident.to_string() });
        let (now, mut outputs) = (self.now(), Vec::new());
        match &scheduled.incident {
            FaultEvent::Silent(boxes) => boxes.iter().for_each(|&b| self.silence_box(b)),
            FaultEvent::Slow(boxes, factor) => boxes.iter().for_each(|&b| self.slow_box(b, *factor)),
            FaultEvent::Erring(boxes, share) => {
                boxes.iter().for_each(|&b| self.box_states[b].cache.add_error_rate(*share))
            }
            FaultEvent::Kill(boxes) => boxes.iter().for_each(|&b| self.kill_box(b)),
            FaultEvent::Heavy { class, share, factor } => {
                self.clients.set_heavy_work(*class, Some((*share, *factor)))
            }
            FaultEvent::NodeDeath(nodes) => self.order_nodes(nodes, NodeOrder::Kill),
            FaultEvent::NodeRestart(nodes) => self.order_nodes(nodes, NodeOrder::Restart),
            FaultEvent::ListOutage => self.list_silent.send_modify(|n| *n += 1),
            FaultEvent::PlannerSlow(factor) => self.origin.planner_mut().slow_by(*factor),
            FaultEvent::PlannerSilent => self.origin.silence(now, true, &mut outputs),
            FaultEvent::Partition(pairs) => self.set_partition(pairs, true),
            FaultEvent::Shift { depot, factor } => self.clients.scale_depot_traffic(*depot, *factor),
            FaultEvent::Impatient { share, hurry } => {
                self.clients.set_impatient(index, Some((*share, *hurry)))
            }
            FaultEvent::Hasty(haste) => self.clients.set_hasty(index, Some(*haste)),
            FaultEvent::SlowWriters(slow) => self.clients.set_slow_writers(index, Some(*slow)),
            FaultEvent::LateList { .. }
            | FaultEvent::LostAnswers(_)
            | FaultEvent::Resets(_)
            | FaultEvent::LostMessages(_) => self.faults.begin(index, &scheduled.incident),
            FaultEvent::Drain(boxes) => boxes.iter().for_each(|&b| {
                let started = self.box_states[b].cache.started();
                self.schedule_in(
                    run_spec.list.notice,
                    ScheduledEvent::ListChanged(listing(b, Phase::Draining, started)),
                );
            }),
            FaultEvent::Join(boxes) => boxes.iter().for_each(|&b| self.start_box(b)),
            FaultEvent::Burst { factor, share, keys } => {
                let keys = self.rng.sample_indices(*keys as usize, run_spec.keys.count as usize);
                let keys = keys.into_iter().map(|key| key as u32).collect();
                self.clients.set_surge(index, Some((*factor, *share, keys)));
            }
        }
        self.process_origin_outputs(outputs);
        if !scheduled.lasts.is_zero() {
            self.schedule_in(scheduled.lasts, ScheduledEvent::IncidentEnds(index));
        }
    }

    /// Reverts an incident, except that the end of a drain stops its boxes and that a node restart and a join
    /// have nothing to revert.
    pub(super) fn incident_ends(&mut self, index: usize) {
        self.record(Event::FaultEnds { incident: index });
        let run_spec = self.run_spec.clone();
        let (now, mut outputs) = (self.now(), Vec::new());
        match &run_spec.fault_events[index].incident {
            FaultEvent::Silent(boxes) => boxes.iter().for_each(|&b| self.end_box_silence(b)),
            FaultEvent::Slow(boxes, factor) => boxes.iter().for_each(|&b| self.slow_box(b, 1.0 / factor)),
            FaultEvent::Erring(boxes, share) => {
                boxes.iter().for_each(|&b| self.box_states[b].cache.add_error_rate(-share))
            }
            FaultEvent::Kill(boxes) => boxes.iter().for_each(|&b| self.revive_box(b)),
            FaultEvent::Heavy { class, .. } => self.clients.set_heavy_work(*class, None),
            FaultEvent::NodeDeath(nodes) => self.order_nodes(nodes, NodeOrder::Run),
            FaultEvent::ListOutage => {
                self.list_silent.send_modify(|n| *n -= 1);
                self.schedule_agent_updates();
            }
            FaultEvent::PlannerSlow(factor) => self.origin.planner_mut().slow_by(1.0 / factor),
            FaultEvent::PlannerSilent => self.origin.silence(now, false, &mut outputs),
            FaultEvent::Drain(boxes) => boxes.iter().for_each(|&b| {
                self.stop_box(b);
                self.schedule_in(
                    run_spec.list.notice,
                    ScheduledEvent::ListChanged(listing(b, Phase::Gone, None)),
                );
            }),
            FaultEvent::Burst { .. } => self.clients.set_surge(index, None),
            FaultEvent::Partition(pairs) => self.set_partition(pairs, false),
            FaultEvent::Shift { depot, factor } => self.clients.scale_depot_traffic(*depot, factor.recip()),
            FaultEvent::Impatient { .. } => self.clients.set_impatient(index, None),
            FaultEvent::Hasty(_) => self.clients.set_hasty(index, None),
            FaultEvent::SlowWriters(_) => self.clients.set_slow_writers(index, None),
            FaultEvent::LateList { .. }
            | FaultEvent::LostAnswers(_)
            | FaultEvent::Resets(_)
            | FaultEvent::LostMessages(_) => self.faults.end(index),
            FaultEvent::NodeRestart(_) | FaultEvent::Join(_) => {}
        }
        self.process_origin_outputs(outputs);
    }

    /// Begins or ends a partition. A link that is cut in one direction lets no connection be established; here it also
    /// silences the established ones, so both directions are cut.
    pub(super) fn set_partition(&mut self, pairs: &[(usize, usize)], begins: bool) {
        let change = |count: &mut u32| if begins { *count += 1 } else { *count = count.saturating_sub(1) };
        for (a, b) in pairs {
            for (from, to) in [(a, b), (b, a)] {
                self.links[from * self.run_spec.depots.len() + to].send_modify(change);
            }
        }
    }

    /// Kills a box's process and announces its end to the endpoint list; does nothing while the box is silent or down.
    pub(super) fn kill_box(&mut self, box_id: BoxId) {
        if self.box_states[box_id].silent == 0 && self.box_states[box_id].cache.is_up() {
            self.stop_box(box_id);
            self.schedule_in(
                self.run_spec.list.notice,
                ScheduledEvent::ListChanged(listing(box_id, Phase::Gone, None)),
            );
        }
    }

    /// Starts a box again, unless it is silent, already up, or has fallen.
    pub(super) fn revive_box(&mut self, box_id: BoxId) {
        let box_state = &self.box_states[box_id];
        if box_state.silent == 0 && !box_state.cache.is_up() && !box_state.cache.has_fallen() {
            self.start_box(box_id);
        }
    }

    pub(super) fn order_nodes(&mut self, nodes: &[NodeId], order: NodeOrder) {
        for node in nodes {
            self.node_orders[*node].send_replace(order);
        }
    }

    pub(super) fn slow_box(&mut self, box_id: BoxId, factor: f64) {
        let now = self.now();
        self.box_states[box_id].cache.slow_by(now, factor);
        self.process_box_outputs(box_id, Vec::new());
    }

    /// Silences a box's machine and announces the box's end to the endpoint list; only counts the incident if
    /// the machine is silent already or the box is down.
    pub(super) fn silence_box(&mut self, box_id: BoxId) {
        self.box_states[box_id].silent += 1;
        if self.box_states[box_id].silent > 1 || !self.box_states[box_id].cache.is_up() {
            return;
        }
        self.box_states[box_id].cache.stop();
        self.record(Event::BoxDown { of: box_id });
        self.box_states[box_id].mode.send_replace(MachineMode::Silent);
        self.schedule_in(
            self.run_spec.list.silent_detection_delay,
            ScheduledEvent::ListChanged(listing(box_id, Phase::Gone, None)),
        );
    }

    /// Ends one silencing incident of a box and starts the box again after the last one.
    pub(super) fn end_box_silence(&mut self, box_id: BoxId) {
        self.box_states[box_id].silent -= 1;
        self.revive_box(box_id);
    }
}

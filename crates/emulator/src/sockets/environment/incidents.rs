//! Begin and end of the scenario's incidents.

use super::*;

impl Environment {
    /// Applies an incident and schedules its end, if it has a duration.
    pub(super) fn incident_begins(&mut self, index: usize) {
        let day = self.day.clone();
        let scheduled = &day.incidents[index];
        self.record(Event::Begins { incident: index, what: scheduled.incident.to_string() });
        let (now, mut outputs) = (self.now(), Vec::new());
        match &scheduled.incident {
            Incident::Silent(boxes) => boxes.iter().for_each(|&b| self.silence_box(b)),
            Incident::Slow(boxes, factor) => boxes.iter().for_each(|&b| self.slow_box(b, *factor)),
            Incident::Erring(boxes, share) => {
                boxes.iter().for_each(|&b| self.box_states[b].cache.errs_by(*share))
            }
            Incident::Kill(boxes) => boxes.iter().for_each(|&b| self.kill_box(b)),
            Incident::Heavy { class, share, factor } => self.clients.heavy(*class, Some((*share, *factor))),
            Incident::NodeDeath(nodes) => self.order_nodes(nodes, NodeOrder::Kill),
            Incident::NodeRestart(nodes) => self.order_nodes(nodes, NodeOrder::Restart),
            Incident::ListOutage => self.list_silent.send_modify(|n| *n += 1),
            Incident::PlannerSlow(factor) => self.origin.planner_mut().slow_by(*factor),
            Incident::PlannerSilent => self.origin.silence(now, true, &mut outputs),
            Incident::Partition(pairs) => self.set_partition(pairs, true),
            Incident::Shift { depot, factor } => self.clients.shift(*depot, *factor),
            Incident::Impatient { share, hurry } => self.clients.impatient(index, Some((*share, *hurry))),
            Incident::Hasty(haste) => self.clients.hasty(index, Some(*haste)),
            Incident::SlowWriters(slow) => self.clients.slow_writers(index, Some(*slow)),
            Incident::LateList { .. }
            | Incident::LostAnswers(_)
            | Incident::Resets(_)
            | Incident::LostMessages(_) => self.faults.begin(index, &scheduled.incident),
            Incident::Drain(boxes) => boxes.iter().for_each(|&b| {
                let started = self.box_states[b].cache.started();
                self.schedule_in(
                    day.list.notice,
                    ScheduledEvent::ListChanged(listing(b, Phase::Draining, started)),
                );
            }),
            Incident::Join(boxes) => boxes.iter().for_each(|&b| self.start_box(b)),
            Incident::Burst { factor, share, keys } => {
                let keys = self.chance.some(*keys as usize, day.keys.count as usize);
                let keys = keys.into_iter().map(|key| key as u32).collect();
                self.clients.burst(index, Some((*factor, *share, keys)));
            }
        }
        self.process_origin_outputs(outputs);
        if !scheduled.lasts.is_zero() {
            self.schedule_in(scheduled.lasts, ScheduledEvent::IncidentEnds(index));
        }
    }

    /// Reverts an incident.
    pub(super) fn incident_ends(&mut self, index: usize) {
        self.record(Event::Ends { incident: index });
        let day = self.day.clone();
        let (now, mut outputs) = (self.now(), Vec::new());
        match &day.incidents[index].incident {
            Incident::Silent(boxes) => boxes.iter().for_each(|&b| self.end_box_silence(b)),
            Incident::Slow(boxes, factor) => boxes.iter().for_each(|&b| self.slow_box(b, 1.0 / factor)),
            Incident::Erring(boxes, share) => {
                boxes.iter().for_each(|&b| self.box_states[b].cache.errs_by(-share))
            }
            Incident::Kill(boxes) => boxes.iter().for_each(|&b| self.revive_box(b)),
            Incident::Heavy { class, .. } => self.clients.heavy(*class, None),
            Incident::NodeDeath(nodes) => self.order_nodes(nodes, NodeOrder::Run),
            Incident::ListOutage => {
                self.list_silent.send_modify(|n| *n -= 1);
                self.schedule_agent_updates();
            }
            Incident::PlannerSlow(factor) => self.origin.planner_mut().slow_by(1.0 / factor),
            Incident::PlannerSilent => self.origin.silence(now, false, &mut outputs),
            Incident::Drain(boxes) => boxes.iter().for_each(|&b| {
                self.stop_box(b);
                self.schedule_in(day.list.notice, ScheduledEvent::ListChanged(listing(b, Phase::Gone, None)));
            }),
            Incident::Burst { .. } => self.clients.burst(index, None),
            Incident::Partition(pairs) => self.set_partition(pairs, false),
            Incident::Shift { depot, factor } => self.clients.shift(*depot, factor.recip()),
            Incident::Impatient { .. } => self.clients.impatient(index, None),
            Incident::Hasty(_) => self.clients.hasty(index, None),
            Incident::SlowWriters(_) => self.clients.slow_writers(index, None),
            Incident::LateList { .. }
            | Incident::LostAnswers(_)
            | Incident::Resets(_)
            | Incident::LostMessages(_) => self.faults.end(index),
            Incident::NodeRestart(_) | Incident::Join(_) => {}
        }
        self.process_origin_outputs(outputs);
    }

    /// Begins or ends a partition. A link that is cut in one direction lets no connection be established; here it also
    /// silences the established ones, so both directions are cut.
    pub(super) fn set_partition(&mut self, pairs: &[(usize, usize)], begins: bool) {
        let change = |count: &mut u32| if begins { *count += 1 } else { *count = count.saturating_sub(1) };
        for (a, b) in pairs {
            for (from, to) in [(a, b), (b, a)] {
                self.links[from * self.day.depots.len() + to].send_modify(change);
            }
        }
    }

    /// Kills a box's process and announces its end to the endpoint list; does nothing while the box is silent or down.
    pub(super) fn kill_box(&mut self, box_id: BoxId) {
        if self.box_states[box_id].silent == 0 && self.box_states[box_id].cache.is_up() {
            self.stop_box(box_id);
            self.schedule_in(
                self.day.list.notice,
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

    /// Silences a box's machine and announces its end to the endpoint list.
    pub(super) fn silence_box(&mut self, box_id: BoxId) {
        self.box_states[box_id].silent += 1;
        if self.box_states[box_id].silent > 1 || !self.box_states[box_id].cache.is_up() {
            return;
        }
        self.box_states[box_id].cache.stop();
        self.record(Event::BoxDown { of: box_id });
        self.box_states[box_id].mode.send_replace(MachineMode::Silent);
        self.schedule_in(
            self.day.list.silent_notice,
            ScheduledEvent::ListChanged(listing(box_id, Phase::Gone, None)),
        );
    }

    /// Ends one silencing incident of a box and starts the box again after the last one.
    pub(super) fn end_box_silence(&mut self, box_id: BoxId) {
        self.box_states[box_id].silent -= 1;
        self.revive_box(box_id);
    }
}

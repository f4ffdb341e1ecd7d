//! Dispatch of attempts: a request is sent at once, joins another request's fetch of its key, is held until
//! there is capacity, or is ended.

use std::collections::VecDeque;

use super::due_timers::TimerKind;
use super::hold_queues::HoldReason;
use super::key_locations::KeyLocation;
use super::request::{Attempt, Request};
use super::state::BalancerState;
use crate::interface::{Action, CacheMode, Effect, RequestId, ServerId};

/// Share of the latency objective, or of the client's time where that is less, for which a request is held
/// when all servers are full.
pub(super) const HOLD_TIME_SHARE: f64 = 0.25;
/// Factor on the hold time of a request over its tenant's quota.
const OVER_QUOTA_HOLD_FACTOR: f64 = 0.1;
/// Held requests that may fail to dispatch after an outcome before the remaining ones wait for the next
/// outcome: trying all of them at each outcome would cost work that grows with the square of the load. The
/// tick tries all.
pub(super) const MAX_STILL_HELD: usize = 8;

/// How many held requests a scan tries.
#[derive(Clone, Copy, PartialEq)]
enum HeldScan {
    All,
    /// Stops once this many requests of one queue were tried and stay held.
    UntilStillHeld(usize),
}

/// The target of a request's next attempt.
struct Target {
    server: Option<ServerId>,
    /// Whether the attempt is expected to reach the origin.
    to_origin: bool,
    /// Whether load shedding ends the request: the whole fleet is cold and no server admits it.
    is_shed: bool,
}

impl BalancerState {
    /// Sends a request that has no attempt in flight, holds it, or ends it.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        if let Some(hold) = self.try_dispatch(id) {
            self.held.push(hold, id);
        }
    }

    /// Like `dispatch`, but returns the reason to hold a request that was neither sent nor ended.
    fn try_dispatch(&mut self, id: RequestId) -> Option<HoldReason> {
        let request =
            self.requests.get(&id).filter(|request| !request.ended && request.attempts_in_flight() == 0)?;
        let (key, write) = (request.key, request.write);
        let target = self.target(id)?;
        if target.is_shed {
            self.end(id);
            return None;
        }
        // One fetch for each key at a time: other reads of the key wait until it ends.
        if !write && target.to_origin && self.origin.join_fetch(key, id) {
            return None;
        }
        let origin_hold = if write { HoldReason::Write } else { HoldReason::Fetch };
        let is_aside = self.settings.cache != CacheMode::Through;
        let origin_has_capacity = is_aside || !target.to_origin || self.origin.has_capacity(origin_hold);
        let hold_reason = if target.server.is_some() { origin_hold } else { HoldReason::Server };
        if let Some(server) = target.server.filter(|_| origin_has_capacity) {
            self.send(id, &server, target.to_origin);
            return None;
        }
        if self.may_hold(id) {
            return Some(hold_reason);
        }
        self.end(id);
        None
    }

    /// Chooses the target of the next attempt; `None` if the request is unknown.
    fn target(&mut self, id: RequestId) -> Option<Target> {
        let probe_target = self.probe_by_request(id);
        let request = self.requests.get(&id)?;
        let is_aside = self.settings.cache != CacheMode::Through;
        let at_origin = is_aside && (request.write || request.missed);
        let chosen_target = || if at_origin { self.choose_origin(request) } else { self.choose(request) };
        let server = probe_target.or_else(chosen_target);
        let is_shed = server.is_none() && !at_origin && self.is_shed(request);
        let is_location_unknown =
            server.as_ref().is_some_and(|server| !self.is_cached(&(request.key, server.clone())));
        let to_origin = request.write || (is_location_unknown && (request.missed || !is_aside));
        Some(Target { server, to_origin, is_shed })
    }

    /// Where health checks are not allowed, the first attempt of a read probes an ejected server.
    fn probe_by_request(&mut self, id: RequestId) -> Option<ServerId> {
        let request = self.requests.get(&id)?;
        let is_first = request.attempts.is_empty();
        let may_risk = !request.write && is_first && self.class(request).effect == Effect::Idempotent;
        if !may_risk || self.settings.limits.health_checks {
            return None;
        }
        self.next_to_probe_by_read()
    }

    /// Whether a request that no server has capacity for is held: only during its hold time, and only if
    /// one more attempt of it may still be sent.
    fn may_hold(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let class = self.class(request);
        let time_limit = class.latency_objective.min(request.deadline - request.arrived_at);
        let quota_factor = if request.over_quota { OVER_QUOTA_HOLD_FACTOR } else { 1.0 };
        let hold_time = time_limit * HOLD_TIME_SHARE * quota_factor;
        let may_not_repeat = request.may_have_run() && class.effect != Effect::Idempotent;
        let has_no_attempts_left = request.attempts.len() >= self.settings.limits.max_attempts as usize;
        let is_late = self.now >= request.arrived_at + hold_time || self.now >= request.deadline;
        !(may_not_repeat || has_no_attempts_left || is_late)
    }

    pub(super) fn is_cached(&self, location: &KeyLocation) -> bool {
        self.key_locations.contains(location, self.now)
    }

    /// Records a new attempt and asks the host to send it to this server.
    pub(super) fn send(&mut self, id: RequestId, server: &ServerId, to_origin: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.attempts.push(Attempt { server: server.clone(), sent_at: self.now, to_origin, status: None });
        if to_origin {
            self.origin.attempt_sent();
            if !request.write {
                self.origin.lead_fetch(request.key, id);
            }
        }
        self.servers.attempt_sent(server);
        let time_left = request.deadline - self.now - 2.0 * self.settings.event_interval;
        let timeout = Some(time_left.max(self.settings.event_interval));
        self.actions.push(Action::Send { request: id, server: server.clone(), timeout });
        self.schedule_late(id);
    }

    /// Schedules the time at which the last attempt of a request is late.
    fn schedule_late(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let late_at = self.now + self.time_until_late(request);
        let previous_late_at = self.set_late_at(id, late_at);
        self.timers.cancel(previous_late_at, TimerKind::Late, id);
        self.timers.schedule(late_at, TimerKind::Late, id);
        self.arm_timer();
    }

    /// Sets the time at which the last attempt becomes late; returns the previous time.
    fn set_late_at(&mut self, id: RequestId, late_at: f64) -> f64 {
        let request: Option<&mut Request> = self.requests.get_mut(&id);
        request.map_or(0.0, |request| std::mem::replace(&mut request.late_at, late_at))
    }

    /// Tries all held requests.
    pub(super) fn dispatch_all_held(&mut self) {
        self.dispatch_held(HeldScan::All);
    }

    /// Tries held requests after an outcome, which may have freed capacity.
    pub(super) fn dispatch_some_held(&mut self) {
        self.dispatch_held(HeldScan::UntilStillHeld(MAX_STILL_HELD));
    }

    fn dispatch_held(&mut self, scan: HeldScan) {
        for hold in HoldReason::ALL {
            let mut queue = self.held.take(hold);
            let mut still_held = VecDeque::new();
            while self.continues_scan(scan, hold, still_held.len()) {
                let Some(id) = queue.pop_front() else { break };
                match self.try_dispatch(id) {
                    Some(same) if same == hold => still_held.push_back(id),
                    Some(other) => self.held.push(other, id),
                    None => {}
                }
            }
            // Requests that stay held keep their order.
            still_held.into_iter().rev().for_each(|id| queue.push_front(id));
            self.held.put_back(hold, queue);
        }
    }

    fn continues_scan(&self, scan: HeldScan, hold: HoldReason, still_held_count: usize) -> bool {
        match scan {
            HeldScan::All => true,
            HeldScan::UntilStillHeld(limit) => {
                still_held_count < limit && (hold == HoldReason::Server || self.origin.has_capacity(hold))
            }
        }
    }
}

//! The balancer's decisions, and the dispatch of events to them. Types that pass to the host are in
//! `src/interface/`.
//!
//! The ordinary path is RJ-CH (Chen, Coleman, Shrivastava, "Revisiting Consistent Hashing with Bounded
//! Loads"): a key goes to the owner of slot h(key, 0) of a fixed array, and from an owner at its cap on to
//! the owners of h(key, 1), h(key, 2) and so on. Each deviation from that path documents when it applies.

mod arrival;
mod completion;
mod concurrency_limit;
mod demand;
mod dispatch;
mod due_timers;
mod endpoint_subscription;
mod endpoints;
mod fleet_totals;
pub(crate) mod hash_ring;
mod hedging;
mod hold_queues;
mod key_locations;
mod key_popularity;
mod kind_latency;
mod latency_estimate;
mod observation;
mod origin_load;
mod outcome;
mod outlier_detection;
mod peer_reports;
mod request;
mod retry_budget;
mod retry_rules;
mod routing;
mod server;
mod servers;
mod short_deadline_throttle;
mod slow_start;
mod state;
mod tenant_quota;
#[cfg(test)]
mod tests;

use demand::Fleet;
use due_timers::TimerKind;
pub(crate) use state::BalancerState;

use crate::interface::{Action, Event, Seconds, Status, TimerToken};

/// Time between two housekeeping ticks: short against any latency objective.
const TICK_INTERVAL: Seconds = 0.05;
/// Time between two sweeps over all servers: short against any slow start.
const SWEEP_INTERVAL: Seconds = 0.25;
/// Weight of a new observation in smoothed figures.
const SMOOTHING: f64 = 0.1;

const TICK_TIMER: TimerToken = TimerToken(0);
const DUE_TIMER: TimerToken = TimerToken(1);

impl BalancerState {
    /// Handles one event.
    pub(crate) fn handle(&mut self, now: Seconds, event: Event) {
        self.now = now;
        if !self.has_started {
            self.has_started = true;
            self.schedule_tick();
            self.follow_endpoints();
        }
        match event {
            Event::Endpoints(update) => self.on_endpoints(update),
            Event::Request(new) => self.on_request(new),
            Event::StreamStarted { request, attempt } => self.on_stream_started(request, attempt),
            Event::Outcome(outcome) => self.on_outcome(outcome),
            Event::Fleet(update) => self.on_fleet_update(update),
            Event::ClientLeft(request) => self.on_finished(request),
            Event::Timer(TICK_TIMER) => self.on_tick(),
            Event::Timer(_) => self.on_due(),
            Event::HealthChecked { server, status: Status::Success } => self.readmit(&server),
            Event::HealthChecked { .. } | Event::Message { .. } => {}
        }
    }

    fn schedule_tick(&mut self) {
        self.actions.push(Action::SetTimer { token: TICK_TIMER, after: TICK_INTERVAL });
    }

    fn on_tick(&mut self) {
        self.schedule_tick();
        if self.now >= self.next_sweep_at {
            self.next_sweep_at = self.now + SWEEP_INTERVAL;
            self.sweep();
        }
        self.follow_endpoints();
        self.dispatch_all_held();
    }

    /// Housekeeping that visits each server.
    fn sweep(&mut self) {
        if self.settings.limits.health_checks {
            let ejected = self.next_to_probe();
            self.actions.extend(ejected.map(Action::HealthCheck));
        }
        self.short_deadline_throttle.recover(SWEEP_INTERVAL);
        self.servers.refresh_shares(&self.settings, self.now);
        let totals = self.servers.totals();
        let window = self.settings.guarantees.overload_window;
        let fleet = Fleet { ready: totals.ready, all_warm: totals.all_warm(), window };
        self.demand.update(self.now, &fleet);
    }

    /// Sets the host's timer for the first request timer that is due, unless it is already set.
    fn arm_timer(&mut self) {
        if let Some(after) = self.timers.arm(self.now) {
            self.actions.push(Action::SetTimer { token: DUE_TIMER, after });
        }
    }

    /// Handles the request timers that are due, then sets the host's timer for the next one.
    fn on_due(&mut self) {
        self.timers.fired(self.now);
        while let Some((kind, request)) = self.timers.pop_due(self.now) {
            match kind {
                TimerKind::GiveUp => self.end(request),
                TimerKind::Late => self.on_late(request),
            }
        }
        self.arm_timer();
    }
}

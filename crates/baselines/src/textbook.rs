//! The request lifecycle that all textbook policies share.

use hallpin_balancer::{
    Action, AttemptId, Class, Effect, Event, Key, NewRequest, Outcome, RequestId, Seconds, Settings,
    SettingsError, Status, TimerToken,
};
use hallpin_simulation::policy::{Policy, WorldView};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::boxes::Boxes;
use crate::pick::{Choice, Pick, RoutingRequest};

/// Bit that marks the timer token of a request that waits for a box; request ids never reach it.
const RETRY_TIMER_BIT: u64 = 1 << 63;

/// State of an attempt.
#[derive(Clone, Copy)]
struct AttemptState {
    /// Time at which it was sent.
    sent_at: Seconds,
    /// Whether it may have been executed; `None` while it is in flight.
    may_have_run: Option<bool>,
}

/// State of a request without a final answer.
struct RequestState {
    /// Arrival time.
    arrived_at: Seconds,
    class: usize,
    key: Key,
    write: bool,
    deadline: Seconds,
    attempts: Vec<AttemptState>,
    /// Numbers of the boxes that its attempts went to, in the order of the attempts.
    box_numbers: Vec<usize>,
}

/// A textbook policy: sends a request to the box that `P` picks, and to another one if that fails.
pub struct Textbook<P> {
    pick: P,
    settings: Settings,
    random: Pcg64Mcg,
    boxes: Boxes,
    requests: FxHashMap<RequestId, RequestState>,
}

impl<P: Pick> Textbook<P> {
    /// Creates the policy of a node that has just started.
    ///
    /// # Errors
    /// If the settings are invalid.
    pub fn new(pick: P, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let random = Pcg64Mcg::seed_from_u64(seed);
        Ok(Textbook { pick, settings, random, boxes: Boxes::default(), requests: FxHashMap::default() })
    }

    fn class(&self, state: &RequestState) -> Option<&Class> {
        self.settings.classes.get(state.class)
    }

    /// Sends a request to the next box, makes it wait, or ends it.
    fn route(&mut self, now: Seconds, id: RequestId, world: &dyn WorldView, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(&id) else { return };
        let (Some(class), event_interval) = (self.class(state), self.settings.event_interval) else { return };
        let possibly_run = state.attempts.iter().filter(|t| t.may_have_run != Some(false)).map(|t| t.sent_at);
        let first_sent = possibly_run.fold(f64::INFINITY, f64::min);
        let may_send = match class.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => now + event_interval < first_sent + class.deduplication_window,
            Effect::NonIdempotent => first_sent.is_infinite(),
        };
        let time_left = state.deadline - now - 2.0 * event_interval;
        let has_attempts_left = state.attempts.len() < self.settings.limits.max_attempts as usize;
        let request =
            RoutingRequest { id, key: state.key, write: state.write, time_left, age: now - state.arrived_at };
        let view = self.boxes.view(now, &state.box_numbers, world);
        let choice = if may_send && has_attempts_left && time_left > 0.0 {
            self.pick.pick(request, view, &mut self.random)
        } else {
            Choice::Reject
        };
        let number = match choice {
            Choice::Send(index) => view.number(index),
            Choice::Wait(after) => {
                return actions.push(Action::SetTimer { token: TimerToken(id.0 | RETRY_TIMER_BIT), after });
            }
            Choice::Reject => return self.end(id, actions),
        };
        // Uses only a share of the time left, so that another box can still be tried.
        let timeout = Some(time_left * self.pick.attempt_time_share())
            .filter(|t| *t > event_interval)
            .or(Some(time_left));
        actions.push(Action::Send { request: id, server: self.boxes.id(number).clone(), timeout });
        self.boxes.attempt_sent(number);
        if let Some(state) = self.requests.get_mut(&id) {
            state.attempts.push(AttemptState { sent_at: now, may_have_run: None });
            state.box_numbers.push(number);
        }
    }

    /// Ends a request: fails it if an attempt may have been executed and the class is unknown or has the
    /// effect `NonIdempotent`, or else rejects it.
    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(state) = self.requests.get(&id) else { return };
        let ran = state.attempts.iter().any(|t| t.may_have_run != Some(false));
        let unsafe_class = self.class(state).is_none_or(|c| c.effect == Effect::NonIdempotent);
        if ran && unsafe_class {
            actions.push(Action::Fail(id));
        } else {
            actions.push(Action::Reject { request: id, retry_after: None });
        }
        self.remove(id);
    }

    /// Registers a new request, sets the timer for its deadline and routes it.
    fn request(&mut self, now: Seconds, new: NewRequest, world: &dyn WorldView, actions: &mut Vec<Action>) {
        let class = new.class.map_or(0, |c| c.0);
        let key = new.key.unwrap_or(Key(new.id.0));
        let deadline = now + new.time_left;
        let state = RequestState {
            arrived_at: now,
            class,
            key,
            write: new.write,
            deadline,
            attempts: Vec::new(),
            box_numbers: Vec::new(),
        };
        self.requests.insert(new.id, state);
        let after = (new.time_left - 2.0 * self.settings.event_interval).max(0.0);
        actions.push(Action::SetTimer { token: TimerToken(new.id.0), after });
        self.route(now, new.id, world, actions);
    }

    /// Handles the outcome of an attempt; routes the request again unless it is finished.
    fn outcome(&mut self, now: Seconds, outcome: &Outcome, world: &dyn WorldView, actions: &mut Vec<Action>) {
        // The attempts of an ended request are no longer counted.
        let Some(number) = self.record_end(outcome.request, outcome.attempt, outcome.status) else { return };
        self.boxes.attempt_ended(number);
        match outcome.status {
            Status::Success => self.boxes.attempt_succeeded(number),
            Status::Unreachable | Status::TimedOut | Status::Broken => self.boxes.attempt_failed(number, now),
            _ => {}
        }
        if outcome.finished {
            self.remove(outcome.request);
        } else {
            self.route(now, outcome.request, world, actions);
        }
    }

    /// Records the end of an attempt in flight and returns the number of its box.
    fn record_end(&mut self, request: RequestId, attempt: AttemptId, status: Status) -> Option<usize> {
        let state = self.requests.get_mut(&request)?;
        let attempt_state =
            state.attempts.get_mut(attempt.0 as usize).filter(|t| t.may_have_run.is_none())?;
        attempt_state.may_have_run = Some(status.may_have_run());
        state.box_numbers.get(attempt.0 as usize).copied()
    }

    /// Removes a request and stops counting its attempts in flight; their later outcomes are ignored.
    fn remove(&mut self, id: RequestId) {
        let Some(state) = self.requests.remove(&id) else { return };
        let in_flight =
            state.attempts.iter().zip(&state.box_numbers).filter(|(t, _)| t.may_have_run.is_none());
        in_flight.for_each(|(_, number)| self.boxes.attempt_ended(*number));
    }
}

impl<P: Pick> Policy for Textbook<P> {
    fn handle(&mut self, now: Seconds, event: Event, world: &dyn WorldView, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(update) => {
                if self.boxes.apply_update(update, world) {
                    self.pick.list_changed(self.boxes.view(now, &[], world));
                }
            }
            Event::Request(new) => self.request(now, new, world, actions),
            Event::Outcome(outcome) => self.outcome(now, &outcome, world, actions),
            Event::Timer(TimerToken(token)) if token & RETRY_TIMER_BIT != 0 => {
                self.route(now, RequestId(token & !RETRY_TIMER_BIT), world, actions);
            }
            // The request's deadline is at most two event intervals away.
            Event::Timer(TimerToken(id)) => self.end(RequestId(id), actions),
            Event::ClientLeft(id) => self.remove(id),
            Event::StreamStarted { .. }
            | Event::HealthChecked { .. }
            | Event::Fleet(_)
            | Event::Message { .. } => {}
        }
    }
}

#[cfg(test)]
mod tests;

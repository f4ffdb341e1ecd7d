//! The life of a request that all textbook policies share.

use hallpin_balancer::{
    Action, AttemptId, Class, Effect, Event, Key, NewRequest, Outcome, RequestId, Seconds, Settings,
    SettingsError, Status, TimerToken,
};
use hallpin_simulation::policy::{Policy, Sight};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::boxes::Boxes;
use crate::pick::{Choice, Pick, Wanted};

/// Marks the timer of a request that waits for a box; ids of requests do not reach so far.
const LOOK_AGAIN: u64 = 1 << 63;

/// An attempt.
#[derive(Clone, Copy)]
struct Tried {
    sent: Seconds,
    /// It may have run; `None` while it is out.
    ran: Option<bool>,
}

struct Live {
    since: Seconds,
    class: usize,
    key: Key,
    write: bool,
    deadline: Seconds,
    tried: Vec<Tried>,
    /// The numbers of the boxes that its attempts went to.
    at: Vec<usize>,
}

/// A textbook policy: picks a box, and another one where that fails.
pub struct Textbook<P> {
    pick: P,
    settings: Settings,
    random: Pcg64Mcg,
    boxes: Boxes,
    requests: FxHashMap<RequestId, Live>,
}

impl<P: Pick> Textbook<P> {
    /// A node that has just come up.
    ///
    /// # Errors
    /// Where the settings make no sense.
    pub fn new(pick: P, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        let random = Pcg64Mcg::seed_from_u64(seed);
        Ok(Textbook { pick, settings, random, boxes: Boxes::default(), requests: FxHashMap::default() })
    }

    fn class(&self, live: &Live) -> Option<&Class> {
        self.settings.classes.get(live.class)
    }

    /// Sends a request on, or ends it.
    fn place(&mut self, now: Seconds, id: RequestId, world: &dyn Sight, actions: &mut Vec<Action>) {
        let Some(live) = self.requests.get(&id) else { return };
        let (Some(class), round) = (self.class(live), self.settings.event_interval) else { return };
        let ran = live.tried.iter().filter(|t| t.ran != Some(false)).map(|t| t.sent);
        let first = ran.fold(f64::INFINITY, f64::min);
        let may = match class.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => now + round < first + class.deduplication_window,
            Effect::NonIdempotent => first.is_infinite(),
        };
        let left = live.deadline - now - 2.0 * round;
        let more = live.tried.len() < self.settings.limits.max_attempts as usize;
        let wanted = Wanted { id, key: live.key, write: live.write, left, age: now - live.since };
        let view = self.boxes.view(now, &live.at, world);
        let choice = if may && more && left > 0.0 {
            self.pick.pick(wanted, view, &mut self.random)
        } else {
            Choice::Refuse
        };
        let number = match choice {
            Choice::Send(index) => view.number(index),
            Choice::Wait(after) => {
                return actions.push(Action::SetTimer { token: TimerToken(id.0 | LOOK_AGAIN), after });
            }
            Choice::Refuse => return self.end(id, actions),
        };
        // Not for all of the time that is left, so that another can still be tried.
        let timeout = Some(left * self.pick.patience()).filter(|t| *t > round).or(Some(left));
        actions.push(Action::Send { request: id, server: self.boxes.id(number).clone(), timeout });
        self.boxes.sent(number);
        if let Some(live) = self.requests.get_mut(&id) {
            live.tried.push(Tried { sent: now, ran: None });
            live.at.push(number);
        }
    }

    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.requests.get(&id) else { return };
        let ran = live.tried.iter().any(|t| t.ran != Some(false));
        let unsafe_class = self.class(live).is_none_or(|c| c.effect == Effect::NonIdempotent);
        if ran && unsafe_class {
            actions.push(Action::Fail(id));
        } else {
            actions.push(Action::Reject { request: id, retry_after: None });
        }
        self.forget(id);
    }

    fn request(&mut self, now: Seconds, new: NewRequest, world: &dyn Sight, actions: &mut Vec<Action>) {
        let class = new.class.map_or(0, |c| c.0);
        let key = new.key.unwrap_or(Key(new.id.0));
        let deadline = now + new.time_left;
        let live =
            Live { since: now, class, key, write: new.write, deadline, tried: Vec::new(), at: Vec::new() };
        self.requests.insert(new.id, live);
        let after = (new.time_left - 2.0 * self.settings.event_interval).max(0.0);
        actions.push(Action::SetTimer { token: TimerToken(new.id.0), after });
        self.place(now, new.id, world, actions);
    }

    fn outcome(&mut self, now: Seconds, outcome: &Outcome, world: &dyn Sight, actions: &mut Vec<Action>) {
        // Of a request that has ended, the attempts are counted no more.
        let Some(number) = self.ended(outcome.request, outcome.attempt, outcome.status) else { return };
        self.boxes.left(number);
        match outcome.status {
            Status::Success => self.boxes.answered(number),
            Status::Unreachable | Status::TimedOut | Status::Broken => self.boxes.failed(number, now),
            _ => {}
        }
        if outcome.finished {
            self.forget(outcome.request);
        } else {
            self.place(now, outcome.request, world, actions);
        }
    }

    /// Notes how an attempt that was out ended, and says where it had gone.
    fn ended(&mut self, request: RequestId, attempt: AttemptId, status: Status) -> Option<usize> {
        let live = self.requests.get_mut(&request)?;
        let tried = live.tried.get_mut(attempt.0 as usize).filter(|t| t.ran.is_none())?;
        tried.ran = Some(status.may_have_run());
        live.at.get(attempt.0 as usize).copied()
    }

    /// Attempts that nobody waits for are not counted any more; their outcomes find no request.
    fn forget(&mut self, id: RequestId) {
        let Some(live) = self.requests.remove(&id) else { return };
        let out = live.tried.iter().zip(&live.at).filter(|(t, _)| t.ran.is_none());
        out.for_each(|(_, number)| self.boxes.left(*number));
    }
}

impl<P: Pick> Policy for Textbook<P> {
    fn handle(&mut self, now: Seconds, event: Event, world: &dyn Sight, actions: &mut Vec<Action>) {
        match event {
            Event::Endpoints(news) => {
                if self.boxes.listed(news, world) {
                    self.pick.listed(self.boxes.view(now, &[], world));
                }
            }
            Event::Request(new) => self.request(now, new, world, actions),
            Event::Outcome(outcome) => self.outcome(now, &outcome, world, actions),
            Event::Timer(TimerToken(token)) if token & LOOK_AGAIN != 0 => {
                self.place(now, RequestId(token & !LOOK_AGAIN), world, actions);
            }
            // Its time is nearly up.
            Event::Timer(TimerToken(id)) => self.end(RequestId(id), actions),
            // Nobody waits.
            Event::ClientLeft(id) => self.forget(id),
            Event::StreamStarted { .. }
            | Event::HealthChecked { .. }
            | Event::Fleet(_)
            | Event::Message { .. } => {}
        }
    }
}

#[cfg(test)]
mod tests;

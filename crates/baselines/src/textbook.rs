//! The life of a request that all textbook policies share.

use std::collections::BTreeMap;

use hallpin_decisions::{
    Action, AttemptId, Class, Effect, Event, Key, NewRequest, Outcome, RequestId, RosterEntry, RosterNews,
    Seconds, ServerId, ServerState, Settings, SettingsError, Status, TimerToken,
};
use hallpin_model::policy::{Policy, TrueBox};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustc_hash::FxHashMap;

use crate::pick::{Candidate, Pick};

/// Failures in a row after which a box is left alone, and for how long.
const FAILURES: u32 = 3;
const ALONE: Seconds = 5.0;

struct Live {
    class: usize,
    key: Key,
    deadline: Seconds,
    /// Where its attempts went, when, and whether each may have run; `None` while it is out.
    tried: Vec<(ServerId, Seconds, Option<bool>)>,
}

#[derive(Default)]
struct Listed {
    entry: RosterEntry,
    in_flight: u32,
    failures: u32,
    alone_until: Seconds,
}

/// A textbook policy: picks a box, and another one where that fails.
pub struct Textbook<P> {
    pick: P,
    settings: Settings,
    random: Pcg64Mcg,
    listed: BTreeMap<ServerId, Listed>,
    ready: Vec<ServerId>,
    truth: FxHashMap<ServerId, TrueBox>,
    requests: FxHashMap<RequestId, Live>,
}

impl<P: Pick> Textbook<P> {
    /// A node that has just come up.
    ///
    /// # Errors
    /// Where the settings make no sense.
    pub fn new(pick: P, settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Textbook {
            pick,
            settings,
            random: Pcg64Mcg::seed_from_u64(seed),
            listed: BTreeMap::new(),
            ready: Vec::new(),
            truth: FxHashMap::default(),
            requests: FxHashMap::default(),
        })
    }

    fn roster(&mut self, news: RosterNews) {
        let (whole, entries) = match news {
            RosterNews::Failed => return,
            RosterNews::Cached(entries) | RosterNews::Full(entries) => (true, entries),
            RosterNews::Delta(entries) => (false, entries),
        };
        if whole {
            self.listed.values_mut().for_each(|l| l.entry.state = ServerState::Gone);
        }
        for entry in entries {
            let listed = self.listed.entry(entry.server.clone()).or_default();
            listed.entry = entry;
        }
        self.listed.retain(|_, l| l.entry.state != ServerState::Gone || l.in_flight > 0);
        let ready = self.listed.iter().filter(|(_, l)| l.entry.state == ServerState::Ready);
        self.ready = ready.map(|(id, _)| id.clone()).collect();
        let candidates = self.candidates(0.0, &[]);
        self.pick.listed(&candidates);
    }

    fn candidates(&self, now: Seconds, tried: &[(ServerId, Seconds, Option<bool>)]) -> Vec<Candidate> {
        let candidate = |id: &ServerId| {
            let listed = &self.listed[id];
            Candidate {
                server: id.clone(),
                weight: listed.entry.weight,
                in_flight: listed.in_flight,
                open: now >= listed.alone_until && !tried.iter().any(|(server, ..)| server == id),
                truth: self.truth.get(id).cloned(),
            }
        };
        self.ready.iter().map(candidate).collect()
    }

    fn class(&self, live: &Live) -> Option<&Class> {
        self.settings.classes.get(live.class)
    }

    /// Sends a request on, or ends it.
    fn place(&mut self, now: Seconds, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.requests.get(&id) else { return };
        let (Some(class), round) = (self.class(live), self.settings.round) else { return };
        let ran = live.tried.iter().filter(|(.., ran)| *ran != Some(false)).map(|(_, sent, _)| *sent);
        let first = ran.fold(f64::INFINITY, f64::min);
        let may = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => now + round < first + class.window,
            Effect::Unsafe => first.is_infinite(),
        };
        let left = live.deadline - now - 2.0 * round;
        let more = live.tried.len() < self.settings.limits.max_attempts as usize;
        let (key, candidates) = (live.key, self.candidates(now, &live.tried));
        let picked =
            if may && more && left > 0.0 { self.pick.pick(key, &candidates, &mut self.random) } else { None };
        let Some(picked) = picked else { return self.end(id, actions) };
        let server = candidates[picked].server.clone();
        // Waits for half of the time that is left, so that another can still be tried.
        let timeout = Some(left / 2.0).filter(|t| *t > round).or(Some(left));
        actions.push(Action::Send { request: id, server: server.clone(), timeout });
        if let Some(listed) = self.listed.get_mut(&server) {
            listed.in_flight += 1;
        }
        if let Some(live) = self.requests.get_mut(&id) {
            live.tried.push((server, now, None));
        }
    }

    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(live) = self.requests.get(&id) else { return };
        let ran = live.tried.iter().any(|(.., ran)| *ran != Some(false));
        let unsafe_class = self.class(live).is_none_or(|c| c.effect == Effect::Unsafe);
        if ran && unsafe_class {
            actions.push(Action::Fail(id));
        } else {
            actions.push(Action::Refuse { request: id, retry_after: None });
        }
        self.requests.remove(&id);
    }

    fn request(&mut self, now: Seconds, new: NewRequest, actions: &mut Vec<Action>) {
        let class = new.class.map_or(0, |c| c.0);
        let key = new.key.unwrap_or(Key(new.id.0));
        let deadline = now + new.left;
        self.requests.insert(new.id, Live { class, key, deadline, tried: Vec::new() });
        let after = (new.left - 2.0 * self.settings.round).max(0.0);
        actions.push(Action::SetTimer { token: TimerToken(new.id.0), after });
        self.place(now, new.id, actions);
    }

    fn outcome(
        &mut self,
        now: Seconds,
        outcome: Outcome,
        server: Option<ServerId>,
        actions: &mut Vec<Action>,
    ) {
        if let Some(listed) = server.and_then(|server| self.listed.get_mut(&server)) {
            listed.in_flight = listed.in_flight.saturating_sub(1);
            match outcome.status {
                Status::Success => listed.failures = 0,
                Status::Unreachable | Status::TimedOut | Status::Broken => listed.failures += 1,
                _ => {}
            }
            if listed.failures >= FAILURES {
                (listed.failures, listed.alone_until) = (0, now + ALONE);
            }
        }
        if outcome.finished {
            self.requests.remove(&outcome.request);
        } else {
            self.place(now, outcome.request, actions);
        }
    }

    /// Notes how an attempt ended, and says where it had gone.
    fn ended(&mut self, request: RequestId, attempt: AttemptId, status: Status) -> Option<ServerId> {
        let live = self.requests.get_mut(&request)?;
        let tried = live.tried.get_mut(attempt.0 as usize)?;
        tried.2 = Some(status.may_have_run());
        Some(tried.0.clone())
    }
}

impl<P: Pick> Policy for Textbook<P> {
    fn handle(&mut self, now: Seconds, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Roster(news) => self.roster(news),
            Event::Request(new) => self.request(now, new, actions),
            Event::Outcome(outcome) => {
                let server = self.ended(outcome.request, outcome.attempt, outcome.status);
                self.outcome(now, outcome, server, actions);
            }
            // Its time is nearly up, or nobody waits.
            Event::Timer(TimerToken(id)) => {
                let out = self.requests.get(&RequestId(id)).map(|live| live.tried.clone());
                self.free(out);
                self.end(RequestId(id), actions);
            }
            Event::Withdrawn(id) => {
                let out = self.requests.remove(&id).map(|live| live.tried);
                self.free(out);
            }
            Event::StreamStarted { .. } | Event::Probed { .. } | Event::Message { .. } => {}
        }
    }

    fn is_omniscient(&self) -> bool {
        self.pick.is_omniscient()
    }

    fn see(&mut self, boxes: Vec<TrueBox>) {
        self.truth = boxes.into_iter().map(|b| (b.server.clone(), b)).collect();
    }
}

impl<P> Textbook<P> {
    /// Attempts that nobody waits for are not counted any more; their outcomes find no request.
    fn free(&mut self, tried: Option<Vec<(ServerId, Seconds, Option<bool>)>>) {
        for (server, _, _) in tried.into_iter().flatten().filter(|(.., ran)| ran.is_none()) {
            if let Some(listed) = self.listed.get_mut(&server) {
                listed.in_flight = listed.in_flight.saturating_sub(1);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::Kind;

    fn settings() -> Settings {
        let day = hallpin_model::scenario::Scenario::default().draw(1).unwrap();
        Settings::from_json(&day.settings(0)).unwrap()
    }

    fn fleet(n: usize) -> Vec<RosterEntry> {
        let entry = |i| RosterEntry {
            server: ServerId(format!("b{i:02}").into()),
            state: ServerState::Ready,
            weight: 1.0 + (i % 2) as f64,
            ..RosterEntry::default()
        };
        (0..n).map(entry).collect()
    }

    fn homes(kind: Kind, n: usize) -> Vec<ServerId> {
        let mut policy = kind.start(settings(), 1).unwrap();
        let mut actions = Vec::new();
        policy.handle(0.0, Event::Roster(RosterNews::Full(fleet(n))), &mut actions);
        let home = |key: u64| {
            let id = RequestId(key + 1);
            let new = NewRequest {
                id,
                left: 1.0,
                class: Some(hallpin_decisions::ClassId(0)),
                tenant: None,
                key: Some(Key(key)),
                write: false,
                work: None,
            };
            let mut actions = Vec::new();
            policy.handle(0.1, Event::Request(new), &mut actions);
            let to = actions.iter().find_map(|a| match a {
                Action::Send { server, .. } => Some(server.clone()),
                _ => None,
            });
            policy.handle(0.1, Event::Withdrawn(id), &mut actions);
            to.expect("a box")
        };
        (0..2000).map(home).collect()
    }

    /// Placing policies follow the weights, and move few keys when a box joins.
    #[test]
    fn placements_follow_weights_and_move_little() {
        for (kind, most_moved) in [(Kind::Rendezvous, 0.18), (Kind::BoundedLoad, 0.2), (Kind::Maglev, 0.25)] {
            let (before, after) = (homes(kind, 10), homes(kind, 11));
            let heavy = before.iter().filter(|s| s.0[1..].parse::<usize>().unwrap() % 2 == 1).count();
            let share = heavy as f64 / before.len() as f64;
            assert!((0.6..0.74).contains(&share), "{kind:?}: {share} of two thirds");
            let moved =
                before.iter().zip(&after).filter(|(a, b)| a != b).count() as f64 / before.len() as f64;
            assert!(moved < most_moved, "{kind:?}: {moved} moved, a sixteenth is due");
        }
    }

    #[test]
    fn all_keep_a_request_alive_through_a_failure_and_end_it_once() {
        for kind in [Kind::Random, Kind::LeastOfTwo, Kind::Rendezvous, Kind::BoundedLoad, Kind::Maglev] {
            let mut policy = kind.start(settings(), 1).unwrap();
            let mut actions = Vec::new();
            policy.handle(0.0, Event::Roster(RosterNews::Full(fleet(5))), &mut actions);
            let new = NewRequest {
                id: RequestId(1),
                left: 1.0,
                class: Some(hallpin_decisions::ClassId(0)),
                tenant: None,
                key: Some(Key(1)),
                write: false,
                work: None,
            };
            policy.handle(0.0, Event::Request(new), &mut actions);
            for attempt in 0..3 {
                let failed = Outcome {
                    request: RequestId(1),
                    attempt: AttemptId(attempt),
                    status: Status::Broken,
                    elapsed: 0.01,
                    finished: false,
                    note: None,
                };
                policy.handle(0.01, Event::Outcome(failed), &mut actions);
            }
            let sends: Vec<&ServerId> = actions
                .iter()
                .filter_map(|a| match a {
                    Action::Send { server, .. } => Some(server),
                    _ => None,
                })
                .collect();
            assert_eq!(sends.len(), 3, "{kind:?}");
            assert!(sends[0] != sends[1] && sends[1] != sends[2] && sends[0] != sends[2], "{kind:?}");
            let ends =
                actions.iter().filter(|a| matches!(a, Action::Refuse { .. } | Action::Fail(_))).count();
            assert_eq!(ends, 1, "{kind:?}");
        }
    }
}

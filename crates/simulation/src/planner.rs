//! The planner: one slow origin of fixed capacity, which all boxes share. It has the current version of every key, and
//! does not cancel work whose caller stopped waiting.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use rustc_hash::FxHashMap;

use crate::policy::TruePlanner;
use crate::random::{RandomStream, Spread};
use crate::store::KeyId;
use crate::time::{Span, Time};

/// Fixed properties of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerSpec {
    /// Most calls in progress at once.
    pub places: u32,
    /// Mean duration of a fetch.
    pub time: Span,
    /// Standard deviation of the duration, as a share of the mean.
    pub cv: f64,
    /// Work of a write, as a multiple of the work of a fetch.
    pub write_times: f64,
    /// Longest expected wait; calls that would wait longer fail at once.
    pub queue: Span,
    /// Relative growth of the work of a call for each waiting call per place.
    pub thrash: f64,
    /// Load at which the planner stops, as a multiple of its capacity; 0 for no limit.
    pub fall_multiple: f64,
    /// Window over which the load is averaged for `fall_multiple`.
    pub fall_for: Span,
    /// Time that the planner stays down after it stopped.
    pub down_for: Span,
    /// Most stops by overload in a scenario.
    pub stops: u32,
    /// Time for which repeats of a write with the same idempotency key are dropped.
    pub repeat_window: Span,
}

impl PlannerSpec {
    /// Capacity, in fetches per second.
    pub fn capacity(&self) -> f64 {
        f64::from(self.places) / self.time.as_secs().max(1e-6)
    }
}

/// A call from a box to the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannerCall {
    /// Identifies the call; returned with the answer.
    pub id: u64,
    /// Key to read or write.
    pub key: KeyId,
    /// For a write: its idempotency key, if it has one. `None` for a read.
    pub write: Option<Option<u64>>,
}

/// A notification from the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlannerNotification {
    /// The answer to a call.
    Done {
        /// Id of the call.
        id: u64,
        /// Key of the call.
        key: KeyId,
        /// Version of the key, or `None` if the call failed.
        version: Option<u64>,
        /// Whether the call changed the key.
        wrote: bool,
    },
    /// The planner stopped, by overload or an incident: it dropped all calls and answers none until it resumes.
    Stopped,
    /// The planner works again.
    Resumed,
}

/// The planner.
pub struct Planner {
    spec: PlannerSpec,
    rng: RandomStream,
    versions: FxHashMap<KeyId, u64>,
    /// Time at which a write was last carried out, by its idempotency key.
    applied_writes: FxHashMap<u64, Time>,
    /// The same writes, oldest first, to expire them.
    applied_order: VecDeque<(Time, u64)>,
    waiting: VecDeque<PlannerCall>,
    in_progress: FxHashMap<u64, PlannerCall>,
    /// Completion times of the calls in progress.
    completions: BinaryHeap<Reverse<(Time, u64)>>,
    last_sequence: u64,
    /// Times and work of the calls within the last `fall_for`, in units of a fetch.
    recent_work: VecDeque<(Time, f64)>,
    recent_work_sum: f64,
    down_until: Option<Time>,
    stop_count: u32,
    /// Factor by which incidents slow the planner; 1 without any.
    slowness: f64,
    /// Number of incidents that silence the planner now.
    active_silences: u32,
    /// Writes carried out, without repeats.
    writes: u64,
}

impl Planner {
    /// A planner that just started, with every key at version 0.
    pub fn new(spec: PlannerSpec, rng: RandomStream) -> Self {
        Planner {
            spec,
            rng,
            versions: FxHashMap::default(),
            applied_writes: FxHashMap::default(),
            applied_order: VecDeque::new(),
            waiting: VecDeque::new(),
            in_progress: FxHashMap::default(),
            completions: BinaryHeap::new(),
            last_sequence: 0,
            recent_work: VecDeque::new(),
            recent_work_sum: 0.0,
            down_until: None,
            stop_count: 0,
            slowness: 1.0,
            active_silences: 0,
            writes: 0,
        }
    }

    /// Current version of a key; copies of another version are stale.
    pub fn version(&self, key: KeyId) -> u64 {
        self.versions.get(&key).copied().unwrap_or(0)
    }

    /// Changes a key without a call.
    pub fn change(&mut self, key: KeyId) {
        *self.versions.entry(key).or_default() += 1;
    }

    /// Writes carried out so far, without repeats.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// Whether the planner is down, by overload or an incident, and answers no calls.
    pub fn is_down(&self) -> bool {
        self.down_until.is_some() || self.active_silences > 0
    }

    /// The actual state, for policies with perfect information. Waiting calls go before a new one.
    pub fn actual_state(&self) -> TruePlanner {
        let time = self.spec.time.as_secs() * self.slowness;
        let places = f64::from(self.spec.places.max(1));
        let ahead = self.waiting.len() as f64 / places;
        let load = (self.waiting.len() + self.in_progress.len()) as f64 / places;
        TruePlanner { up: !self.is_down(), expected_wait: time * (1.0 + ahead), load }
    }

    /// Whether the planner is down by overload.
    pub fn is_overloaded(&self) -> bool {
        self.down_until.is_some()
    }

    /// Multiplies the slowdown by `factor`; an incident that ends passes the inverse.
    pub fn slow_by(&mut self, factor: f64) {
        self.slowness *= factor;
    }

    /// Begins or ends an incident in which the planner does not answer; calls held when it goes down are
    /// lost.
    pub fn silence(&mut self, now: Time, silent: bool, notifications: &mut Vec<PlannerNotification>) {
        let was_down = self.is_down();
        self.active_silences =
            if silent { self.active_silences + 1 } else { self.active_silences.saturating_sub(1) };
        if silent && !was_down {
            self.drop_calls();
            notifications.push(PlannerNotification::Stopped);
        } else if was_down && !self.is_down() {
            notifications.push(PlannerNotification::Resumed);
            self.start_waiting(now);
        }
    }

    /// Drops all calls without an answer.
    fn drop_calls(&mut self) {
        self.waiting.clear();
        self.in_progress.clear();
        self.completions.clear();
    }

    /// Handles a call; it is lost while the planner is down, and fails at once if the queue is too long.
    pub fn call(&mut self, now: Time, ask: PlannerCall, notifications: &mut Vec<PlannerNotification>) {
        let work = if ask.write.is_some() { self.spec.write_times } else { 1.0 };
        self.record_load(now, work, notifications);
        if self.is_down() {
            // The call is lost without an answer.
            return;
        }
        let expected_wait_s = self.waiting.len() as f64 / self.spec.capacity();
        if expected_wait_s > self.spec.queue.as_secs() {
            notifications.push(PlannerNotification::Done {
                id: ask.id,
                key: ask.key,
                version: None,
                wrote: false,
            });
            return;
        }
        self.waiting.push_back(ask);
        self.start_waiting(now);
    }

    /// Counts the work of a call, and stops the planner if the work within the window exceeds the limit.
    fn record_load(&mut self, now: Time, work: f64, notifications: &mut Vec<PlannerNotification>) {
        if self.spec.fall_multiple <= 0.0 {
            return;
        }
        self.recent_work.push_back((now, work));
        self.recent_work_sum += work;
        while self.recent_work.front().is_some_and(|(at, _)| now.since(*at) > self.spec.fall_for) {
            self.recent_work_sum -= self.recent_work.pop_front().map_or(0.0, |(_, work)| work);
        }
        let limit = self.spec.fall_multiple * self.spec.capacity() * self.spec.fall_for.as_secs();
        if self.recent_work_sum > limit && !self.is_down() && self.stop_count < self.spec.stops {
            self.stop_count += 1;
            self.down_until = Some(now + self.spec.down_for);
            self.drop_calls();
            notifications.push(PlannerNotification::Stopped);
        }
    }

    /// Starts waiting calls while places are free.
    fn start_waiting(&mut self, now: Time) {
        while !self.is_down() && self.in_progress.len() < self.spec.places as usize {
            let Some(ask) = self.waiting.pop_front() else { return };
            let waiting_per_place = self.waiting.len() as f64 / f64::from(self.spec.places.max(1));
            let work = if ask.write.is_some() { self.spec.write_times } else { 1.0 };
            let mean = self.spec.time.as_secs()
                * work
                * self.slowness
                * (1.0 + self.spec.thrash * waiting_per_place);
            let duration = Span::from_secs(self.rng.spread(Spread::LogNormal, mean, self.spec.cv));
            self.last_sequence += 1;
            self.in_progress.insert(self.last_sequence, ask);
            self.completions.push(Reverse((now + duration, self.last_sequence)));
        }
    }

    /// Time at which the planner next needs a call of `wake`, if any.
    pub fn next_wake(&self) -> Option<Time> {
        self.down_until.or_else(|| self.completions.peek().map(|Reverse((at, _))| *at))
    }

    /// Handles everything that is due by now: the end of an overload stop, and completed calls.
    pub fn wake(&mut self, now: Time, notifications: &mut Vec<PlannerNotification>) {
        if self.down_until.is_some_and(|at| at <= now) {
            self.down_until = None;
            if !self.is_down() {
                notifications.push(PlannerNotification::Resumed);
            }
        }
        while let Some(Reverse((at, sequence))) =
            self.completions.peek().copied().filter(|Reverse((at, _))| *at <= now)
        {
            self.completions.pop();
            if let Some(ask) = self.in_progress.remove(&sequence) {
                let wrote =
                    ask.write.is_some_and(|idempotency_key| self.apply_write(at, ask.key, idempotency_key));
                let version = Some(self.version(ask.key));
                notifications.push(PlannerNotification::Done { id: ask.id, key: ask.key, version, wrote });
            }
        }
        self.start_waiting(now);
    }

    /// Carries out a write, unless it repeats an idempotency key within the window; returns whether the key changed.
    fn apply_write(&mut self, now: Time, key: KeyId, idempotency_key: Option<u64>) -> bool {
        while let Some((at, old)) = self.applied_order.front().copied() {
            if now.since(at) < self.spec.repeat_window {
                break;
            }
            self.applied_order.pop_front();
            if self.applied_writes.get(&old) == Some(&at) {
                self.applied_writes.remove(&old);
            }
        }
        if let Some(idempotency_key) = idempotency_key {
            if self.applied_writes.contains_key(&idempotency_key) {
                return false;
            }
            self.applied_writes.insert(idempotency_key, now);
            self.applied_order.push_back((now, idempotency_key));
        }
        self.writes += 1;
        self.change(key);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec() -> PlannerSpec {
        PlannerSpec {
            places: 2,
            time: Span::from_millis(100),
            cv: 0.0,
            write_times: 2.0,
            queue: Span::from_millis(1000),
            thrash: 0.0,
            fall_multiple: 2.5,
            fall_for: Span::from_millis(3000),
            down_for: Span::from_millis(5000),
            stops: 2,
            repeat_window: Span::from_millis(1200),
        }
    }

    fn planner(spec: PlannerSpec) -> Planner {
        Planner::new(spec, RandomStream::new(1, "planner"))
    }

    fn read(id: u64) -> PlannerCall {
        PlannerCall { id, key: 7, write: None }
    }

    fn run(planner: &mut Planner, until: Time) -> Vec<(Time, PlannerNotification)> {
        let mut all = Vec::new();
        while let Some(at) = planner.next_wake().filter(|at| *at <= until) {
            let mut notifications = Vec::new();
            planner.wake(at, &mut notifications);
            all.extend(notifications.into_iter().map(|notification| (at, notification)));
        }
        all
    }

    #[test]
    fn places_bound_the_concurrent_calls() {
        let (mut planner, mut notifications) = (planner(spec()), Vec::new());
        for id in 0..4 {
            planner.call(Time(0), read(id), &mut notifications);
        }
        assert!(notifications.is_empty());
        let ends: Vec<u64> = run(&mut planner, Time(1_000_000)).iter().map(|(at, _)| at.0).collect();
        assert_eq!(ends, [100_000, 100_000, 200_000, 200_000]);
    }

    #[test]
    fn a_repeat_of_a_keyed_write_within_the_window_changes_nothing() {
        let (mut planner, mut notifications) = (planner(spec()), Vec::new());
        let write = |id| PlannerCall { id, key: 7, write: Some(Some(5)) };
        planner.call(Time(0), write(1), &mut notifications);
        run(&mut planner, Time(250_000));
        planner.call(Time(250_000), write(2), &mut notifications);
        let second = run(&mut planner, Time(600_000));
        assert!(
            matches!(second[..], [(_, PlannerNotification::Done { wrote: false, version: Some(1), .. })]),
            "{second:?}"
        );
        // The window counts from the time of the write; after it, the same idempotency key is a new write.
        planner.call(Time(1_500_000), write(3), &mut notifications);
        let third = run(&mut planner, Time(2_000_000));
        assert!(
            matches!(third[..], [(_, PlannerNotification::Done { wrote: true, version: Some(2), .. })]),
            "{third:?}"
        );
        assert_eq!(planner.writes(), 2);
    }

    #[test]
    fn an_overload_stops_the_planner_and_drops_its_calls_at_most_twice() {
        let (mut planner, mut notifications) = (planner(spec()), Vec::new());
        // The limit is 2.5 x 20 calls/s x 3 s = 150 calls: the 151st within the window stops the planner.
        for id in 0..150 {
            planner.call(Time(id * 1000), read(id), &mut notifications);
        }
        assert!(!planner.is_down());
        planner.call(Time(150_000), read(150), &mut notifications);
        assert!(planner.is_down() && notifications.contains(&PlannerNotification::Stopped));
        let later = run(&mut planner, Time(10_000_000));
        assert_eq!(later, [(Time(5_150_000), PlannerNotification::Resumed)]);
        for start_us in [20_000_000, 40_000_000] {
            for id in 0..151 {
                planner.call(Time(start_us + id), read(id), &mut notifications);
            }
            run(&mut planner, Time(start_us + 10_000_000));
        }
        assert_eq!(
            notifications
                .iter()
                .filter(|notification| **notification == PlannerNotification::Stopped)
                .count(),
            2
        );
    }

    #[test]
    fn a_queue_that_is_too_long_fails_calls_at_once() {
        let (mut planner, mut notifications) =
            (planner(PlannerSpec { fall_multiple: 0.0, ..spec() }), Vec::new());
        for id in 0..40 {
            planner.call(Time(0), read(id), &mut notifications);
        }
        // 2 calls are in progress and 21 wait; the wait for a further call would be over 1 s.
        assert_eq!(notifications.len(), 40 - 23);
        assert!(notifications
            .iter()
            .all(|notification| matches!(notification, PlannerNotification::Done { version: None, .. })));
    }

    #[test]
    fn after_two_overlapping_silences_it_answers_when_both_have_ended() {
        let (mut planner, mut notifications) = (planner(spec()), Vec::new());
        planner.call(Time(0), read(1), &mut notifications);
        planner.silence(Time(1), true, &mut notifications);
        planner.silence(Time(2), true, &mut notifications);
        planner.silence(Time(3), false, &mut notifications);
        planner.call(Time(4), read(2), &mut notifications);
        assert_eq!((planner.is_down(), &notifications[..]), (true, &[PlannerNotification::Stopped][..]));
        planner.silence(Time(5), false, &mut notifications);
        planner.call(Time(6), read(3), &mut notifications);
        let done = run(&mut planner, Time(1_000_000));
        assert!(
            matches!(done[..], [(_, PlannerNotification::Done { id: 3, .. })]),
            "earlier calls were lost: {done:?}"
        );
    }
}

//! Simulated cache servers: their service times, and the load on the cold ones.

use std::collections::{HashSet, VecDeque};

use hallpin_balancer::*;

use crate::scenario::{Scenario, FIRST_START};

/// Longest queueing time at a server before it rejects requests.
const MAX_QUEUE_TIME: Seconds = 0.3;
/// Time that the origin takes for a key that a server lacks.
const ORIGIN_FETCH_TIME: Seconds = 0.15;

#[derive(Default)]
pub(crate) struct CacheServer {
    pub started: Option<Seconds>,
    busy_until: Seconds,
    cached: HashSet<u64>,
    /// Work of the last window: arrival time, amount, and whether the sender had been notified of the start.
    recent_work: VecDeque<(Seconds, f64, bool)>,
    pub has_failed: bool,
}

/// Measurements at the cold servers, and totals over all requests.
#[derive(Default, Debug)]
pub(crate) struct Measurements {
    /// The largest work within an overload window, as a share of what the server sustained then.
    pub peak_load: f64,
    /// The same for the work from nodes that had been notified of the server's start.
    pub peak_notified_load: f64,
    /// Number of servers that failed.
    pub failed_servers: u64,
    /// Number of failed servers with over two thirds of the work from notified nodes.
    pub overloaded_by_notified: u64,
    /// Work that reached cold servers; at the end of a run, as a share of their capacity.
    pub used_share: f64,
    pub requests: u64,
    pub served: u64,
    pub sends: u64,
    pub misses: u64,
}

impl CacheServer {
    /// Restarts the server with an empty cache.
    pub(crate) fn start(&mut self, now: Seconds) {
        *self = CacheServer { started: Some(now), busy_until: now, ..CacheServer::default() };
    }

    /// Serves a request: the time of its outcome, its status and the cache note.
    pub(crate) fn serve(
        &mut self,
        scenario: &Scenario,
        now: Seconds,
        key: u64,
        work: f64,
        write: bool,
        measurements: &mut Measurements,
    ) -> (Seconds, Status, CacheNote) {
        let speed = scenario.capacity * self.started.map_or(1.0, |at| scenario.capacity_share(now - at));
        let begins_at = self.busy_until.max(now);
        if begins_at > now + MAX_QUEUE_TIME || self.has_failed {
            return (
                now + 0.002,
                if self.has_failed { Status::Unreachable } else { Status::Overloaded },
                CacheNote::Miss,
            );
        }
        self.busy_until = begins_at + work / speed;
        let hit = write || !self.cached.insert(key);
        measurements.misses += u64::from(!hit);
        let note = if hit { CacheNote::Hit } else { CacheNote::Miss };
        // A server has several cores of its speed, so other requests run in parallel.
        (self.busy_until + work + 0.002 + if hit { 0.0 } else { ORIGIN_FETCH_TIME }, Status::Success, note)
    }

    /// Adds work to the window while the server is cold, as the simulation's invariant checker does.
    pub(crate) fn record_load(
        &mut self,
        scenario: &Scenario,
        now: Seconds,
        work: f64,
        sender_notified: bool,
        measurements: &mut Measurements,
    ) {
        let Some(age) =
            self.started.map(|at| now - at).filter(|age| *age < scenario.guarantees.slow_start_duration)
        else {
            return;
        };
        if self.has_failed {
            return;
        }
        self.recent_work.push_back((now, work, sender_notified));
        while self.recent_work.front().is_some_and(|(at, ..)| now - at > scenario.guarantees.overload_window)
        {
            self.recent_work.pop_front();
        }
        measurements.used_share += work;
        let total_work: f64 = self.recent_work.iter().map(|(_, work, _)| work).sum();
        let notified_work: f64 = self
            .recent_work
            .iter()
            .filter(|(.., sender_notified)| *sender_notified)
            .map(|(_, work, _)| work)
            .sum();
        measurements.peak_load = measurements.peak_load.max(total_work / scenario.sustainable_work(age));
        measurements.peak_notified_load =
            measurements.peak_notified_load.max(notified_work / scenario.sustainable_work(age));
        if total_work > scenario.sustainable_work(age) {
            self.has_failed = true;
            measurements.failed_servers += 1;
            measurements.overloaded_by_notified += u64::from(notified_work > total_work * 2.0 / 3.0);
        }
    }
}

pub(crate) fn start_time(index: u64, scenario: &Scenario) -> Option<Seconds> {
    let interval = scenario.starts_within / scenario.cold.max(1) as f64;
    (index < scenario.cold).then_some(FIRST_START + interval * index as f64)
}

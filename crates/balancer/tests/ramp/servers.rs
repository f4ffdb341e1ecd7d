//! Simulated cache servers: their service times, and the load on the cold ones.

use std::collections::{HashSet, VecDeque};

use hallpin_balancer::*;

use crate::site::{Site, START};

/// Longest queueing time at a server before it rejects requests.
const QUEUE: Seconds = 0.3;
/// Time that the origin takes for a key that a server lacks.
const FETCH: Seconds = 0.15;

#[derive(Default)]
pub(crate) struct CacheServer {
    pub started: Option<Seconds>,
    busy: Seconds,
    kept: HashSet<u64>,
    /// Work of the last window: arrival time, amount, and whether the sender had been notified of the start.
    sent: VecDeque<(Seconds, f64, bool)>,
    pub fallen: bool,
}

/// Measurements at the cold servers, and totals over all requests.
#[derive(Default, Debug)]
pub(crate) struct Seen {
    /// The largest work within a window as a share of what the server sustained then; and the same for work
    /// from notified nodes only.
    pub most: f64,
    pub most_informed: f64,
    /// Servers that failed, and those of them with over two thirds of the work from notified nodes.
    pub fallen: u64,
    pub pushed_over: u64,
    /// Work that reached cold servers; at the end of a run, as a share of their capacity.
    pub used: f64,
    pub requests: u64,
    pub served: u64,
    pub sends: u64,
    pub misses: u64,
}

impl CacheServer {
    /// Restarts the server with an empty cache.
    pub(crate) fn start(&mut self, now: Seconds) {
        *self = CacheServer { started: Some(now), busy: now, ..CacheServer::default() };
    }

    /// Serves a request: the time of its outcome, its status and the cache note.
    pub(crate) fn take(
        &mut self,
        site: &Site,
        now: Seconds,
        key: u64,
        work: f64,
        write: bool,
        seen: &mut Seen,
    ) -> (Seconds, Status, CacheNote) {
        let speed = site.capacity * self.started.map_or(1.0, |at| site.warmth(now - at));
        let begins = self.busy.max(now);
        if begins > now + QUEUE || self.fallen {
            return (
                now + 0.002,
                if self.fallen { Status::Unreachable } else { Status::Overloaded },
                CacheNote::Miss,
            );
        }
        self.busy = begins + work / speed;
        let hit = write || !self.kept.insert(key);
        seen.misses += u64::from(!hit);
        let note = if hit { CacheNote::Hit } else { CacheNote::Miss };
        // A server has several cores of its speed, so other requests run in parallel.
        (self.busy + work + 0.002 + if hit { 0.0 } else { FETCH }, Status::Success, note)
    }

    /// Adds work to the window while the server is cold, as the simulation's invariant checker does.
    pub(crate) fn weigh(&mut self, site: &Site, now: Seconds, work: f64, told: bool, seen: &mut Seen) {
        let Some(age) = self.started.map(|at| now - at).filter(|age| *age < site.guarantees.ramp) else {
            return;
        };
        if self.fallen {
            return;
        }
        self.sent.push_back((now, work, told));
        while self.sent.front().is_some_and(|(at, ..)| now - at > site.guarantees.fall_for) {
            self.sent.pop_front();
        }
        seen.used += work;
        let all: f64 = self.sent.iter().map(|(_, work, _)| work).sum();
        let informed: f64 = self.sent.iter().filter(|(.., told)| *told).map(|(_, work, _)| work).sum();
        seen.most = seen.most.max(all / site.bears(age));
        seen.most_informed = seen.most_informed.max(informed / site.bears(age));
        if all > site.bears(age) {
            self.fallen = true;
            seen.fallen += 1;
            seen.pushed_over += u64::from(informed > all * 2.0 / 3.0);
        }
    }
}

pub(crate) fn start_of(index: u64, site: &Site) -> Option<Seconds> {
    let apart = site.starts_within / site.cold.max(1) as f64;
    (index < site.cold).then_some(START + apart * index as f64)
}

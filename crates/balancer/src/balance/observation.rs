//! What an outcome shows about its server, the location of its key and the origin.

use super::hedging::LATE_OBJECTIVE_SHARE;
use super::key_locations::KeyLocation;
use super::latency_estimate::OVERLOAD_OBJECTIVE_SHARE;
use super::state::BalancerState;
use crate::interface::{CacheMode, CacheNote, Key, Outcome, Seconds, ServerId, Status};

/// Weight of a lost connection or a time-out among a server's failures.
const FAILURE_WEIGHT: f64 = 1.0;
/// Weight of an error, or of an attempt that a hedged request overtook.
const PARTIAL_FAILURE_WEIGHT: f64 = 0.5;

/// An attempt that has ended, with what is needed of its request.
pub(super) struct EndedAttempt {
    pub(super) key: Key,
    pub(super) server: ServerId,
    pub(super) write: bool,
    /// The request's work hint.
    pub(super) work: Seconds,
    pub(super) to_origin: bool,
    /// The request's first probe.
    pub(super) first_probe: u64,
    /// The request had ended before this attempt did.
    pub(super) request_ended: bool,
}

/// Facts derived from an outcome and from the state of its server before it.
struct Evidence {
    /// The client left within `LATE_OBJECTIVE_SHARE` of the tightest latency objective: such a time-out is
    /// no sign of a faulty server or origin.
    is_early_timeout: bool,
    /// The server has answered another attempt since this one was sent. Without such an answer, a time-out
    /// may come from a lost zone and does not count as a late fetch.
    server_answered: bool,
    /// The server has warmed up.
    is_warm: bool,
    /// The key was assumed to be cached by the server.
    was_cached: bool,
    /// The attempt's time divided by the time expected.
    slowness: f64,
    /// Attempts in flight at the server, this one included.
    load: f64,
}

impl BalancerState {
    /// Learns from the outcome of an attempt: may readmit or eject its server.
    pub(super) fn observe(&mut self, attempt: &EndedAttempt, outcome: &Outcome) {
        let location = (attempt.key, attempt.server.clone());
        let Some(evidence) = self.evidence(attempt, &location, outcome) else { return };
        self.observe_server(attempt, outcome, &evidence);
        let server = self.servers.get(&attempt.server);
        let was_ejected = server.is_some_and(|server| server.is_ejected());
        if was_ejected && outcome.status == Status::Success {
            return self.readmit(&attempt.server);
        }
        // A failed connection is the server's own fault and does not count towards the fleet's errors: two
        // dead servers of eight do not mean a faulty origin.
        let may_have_run = outcome.status.may_have_run();
        let failed = may_have_run && outcome.status != Status::Success && !evidence.is_early_timeout;
        self.outliers.learn(failed);
        self.eject_if_failing(&attempt.server);
        self.observe_origin(attempt, outcome, &evidence);
        self.observe_location(attempt, location, outcome.status);
    }

    fn evidence(
        &self,
        attempt: &EndedAttempt,
        location: &KeyLocation,
        outcome: &Outcome,
    ) -> Option<Evidence> {
        let server = self.servers.get(&attempt.server)?;
        let elapsed = outcome.elapsed;
        let is_early = elapsed <= self.tightest_objective * LATE_OBJECTIVE_SHARE;
        Some(Evidence {
            is_early_timeout: outcome.status == Status::TimedOut && is_early,
            server_answered: server.answered_since(self.now - elapsed),
            is_warm: !server.is_warming_up(self.now, &self.settings.guarantees),
            was_cached: self.is_cached(location),
            slowness: self.latency.slowness(elapsed, attempt.work),
            load: f64::from(server.in_flight()),
        })
    }

    fn observe_server(&mut self, attempt: &EndedAttempt, outcome: &Outcome, evidence: &Evidence) {
        let (now, elapsed, status) = (self.now, outcome.elapsed, outcome.status);
        let is_overload_slow = elapsed > self.tightest_objective * OVERLOAD_OBJECTIVE_SHARE;
        let from_cache = status == Status::Success && outcome.cache_note != Some(CacheNote::Miss);
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        server.attempt_ended();
        let shows_slowness = match status {
            Status::Success => from_cache,
            // An attempt that ended unanswered would have taken even longer, so its time counts only where
            // it raises the slowness. Fetches count too: a node with little traffic knows no locations of
            // keys at a server that has just restarted, so it cannot distinguish a hit from a fetch.
            Status::TimedOut | Status::Cancelled => evidence.slowness > server.slowness(),
            _ => false,
        };
        if shows_slowness && !evidence.is_warm {
            server.learn_slowness(evidence.slowness);
        }
        if status.is_answer() {
            server.clear_suspicion();
        }
        match status {
            Status::Success => server.succeeded(now),
            Status::Overloaded => server.overloaded(now, elapsed),
            Status::TimedOut if evidence.is_early_timeout => {}
            Status::Unreachable | Status::Broken | Status::TimedOut => server.add_failures(FAILURE_WEIGHT),
            Status::Error | Status::Unknown => server.add_failures(PARTIAL_FAILURE_WEIGHT),
            Status::Cancelled if elapsed > self.tightest_objective * LATE_OBJECTIVE_SHARE => {
                server.add_failures(PARTIAL_FAILURE_WEIGHT);
            }
            Status::Cancelled | Status::Void | Status::Absent => {}
        }
        let timed_out_on_hit = status == Status::TimedOut && evidence.was_cached;
        if timed_out_on_hit || (from_cache && is_overload_slow) {
            server.cut_limit(now, elapsed);
        } else if from_cache {
            server.grow_limit(evidence.load);
        }
        if from_cache {
            self.learn_latency(attempt, elapsed, evidence);
        }
    }

    /// Updates the latency estimates with an answer from cache; that of the server's kind only if the
    /// server has warmed up.
    fn learn_latency(&mut self, attempt: &EndedAttempt, elapsed: Seconds, evidence: &Evidence) {
        if evidence.is_warm {
            self.servers.learn_kind(&attempt.server, evidence.slowness);
        }
        self.latency.learn(elapsed, attempt.work);
    }

    /// Updates the estimates of the origin's load.
    fn observe_origin(&mut self, attempt: &EndedAttempt, outcome: &Outcome, evidence: &Evidence) {
        let (status, elapsed) = (outcome.status, outcome.elapsed);
        let is_read_of_unknown = !attempt.write && !evidence.was_cached;
        if is_read_of_unknown && matches!(status, Status::Success | Status::Error) {
            // A read that ends in an error was not a hit.
            let missed = status == Status::Error || outcome.cache_note != Some(CacheNote::Hit);
            self.origin.learn_miss(missed);
        }
        let is_late = elapsed > self.tightest_objective;
        let is_fetch_late = match status {
            Status::Success if outcome.cache_note == Some(CacheNote::Miss) => Some(is_late),
            Status::TimedOut if !evidence.was_cached && evidence.server_answered && is_late => Some(true),
            Status::Error => Some(true),
            _ => None,
        };
        let is_through = self.settings.cache == CacheMode::Through;
        if let Some(late) = is_fetch_late.filter(|_| is_through) {
            self.origin.learn_fetch(late, self.now, elapsed);
        }
    }

    /// Updates the location of the key. A write invalidates the cached value, and after an error the key
    /// is not assumed to be cached.
    fn observe_location(&mut self, attempt: &EndedAttempt, location: KeyLocation, status: Status) {
        let is_through = self.settings.cache == CacheMode::Through;
        match status {
            Status::Error => self.key_locations.remove(&location),
            Status::Success if attempt.write => self.key_locations.remove(&location),
            Status::Success if is_through => self.key_locations.insert(location, self.now),
            _ => {}
        }
    }
}

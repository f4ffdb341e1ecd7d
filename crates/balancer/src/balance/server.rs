//! The state of one server.

use super::concurrency_limit::{ConcurrencyLimit, CUT_FACTOR};
use super::hash_ring::point_count;
use super::slow_start::{admitted_share, slow_start_factor};
use crate::interface::{CacheMode, EndpointEntry, Guarantees, Seconds, ServerState, Settings};

/// Weight of a new sample in the slowness of a server that is warming up: a node with little traffic sees
/// only a few samples in all, and has to learn from those.
const SLOWNESS_SMOOTHING: f64 = 0.2;
/// Initial concurrency limit of a server, as a multiple of the floor of the cap.
const INITIAL_LIMIT_FLOORS: f64 = 2.0;

/// One server.
#[derive(Default)]
pub(super) struct Server {
    /// The entry as last listed, except that `started` is reset on readmission after an ejection.
    entry: EndpointEntry,
    /// Start time as last listed.
    listed_start: Option<Seconds>,
    in_flight: u32,
    /// Share of the slot array by weight, and the effective share now.
    size: f64,
    share: f64,
    /// Points in the slot array, and the number of them that are active now.
    points: u16,
    active_points: u16,
    /// Share of the requests for its keys that the server admits while it is warming up.
    admitted_share: f64,
    /// Limit on attempts in flight, learnt from the times of answers, from time-outs and from rejections.
    limit: ConcurrencyLimit,
    /// Time of the last successful answer; 0 before the first.
    last_answer_at: Seconds,
    /// Smoothed ratio of the answers' time to the time expected, since the server last started cold.
    slowness: f64,
    /// Weighted failures since the last success; an error, or an attempt that a hedged request overtook,
    /// counts half.
    failures: f64,
    /// Time until which reports of peers make the server suspected.
    suspected_until: Seconds,
    /// Ejected until a probe of it succeeds.
    ejected: bool,
}

impl Server {
    pub(super) fn entry(&self) -> &EndpointEntry {
        &self.entry
    }

    pub(super) fn is_ready(&self) -> bool {
        self.entry.state == ServerState::Ready
    }

    pub(super) fn is_gone(&self) -> bool {
        self.entry.state == ServerState::Gone
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    pub(super) fn share(&self) -> f64 {
        self.share
    }

    pub(super) fn limit(&self) -> f64 {
        self.limit.value()
    }

    pub(super) fn points(&self) -> u16 {
        self.points
    }

    #[cfg(test)]
    pub(super) fn active_points(&self) -> u16 {
        self.active_points
    }

    pub(super) fn is_ejected(&self) -> bool {
        self.ejected
    }

    /// Whether the server owns keys: ready, not ejected, and with points in the slot array.
    pub(super) fn is_in_array(&self) -> bool {
        self.is_ready() && !self.ejected && self.points > 0
    }

    /// Share of the requests for its keys that the server admits while others are warm.
    pub(super) fn admitted_share(&self) -> f64 {
        self.admitted_share
    }

    pub(super) fn slow_start_factor(&self, now: Seconds, guarantees: &Guarantees) -> f64 {
        slow_start_factor(self.entry.started, now, guarantees)
    }

    pub(super) fn is_warming_up(&self, now: Seconds, guarantees: &Guarantees) -> bool {
        self.slow_start_factor(now, guarantees) < 1.0
    }

    /// Whether the server is warm by its listed start time, without the assumption that an ejected server has
    /// restarted.
    pub(super) fn is_listed_warm(&self, now: Seconds, guarantees: &Guarantees) -> bool {
        slow_start_factor(self.listed_start, now, guarantees) >= 1.0
    }

    /// Whether the point of this rank is active.
    pub(super) fn has_active_point(&self, rank: u16) -> bool {
        rank < self.active_points
    }

    /// Whether the last successful answer came after this time.
    pub(super) fn answered_since(&self, time: Seconds) -> bool {
        self.last_answer_at > time
    }

    /// Whether the last successful answer came less than this duration before `now`.
    pub(super) fn answered_within(&self, now: Seconds, duration: Seconds) -> bool {
        self.last_answer_at > 0.0 && now < self.last_answer_at + duration
    }

    /// Whether this start time is the listed one or a later one.
    pub(super) fn is_current_start(&self, started: Option<Seconds>) -> bool {
        started >= self.listed_start
    }

    /// Applies a list entry. For a server that is new, is back after it was gone, or has restarted, the state
    /// of the previous process is reset.
    pub(super) fn apply(&mut self, entry: EndpointEntry, floor: f64) {
        let has_restarted =
            entry.started.is_some_and(|started| self.entry.started.is_none_or(|known| started > known));
        if has_restarted || !self.limit.is_set() || self.is_gone() {
            self.ejected = false;
            self.failures = 0.0;
            self.suspected_until = 0.0;
            self.slowness = 1.0;
            self.limit = ConcurrencyLimit::new(INITIAL_LIMIT_FLOORS * floor);
            self.entry.started = entry.started;
        }
        self.listed_start = entry.started;
        self.entry = EndpointEntry { started: self.entry.started, ..entry };
    }

    pub(super) fn mark_gone(&mut self) {
        self.entry.state = ServerState::Gone;
    }

    /// Sets the size of the server's share of the slot array; `true` if the number of points changed.
    pub(super) fn resize(&mut self, size: f64, takes_points: bool) -> bool {
        self.size = size;
        let points = if takes_points { point_count(size) } else { 0 };
        std::mem::replace(&mut self.points, points) != points
    }

    /// Updates the effective share. `speed` is relative to the fastest kind of server, from 0 to 1.
    pub(super) fn refresh_share(&mut self, speed: f64, now: Seconds, guarantees: &Guarantees) {
        let factor = slow_start_factor(self.entry.started, now, guarantees);
        self.admitted_share = admitted_share(factor, self.slowness);
        if self.is_in_array() {
            self.share = self.size * self.admitted_share * speed;
            self.active_points = (f64::from(self.points) * speed).ceil() as u16;
        } else {
            self.share = 0.0;
            self.active_points = 0;
        }
    }

    pub(super) fn attempt_sent(&mut self) {
        self.in_flight += 1;
    }

    pub(super) fn attempt_ended(&mut self) {
        self.in_flight -= 1;
    }

    /// Records a sample of the slowness of a server that is warming up.
    pub(super) fn learn_slowness(&mut self, slowness: f64) {
        self.slowness += SLOWNESS_SMOOTHING * (slowness - self.slowness);
    }

    pub(super) fn slowness(&self) -> f64 {
        self.slowness
    }

    pub(super) fn succeeded(&mut self, now: Seconds) {
        self.failures = 0.0;
        self.last_answer_at = now;
    }

    /// Records a quick answer from cache while this many attempts were in flight.
    pub(super) fn grow_limit(&mut self, load: f64) {
        self.limit.grow(load);
    }

    pub(super) fn cut_limit(&mut self, now: Seconds, elapsed: Seconds) {
        self.limit.cut(CUT_FACTOR, f64::MAX, now, elapsed);
    }

    /// Records an attempt that the server rejected as overloaded.
    pub(super) fn overloaded(&mut self, now: Seconds, elapsed: Seconds) {
        self.limit.lower_to(f64::from(self.in_flight + 1));
        self.cut_limit(now, elapsed);
    }

    pub(super) fn add_failures(&mut self, weight: f64) {
        self.failures += weight;
    }

    pub(super) fn failures(&self) -> f64 {
        self.failures
    }

    pub(super) fn suspect_until(&mut self, until: Seconds) {
        self.suspected_until = until;
    }

    /// The server has answered in some way, so what peers reported no longer counts.
    pub(super) fn clear_suspicion(&mut self) {
        self.suspected_until = 0.0;
    }

    pub(super) fn is_suspected(&self, now: Seconds) -> bool {
        self.suspected_until > now
    }

    pub(super) fn eject(&mut self) {
        self.ejected = true;
    }

    /// Readmits the server as if it had just started: it may have restarted while it was ejected, and be
    /// cold.
    pub(super) fn readmit(&mut self, now: Seconds) {
        self.ejected = false;
        self.failures = 0.0;
        self.slowness = 1.0;
        self.entry.started = Some(now);
    }
}

/// Whether a server is the origin itself (cache-aside mode).
pub(super) fn is_origin(settings: &Settings, server: &Server) -> bool {
    matches!(&settings.cache, CacheMode::Aside { origin_kind } if *origin_kind == server.entry.kind)
}

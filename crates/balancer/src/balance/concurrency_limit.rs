//! An adaptive limit on the attempts in flight at a server, or of fetches at the origin (additive increase,
//! multiplicative decrease).

use crate::interface::Seconds;

/// Factor by which a limit is cut when answers are slow.
pub(super) const CUT_FACTOR: f64 = 0.8;
/// Factor for the limit of fetches from the origin; a deeper cut, as slow fetches are noticed late.
pub(super) const FETCH_CUT_FACTOR: f64 = 0.5;
/// Lowest limit: one attempt at a time.
const MIN_LIMIT: f64 = 1.0;

/// A limit on attempts in flight that grows while answers are quick and falls when they are slow.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    value: f64,
    /// Time of the last cut that took effect; 0 before the first.
    changed_at: Seconds,
}

impl ConcurrencyLimit {
    pub(super) fn new(value: f64) -> Self {
        ConcurrencyLimit { value, changed_at: 0.0 }
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }

    /// Whether a limit has been set.
    pub(super) fn is_set(&self) -> bool {
        self.value != 0.0
    }

    /// Raises the limit if at least half of it is in use; an unused limit shows nothing about capacity.
    pub(super) fn grow(&mut self, load: f64) {
        if load >= self.value / 2.0 {
            self.value += (self.value / 2.0).min(1.0 / self.value);
        }
    }

    /// Cuts the limit to `factor` times the load, after the load is clamped between half the limit and the
    /// limit; the result is at least `MIN_LIMIT`. An attempt that was sent before the last cut says
    /// nothing about the limit since that cut, so such an attempt is ignored.
    pub(super) fn cut(&mut self, factor: f64, load: f64, now: Seconds, elapsed: Seconds) {
        if now - elapsed > self.changed_at {
            self.value = (load.clamp(self.value / 2.0, self.value) * factor).max(MIN_LIMIT);
            self.changed_at = now;
        }
    }

    /// Lowers the limit to this number of attempts.
    pub(super) fn lower_to(&mut self, in_flight: f64) {
        self.value = self.value.min(in_flight).max(MIN_LIMIT);
    }
}

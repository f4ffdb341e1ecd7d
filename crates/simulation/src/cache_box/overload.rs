//! Overload of a box that is warming up: too much offered work within a window takes it down.

use super::*;

impl CacheBox {
    /// Counts work that is sent to a box while it warms up, rejected work included; above the limit the box falls over.
    /// The limit depends only on the time since the start, because the settings do not know of incidents that slow
    /// the box.
    pub(super) fn record_offered_work(&mut self, now: Time, work: f64, out: &mut Vec<BoxOutput>) {
        if self.spec.fall_multiple <= 0.0 || self.slow_start_factor(now) >= 1.0 {
            self.offered_work.clear();
            self.offered_work_sum = 0.0;
            return;
        }
        self.offered_work.push_back((now, work));
        self.offered_work_sum += work;
        while self.offered_work.front().is_some_and(|(at, _)| now.since(*at) > self.spec.fall_for) {
            self.offered_work_sum -= self.offered_work.pop_front().map_or(0.0, |(_, work)| work);
        }
        let spec = &self.spec;
        let allowed = spec.fall_multiple
            * spec.capacity()
            * self.slow_start_factor_by_time(now)
            * spec.fall_for.0 as f64;
        if self.offered_work_sum > overload_limit(allowed, spec.mean_work.0.max(1) as f64) {
            self.stop();
            self.fallen = true;
            out.push(BoxOutput::Fell);
        }
    }
}

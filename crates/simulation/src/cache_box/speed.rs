//! Processing speed of a box, and its load reports.

use super::*;

impl CacheBox {
    /// Slow-start factor by the time since the start alone, as the settings describe it: the share of the capacity,
    /// from `cold_from` to 1 over the ramp.
    pub(super) fn slow_start_factor_by_time(&self, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let share = now.since(started).as_secs() / self.spec.ramp.as_secs().max(1e-6);
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * share).min(1.0)
    }

    /// Slow-start factor: share of the capacity that is available now, by time or by work as `warm_by` says.
    pub fn slow_start_factor(&self, now: Time) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let time_progress = now.since(started).as_secs() / self.spec.ramp.as_secs().max(1e-6);
        let share = match self.spec.warm_by {
            WarmBy::Time => time_progress,
            WarmBy::Work => {
                let warm_up_work = self.spec.capacity() * self.spec.ramp.as_secs() * 1e6 / 2.0;
                time_progress.max(self.done_work / warm_up_work.max(1.0))
            }
        };
        (self.spec.cold_from + (1.0 - self.spec.cold_from) * share).min(1.0)
    }

    /// Work per second that the box can do now, in seconds of a standard core.
    pub fn present_capacity(&self, now: Time) -> f64 {
        self.spec.capacity() * self.slow_start_factor(now) / self.slowness
    }

    /// Work that each request in service attains per microsecond, in microseconds of a standard core.
    pub(super) fn rate(&self, now: Time) -> f64 {
        let requests_per_core = self.requests.len() as f64 / self.spec.cores.max(1.0);
        let excess_per_core = (requests_per_core - self.spec.crowd_from).max(0.0);
        let table_usage = f64::from(self.open_connections) / f64::from(self.spec.connections.max(1));
        let efficiency = (1.0 - self.spec.table_tax * table_usage.min(1.0))
            / (1.0 + self.spec.crowd_loss * excess_per_core);
        let share = (self.spec.cores / self.serving.len().max(1) as f64).min(1.0);
        self.spec.speed * share * efficiency * self.slow_start_factor(now) / self.slowness
    }

    /// Advances the attained work to now, and makes a load report if one is due. The speed at the last event is used
    /// throughout, because the slow-start factor changes little between two events.
    pub(super) fn advance(&mut self, now: Time) {
        let elapsed_us = now.since(self.updated_at).0 as f64;
        if elapsed_us > 0.0 {
            if !self.serving.is_empty() {
                let attained = self.rate(self.updated_at) * elapsed_us;
                self.attained_work += attained;
                self.done_work += attained * self.serving.len() as f64;
                self.report.busy_core_us += elapsed_us * (self.serving.len() as f64).min(self.spec.cores);
            }
            self.updated_at = now;
        }
        if now >= self.report.next_at {
            self.make_report(now);
        }
    }

    /// Makes a load report for the period that ends now and starts the next period.
    pub(super) fn make_report(&mut self, now: Time) {
        let elapsed_us = now.since(self.report.period_start).0.max(1) as f64;
        let noise = self.spec.report_noise;
        let rng = &mut self.rng;
        let mut noisy = |value: f64| (value * (1.0 + noise * rng.normal())).max(0.0);
        let load = Load {
            inflight: noisy(self.requests.len() as f64).round(),
            util: noisy(self.report.busy_core_us / elapsed_us / self.spec.cores.max(1e-9)).min(1.0),
            qps: noisy(self.report.completed as f64 * 1e6 / elapsed_us),
        };
        self.report.delayed.push_back((now + self.spec.report_delay, load));
        (self.report.busy_core_us, self.report.completed, self.report.period_start) = (0.0, 0, now);
        self.report.next_at = now + Span(self.spec.report_period.0.max(1000));
    }

    /// The load report that is visible now.
    pub fn load(&mut self, now: Time) -> Load {
        self.advance(now);
        while let Some((_, load)) =
            self.report.delayed.front().filter(|(visible_from, _)| *visible_from <= now).copied()
        {
            self.report.delayed.pop_front();
            self.report.published = load;
        }
        self.report.published
    }
}

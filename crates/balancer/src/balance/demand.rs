//! Estimates of the request rate that this node offers to each server now, and of the rate that servers were
//! seen to sustain.

use crate::interface::Seconds;

/// Length of the usual demand's average, in overload windows (`Fleet::window`).
const REMEMBERED_WINDOWS: f64 = 10.0;
/// Length of the recent demand's average, in overload windows: a surge has to be seen before it fills a
/// window.
const RECENT_WINDOWS: f64 = 0.5;
/// Requests in a window, to all servers, below which the usual demand is unknown.
const MIN_KNOWN_REQUESTS: f64 = 1.0;
/// Least ratio of usual to recent demand: a node that had little traffic may take over the clients of others.
const MIN_RATIO: f64 = 1.0 / 8.0;

/// Request rates for each ready server, in requests a second.
#[derive(Default)]
pub(super) struct Demand {
    /// Requests that have arrived since the last update.
    arrived: u32,
    /// Requests that were served since the last update.
    served: u32,
    /// Requests that arrive, averaged over `RECENT_WINDOWS` windows.
    recent_rate: f64,
    /// Requests that are served, averaged over `averaged_for`; in its first window, requests that arrive.
    usual_rate: f64,
    /// Time over which the usual demand has been averaged, up to `REMEMBERED_WINDOWS` windows.
    averaged_for: Seconds,
    updated_at: Option<Seconds>,
}

/// The servers that the demand is spread over.
pub(super) struct Fleet {
    pub(super) ready: usize,
    /// Whether all ready servers have warmed up.
    pub(super) all_warm: bool,
    /// Time for which a server must be over its capacity to go down, from the settings.
    pub(super) window: Seconds,
}

impl Demand {
    pub(super) fn record_arrival(&mut self) {
        self.arrived += 1;
    }

    pub(super) fn record_served(&mut self) {
        self.served += 1;
    }

    /// Updates the averages with the requests counted since the last update.
    pub(super) fn update(&mut self, now: Seconds, fleet: &Fleet) {
        let elapsed = now - self.updated_at.replace(now).unwrap_or(now);
        if elapsed <= 0.0 {
            return;
        }
        let per_server = 1.0 / (elapsed * fleet.ready.max(1) as f64);
        let arrived = f64::from(std::mem::take(&mut self.arrived)) * per_server;
        let served = f64::from(std::mem::take(&mut self.served)) * per_server;
        let recent_window = (fleet.window * RECENT_WINDOWS).max(elapsed);
        self.recent_rate += (arrived - self.recent_rate) * (elapsed / recent_window);
        // A node that has just started, or was idle, takes the arrivals of its first overload window as
        // its usual demand.
        if self.usual_rate * fleet.ready as f64 * fleet.window < MIN_KNOWN_REQUESTS {
            self.averaged_for = 0.0;
        }
        let is_new = self.averaged_for < fleet.window;
        if fleet.all_warm || is_new {
            self.averaged_for = (self.averaged_for + elapsed).min(fleet.window * REMEMBERED_WINDOWS);
            let sample = if is_new { arrived } else { served };
            self.usual_rate += (sample - self.usual_rate) * (elapsed / self.averaged_for.max(elapsed));
        }
    }

    /// The ratio of usual to recent demand: below 1 in a surge, or when rejected clients retry.
    pub(super) fn usual_ratio(&self) -> f64 {
        if self.averaged_for <= 0.0 || self.recent_rate <= self.usual_rate {
            return 1.0;
        }
        (self.usual_rate / self.recent_rate).max(MIN_RATIO)
    }
}

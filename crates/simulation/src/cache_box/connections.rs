//! Work at a box that belongs to no request: opening connections and answering probes.

use super::*;

impl CacheBox {
    /// Opens a connection, which costs work; false if the connection table is full.
    pub fn connect(&mut self, now: Time, out: &mut Vec<BoxOutput>) -> bool {
        if self.open_connections >= self.spec.connections {
            return false;
        }
        self.advance(now);
        self.open_connections += 1;
        self.add_overhead(now, self.spec.connection_work, out);
        true
    }

    /// Closes a connection.
    pub fn disconnect(&mut self, now: Time) {
        self.advance(now);
        self.open_connections = self.open_connections.saturating_sub(1);
    }

    /// Number of open connections.
    pub fn connections(&self) -> u32 {
        self.open_connections
    }

    /// Answers a probe at once, without queueing for a slot; the probe still costs work.
    pub fn probe(&mut self, now: Time, out: &mut Vec<BoxOutput>) {
        self.advance(now);
        self.add_overhead(now, self.spec.probe_work, out);
    }

    /// Adds work that belongs to no request.
    pub(super) fn add_overhead(&mut self, now: Time, work: Span, out: &mut Vec<BoxOutput>) {
        if !work.is_zero() {
            self.enter_service(work.0 as f64, None);
            self.record_offered_work(now, work.0 as f64, out);
        }
    }
}

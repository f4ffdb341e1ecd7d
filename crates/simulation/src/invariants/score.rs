//! Prices, and the score that is left after them.

use super::*;

/// Totals that the prices are computed from, and the open connections.
#[derive(Default)]
pub(super) struct CostTotals {
    /// Work that boxes did, in microseconds of a standard core.
    pub work_done: f64,
    /// Work of the requests that were served.
    pub useful_work: f64,
    /// Work of all requests.
    pub asked_work: f64,
    /// Worth of requests that ended unserved after their latency objective.
    pub late_unserved_worth: f64,
    pub probes: u64,
    pub message_bytes: u64,
    pub depot_crossings: u64,
    pub list_entries: u64,
    /// Reads that were cache hits, and all reads.
    pub read_hits: (u64, u64),
    open_by_box: FxHashMap<BoxId, u64>,
    /// Integral of the number of open connections over time, in connection seconds.
    open_connection_seconds: f64,
    open_connections: u64,
    open_changed_at: Time,
}

impl InvariantChecker {
    pub(super) fn update_connections(&mut self, at: Time, to: BoxId, change: impl Fn(u64) -> u64) {
        self.totals.open_connection_seconds +=
            self.totals.open_connections as f64 * at.since(self.totals.open_changed_at).as_secs();
        self.totals.open_changed_at = at;
        let open = self.totals.open_by_box.entry(to).or_default();
        let after = change(*open);
        self.totals.open_connections = self.totals.open_connections + after - *open;
        *open = after;
    }

    /// Computes the score: the weighted shares less the prices.
    pub(super) fn compute_score(&mut self, at: Time) {
        self.verdict.planner_peak = self.verdict.seconds.iter().map(|s| s.planner).max().unwrap_or(0);
        self.update_connections(at, 0, |open| open);
        let first_tries = (self.verdict.all_requests.requests as f64).max(1.0);
        let prices = &self.parameters.goal.prices;
        let mean_open = self.totals.open_connection_seconds / at.as_secs().max(1e-9);
        let waste =
            (self.totals.work_done - self.totals.useful_work).max(0.0) / self.totals.asked_work.max(1e-9);
        self.verdict.prices = prices.waste * waste
            + prices.late_fail * self.totals.late_unserved_worth / self.verdict.all_requests.asked.max(1e-9)
            + prices.handshake * self.verdict.connections as f64 / first_tries
            + prices.connection * mean_open / (100.0 * self.parameters.box_count as f64)
            + prices.probe * self.totals.probes as f64 / first_tries
            + prices.peer * self.totals.message_bytes as f64 / (256.0 * first_tries)
            + prices.cross_zone * self.totals.depot_crossings as f64 / first_tries
            + prices.list * self.totals.list_entries as f64 / first_tries;
        let least = |shares: &mut dyn Iterator<Item = f64>| shares.fold(1.0, f64::min);
        let class = least(&mut self.verdict.classes.iter().map(|c| c.worth.share()));
        let tenant = least(&mut self.verdict.tenants.iter().map(|(_, worth)| worth.share()));
        let goal = &self.parameters.goal;
        let mix = goal.whole * self.verdict.all_requests.share()
            + goal.worst_window * self.verdict.worst_window.0
            + goal.worst_class * class
            + goal.worst_tenant * tenant;
        self.verdict.score = (mix - self.verdict.prices).clamp(0.0, 1.0);
    }
}

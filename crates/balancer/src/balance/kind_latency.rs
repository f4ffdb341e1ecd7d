//! Relative latency of each kind of server, for settings whose weights do not give it.

/// Least relative speed of a slow kind: the least share of its points that a server keeps active.
pub(super) const SLOWEST: f64 = 0.125;
/// Number of samples of slowness 1 that a kind's mean starts with.
const PRIOR: f64 = 3.0;
/// Effective number of samples that the mean remembers.
const MEMORY: f64 = 50.0;

/// Mean slowness of one kind's answers from cache: the time taken divided by the time expected. Servers are
/// grouped by kind because a node sees too few answers from a single one.
#[derive(Default)]
pub(super) struct KindLatency {
    sum: f64,
    count: f64,
}

impl KindLatency {
    pub(super) fn learn(&mut self, slowness: f64) {
        let keep = 1.0 - 1.0 / MEMORY;
        self.sum = self.sum * keep + slowness.min(1.0 / SLOWEST);
        self.count = self.count * keep + 1.0;
    }

    pub(super) fn slowness(&self) -> f64 {
        (PRIOR + self.sum) / (PRIOR + self.count)
    }
}

//! Relative latency of each kind of server, for settings whose weights do not give it.

/// Least relative speed of a slow kind: the least share of its points that a server keeps active.
pub(super) const MIN_KIND_SPEED: f64 = 0.125;
/// Number of samples of slowness 1 that a kind's mean starts with.
const PRIOR_SAMPLES: f64 = 3.0;
/// Effective number of samples that the mean remembers.
const MAX_SAMPLES: f64 = 50.0;

/// Mean slowness of one kind's answers from cache: the time taken divided by the time expected. Servers are
/// grouped by kind because a node sees too few answers from a single one.
#[derive(Default)]
pub(super) struct KindLatency {
    /// Sum of the samples, each weighted less the older it is.
    sum: f64,
    /// Sum of the weights.
    count: f64,
}

impl KindLatency {
    /// Records the slowness of one answer.
    pub(super) fn learn(&mut self, slowness: f64) {
        let decay = 1.0 - 1.0 / MAX_SAMPLES;
        self.sum = self.sum * decay + slowness.min(1.0 / MIN_KIND_SPEED);
        self.count = self.count * decay + 1.0;
    }

    /// The mean slowness, drawn towards 1 while there are few samples.
    pub(super) fn slowness(&self) -> f64 {
        (PRIOR_SAMPLES + self.sum) / (PRIOR_SAMPLES + self.count)
    }
}

//! Lifeguard's local health multiplier. A node that loses datagrams or gets too little CPU time waits longer before it
//! suspects another.

use std::time::Duration;

#[derive(Clone, Debug)]
pub(crate) struct Awareness {
    /// Recent failures less recent successes, 0 to `cap`.
    score: u8,
    /// Greatest score.
    cap: u8,
}

impl Awareness {
    pub fn new(cap: u8) -> Self {
        Awareness { score: 0, cap }
    }

    pub fn record_failure(&mut self) {
        self.score = (self.score + 1).min(self.cap);
    }

    pub fn record_success(&mut self) {
        self.score = self.score.saturating_sub(1);
    }

    /// Multiplies a probe duration by the local health score plus 1.
    pub fn scale(&self, time: Duration) -> Duration {
        time * (1 + u32::from(self.score))
    }
}

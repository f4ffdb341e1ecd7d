//! Limits the rate of datagrams that leave a node.

use std::time::Duration;

use hallpin_membership::names::Moment;

/// A token bucket in whole tokens, with one token added per interval; it starts full.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Time after which one token is added.
    interval: Duration,
    /// Most tokens that the bucket holds.
    burst: u32,
    /// Tokens available.
    tokens: u32,
    /// Time up to which tokens have been added.
    refilled_at: Moment,
}

impl TokenBucket {
    /// Allows `burst` at once and `per_second` per second over any longer time; a value of 0 counts as 1.
    pub fn new(per_second: u32, burst: u32, now: Moment) -> Self {
        let burst = burst.max(1);
        TokenBucket {
            interval: Duration::from_secs(1) / per_second.max(1),
            burst,
            tokens: burst,
            refilled_at: now,
        }
    }

    /// Takes a token; returns whether one was available.
    pub fn try_take(&mut self, now: Moment) -> bool {
        let new_tokens = now.saturating_sub(self.refilled_at).as_nanos() / self.interval.as_nanos().max(1);
        let new_tokens = u32::try_from(new_tokens).unwrap_or(u32::MAX);
        if new_tokens >= self.burst - self.tokens {
            (self.tokens, self.refilled_at) = (self.burst, now);
        } else {
            self.tokens += new_tokens;
            self.refilled_at += self.interval * new_tokens;
        }
        let taken = self.tokens > 0;
        self.tokens -= u32::from(taken);
        taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn burst_and_rate_bound_what_passes_over_any_time() {
        let mut bucket = TokenBucket::new(100, 20, Duration::ZERO);
        let mut passed = 0;
        for ms in 0..10_000 {
            let attempts = if ms % 1000 == 0 { 500 } else { 1 };
            passed += (0..attempts).filter(|_| bucket.try_take(Duration::from_millis(ms))).count();
            assert!(passed as u64 <= 20 + ms / 10 + 1, "{passed} by {ms} ms");
        }
        assert!(passed >= 1000, "{passed}: the rate is reached");
    }
}

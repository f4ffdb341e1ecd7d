//! Rate limit of outgoing datagrams: a token bucket (GCRA, ITU-T I.371), exact on whole nanoseconds.

use std::time::Duration;

use crate::names::Moment;

/// A token bucket that allows `rate` tokens per second and `burst` at once.
#[derive(Clone, Debug)]
pub(crate) struct TokenBucket {
    /// Time in which one token is added.
    token_interval: Duration,
    /// Most tokens that the bucket holds.
    burst: u32,
    /// When the bucket is full again if no more tokens are taken.
    full_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket; `rate` is more than 0.
    pub fn new(rate: u32, burst: u32) -> Self {
        TokenBucket { token_interval: Duration::from_secs(1) / rate.max(1), burst, full_at: Moment::ZERO }
    }

    /// Takes one token if at least `reserve` are left afterwards, and returns whether it did.
    pub fn take(&mut self, now: Moment, reserve: u32) -> bool {
        let after = self.full_at.max(now) + self.token_interval;
        let fits = after - now <= self.token_interval * self.burst.saturating_sub(reserve);
        if fits {
            self.full_at = after;
        }
        fits
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn rate_and_burst_bound_the_tokens_of_a_second() {
        let mut bucket = TokenBucket::new(10, 5);
        let sent = (0..10_000).filter(|ms| bucket.take(Duration::from_millis(*ms), 0)).count();
        assert_eq!(sent, 5 + 99);
        assert!(!bucket.take(Duration::from_millis(10_100), 2), "the reserve was given out");
        assert!(bucket.take(Duration::from_millis(10_100), 1));
    }
}

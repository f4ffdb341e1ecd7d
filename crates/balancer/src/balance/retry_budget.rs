//! The retry budget, which retries and hedged requests share.

/// Tokens earned by each answer that is not late.
const EARNED: f64 = 0.2;
/// Most tokens that the bucket holds at full load.
pub(super) const MAX_SAVED: f64 = 10.0;
/// Share of `MAX_SAVED` that the bucket holds at least: the full buckets of many idle nodes would add up to a
/// retry storm.
const LEAST_SAVED: f64 = 0.1;
/// Tokens that one retry, or one late attempt, costs.
pub(super) const RETRY_PRICE: f64 = 1.0;

/// A token bucket for retries and hedged requests. Each late attempt costs a token, whether it is hedged or
/// not: where most attempts are late, more attempts do not help.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        RetryBudget { tokens: RETRY_PRICE }
    }

    /// Earns tokens for an answer in time, while the mean server had this many attempts in flight.
    pub(super) fn earn(&mut self, mean_in_flight: f64) {
        let most = MAX_SAVED * mean_in_flight.clamp(LEAST_SAVED, 1.0);
        self.tokens = (self.tokens + EARNED).min(most);
    }

    pub(super) fn affords(&self, price: f64) -> bool {
        self.tokens >= price
    }

    pub(super) fn spend(&mut self, price: f64) {
        self.tokens = (self.tokens - price).max(0.0);
    }

    #[cfg(test)]
    pub(super) fn tokens(&self) -> f64 {
        self.tokens
    }

    #[cfg(test)]
    pub(super) fn set_tokens(&mut self, tokens: f64) {
        self.tokens = tokens;
    }
}

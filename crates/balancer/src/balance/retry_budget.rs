//! The retry budget, which retries and hedged requests share.

/// Tokens earned by each answer that is not late.
const TOKENS_PER_SUCCESS: f64 = 0.2;
/// Most tokens that the bucket holds at full load.
pub(super) const MAX_TOKENS: f64 = 10.0;
/// Share of `MAX_TOKENS` that the bucket holds at least: the full buckets of many idle nodes would add up to
/// a retry storm.
const MIN_CAPACITY_SHARE: f64 = 0.1;
/// Tokens that one retry, or one late attempt, costs.
pub(super) const RETRY_COST: f64 = 1.0;

/// A token bucket for retries and hedged requests. Each late attempt costs a token, whether it is hedged or
/// not: where most attempts are late, more attempts do not help.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new() -> Self {
        RetryBudget { tokens: RETRY_COST }
    }

    /// Earns tokens for an answer in time, while the mean server had this many attempts in flight.
    pub(super) fn earn(&mut self, mean_in_flight: f64) {
        let max_tokens = MAX_TOKENS * mean_in_flight.clamp(MIN_CAPACITY_SHARE, 1.0);
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(max_tokens);
    }

    pub(super) fn affords(&self, cost: f64) -> bool {
        self.tokens >= cost
    }

    pub(super) fn spend(&mut self, cost: f64) {
        self.tokens = (self.tokens - cost).max(0.0);
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

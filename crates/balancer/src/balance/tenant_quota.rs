//! Tenants' quotas at this node: a token bucket for each tenant.

use crate::interface::{Seconds, Settings, TenantId};

/// Longest time since the last request of a tenant for which tokens are added to its bucket.
const MAX_REFILL_TIME: Seconds = 1.0;

struct TokenBucket {
    tokens: f64,
    refilled_at: Seconds,
}

/// One bucket for each tenant of the settings, filled at this node's share of the tenant's quota.
#[derive(Default)]
pub(super) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    pub(super) fn new(tenants: usize) -> Self {
        let empty = || TokenBucket { tokens: 0.0, refilled_at: f64::NEG_INFINITY };
        TenantQuotas { buckets: std::iter::repeat_with(empty).take(tenants).collect() }
    }

    /// Takes a token for one request; `true` if the tenant has none left.
    pub(super) fn is_over_quota(
        &mut self,
        tenant: Option<TenantId>,
        settings: &Settings,
        now: Seconds,
    ) -> bool {
        let Some(TenantId(index)) = tenant else { return false };
        let (Some(tenant), Some(bucket)) = (settings.tenants.get(index), self.buckets.get_mut(index)) else {
            return false;
        };
        let rate = tenant.quota / f64::from(settings.balancers);
        let refill = rate * (now - bucket.refilled_at).min(MAX_REFILL_TIME);
        bucket.tokens = (bucket.tokens + refill).min(rate.max(1.0));
        bucket.refilled_at = now;
        let is_over = bucket.tokens < 1.0;
        bucket.tokens -= f64::from(!is_over);
        is_over
    }
}

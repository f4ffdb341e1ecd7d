//! Worth of requests: worth asked for, worth served, and the causes of lost worth.

use super::*;

/// Length of the windows of which the worst enters the score.
const SCORE_WINDOW: Span = Span(10_000_000);
/// Windows with at most this share of the mean window's worth are ignored.
const MIN_WINDOW_SHARE: f64 = 0.2;

/// A request whose answer its client has not received and that the client has not given up.
pub(super) struct OpenRequest {
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: KeyId,
    pub work: f64,
    pub worth: f64,
    /// Whether the request was within its tenant's quota.
    pub within_quota: bool,
    pub started: Time,
    /// Cause of the loss if the client gives up now.
    pub last_loss: Loss,
}

impl InvariantChecker {
    pub(super) fn request_started(
        &mut self,
        at: Time,
        id: AskId,
        class: usize,
        tenant: Option<usize>,
        key: KeyId,
        work: f64,
    ) {
        let within = tenant.is_none_or(|t| self.take_quota_token(at, t));
        let units = if self.parameters.goal.by_work { work / 1e6 } else { 1.0 };
        let share = if within { 1.0 } else { self.parameters.goal.over_share_worth };
        let worth = self.parameters.objectives[class].1 * units * share;
        self.totals.asked_work += work;
        self.verdict.all_requests.add_request(worth);
        self.verdict.classes[class].worth.add_request(worth);
        if let Some(tenant) = tenant.filter(|_| within) {
            self.tenant_worth[tenant].add_request(worth);
        }
        let window = (at.0 / SCORE_WINDOW.0) as usize;
        if self.window_worth.len() <= window {
            self.window_worth.resize(window + 1, Worth::default());
        }
        self.window_worth[window].add_request(worth);
        let second = self.second_at(at);
        second.asked += worth;
        second.requests += 1;
        // Holds until a try of the request gets an answer or its client leaves.
        let last = Loss::NodeDown;
        self.open_requests.insert(
            id,
            OpenRequest {
                class,
                tenant,
                key,
                work,
                worth,
                within_quota: within,
                started: at,
                last_loss: last,
            },
        );
    }

    /// Takes a token from the tenant's bucket, which holds one second of its quota and at least one
    /// token; false if the bucket is empty.
    pub(super) fn take_quota_token(&mut self, at: Time, tenant: usize) -> bool {
        let quota = self.parameters.quotas[tenant];
        let (tokens, since) = &mut self.quota_buckets[tenant];
        *tokens = (*tokens + quota * at.since(*since).as_secs()).min(quota.max(1.0));
        *since = at;
        let within = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(within));
        within
    }

    pub(super) fn request_served(&mut self, at: Time, id: AskId) {
        let Some(request) = self.open_requests.remove(&id) else {
            return self.report_violation(
                Rule::Lost,
                at,
                format!("request {id} was served twice, or never started"),
            );
        };
        let (aim, _, late_worth) = self.parameters.objectives[request.class];
        let took = at.since(request.started);
        let earned = if took <= aim { request.worth } else { request.worth * late_worth };
        self.totals.useful_work += request.work;
        let class = &mut self.verdict.classes[request.class];
        // Values beyond an hour are out of range and saturate.
        class.latency.saturating_record(took.0.max(1));
        if took <= aim {
            class.within_objective += 1;
        } else {
            class.late += 1;
        }
        class.worth.served += earned;
        self.verdict.all_requests.served += earned;
        if let Some(tenant) = request.tenant.filter(|_| request.within_quota) {
            self.tenant_worth[tenant].served += earned;
        }
        self.window_worth[(request.started.0 / SCORE_WINDOW.0) as usize].served += earned;
        self.second_at(request.started).served += earned;
        if earned < request.worth {
            *self.verdict.losses.entry(Loss::Late).or_default() += request.worth - earned;
        }
        if self.parameters.effects[request.class].0 != Effect::Free {
            // Requests accepted from now on must not be served a version before this write.
            let version = self.written.get(&request.key).copied().unwrap_or(0);
            self.acknowledged.insert(request.key, version);
        }
    }

    pub(super) fn request_given_up(&mut self, at: Time, id: AskId, last: Option<Loss>) {
        let Some(request) = self.open_requests.remove(&id) else { return };
        if at.since(request.started) > self.parameters.objectives[request.class].0 {
            self.totals.late_unserved_worth += request.worth;
        }
        self.verdict.classes[request.class].unserved += 1;
        *self.verdict.losses.entry(last.unwrap_or(request.last_loss)).or_default() += request.worth;
    }

    /// Ends the run: open requests count as lost, and the shares are computed.
    pub(super) fn run_ended(&mut self, at: Time) {
        self.expire_unanswered(Time(u64::MAX));
        self.check_restarts(at);
        let mut open: Vec<AskId> = self.open_requests.keys().copied().collect();
        open.sort_unstable();
        for id in open {
            self.request_given_up(at, id, Some(Loss::Open));
        }
        let mean =
            self.window_worth.iter().map(|w| w.asked).sum::<f64>() / self.window_worth.len().max(1) as f64;
        let full = self.window_worth.iter().enumerate().filter(|(_, w)| w.asked > MIN_WINDOW_SHARE * mean);
        let worst = full.map(|(n, w)| (w.share(), Time(n as u64 * SCORE_WINDOW.0)));
        self.verdict.worst_window = worst.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((1.0, Time::ZERO));
        for (named, worth) in self.verdict.tenants.iter_mut().zip(&self.tenant_worth) {
            named.1 = *worth;
        }
        self.verdict.hits = self.totals.read_hits.0 as f64 / (self.totals.read_hits.1 as f64).max(1.0);
    }
}

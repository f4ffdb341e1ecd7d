//! Worth of requests: worth asked for, worth served, and the causes of lost worth.

use super::*;

/// Length of the windows of which the worst enters the score.
const WINDOW: Span = Span(10_000_000);
/// Windows with at most this share of the mean window's worth are ignored.
const THIN: f64 = 0.2;

/// A request that its client has neither received nor given up.
pub(super) struct Asking {
    pub class: usize,
    pub tenant: Option<usize>,
    pub key: KeyId,
    pub work: f64,
    pub worth: f64,
    pub within: bool,
    pub first: Time,
    pub last: Loss,
}

impl Referee {
    pub(super) fn asked(
        &mut self,
        at: Time,
        id: AskId,
        class: usize,
        tenant: Option<usize>,
        key: KeyId,
        work: f64,
    ) {
        let within = tenant.is_none_or(|t| self.is_within(at, t));
        let units = if self.terms.goal.by_work { work / 1e6 } else { 1.0 };
        let share = if within { 1.0 } else { self.terms.goal.over_share_worth };
        let worth = self.terms.aims[class].1 * units * share;
        self.tallies.asked_work += work;
        self.verdict.whole.ask(worth);
        self.verdict.classes[class].worth.ask(worth);
        if let Some(tenant) = tenant.filter(|_| within) {
            self.tenants[tenant].ask(worth);
        }
        let window = (at.0 / WINDOW.0) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, Worth::default());
        }
        self.windows[window].ask(worth);
        let second = self.second(at);
        second.asked += worth;
        second.requests += 1;
        // Holds until a try of the request gets an answer or its client leaves.
        let last = Loss::NodeDown;
        self.asks.insert(id, Asking { class, tenant, key, work, worth, within, first: at, last });
    }

    /// Takes a token from the tenant's bucket, which holds one second of its quota; false if it is empty.
    pub(super) fn is_within(&mut self, at: Time, tenant: usize) -> bool {
        let quota = self.terms.quotas[tenant];
        let (tokens, since) = &mut self.buckets[tenant];
        *tokens = (*tokens + quota * at.since(*since).as_secs()).min(quota.max(1.0));
        *since = at;
        let within = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(within));
        within
    }

    pub(super) fn received(&mut self, at: Time, id: AskId) {
        let Some(ask) = self.asks.remove(&id) else {
            return self.breach(Rule::Lost, at, format!("request {id} was served twice, or never asked"));
        };
        let (aim, _, late_worth) = self.terms.aims[ask.class];
        let took = at.since(ask.first);
        let earned = if took <= aim { ask.worth } else { ask.worth * late_worth };
        self.tallies.useful += ask.work;
        let class = &mut self.verdict.classes[ask.class];
        // Values beyond an hour are out of range and saturate.
        class.latency.saturating_record(took.0.max(1));
        if took <= aim {
            class.in_aim += 1;
        } else {
            class.late += 1;
        }
        class.worth.served += earned;
        self.verdict.whole.served += earned;
        if let Some(tenant) = ask.tenant.filter(|_| ask.within) {
            self.tenants[tenant].served += earned;
        }
        self.windows[(ask.first.0 / WINDOW.0) as usize].served += earned;
        self.second(ask.first).served += earned;
        if earned < ask.worth {
            *self.verdict.losses.entry(Loss::Late).or_default() += ask.worth - earned;
        }
        if self.terms.effects[ask.class].0 != Effect::Free {
            // Requests accepted from now on must not be served a version before this write.
            let version = self.written.get(&ask.key).copied().unwrap_or(0);
            self.acknowledged.insert(ask.key, version);
        }
    }

    pub(super) fn gave_up(&mut self, at: Time, id: AskId, last: Option<Loss>) {
        let Some(ask) = self.asks.remove(&id) else { return };
        if at.since(ask.first) > self.terms.aims[ask.class].0 {
            self.tallies.late_fail += ask.worth;
        }
        self.verdict.classes[ask.class].unserved += 1;
        *self.verdict.losses.entry(last.unwrap_or(ask.last)).or_default() += ask.worth;
    }

    /// Ends the run: open requests count as lost, and the shares are computed.
    pub(super) fn over(&mut self, at: Time) {
        self.overdue(Time(u64::MAX));
        self.restarts_in_all(at);
        let mut open: Vec<AskId> = self.asks.keys().copied().collect();
        open.sort_unstable();
        for id in open {
            self.gave_up(at, id, Some(Loss::Open));
        }
        let mean = self.windows.iter().map(|w| w.asked).sum::<f64>() / self.windows.len().max(1) as f64;
        let full = self.windows.iter().enumerate().filter(|(_, w)| w.asked > THIN * mean);
        let worst = full.map(|(n, w)| (w.share(), Time(n as u64 * WINDOW.0)));
        self.verdict.worst_window = worst.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((1.0, Time::ZERO));
        for (named, worth) in self.verdict.tenants.iter_mut().zip(&self.tenants) {
            named.1 = *worth;
        }
        self.verdict.hits = self.tallies.read_hits.0 as f64 / (self.tallies.read_hits.1 as f64).max(1.0);
    }
}

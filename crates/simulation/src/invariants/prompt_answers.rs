//! Prompt rejections: a rejected or failed try is answered without delay, and a rejection carries a
//! retry-after time if the run sends such times.

use super::*;

/// Longest time without an attempt in flight before a rejection or failure, as a share of the latency
/// objective; `max_unseen_time` is added to it.
const MAX_IDLE_SHARE: f64 = 0.5;
/// Number of remembered keys beyond which idle keys are dropped once they have been idle for the longest objective.
const MAX_IDLE_KEYS: usize = 10_000;

impl InvariantChecker {
    /// Checks that a rejection or failure doesn't follow a long time without an attempt in flight for the try or, as
    /// answers may be shared, for its key at its node.
    pub(super) fn check_prompt_answer(&mut self, at: Time, id: TryId, how: TryOutcome, advice: Option<Span>) {
        let Some(accepted) = self.tries.get(&id).filter(|t| !t.finished && how != TryOutcome::Completed)
        else {
            return;
        };
        let (in_flight, ended) =
            self.in_flight.get(&(accepted.node, accepted.key)).copied().unwrap_or((0, accepted.accepted_at));
        let idle = at.since(ended.max(accepted.accepted_at));
        if in_flight == 0
            && idle
                > self.parameters.objectives[accepted.class].0 * MAX_IDLE_SHARE
                    + self.parameters.max_unseen_time
        {
            self.report_violation(
                Rule::Waited,
                at,
                format!("try {id} was given up {idle} after the last attempt in flight for it"),
            );
        }
        if how == TryOutcome::Rejected
            && self.parameters.sends_retry_after
            && advice.is_none_or(Span::is_zero)
        {
            self.report_violation(
                Rule::Waited,
                at,
                format!("try {id} was rejected without a retry-after time"),
            );
        }
    }

    /// Records that an attempt for this key begins or ends.
    pub(super) fn track_in_flight(&mut self, at: Time, node: NodeId, key: KeyId, begins: bool) {
        let (in_flight, ended) = self.in_flight.entry((node, key)).or_insert((0, at));
        (*in_flight, *ended) =
            if begins { (*in_flight + 1, *ended) } else { (in_flight.saturating_sub(1), at) };
        if self.in_flight.len() > MAX_IDLE_KEYS {
            let longest = self.parameters.objectives.iter().map(|(aim, ..)| *aim).max().unwrap_or_default();
            self.in_flight.retain(|_, (in_flight, ended)| *in_flight > 0 || at.since(*ended) <= longest);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Scenario;

    /// Keys without an attempt in flight stay within `MAX_IDLE_KEYS` while keys go idle one after another, each for
    /// longer than the longest latency objective.
    #[test]
    fn idle_keys_are_remembered_within_their_bound() {
        let run_spec = Scenario::default().draw(1).expect("the defaults make a day");
        let mut checker = InvariantChecker::new(&run_spec);
        checker.record(Time::ZERO, &Event::Notified { node: 0, of: 0, phase: Phase::Ready, started: None });
        let (mut most, keys) = (0, 3 * MAX_IDLE_KEYS as u64);
        for n in 0..keys {
            let at = Time(1_000 * n);
            let until = Time(at.0 + 1_000_000);
            checker.record(
                at,
                &Event::RequestStarted { ask: n, class: 0, tenant: None, key: n as KeyId, work: 50_000.0 },
            );
            checker.record(at, &Event::TryAccepted { id: n, ask: n, node: 0, until });
            checker
                .record(at, &Event::Sent { id: n, attempt: 0, node: 0, to: 0, crosses: false, wait: None });
            checker.record(at, &Event::Ended { id: n, attempt: 0, how: AttemptOutcome::Success });
            most = most.max(checker.in_flight.len());
        }
        assert!(most <= MAX_IDLE_KEYS, "{most} keys remembered of {keys}");
    }
}

//! Rule two: retries and hedged requests stay within the limits of the request's class.

use super::*;

impl InvariantChecker {
    /// Checks an attempt of a try, the first or a further one, against the limits of the try's class.
    /// `check_target` checks the choice of the attempt's box.
    pub(super) fn check_attempt(&mut self, at: Time, id: TryId, attempt: u32, node: NodeId) {
        let (hedging_allowed, max_attempts) = (self.parameters.second_copies, self.parameters.max_attempts);
        let client_left = self.check_departed(at, id);
        let Some(accepted) = self.tries.get_mut(&id).filter(|t| !t.finished || client_left) else {
            if !client_left {
                self.report_violation(
                    Rule::Lost,
                    at,
                    format!("try {id} was forwarded after its final answer"),
                );
            }
            return;
        };
        let in_flight = accepted.attempts.iter().filter(|s| s.ended.is_none()).count();
        let mut ran = accepted.attempts.iter().filter(|s| s.ended.is_none_or(AttemptOutcome::may_have_run));
        let (effect, window) = self.parameters.effects[accepted.class];
        let violation = match effect {
            _ if accepted.attempts.len() >= max_attempts as usize => Some("more often than is allowed"),
            _ if in_flight > usize::from(hedging_allowed) => {
                Some("while as many attempts as are allowed were in flight")
            }
            Effect::Free => None,
            Effect::SingleShot => ran.next().map(|_| "though it may have run"),
            Effect::Guarded => {
                ran.any(|s| at > s.at + window).then_some("past the time in which repeats are dropped")
            }
        };
        accepted.attempts.push(SentAttempt { number: attempt, at, ended: None });
        let key = accepted.key;
        self.track_in_flight(at, node, key, true);
        if let Some(violation) = violation {
            self.report_violation(Rule::Repeated, at, format!("try {id} was forwarded {violation}"));
        }
    }

    pub(super) fn attempt_ended(&mut self, at: Time, id: TryId, attempt: u32, how: AttemptOutcome) {
        self.verdict.overloaded_attempts += u64::from(how == AttemptOutcome::Overloaded);
        self.verdict.timed_out += u64::from(how == AttemptOutcome::TimedOut);
        if let Some(accepted) = self.tries.get_mut(&id) {
            let sent = accepted.attempts.iter_mut().find(|s| s.number == attempt && s.ended.is_none());
            if let Some(sent) = sent {
                sent.ended = Some(how);
                let (node, key) = (accepted.node, accepted.key);
                self.track_in_flight(at, node, key, false);
            }
            self.remove_if_ended(id);
        }
    }
}

//! Rule two: retries and hedged requests stay within the limits of the request's class.

use super::*;

impl Referee {
    /// Checks a further attempt of a try. The choice of its box is checked elsewhere.
    pub(super) fn repeats(&mut self, at: Time, id: TryId, attempt: u32, node: NodeId) {
        let (copies, most) = (self.terms.second_copies, self.terms.most_attempts);
        let crosses = self.begun_after_leaving(at, id);
        let Some(taken) = self.tries.get_mut(&id).filter(|t| !t.done || crosses) else {
            if !crosses {
                self.breach(Rule::Lost, at, format!("try {id} was sent on after its end"));
            }
            return;
        };
        let out = taken.sent.iter().filter(|s| s.ended.is_none()).count();
        let mut ran = taken.sent.iter().filter(|s| s.ended.is_none_or(Ended::may_have_run));
        let (effect, window) = self.terms.effects[taken.class];
        let wrong = match effect {
            _ if taken.sent.len() >= most as usize => Some("more often than is allowed"),
            _ if out > usize::from(copies) => Some("while as many attempts as are allowed were out"),
            Effect::Free => None,
            Effect::SingleShot => ran.next().map(|_| "though it may have run"),
            Effect::Guarded => {
                ran.any(|s| at > s.at + window).then_some("past the time in which repeats are dropped")
            }
        };
        taken.sent.push(Sent { number: attempt, at, ended: None });
        let key = taken.key;
        self.is_out(at, node, key, true);
        if let Some(wrong) = wrong {
            self.breach(Rule::Repeated, at, format!("try {id} was sent on {wrong}"));
        }
    }

    pub(super) fn ended(&mut self, at: Time, id: TryId, attempt: u32, how: Ended) {
        self.verdict.turned_away += u64::from(how == Ended::Overloaded);
        self.verdict.timed_out += u64::from(how == Ended::TimedOut);
        if let Some(taken) = self.tries.get_mut(&id) {
            let sent = taken.sent.iter_mut().find(|s| s.number == attempt && s.ended.is_none());
            if let Some(sent) = sent {
                sent.ended = Some(how);
                let (node, key) = (taken.node, taken.key);
                self.is_out(at, node, key, false);
            }
            self.forget(id);
        }
    }
}

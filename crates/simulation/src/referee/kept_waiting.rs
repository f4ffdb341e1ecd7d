//! Prompt rejections: a rejected or failed try is answered without delay, and a rejection carries a retry-after time.

use super::*;

/// Longest time without an attempt in flight before a rejection or failure, as a share of the latency objective.
const HELD: f64 = 0.5;
/// Number of remembered keys beyond which idle keys are dropped once they have been idle for the longest objective.
const MOST_IDLE_KEYS: usize = 10_000;

impl Referee {
    /// Checks that a rejection or failure doesn't follow a long time without an attempt in flight for the try or, as
    /// answers may be shared, for its key at its node.
    pub(super) fn gave_up_on(&mut self, at: Time, id: TryId, how: How, advice: Option<Span>) {
        let Some(taken) = self.tries.get(&id).filter(|t| !t.done && how != How::Completed) else { return };
        let (out, ended) = self.out.get(&(taken.node, taken.key)).copied().unwrap_or((0, taken.at));
        let held = at.since(ended.max(taken.at));
        if out == 0 && held > self.terms.aims[taken.class].0 * HELD + self.terms.unseen {
            self.breach(
                Rule::Waited,
                at,
                format!("try {id} was given up {held} after anything was out for it"),
            );
        }
        if how == How::Rejected && self.terms.advises && advice.is_none_or(Span::is_zero) {
            self.breach(Rule::Waited, at, format!("try {id} was refused and not told when to come back"));
        }
    }

    /// Records that an attempt for this key begins or ends.
    pub(super) fn is_out(&mut self, at: Time, node: NodeId, key: KeyId, begins: bool) {
        let (out, ended) = self.out.entry((node, key)).or_insert((0, at));
        (*out, *ended) = if begins { (*out + 1, *ended) } else { (out.saturating_sub(1), at) };
        if self.out.len() > MOST_IDLE_KEYS {
            let longest = self.terms.aims.iter().map(|(aim, ..)| *aim).max().unwrap_or_default();
            self.out.retain(|_, (out, ended)| *out > 0 || at.since(*ended) <= longest);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Scenario;

    /// Keys without an attempt in flight stay within `MOST_IDLE_KEYS` while keys go idle one after another, each for
    /// longer than the longest latency objective.
    #[test]
    fn keys_with_nothing_out_are_remembered_within_their_bound() {
        let day = Scenario::default().draw(1).expect("the defaults make a day");
        let mut referee = Referee::new(&day);
        referee.record(Time::ZERO, &Event::Told { node: 0, of: 0, phase: Phase::Ready, started: None });
        let (mut most, keys) = (0, 3 * MOST_IDLE_KEYS as u64);
        for n in 0..keys {
            let at = Time(1_000 * n);
            let until = Time(at.0 + 1_000_000);
            referee.record(
                at,
                &Event::Asked { ask: n, class: 0, tenant: None, key: n as KeyId, work: 50_000.0 },
            );
            referee.record(at, &Event::Taken { id: n, ask: n, node: 0, until });
            referee
                .record(at, &Event::Sent { id: n, attempt: 0, node: 0, to: 0, crosses: false, wait: None });
            referee.record(at, &Event::Ended { id: n, attempt: 0, how: Ended::Success });
            most = most.max(referee.out.len());
        }
        assert!(most <= MOST_IDLE_KEYS, "{most} keys remembered of {keys}");
    }
}

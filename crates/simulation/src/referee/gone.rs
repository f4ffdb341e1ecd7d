//! Disconnected clients: no attempt, the first or a further one, starts for a client more than 0.1 s after it closed its
//! connection or cancelled.
//!
//! On sockets an attempt may start within that time because the close is still under way. In virtual time the node is
//! notified at once, and any later attempt violates rule one, unless the client left at its deadline and still needs an
//! answer.

use super::*;

/// An attempt that starts within this time may have crossed the client's disconnect.
const CROSSING: Span = Span::from_millis(100);
/// Number of remembered tries beyond which old ones are dropped.
const MOST_LEFT: usize = 10_000;
/// Age at which a remembered try may be dropped.
const LONG_AGO: Span = Span::from_millis(60_000);

/// Tries whose client has left, and when.
#[derive(Default)]
pub(super) struct Left {
    at: FxHashMap<TryId, Time>,
}

impl Left {
    pub fn leaves(&mut self, at: Time, id: TryId) {
        self.at.entry(id).or_insert(at);
        if self.at.len() > MOST_LEFT {
            self.at.retain(|_, left| at.since(*left) <= LONG_AGO);
        }
    }
}

impl Referee {
    /// Reports an attempt that starts too long after its client left. Returns whether the client has left and rule one
    /// doesn't apply to the attempt.
    pub(super) fn begun_after_leaving(&mut self, at: Time, id: TryId) -> bool {
        let Some(left) = self.left.at.get(&id).copied() else { return false };
        let owed = self.tries.get(&id).is_some_and(|taken| !taken.done);
        if !self.terms.leaving_crosses && !owed {
            return false;
        }
        let after = at.since(left);
        if after > CROSSING {
            let what = format!("try {id} was sent on {after} after its client had left");
            self.breach(Rule::Gone, at, what);
        }
        true
    }
}

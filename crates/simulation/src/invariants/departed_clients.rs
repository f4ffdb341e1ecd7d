//! Disconnected clients: no attempt, the first or a further one, starts for a client more than 0.1 s after it closed
//! its connection or cancelled.
//!
//! On sockets an attempt may start within that time because the close is still under way. In virtual time the node is
//! notified at once, and any later attempt violates rule one, unless the client left at its deadline and still needs an
//! answer.

use super::*;

/// An attempt that starts within this time after its client left may have crossed the client's disconnect.
const CROSSING_TIME: Span = Span::from_millis(100);
/// Number of remembered tries beyond which old ones are dropped.
const MAX_DEPARTED_TRIES: usize = 10_000;
/// Age at which a remembered try may be dropped.
const DEPARTED_RETENTION: Span = Span::from_millis(60_000);

/// Tries whose client has left, and when.
#[derive(Default)]
pub(super) struct DepartedClients {
    left_at: FxHashMap<TryId, Time>,
}

impl DepartedClients {
    pub fn record(&mut self, at: Time, id: TryId) {
        self.left_at.entry(id).or_insert(at);
        if self.left_at.len() > MAX_DEPARTED_TRIES {
            self.left_at.retain(|_, left| at.since(*left) <= DEPARTED_RETENTION);
        }
    }
}

impl InvariantChecker {
    /// Reports an attempt that starts too long after its client left. Returns whether the client has left and rule one
    /// doesn't apply to the attempt.
    pub(super) fn check_departed(&mut self, at: Time, id: TryId) -> bool {
        let Some(left) = self.departed_clients.left_at.get(&id).copied() else { return false };
        let needs_answer = self.tries.get(&id).is_some_and(|accepted| !accepted.finished);
        if !self.parameters.disconnects_cross && !needs_answer {
            return false;
        }
        let after = at.since(left);
        if after > CROSSING_TIME {
            let what = format!("try {id} was forwarded {after} after its client had disconnected");
            self.report_violation(Rule::Gone, at, what);
        }
        true
    }
}

//! Deadline propagation: the wait time that an attempt carries to its cache server is at most the client's remaining
//! time plus some slack. This holds for the first attempt, for retries and for hedged requests.

use super::*;

impl InvariantChecker {
    /// Checks the wait time that an attempt carries to its server.
    pub(super) fn check_wait(&mut self, at: Time, id: TryId, wait: Option<Span>) {
        let Some((wait, accepted)) = wait.zip(self.tries.get(&id)) else { return };
        let left = accepted.deadline.since(at);
        if wait > left + self.parameters.wait_slack {
            let what =
                format!("try {id} was forwarded with a wait of {wait}, but its client had {left} left");
            self.report_violation(Rule::Lost, at, what);
        }
    }
}

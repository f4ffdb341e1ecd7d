//! Deadline propagation: the wait time that an attempt carries to its cache server is at most the client's remaining
//! time plus some slack. This holds for the first attempt, for retries and for hedged requests.

use super::*;

impl Referee {
    /// Checks the wait time that an attempt carries to its server.
    pub(super) fn tells_wait(&mut self, at: Time, id: TryId, wait: Option<Span>) {
        let Some((wait, taken)) = wait.zip(self.tries.get(&id)) else { return };
        let left = taken.until.since(at);
        if wait > left + self.terms.wait_slack {
            let what = format!("try {id} was sent on with {wait} told, and its client had {left} left");
            self.breach(Rule::Lost, at, what);
        }
    }
}

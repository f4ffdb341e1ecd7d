//! Subscription to the endpoint list where it has to be polled: when discovery is called, and the backoff
//! after a failure.

use crate::interface::Seconds;

/// Share of the poll interval after which a call without an answer counts as failed.
const CALL_TIMEOUT_SHARE: f64 = 0.5;
/// Mean backoff after the first failure, as a share of the poll interval.
const FIRST_BACKOFF_SHARE: f64 = 0.13;
/// Least mean backoff after the first failure.
const MIN_FIRST_BACKOFF: Seconds = 0.1;
/// Greatest mean backoff after the first failure.
const MAX_FIRST_BACKOFF: Seconds = 0.2;
/// Number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 2;

/// Whether the list is subscribed to, and when the next call is due.
#[derive(Default)]
pub(super) struct EndpointSubscription {
    subscribed: bool,
    /// Time at which the pending call was made.
    called_at: Option<Seconds>,
    /// Time before which discovery is not called, set by the backoff.
    next_call_at: Seconds,
    /// Failed calls since the list or a change of it last arrived.
    failed_calls: u32,
}

impl EndpointSubscription {
    /// Whether discovery is to be called now; if so, the call is noted as made.
    pub(super) fn call_if_due(&mut self, now: Seconds, poll_interval: Seconds) -> bool {
        let is_due = match self.called_at {
            Some(called_at) => now - called_at > poll_interval * CALL_TIMEOUT_SHARE,
            None => now >= self.next_call_at,
        };
        let should_call = is_due && !self.subscribed;
        if should_call {
            self.called_at = Some(now);
        }
        should_call
    }

    /// The list, or a change of it, has arrived.
    pub(super) fn succeeded(&mut self) {
        self.subscribed |= self.called_at.take().is_some();
        self.failed_calls = 0;
    }

    /// A call has failed, or the subscription broke. Nodes whose calls failed at the same moment must not
    /// call again at the same moment; yet a call that hangs, this backoff and a call that succeeds fit
    /// into 6 s, or into four poll intervals if that is less. `random` is from 0 to 1.
    pub(super) fn failed(&mut self, now: Seconds, poll_interval: Seconds, random: f64) {
        let first = (FIRST_BACKOFF_SHARE * poll_interval).clamp(MIN_FIRST_BACKOFF, MAX_FIRST_BACKOFF);
        let doubled = first * f64::from(2u32 << self.failed_calls.min(MAX_DOUBLINGS));
        let backoff = doubled * (0.25 + 0.5 * random);
        self.subscribed = false;
        self.called_at = None;
        self.next_call_at = now + backoff;
        self.failed_calls += 1;
    }
}

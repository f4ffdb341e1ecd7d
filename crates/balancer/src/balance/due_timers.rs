//! Timers of requests, multiplexed onto one timer of the host.

use std::collections::BTreeSet;

use crate::interface::{RequestId, Seconds};

/// Tolerance within which a timer counts as due: hosts that count in microseconds fire up to this much early.
pub(super) const TIMER_TOLERANCE: Seconds = 1e-5;

/// What a timer of a request is for.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum TimerKind {
    /// The request's time to be answered is almost over.
    GiveUp,
    /// The request's last attempt is late.
    Late,
}

/// Timers in order, and the host timer that is set for the first of them. Host timers cannot be cancelled:
/// with one host timer for each request, most would fire for requests that were answered long ago.
#[derive(Default)]
pub(super) struct DueTimers {
    /// Times are stored as their bit patterns, which sort like the (non-negative) times.
    queue: BTreeSet<(u64, TimerKind, RequestId)>,
    /// Time for which the host timer was last set; `None` once that timer has fired.
    armed_for: Option<Seconds>,
}

impl DueTimers {
    pub(super) fn schedule(&mut self, at: Seconds, kind: TimerKind, request: RequestId) {
        self.queue.insert((at.to_bits(), kind, request));
    }

    pub(super) fn cancel(&mut self, at: Seconds, kind: TimerKind, request: RequestId) {
        self.queue.remove(&(at.to_bits(), kind, request));
    }

    /// Notes that the host's timer has fired.
    pub(super) fn fired(&mut self, now: Seconds) {
        self.armed_for = self.armed_for.filter(|at| *at > now + TIMER_TOLERANCE);
    }

    /// Removes and returns the first timer that is due.
    pub(super) fn pop_due(&mut self, now: Seconds) -> Option<(TimerKind, RequestId)> {
        let (at, kind, request) = *self.queue.first()?;
        if f64::from_bits(at) > now + TIMER_TOLERANCE {
            return None;
        }
        self.queue.pop_first();
        Some((kind, request))
    }

    /// The delay after which the host's timer has to fire; `None` if it is already set early enough.
    pub(super) fn arm(&mut self, now: Seconds) -> Option<Seconds> {
        let (first, ..) = self.queue.first()?;
        let at = f64::from_bits(*first);
        if self.armed_for.is_some_and(|armed| armed <= at) {
            return None;
        }
        self.armed_for = Some(at);
        Some((at - now).max(0.0))
    }

    pub(super) fn len(&self) -> usize {
        self.queue.len()
    }

    #[cfg(test)]
    pub(super) fn requests(&self) -> impl Iterator<Item = &RequestId> {
        self.queue.iter().map(|(_, _, request)| request)
    }
}

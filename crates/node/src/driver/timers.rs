//! Timers of the driver, and detection of scheduling delays from timers that fire late.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use hallpin_balancer::*;
use hallpin_protocol as protocol;
use tokio::time::Instant;
use tracing::warn;

use super::state::{Driver, Timer};
use crate::metrics::RequestOutcome;

/// A timer that fires later than this indicates a scheduling delay. Input read within this time after a delay may have
/// arrived during it.
const MIN_SCHEDULING_DELAY: Duration = Duration::from_millis(20);
/// Number of scheduling delays that are kept. A command may be complete long after its first byte was read, and later
/// delays must not evict the one before its first byte. Each lasts for more than [`MIN_SCHEDULING_DELAY`],
/// so together they reach back for as long as a client may take to send a command.
const MAX_SCHEDULING_DELAYS: usize = 128;

/// Recent scheduling delays, detected from timers that fired late; the oldest is first.
#[derive(Debug, Default)]
pub(super) struct SchedulingDelays(VecDeque<SchedulingDelay>);

/// A period in which the node did not run.
#[derive(Clone, Copy, Debug)]
struct SchedulingDelay {
    from: Instant,
    until: Instant,
}

impl SchedulingDelays {
    /// Records a delay if a timer that was due at `due` is handled much later, at `now`.
    pub(super) fn record(&mut self, due: Instant, now: Instant) {
        if now <= due + MIN_SCHEDULING_DELAY {
            return;
        }
        if self.0.len() >= MAX_SCHEDULING_DELAYS {
            self.0.pop_front();
        }
        self.0.push_back(SchedulingDelay { from: due, until: now });
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    /// Earliest time at which input read at `read` may have arrived: the start of the last delay that had begun by
    /// then if that delay had not ended or had only just ended, otherwise `read` itself.
    fn unread_since(&self, read: Instant) -> Instant {
        let last = self.0.iter().rev().find(|delay| delay.from <= read);
        last.filter(|delay| read < delay.until + MIN_SCHEDULING_DELAY).map_or(read, |delay| delay.from)
    }
}

/// Timers that are kept without a look at whether their requests have ended.
const MIN_TIMERS_TO_COMPACT: usize = 1024;

/// Timers by the time at which they are due. Those of requests that have ended are dropped once they are about half of
/// all, so their number follows the requests in flight and not the rate of requests.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Instant, Timer)>>,
    /// Number of timers after the last look.
    compacted: usize,
}

impl Timers {
    /// Adds a timer. `is_active` tells whether a request has not ended.
    pub(super) fn push(&mut self, at: Instant, timer: Timer, is_active: impl Fn(RequestId) -> bool) {
        self.heap.push(Reverse((at, timer)));
        if self.heap.len() < MIN_TIMERS_TO_COMPACT.max(2 * self.compacted) {
            return;
        }
        self.heap.retain(|Reverse((_, timer))| match *timer {
            Timer::Backstop(request) | Timer::AttemptTimeout(request, _) => is_active(RequestId(request)),
            Timer::Balancer(_) => true,
        });
        self.heap.shrink_to(2 * self.heap.len());
        self.compacted = self.heap.len();
    }

    /// When the next timer is due.
    pub(super) fn next_due(&self) -> Option<Instant> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes and returns the timers that are due at `now`, the earliest first.
    fn take_due(&mut self, now: Instant) -> Vec<Timer> {
        let mut due = Vec::new();
        while self.next_due().is_some_and(|at| at <= now) {
            due.extend(self.heap.pop().map(|Reverse((_, timer))| timer));
        }
        due
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.heap.len()
    }

    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        self.heap.is_empty()
    }

    #[cfg(test)]
    pub(super) fn iter(&self) -> impl Iterator<Item = &Reverse<(Instant, Timer)>> {
        self.heap.iter()
    }
}

impl Driver {
    /// Sets a timer.
    pub(super) fn set_timer(&mut self, at: Instant, timer: Timer) {
        let requests = &self.requests;
        self.timers.push(at, timer, |request| requests.contains_key(&request));
    }

    /// Earliest time at which a command may have arrived whose first byte was read at `at`. While a timer is or was
    /// long overdue the node did not run, and the command may have been waiting in the socket. Counted from the read
    /// alone, its answer could miss the client's deadline by the length of the delay.
    pub(super) fn earliest_arrival(&self, at: Instant) -> Instant {
        let oldest_due = self.timers.next_due().unwrap_or(at);
        self.scheduling_delays.unread_since(at).min(oldest_due)
    }

    /// Fires all timers that are due. Timers set meanwhile wait for the next call.
    pub(super) fn fire_due_timers(&mut self) {
        for timer in self.timers.take_due(Instant::now()) {
            self.event_time = Instant::now();
            match timer {
                Timer::Balancer(token) => self.handle_event(Event::Timer(TimerToken(token))),
                Timer::AttemptTimeout(request, attempt) => {
                    self.abandon_attempt(RequestId(request), AttemptId(attempt), Status::TimedOut);
                    self.process_events();
                }
                Timer::Backstop(id) => {
                    let id = RequestId(id);
                    if self.answer(id, protocol::FAILED.into(), RequestOutcome::Failed) {
                        if let Some(suppressed) = self.overdue_log.pass(self.event_time) {
                            warn!(
                                request = id.0,
                                suppressed, "no answer near its deadline; failing the request"
                            );
                        }
                        self.handle_event(Event::ClientLeft(id));
                    }
                    self.clean_up(id);
                }
            }
        }
    }
}

/// Converts the balancer's seconds, which are finite; a negative time becomes zero.
pub(super) fn duration(seconds: Seconds) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}

//! Timers of the driver, and detection of scheduling delays from timers that fire late.

use std::cmp::Reverse;
use std::collections::VecDeque;
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

impl Driver {
    /// Earliest time at which a command may have arrived whose first byte was read at `at`. While a timer is or was
    /// long overdue the node did not run, and the command may have been waiting in the socket. Counted from the read
    /// alone, its answer could miss the client's deadline by the length of the delay.
    pub(super) fn earliest_arrival(&self, at: Instant) -> Instant {
        let oldest_due = self.timers.peek().map_or(at, |Reverse((due, _))| *due);
        self.scheduling_delays.unread_since(at).min(oldest_due)
    }

    /// Fires all timers that are due. Timers set meanwhile wait for the next call.
    pub(super) fn fire_due_timers(&mut self) {
        let now = Instant::now();
        let mut due = Vec::new();
        while let Some(Reverse((at, timer))) = self.timers.peek().filter(|t| t.0 .0 <= now) {
            due.push((*at, *timer));
            self.timers.pop();
        }
        for (_, timer) in due {
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

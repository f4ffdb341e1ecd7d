//! How far a connection has come towards its end: what it still takes, what it waits for, and what ends it.
//! `docs/design/connection-end.md` has the table and the reasons.

use tokio::time::Instant;

use super::client::Client;
use crate::lifecycle::{LifecycleState, Phase};

/// Stage of a connection. Input that arrives in any but the last is taken and answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Commands are served, and the connection is kept between them.
    Open,
    /// Commands are served. The connection ends as soon as it is between requests.
    Closing,
    /// Commands are rejected at once, as no time is left to serve them. The connection ends as soon as it is between
    /// requests.
    Rejecting,
    /// Input is discarded. The connection ends as soon as its answers are sent.
    Flushing,
}

impl Stage {
    /// Whether the connection ends as soon as it is between requests.
    pub(super) fn ends_between_requests(self) -> bool {
        matches!(self, Stage::Closing | Stage::Rejecting)
    }
}

/// The times at which a connection moves on while clients are sent away.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StageTimes {
    pub(super) closing_at: Option<Instant>,
    pub(super) rejecting_at: Option<Instant>,
}

impl StageTimes {
    /// Stage of a connection that takes input and that nothing but these times ends.
    fn stage(&self, now: Instant) -> Stage {
        let is_past = |at: Option<Instant>| at.is_some_and(|at| at <= now);
        match () {
            () if is_past(self.rejecting_at) => Stage::Rejecting,
            () if is_past(self.closing_at) => Stage::Closing,
            () => Stage::Open,
        }
    }

    /// When the connection moves on next.
    pub(super) fn next_after(&self, now: Instant) -> Option<Instant> {
        [self.closing_at, self.rejecting_at].into_iter().flatten().filter(|at| *at > now).min()
    }
}

impl Client {
    /// The times of this connection. Until it closes it is used as usual; one that is opened later gets its first
    /// answer, unless the process will have ended by then.
    pub(super) fn stage_times(&self, phase: &Phase) -> StageTimes {
        let Some((drain_start, close_idle_at)) = phase.draining_since().zip(phase.close_idle_at()) else {
            return StageTimes::default();
        };
        let is_new = self.opened_at >= close_idle_at
            && phase.state == LifecycleState::Draining
            && self.last_answer_at.is_none();
        if is_new {
            return StageTimes::default();
        }
        // If another process accepts the client at once, a close right after an answer crosses with no request.
        let answered_at = self.last_answer_at.filter(|at| phase.has_successor && *at >= drain_start);
        StageTimes { closing_at: Some(answered_at.unwrap_or(close_idle_at)), rejecting_at: phase.reject_at() }
    }

    /// The stage at `now`.
    pub(super) fn stage_at(&self, times: &StageTimes, now: Instant) -> Stage {
        match times.stage(now) {
            _ if self.input_closed => Stage::Flushing,
            Stage::Open if self.ending => Stage::Closing,
            stage => stage,
        }
    }
}

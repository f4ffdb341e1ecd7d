//! A request and its attempts, kept until the last attempt has ended.

use crate::interface::{AttemptId, Key, Seconds, ServerId, Status};

/// One attempt of a request.
pub(super) struct Attempt {
    pub(super) server: ServerId,
    pub(super) sent_at: Seconds,
    /// Whether the attempt is expected to reach the origin.
    pub(super) to_origin: bool,
    /// How the attempt ended; `None` while it is in flight.
    pub(super) status: Option<Status>,
}

impl Attempt {
    pub(super) fn is_in_flight(&self) -> bool {
        self.status.is_none()
    }

    /// Whether the attempt may have run, or may still run.
    pub(super) fn may_have_run(&self) -> bool {
        self.status.is_none_or(Status::may_have_run)
    }
}

/// A request in progress.
#[derive(Default)]
pub(super) struct Request {
    /// Index of the request's class in the settings.
    pub(super) class: usize,
    pub(super) key: Key,
    pub(super) write: bool,
    pub(super) arrived_at: Seconds,
    /// When the client stops waiting.
    pub(super) deadline: Seconds,
    /// Work hint, in core time; 0 if there is none.
    pub(super) work: Seconds,
    /// Whether the tenant was over its quota at this node when the request arrived.
    pub(super) over_quota: bool,
    /// When the request is ended if it has no answer.
    pub(super) give_up_at: Seconds,
    /// When the last attempt becomes late; 0 before the first attempt.
    pub(super) late_at: Seconds,
    /// Index at which the request starts on its key's probe sequence; it grows with the recent requests for
    /// the key.
    pub(super) first_probe: u64,
    pub(super) attempts: Vec<Attempt>,
    /// A cache server lacked the key, so the origin is asked next (cache-aside mode).
    pub(super) missed: bool,
    /// The client already reads an answer.
    pub(super) streaming: bool,
    /// The request has its final answer, or its client has left.
    pub(super) ended: bool,
}

impl Request {
    pub(super) fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight()).count()
    }

    /// Ids of the attempts in flight.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = AttemptId> + '_ {
        let numbered = (0..).map(AttemptId).zip(&self.attempts);
        numbered.filter(|(_, attempt)| attempt.is_in_flight()).map(|(number, _)| number)
    }

    /// Whether any attempt of the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }

    /// Whether an attempt was sent to this server and ended otherwise than by a missing key.
    pub(super) fn has_tried(&self, server: &ServerId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.server == *server && attempt.status != Some(Status::Absent))
    }
}

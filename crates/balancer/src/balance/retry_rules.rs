//! The rules by which an attempt may be sent and a request may be rejected. They bind every node.

use super::request::{Attempt, Request};
use super::server::Server;
use super::state::BalancerState;
use crate::interface::{Class, DeduplicationScope, Effect, ServerId};

impl BalancerState {
    /// Whether one more attempt of a request may be sent to this server.
    pub(super) fn may_send(&self, request: &Request, id: &ServerId, server: &Server) -> bool {
        let limits = &self.settings.limits;
        let is_over = request.ended || request.streaming || self.now >= request.deadline;
        let has_no_attempts_left = request.attempts.len() >= limits.max_attempts as usize;
        let has_too_many_in_flight = request.attempts_in_flight() > usize::from(limits.hedging);
        if !server.is_ready() || is_over || has_no_attempts_left || has_too_many_in_flight {
            return false;
        }
        let class = self.class(request);
        let mut may_have_run = request.attempts.iter().filter(|attempt| attempt.may_have_run());
        match class.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => may_have_run.next().is_none(),
            Effect::Deduplicated => may_have_run.all(|attempt| {
                let within_window =
                    self.now + self.settings.event_interval < attempt.sent_at + class.deduplication_window;
                within_window && self.drops_repeats(class, attempt, id, server)
            }),
        }
    }

    /// Whether this server deduplicates a repeat of an earlier attempt with an idempotency key.
    fn drops_repeats(&self, class: &Class, attempt: &Attempt, id: &ServerId, server: &Server) -> bool {
        match (class.deduplication_scope, self.servers.get(&attempt.server)) {
            (DeduplicationScope::All, _) => true,
            (_, None) => attempt.server == *id,
            (DeduplicationScope::Zone, Some(earlier)) => earlier.entry().zone == server.entry().zone,
            (DeduplicationScope::Cell, Some(earlier)) => earlier.entry().cell == server.entry().cell,
        }
    }

    /// Whether a request may be rejected, which promises the client that a retry is harmless.
    pub(super) fn may_reject(&self, request: &Request) -> bool {
        let class = self.class(request);
        class.effect == Effect::Idempotent
            || (class.effect == Effect::Deduplicated && class.deduplication_scope == DeduplicationScope::All)
            || !request.may_have_run()
    }
}

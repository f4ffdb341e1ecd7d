//! Requests from their command to their single final answer, and the cleanup after it.

use std::rc::Rc;
use std::time::Duration;

use hallpin_balancer::*;
use hallpin_protocol::{self as protocol, Command, Verb};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::debug;

use super::state::{ActiveRequest, Attempt, Driver, Timer};
use crate::answer::Answer;
use crate::message::{Admission, ClientState, RequestMemory};
use crate::metrics::{RequestGuard, RequestOutcome};
use crate::opaque_ids::OpaqueHash;
use crate::upstream::ServedAnswer;

/// Allowance for the time between the client's send and this node's read of a request.
const MARGIN: Duration = Duration::from_millis(2);

/// Time after which a client may retry a request for which no memory was left.
const RETRY_AFTER_SHORTAGE: Duration = Duration::from_millis(200);

/// A command that a client has sent, as the driver receives it ([`crate::message::Message::Request`]).
pub(super) struct NewCommand {
    pub(super) id: RequestId,
    pub(super) command: Command,
    pub(super) at: Instant,
    pub(super) admission: Admission,
    pub(super) reply: oneshot::Sender<Answer>,
    pub(super) gone: ClientState,
    pub(super) memory: Option<RequestMemory>,
}

impl Driver {
    /// Starts a request, or answers it at once where its class is unknown, its id is in use, its time is over or it is
    /// not admitted.
    pub(super) fn start_request(&mut self, new: NewCommand) {
        let NewCommand { id, command, at, admission, reply, gone, memory } = new;
        // Invalid requests are not forwarded: cache servers reject them or close the connection, which would count
        // as a server fault. An answer under an id that is in use could be taken for another request's.
        let Some(class) = self.names.class(&command.class) else {
            return drop(reply.send(Answer::without_request(protocol::UNKNOWN_CLASS)));
        };
        let opaque_hash = OpaqueHash::of(&command.opaque());
        if self.opaque_ids.is_in_use(opaque_hash) {
            return drop(reply.send(Answer::without_request(protocol::ID_IN_USE)));
        }
        let request_guard = self.metrics.start_request(class.0);
        let deadline = self.deadline(&command, at);
        if deadline <= self.event_time || admission != Admission::Admit {
            // The deadline passed while the client was writing the request, its connection has to end, or no memory is
            // left. It gets an answer and no attempt.
            log_answer(id, &command, RequestOutcome::Rejected, Duration::ZERO);
            let is_shed = admission == Admission::Shed && self.sends_retry_after;
            let busy = protocol::busy(is_shed.then_some(RETRY_AFTER_SHORTAGE)).into();
            return drop(reply.send(Answer::final_answer(request_guard, busy, RequestOutcome::Rejected)));
        }
        let new = NewRequest {
            id,
            time_left: deadline.saturating_duration_since(self.event_time).as_secs_f64(),
            class: Some(class),
            tenant: command.tenant.as_deref().and_then(|name| self.names.tenant(name)),
            key: Some(command.key),
            write: command.verb == Verb::Set,
            work_hint: command.work_hint.map(|w| w.as_secs_f64()),
        };
        // The balancer ends a request two quanta before its deadline; half a quantum before it the backstop fails the
        // request. A timer set in the past would be taken for a scheduling delay, so it is due now at the earliest.
        let backstop = deadline.checked_sub(self.quantum / 2).unwrap_or(deadline).max(self.event_time);
        self.opaque_ids.open(opaque_hash, deadline);
        let (command, reply) = (Rc::new(command), Some((reply, request_guard)));
        let active = ActiveRequest {
            command,
            started_at: self.event_time,
            deadline,
            reply,
            attempts: Vec::new(),
            gone,
            _memory: memory,
        };
        self.requests.insert(id, active);
        self.set_timer(backstop, Timer::Backstop(id.0));
        self.handle_event(Event::Request(new));
    }

    /// Deadline of a command whose first byte was read at `first_byte`: when its client stops waiting, or when this
    /// process ends, whichever is earlier. Requests are answered before the process is killed.
    pub(super) fn deadline(&self, command: &Command, first_byte: Instant) -> Instant {
        let wait = command.wait.min(self.max_deadline).saturating_sub(MARGIN);
        let requested = self.earliest_arrival(first_byte) + wait;
        self.lifecycle.phase().answer_deadline.map_or(requested, |ends| requested.min(ends))
    }

    /// Limits the deadlines of active requests to the time at which the process ends, if it does.
    pub(super) fn limit_deadlines(&mut self, process_ends: Option<Instant>) {
        let Some(process_ends) = process_ends else { return };
        let backstop = process_ends.checked_sub(self.quantum / 2).unwrap_or(process_ends);
        let mut limited = Vec::new();
        for (id, active) in &mut self.requests {
            if active.deadline > process_ends {
                active.deadline = process_ends;
                limited.push(*id);
            }
        }
        for id in limited {
            self.set_timer(backstop, Timer::Backstop(id.0));
        }
    }

    /// Gives the final answer unless it has been given; returns whether the client will get it.
    pub(super) fn answer(&mut self, id: RequestId, answer: ServedAnswer, end: RequestOutcome) -> bool {
        let Some((reply, request_guard)) = self.take_reply(id) else { return false };
        if let Some(active) = self.requests.get(&id) {
            log_answer(id, &active.command, end, active.deadline.saturating_duration_since(self.event_time));
        }
        // Fails if the client has disconnected; its connection reports that.
        reply.send(Answer::final_answer(request_guard, answer, end)).is_ok()
    }

    /// Takes the reply channel, after which no answer can be given, and frees the request's opaque id for another.
    pub(super) fn take_reply(&mut self, id: RequestId) -> Option<(oneshot::Sender<Answer>, RequestGuard)> {
        let active = self.requests.get_mut(&id)?;
        let reply = active.reply.take()?;
        self.opaque_ids.close(OpaqueHash::of(&active.command.opaque()));
        Some(reply)
    }

    /// Keeps the opaque id of a request whose client has left from running again, up to the request's deadline: until then
    /// an attempt that was written may run. A class that may be repeated at any time needs no such care.
    pub(super) fn remember_opaque(&mut self, id: RequestId) {
        let Some(active) = self.requests.get(&id) else { return };
        let class = self.names.class(&active.command.class);
        let is_repeatable = class.is_some_and(|class| self.retry_windows[class.0].is_none());
        if !is_repeatable && active.attempts.iter().any(|attempt| attempt.written.get()) {
            self.opaque_ids.remember(OpaqueHash::of(&active.command.opaque()), active.deadline);
        }
    }

    /// Cleans up after a final answer. Attempts that still wait for a connection are abandoned, even if the settings
    /// forbid cancelling, as nothing may be sent after the final answer.
    pub(super) fn clean_up(&mut self, id: RequestId) {
        let Some(active) = self.requests.get(&id).filter(|active| active.reply.is_none()) else { return };
        let is_unsent = |attempt: &Attempt| attempt.task.is_some() && !attempt.written.get();
        let unsent: Vec<u32> =
            (0..).zip(&active.attempts).filter(|(_, attempt)| is_unsent(attempt)).map(|(n, _)| n).collect();
        for attempt in unsent {
            self.abandon_attempt(id, AttemptId(attempt), Status::Cancelled);
        }
        self.remove_if_finished(id);
    }

    /// Removes a request that has its answer and no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        let finished = |active: &ActiveRequest| {
            active.reply.is_none() && active.attempts.iter().all(|a| a.task.is_none())
        };
        if self.requests.get(&id).is_some_and(finished) {
            self.requests.remove(&id);
        }
    }
}

/// Logs the final answer of a request and the time left until its deadline.
fn log_answer(id: RequestId, command: &Command, end: RequestOutcome, left: Duration) {
    let opaque = command.opaque();
    let opaque = opaque.escape_ascii();
    debug!(request = id.0, %opaque, ?end, left = left.as_secs_f64(), "answer");
}

/// Logs that a client disconnected after its complete request and before the answer, with the time left until the
/// deadline.
pub(super) fn log_withdrawn(id: RequestId, command: &Command, left: Duration) {
    let opaque = command.opaque();
    let opaque = opaque.escape_ascii();
    debug!(request = id.0, %opaque, left = left.as_secs_f64(), "withdrawn");
}

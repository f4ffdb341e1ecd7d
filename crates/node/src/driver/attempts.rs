//! Attempts and health checks: each runs on its own task and has exactly one outcome.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hallpin_balancer::*;
use hallpin_protocol as protocol;
use tokio::time::Instant;
use tracing::debug;

use super::state::{Attempt, Driver, Timer};
use super::timers::duration;
use crate::message::Message;
use crate::metrics::RequestOutcome;
use crate::upstream::{AttemptResult, ServedAnswer, UpstreamCall};

/// An attempt that begins later than this after its request was started, as it was held back, counts as a further one.
const MAX_FIRST_ATTEMPT_DELAY: Duration = Duration::from_millis(50);

/// Retry window of each class: time after the first attempt that may have run within which another may be sent, `None`
/// if unlimited. It is one quantum shorter than the window in which servers drop duplicates, as written bytes take time
/// to arrive.
pub(super) fn retry_windows(settings: &Settings) -> Vec<Option<Duration>> {
    let limit = |class: &Class| match class.effect {
        Effect::Idempotent => None,
        Effect::Deduplicated => {
            Duration::try_from_secs_f64((class.deduplication_window - settings.event_interval).max(0.0)).ok()
        }
        Effect::NonIdempotent => Some(Duration::ZERO),
    };
    settings.classes.iter().map(limit).collect()
}

impl Driver {
    /// Starts a health check. At most one runs at a time, as the balancer waits longer between two than one takes.
    pub(super) fn check_health(&self, server: ServerId) {
        let (upstream, messages) = (self.upstream.clone(), self.messages.clone());
        tokio::task::spawn_local(async move {
            let status = upstream.check_health(&server).await;
            debug!(server = %server.0, ?status, "probe");
            // Fails only if the driver has ended, as it does when the process exits.
            let _ = messages.send(Message::HealthChecked { server, status });
        });
    }

    /// Sends an attempt, or reports it as void if it must not be sent.
    pub(super) fn send_attempt(&mut self, id: RequestId, server: ServerId, timeout: Option<Seconds>) {
        let now = self.event_time;
        let Some(active) = self.requests.get_mut(&id) else { return };
        let attempt = AttemptId(active.attempts.len() as u32);
        let until = timeout.map_or(active.deadline, |timeout| (now + duration(timeout)).min(active.deadline));
        let written = Rc::new(Cell::new(false));
        // Nothing is sent for a request that has its answer or whose client has disconnected, nor beyond the attempt
        // limit. What was sent before such a client left unseen goes on.
        let is_first = active.attempts.is_empty() && now < active.started_at + MAX_FIRST_ATTEMPT_DELAY;
        let finished = active.reply.is_none() || !active.gone.allows_attempt(is_first);
        let void = finished || active.attempts.len() >= self.max_attempts || until <= now;
        let opaque = active.command.opaque();
        let opaque = opaque.escape_ascii();
        debug!(request = id.0, %opaque, attempt = attempt.0, server = %server.0, void, "attempt");
        // An attempt over its tenant's quota at the server is void: it says nothing about the server, and the balancer
        // rejects the request at once with a time to retry after.
        let plane_runtime = self.plane_runtime.as_ref().filter(|_| !void);
        let quota_use = plane_runtime.map_or(Ok(None), |plane_runtime| {
            plane_runtime.begin_use(&server, active.command.tenant.as_deref())
        });
        let void = void || quota_use.is_err();
        let sent_attempt =
            plane_runtime.filter(|_| !void).and_then(|plane_runtime| plane_runtime.record_attempt(&server));
        let executions = active.attempts.first().map_or_else(Rc::default, |first| first.executions.clone());
        let task = (!void).then(|| {
            let (upstream, messages) = (self.upstream.clone(), self.messages.clone());
            let class = self.names.class(&active.command.class);
            let upstream_call = UpstreamCall {
                request: id,
                command: active.command.clone(),
                attempt,
                is_first,
                until,
                repeat_window: class.map_or(Some(Duration::ZERO), |class| self.retry_windows[class.0]),
                executions: executions.clone(),
                written: written.clone(),
                gone: active.gone.clone(),
            };
            let attempt_made = async move {
                let ended = upstream.attempt(&server, &upstream_call).await;
                // Fails only if the driver has ended, as it does when the process exits.
                let _ = messages.send(Message::Ended { request: id, attempt, ended });
            };
            tokio::task::spawn_local(attempt_made).abort_handle()
        });
        active.attempts.push(Attempt {
            started_at: now,
            written,
            executions,
            task,
            sent_attempt,
            quota_use: quota_use.ok().flatten(),
        });
        if void {
            self.report_outcome(id, attempt, Status::Void, None, now);
        } else {
            self.set_timer(until, Timer::AttemptTimeout(id.0, attempt.0));
        }
    }

    /// Aborts an attempt, which closes its connection, and reports its outcome.
    pub(super) fn abandon_attempt(&mut self, id: RequestId, attempt: AttemptId, status: Status) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(entry) = active.attempts.get_mut(attempt.0 as usize) else { return };
        let Some(task) = entry.task.take() else { return };
        task.abort();
        // A command that was not written completely never ran, so the request may be retried elsewhere.
        let status = match status {
            Status::TimedOut if !entry.written.get() => Status::Unreachable,
            status => status,
        };
        let started_at = entry.started_at;
        self.report_outcome(id, attempt, status, None, started_at);
        self.remove_if_finished(id);
    }

    /// Completes an attempt whose task has ended, and answers its request if there is an answer.
    pub(super) fn complete_attempt(&mut self, id: RequestId, attempt: AttemptId, ended: AttemptResult) {
        let Some(active) = self.requests.get_mut(&id) else { return };
        let Some(entry) = active.attempts.get_mut(attempt.0 as usize) else { return };
        // An abandoned attempt already has its outcome.
        if entry.task.take().is_none() {
            return;
        }
        if !ended.status.may_have_run() {
            entry.executions.record_never_ran(attempt);
        }
        let started_at = entry.started_at;
        let request_started_at = active.started_at;
        match ended.answer {
            // Once its beginning is passed on, nothing but the rest can follow it.
            Some(answer) if answer.body.is_some() && self.must_answer_whole(request_started_at) => {
                self.answer(id, protocol::FAILED.into(), RequestOutcome::Failed);
            }
            Some(answer) => {
                self.answer(id, answer, RequestOutcome::Completed);
            }
            None if ended.lacks_memory => {
                self.answer(id, ServedAnswer::without_memory(), RequestOutcome::Failed);
            }
            None => {}
        }
        self.report_outcome(id, attempt, ended.status, ended.note, started_at);
        self.clean_up(id);
    }

    /// Whether a request that started at `started_at` must have its whole answer before the process is killed.
    fn must_answer_whole(&self, started_at: Instant) -> bool {
        self.lifecycle.phase().whole_answers_from.is_some_and(|from| started_at >= from)
    }

    /// Reports the outcome of an attempt to the control plane, the log and the balancer.
    pub(super) fn report_outcome(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        status: Status,
        note: Option<CacheNote>,
        started_at: Instant,
    ) {
        let at = attempt.0 as usize;
        let ended = self.requests.get_mut(&request).and_then(|active| active.attempts.get_mut(at));
        if let (Some(plane_runtime), Some(ended)) = (&self.plane_runtime, ended) {
            if let Some(sent_attempt) = ended.sent_attempt.take() {
                plane_runtime.record_outcome(&sent_attempt, status);
            }
            if let Some(quota_use) = ended.quota_use.take() {
                plane_runtime.end_use(quota_use);
            }
        }
        let active = self.requests.get(&request);
        let finished = active.is_none_or(|active| active.reply.is_none());
        let opaque = active.map(|active| active.command.opaque()).unwrap_or_default();
        let opaque = opaque.escape_ascii();
        let elapsed = started_at.elapsed().as_secs_f64();
        debug!(request = request.0, %opaque, attempt = attempt.0, ?status, elapsed, finished, "outcome");
        self.events.push_back(Event::Outcome(Outcome {
            request,
            attempt,
            status,
            elapsed,
            finished,
            cache_note: note,
        }));
    }
}

//! Rule one: each request that a node has accepted gets exactly one final answer, in time, and a completion comes from
//! a box.
//!
//! In a planned restart, requests that are unanswered when the node exits by itself are lost. A request that is
//! unanswered at SIGKILL is lost if it was accepted later than [`STOP_GRACE`] after SIGTERM, and failed otherwise. A
//! request that was read and whose connection is closed without an answer is lost, on a new connection too: an
//! [`Event::Dropped`] is a violation at once, an accepted request is one at its deadline.
//!
//! Faults of cache servers, of the origin or of other clients don't excuse a missing answer, so this module ignores
//! their events.

use super::*;

/// A request accepted within this time after SIGTERM has its full deadline before SIGKILL.
const STOP_GRACE: Span = Span::from_millis(700);

/// An attempt that a node has sent to a box; `ended` is `None` while it is in flight.
pub(super) struct SentAttempt {
    pub number: u32,
    pub at: Time,
    pub ended: Option<AttemptOutcome>,
}

/// A try that a node has accepted.
pub(super) struct OpenTry {
    pub ask: AskId,
    pub node: NodeId,
    pub accepted_at: Time,
    pub deadline: Time,
    pub class: usize,
    pub key: KeyId,
    /// Last acknowledged version of the key when the try was accepted; an older one is stale.
    pub min_version: u64,
    pub finished: bool,
    pub attempts: Vec<SentAttempt>,
}

impl InvariantChecker {
    pub(super) fn try_accepted(&mut self, at: Time, id: TryId, ask: AskId, node: NodeId, until: Time) {
        let Some(request) = self.open_requests.get(&ask) else { return };
        let (class, key) = (request.class, request.key);
        let version = self.acknowledged.get(&key).copied().unwrap_or(0);
        let accepted = OpenTry {
            ask,
            node,
            accepted_at: at,
            deadline: until,
            class,
            key,
            min_version: version,
            finished: false,
            attempts: Vec::new(),
        };
        self.tries.insert(id, accepted);
        self.due.insert((until + self.parameters.answer_grace, id));
    }

    /// Reports tries whose time for a final answer has passed.
    pub(super) fn expire_unanswered(&mut self, now: Time) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at < now) {
            self.due.pop_first();
            if self.tries.get(&id).is_some_and(|t| !t.finished) {
                self.report_violation(Rule::Lost, at, format!("try {id} had no final answer in time"));
                self.finish(id);
            }
        }
    }

    /// Marks a try as finished: it needs no further answer.
    pub(super) fn finish(&mut self, id: TryId) {
        let Some(accepted) = self.tries.get_mut(&id) else { return };
        accepted.finished = true;
        self.due.remove(&(accepted.deadline + self.parameters.answer_grace, id));
        self.remove_if_ended(id);
    }

    pub(super) fn remove_if_ended(&mut self, id: TryId) {
        if self.tries.get(&id).is_some_and(|t| t.finished && t.attempts.iter().all(|s| s.ended.is_some())) {
            self.tries.remove(&id);
        }
    }

    pub(super) fn try_answered(&mut self, at: Time, id: TryId, how: TryOutcome, version: Option<u64>) {
        let Some(accepted) = self.tries.get(&id).filter(|t| !t.finished) else {
            return self.report_violation(
                Rule::Lost,
                at,
                format!("try {id} was answered twice, or without being open"),
            );
        };
        let (class, ask) = (accepted.class, accepted.ask);
        let (effect, _) = self.parameters.effects[class];
        let ran = accepted.attempts.iter().any(|s| s.ended.is_none_or(AttemptOutcome::may_have_run));
        let late = at.since(accepted.accepted_at).0 * 2 > accepted.deadline.since(accepted.accepted_at).0;
        let unsent = accepted
            .attempts
            .iter()
            .all(|s| s.ended == Some(AttemptOutcome::Unreachable) || s.ended == Some(AttemptOutcome::Void));
        let stale = version.is_some_and(|version| version < accepted.min_version);
        let (completed, rejected) = (how == TryOutcome::Completed, how == TryOutcome::Rejected);
        if completed
            && !accepted.attempts.iter().any(|s| s.ended.is_none_or(|e| e == AttemptOutcome::Success))
        {
            self.report_violation(
                Rule::Lost,
                at,
                format!("try {id} was completed without a successful attempt"),
            );
        }
        if rejected && ran && effect == Effect::SingleShot {
            self.report_violation(
                Rule::Repeated,
                at,
                format!("try {id} was rejected though it may have run"),
            );
        }
        self.verdict.stale += u64::from(stale && completed && effect == Effect::Free);
        let class_verdict = &mut self.verdict.classes[class];
        match how {
            TryOutcome::Completed => class_verdict.completed += 1,
            TryOutcome::Rejected => class_verdict.rejected += 1,
            TryOutcome::Failed => class_verdict.failed += 1,
        }
        let second = self.second_at(at);
        second.rejected += u64::from(rejected);
        second.failed += u64::from(how == TryOutcome::Failed);
        let loss = match how {
            TryOutcome::Completed => Loss::Late,
            _ if late && unsent => Loss::RefusedLate,
            TryOutcome::Rejected => Loss::Refused,
            TryOutcome::Failed => Loss::Failed,
        };
        if let Some(request) = self.open_requests.get_mut(&ask) {
            request.last_loss = loss;
        }
        self.finish(id);
    }

    pub(super) fn try_abandoned(&mut self, id: TryId, at: Time) {
        let Some(accepted) = self.tries.get(&id) else { return };
        if let Some(request) = self.open_requests.get_mut(&accepted.ask) {
            request.last_loss = Loss::NoAnswer;
        }
        self.departed_clients.record(at, id);
        // A client that leaves before its deadline needs no answer; one that waited until then does, within the grace
        // period.
        if at < accepted.deadline {
            self.finish(id);
        }
    }

    pub(super) fn node_down(&mut self, at: Time, node: NodeId, planned: bool) {
        let open: Vec<TryId> = self.tries.iter().filter(|(_, t)| t.node == node).map(|(id, _)| *id).collect();
        let stopping = self.stopping.remove(&node);
        for id in open {
            let Some(accepted) = self.tries.remove(&id) else { continue };
            self.due.remove(&(accepted.deadline + self.parameters.answer_grace, id));
            if accepted.finished {
                continue;
            }
            let late = stopping.filter(|since| accepted.accepted_at > *since + STOP_GRACE);
            if let Some(request) = self.open_requests.get_mut(&accepted.ask) {
                request.last_loss =
                    if stopping.is_some() && !planned { Loss::Failed } else { Loss::NodeDown };
            }
            if planned {
                let what = format!("try {id} was open when node {node} exited after SIGTERM");
                self.report_violation(Rule::Lost, at, what);
            } else if let Some(since) = late {
                let after = accepted.accepted_at.since(since);
                let what =
                    format!("try {id} was accepted {after} after SIGTERM to node {node}, and was cut off");
                self.report_violation(Rule::Lost, at, what);
            }
        }
        self.notification_deadlines.process_ended(node);
        self.restarts.ended(at, node);
        self.notified.retain(|(n, _), _| *n != node);
        self.in_flight.retain(|(n, _), _| *n != node);
    }

    /// Reports a request that a node has read on a new connection and closed without an answer.
    pub(super) fn request_dropped(&mut self, at: Time, ask: AskId, node: NodeId) {
        let what = format!("node {node} read request {ask} on a new connection and closed it unanswered");
        self.report_violation(Rule::Lost, at, what);
    }
}

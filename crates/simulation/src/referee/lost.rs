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

/// An attempt that a node has sent to a box.
pub(super) struct Sent {
    pub number: u32,
    pub at: Time,
    pub ended: Option<Ended>,
}

/// A try that a node has accepted.
pub(super) struct Taken {
    pub ask: AskId,
    pub node: NodeId,
    pub at: Time,
    pub until: Time,
    pub class: usize,
    pub key: KeyId,
    /// Last acknowledged version of the key when the try was accepted; an older one is stale.
    pub version: u64,
    pub done: bool,
    pub sent: Vec<Sent>,
}

impl Referee {
    pub(super) fn taken(&mut self, at: Time, id: TryId, ask: AskId, node: NodeId, until: Time) {
        let Some(asking) = self.asks.get(&ask) else { return };
        let (class, key) = (asking.class, asking.key);
        let version = self.acknowledged.get(&key).copied().unwrap_or(0);
        let taken = Taken { ask, node, at, until, class, key, version, done: false, sent: Vec::new() };
        self.tries.insert(id, taken);
        self.due.insert((until + self.terms.answer_grace, id));
    }

    /// Reports tries whose time for a final answer has passed.
    pub(super) fn overdue(&mut self, now: Time) {
        while let Some((at, id)) = self.due.first().copied().filter(|(at, _)| *at < now) {
            self.due.pop_first();
            if self.tries.get(&id).is_some_and(|t| !t.done) {
                self.breach(Rule::Lost, at, format!("try {id} had no final answer in time"));
                self.finish(id);
            }
        }
    }

    /// Marks a try as finished: it needs no further answer.
    pub(super) fn finish(&mut self, id: TryId) {
        let Some(taken) = self.tries.get_mut(&id) else { return };
        taken.done = true;
        self.due.remove(&(taken.until + self.terms.answer_grace, id));
        self.forget(id);
    }

    pub(super) fn forget(&mut self, id: TryId) {
        if self.tries.get(&id).is_some_and(|t| t.done && t.sent.iter().all(|s| s.ended.is_some())) {
            self.tries.remove(&id);
        }
    }

    pub(super) fn answered(&mut self, at: Time, id: TryId, how: How, version: Option<u64>) {
        let Some(taken) = self.tries.get(&id).filter(|t| !t.done) else {
            return self.breach(
                Rule::Lost,
                at,
                format!("try {id} was answered twice, or when none was owed"),
            );
        };
        let (class, ask) = (taken.class, taken.ask);
        let (effect, _) = self.terms.effects[class];
        let ran = taken.sent.iter().any(|s| s.ended.is_none_or(Ended::may_have_run));
        let late = at.since(taken.at).0 * 2 > taken.until.since(taken.at).0;
        let unsent =
            taken.sent.iter().all(|s| s.ended == Some(Ended::Unreachable) || s.ended == Some(Ended::Void));
        let stale = version.is_some_and(|version| version < taken.version);
        let (completed, rejected) = (how == How::Completed, how == How::Rejected);
        if completed && !taken.sent.iter().any(|s| s.ended.is_none_or(|e| e == Ended::Success)) {
            self.breach(Rule::Lost, at, format!("try {id} was served what no box has made for it"));
        }
        if rejected && ran && effect == Effect::SingleShot {
            self.breach(Rule::Repeated, at, format!("try {id} was refused though it may have run"));
        }
        self.verdict.stale += u64::from(stale && completed && effect == Effect::Free);
        let c = &mut self.verdict.classes[class];
        match how {
            How::Completed => c.completed += 1,
            How::Rejected => c.rejected += 1,
            How::Failed => c.failed += 1,
        }
        let second = self.second(at);
        second.rejected += u64::from(rejected);
        second.failed += u64::from(how == How::Failed);
        let loss = match how {
            How::Completed => Loss::Late,
            _ if late && unsent => Loss::RefusedLate,
            How::Rejected => Loss::Refused,
            How::Failed => Loss::Failed,
        };
        if let Some(ask) = self.asks.get_mut(&ask) {
            ask.last = loss;
        }
        self.finish(id);
    }

    pub(super) fn abandoned(&mut self, id: TryId, at: Time) {
        let Some(taken) = self.tries.get(&id) else { return };
        if let Some(ask) = self.asks.get_mut(&taken.ask) {
            ask.last = Loss::NoAnswer;
        }
        self.left.leaves(at, id);
        // A client that leaves before its deadline needs no answer; one that waited until then does, within the grace period.
        if at < taken.until {
            self.finish(id);
        }
    }

    pub(super) fn node_down(&mut self, at: Time, node: NodeId, planned: bool) {
        let held: Vec<TryId> = self.tries.iter().filter(|(_, t)| t.node == node).map(|(id, _)| *id).collect();
        let stopping = self.stopping.remove(&node);
        for id in held {
            let Some(taken) = self.tries.remove(&id) else { continue };
            self.due.remove(&(taken.until + self.terms.answer_grace, id));
            if taken.done {
                continue;
            }
            let late = stopping.filter(|since| taken.at > *since + STOP_GRACE);
            if let Some(ask) = self.asks.get_mut(&taken.ask) {
                ask.last = if stopping.is_some() && !planned { Loss::Failed } else { Loss::NodeDown };
            }
            if planned {
                let what = format!("try {id} was open when node {node} left as it was told to");
                self.breach(Rule::Lost, at, what);
            } else if let Some(since) = late {
                let after = taken.at.since(since);
                let what =
                    format!("try {id} came {after} after node {node} was told to stop, and was cut off");
                self.breach(Rule::Lost, at, what);
            }
        }
        self.clocks.ended(node);
        self.restarts.ended(at, node);
        self.told.retain(|(n, _), _| *n != node);
        self.out.retain(|(n, _), _| *n != node);
    }

    /// Reports a request that a node has read on a new connection and closed without an answer.
    pub(super) fn dropped(&mut self, at: Time, ask: AskId, node: NodeId) {
        let what = format!("node {node} read request {ask} on a new connection and closed that unanswered");
        self.breach(Rule::Lost, at, what);
    }
}

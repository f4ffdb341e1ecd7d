//! Final answers of nodes, and the clean-up after them.

use super::*;

impl<S: Sink> World<'_, S> {
    /// Sends the final answer of a try to its client; returns false if the try was already answered.
    pub(super) fn answer_client(
        &mut self,
        node: NodeId,
        id: TryId,
        how: TryOutcome,
        advice: Option<Span>,
        version: Option<u64>,
    ) -> bool {
        if !self.mark_answered(node, id) {
            return false;
        }
        self.record(Event::Answered { id, how, version, advice });
        let delay = self.jittered(self.run_spec.network.client);
        self.schedule_after(delay, ScheduledEvent::Reply { id, reply: Reply::Answer { how, advice } });
        true
    }

    /// Marks a try as answered; returns false if it is unknown or was already answered.
    pub(super) fn mark_answered(&mut self, node: NodeId, id: TryId) -> bool {
        let accepted = self.nodes[node].tries.get_mut(&id);
        accepted.is_some_and(|accepted| !std::mem::replace(&mut accepted.answered, true))
    }

    /// Cancels the attempts of an answered try that still wait for their connection.
    pub(super) fn cancel_unsent_attempts(&mut self, node: NodeId, id: TryId) {
        let Some(accepted) = self.nodes[node].tries.get(&id).filter(|accepted| accepted.answered) else {
            return;
        };
        let unsent =
            |a: &Attempt| a.token.is_some_and(|t| self.find_in_flight(t).is_some_and(|f| !f.written));
        let unsent: Vec<u32> =
            (0..).zip(&accepted.attempts).filter(|(_, a)| unsent(a)).map(|(n, _)| n).collect();
        for attempt in unsent {
            self.abandon_attempt(node, id, attempt, Status::Cancelled);
        }
        self.remove_finished_try(node, id);
    }

    /// Removes a try that is answered and has no attempt in flight. A node that no longer accepts tries leaves once
    /// all of its tries are answered.
    pub(super) fn remove_finished_try(&mut self, node: NodeId, id: TryId) {
        let over =
            |accepted: &AcceptedTry| accepted.answered && accepted.attempts.iter().all(|a| a.token.is_none());
        if self.nodes[node].tries.get(&id).is_some_and(over) {
            self.nodes[node].tries.remove(&id);
        }
        let state = &self.nodes[node];
        if state.accepts_until.is_some_and(|at| self.now >= at)
            && state.tries.values().all(|accepted| accepted.answered)
        {
            let generation = state.generation;
            self.schedule_after(Span(1), ScheduledEvent::NodeLeaves { node, generation });
        }
    }
}

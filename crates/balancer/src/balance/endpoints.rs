//! Handling of the endpoint list: its updates, and the calls to discovery.

use super::state::BalancerState;
use crate::interface::{Action, EndpointEntry, EndpointUpdate, Membership};

impl BalancerState {
    /// Calls discovery where the list has to be polled and a call is due.
    pub(super) fn follow_endpoints(&mut self) {
        if self.settings.membership != Membership::OnRequest {
            return;
        }
        if self.subscription.call_if_due(self.now, self.settings.guarantees.poll_interval) {
            self.actions.push(Action::Subscribe);
        }
    }

    pub(super) fn on_endpoints(&mut self, update: EndpointUpdate) {
        match update {
            EndpointUpdate::Failed => {
                let random = self.jitter.next();
                self.subscription.failed(self.now, self.settings.guarantees.poll_interval, random);
            }
            EndpointUpdate::Cached(entries) => self.apply_complete_list(entries),
            EndpointUpdate::Full(entries) => {
                self.subscription.succeeded();
                self.apply_complete_list(entries);
            }
            EndpointUpdate::Delta(entries) => {
                self.subscription.succeeded();
                self.apply_entries(entries);
            }
        }
    }

    fn apply_complete_list(&mut self, entries: Vec<EndpointEntry>) {
        self.servers.mark_unlisted_gone(&entries);
        self.apply_entries(entries);
    }

    fn apply_entries(&mut self, entries: Vec<EndpointEntry>) {
        for entry in entries {
            self.servers.apply(entry, &self.settings);
        }
        self.refresh_members();
        self.dispatch_all_held();
    }

    /// Updates all that follows from the endpoint list or the placement table.
    pub(super) fn refresh_members(&mut self) {
        self.servers.rebuild_ring(&self.settings);
        self.forget_ejections();
        self.servers.refresh_shares(&self.settings, self.now);
    }
}

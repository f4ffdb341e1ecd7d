//! Decides which nodes get a lease.

use hallpin_membership::names::{Moment, NodeId, NodeIncarnation};

use super::Coordinator;
use crate::config::PlacementConfig;
use crate::events::Outbox;
use crate::message::Grant;

impl Coordinator {
    /// Answers a report: grants a lease where that is safe, and otherwise announces what the node lacks.
    pub(super) fn reply(
        &mut self,
        config: &PlacementConfig,
        now: Moment,
        from: NodeIncarnation,
        stamp: u64,
        out: &mut Outbox,
    ) {
        let may_grant = self.may_grant(config, now, from.node);
        let (decided, preparing) = (self.decided, self.preparing_header());
        let Some(peer) = self.peers.get_mut(usize::from(from.node.0)) else {
            return;
        };
        let grant = may_grant.then_some(Grant { incarnation: from.incarnation.0, stamp });
        let granted_recently =
            peer.granted_at.is_some_and(|granted_at| now < granted_at + config.heartbeat_interval() / 8);
        let up_to_date = peer.is_up_to_date(decided, preparing);
        if may_grant && !(up_to_date && granted_recently) {
            peer.grant(now, now + config.lease_length_at_coordinator());
            self.announce(now, from.node, grant, out);
        } else if !may_grant && !up_to_date {
            self.announce(now, from.node, None, out);
        }
    }

    /// Returns whether a lease may be granted to `node`. A node whose lease has not lapsed keeps it, unless a version
    /// has waited for the node for longer than `prepare_timeout`. Any other node must first hold the decided table and
    /// the one being prepared, and gets no lease while a predecessor's version is undecided: an earlier incarnation of
    /// the node may have placed by that version.
    fn may_grant(&self, config: &PlacementConfig, now: Moment, node: NodeId) -> bool {
        let Some((peer, decided)) = self.peers.get(usize::from(node.0)).zip(self.decided) else {
            return false;
        };
        let header = self.preparing_header();
        let prepared = header.is_none_or(|header| peer.holds(&header) && header.id.epoch == self.epoch);
        let overdue =
            peer.behind_since.is_some_and(|behind_since| now >= behind_since + config.prepare_timeout)
                && header.is_some_and(|header| self.own_replica_holds(config, &header));
        let continues = peer.has_continuous_lease(now) && !overdue;
        self.history_known && peer.holds(&decided) && (prepared || continues)
    }
}

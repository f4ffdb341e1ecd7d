//! When a version is started and when it is in force.

use hallpin_membership::names::{Moment, NodeId};
use hallpin_membership::view::View;

use super::{Coordinator, Preparing};
use crate::config::PlacementConfig;
use crate::events::Outbox;
use crate::peer::Peer;
use crate::table::{Array, TableHeader, TableId};

/// Number of leases without a list as new as the last table after which discovery is assumed to have restarted its
/// revisions. At the default lease this is well over the 6 s by which a list may be late.
const REVISION_RESET_LEASES: u32 = 8;

impl Coordinator {
    /// Puts the version being prepared in force once no node without it can have a lease.
    pub(super) fn decide(&mut self, config: &PlacementConfig, now: Moment, out: &mut Outbox) {
        let Some(Preparing { header, since }) = self.preparing.clone() else {
            return;
        };
        let held_here = self.own_replica_holds(config, &header);
        let timed_out = now >= since + config.prepare_timeout;
        if !held_here && now >= since + config.lease && self.all_accounted_for(now) {
            self.abandon_version(now);
            return;
        }
        let safe = self.peers.iter().all(|peer| !peer.may_be_leased(now) || peer.holds(&header));
        let is_waited_for = |peer: &Peer| self.reported_recently(config, now, peer) && !peer.holds(&header);
        if !held_here || !safe || (!timed_out && self.peers.iter().any(is_waited_for)) {
            return;
        }
        self.decided = Some(header);
        self.decided_count += 1;
        self.preparing = None;
        for node in 0..config.configured {
            self.announce(now, NodeId(node), None, out);
        }
        self.peers.iter_mut().for_each(|peer| peer.behind_since = None);
    }

    /// Abandons a version that this node can fetch from no other. Nodes that had the version may have placed by it, so
    /// the older decided table is forgotten too, and all leases run out before the next version is decided.
    fn abandon_version(&mut self, now: Moment) {
        (self.history_bounded, self.recovered, self.decided) = (false, None, None);
        self.start_preparing(now, None);
    }

    pub(super) fn own_replica_holds(&self, config: &PlacementConfig, header: &TableHeader) -> bool {
        self.peers.get(usize::from(config.this.node.0)).is_some_and(|peer| peer.holds(header))
    }

    /// Starts a version from the newest list. A version already being prepared is replaced only after
    /// `prepare_timeout`.
    pub(super) fn propose(
        &mut self,
        config: &PlacementConfig,
        now: Moment,
        view: &View,
        newest: Option<(u64, &Array)>,
    ) {
        let listed = newest.map(|(revision, array)| (revision, array.digest));
        let recovered = self.recovered.map(|header| (header.revision, header.digest));
        let newest = if listed < recovered.filter(|_| self.decided.is_none()) { recovered } else { listed };
        let Some((revision, digest)) = newest.filter(|_| self.history_known) else {
            return;
        };
        let last = self.preparing_header().or(self.decided);
        let revision_reset = self.is_revision_reset(config, now, last);
        if last.is_some_and(|last| (last.revision >= revision && !revision_reset) || last.digest == digest) {
            return;
        }
        if self.preparing.as_ref().is_some_and(|preparing| {
            now < preparing.since + config.prepare_timeout || preparing.header.id.epoch < self.epoch
        }) {
            return;
        }
        let ready = |node: NodeId| {
            let peer = self.peers.get(usize::from(node.0));
            peer.is_none_or(|peer| {
                peer.report.is_some() && (self.decided.is_none() || peer.granted_at.is_some())
            })
        };
        if now < self.started_at + config.prepare_timeout
            && !view.alive().all(|member| ready(member.node_incarnation.node))
        {
            return;
        }
        self.highest_version += 1;
        let id = TableId { epoch: self.epoch, version: self.highest_version };
        self.start_preparing(now, Some(TableHeader { id, revision, digest }));
    }

    /// Returns whether discovery has restarted its revisions: for `REVISION_RESET_LEASES` leases no reporting node has
    /// had a list as new as the last table.
    fn is_revision_reset(
        &mut self,
        config: &PlacementConfig,
        now: Moment,
        last: Option<TableHeader>,
    ) -> bool {
        let last = last.map(|header| header.revision);
        if self.newest_list(config, now).map(|(revision, ..)| revision) >= last {
            self.lists_older_since = None;
            return false;
        }
        now >= *self.lists_older_since.get_or_insert(now) + config.lease * REVISION_RESET_LEASES
    }
}

//! The coordinator, which runs at the holder of the leader lease: it recovers what its predecessors decided, prepares
//! the next version, decides when that is in force, and grants leases.
//!
//! A version is decided once every configured node holds it or certainly has no lease. This state ends with the leader
//! lease; a successor recovers from the nodes' reports.

mod decide;
mod find;
mod grant;
mod recovery;

use hallpin_membership::names::{Moment, NodeId, NodeIncarnation};
use hallpin_membership::view::View;

use crate::config::PlacementConfig;
use crate::events::Outbox;
use crate::message::{Announcement, Grant, Message, Report};
use crate::peer::Peer;
use crate::table::{Array, TableHeader};

/// State of the coordinator during one holding of the leader lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Coordinator {
    /// Fencing number of this holding.
    pub epoch: u64,
    /// Time at which this holding began.
    started_at: Moment,
    /// The decisions of the predecessors are known, except whether `preparing` was one of them.
    history_known: bool,
    /// `history_known` rests on the report of a node that had a lease when it reported.
    history_bounded: bool,
    /// The newest table found where no reporting node had a lease.
    recovered: Option<TableHeader>,
    /// The newest table known to be decided.
    decided: Option<TableHeader>,
    /// The version that nodes are fetching and that is not decided.
    preparing: Option<Preparing>,
    /// Time since which no node has reported a list as new as the last table.
    lists_older_since: Option<Moment>,
    /// The greatest version in any report or proposal.
    highest_version: u64,
    /// Number of announcements sent in this holding; the last one carries it as its `number`.
    announcements_sent: u64,
    /// One record per configured node, by node number.
    peers: Vec<Peer>,
    /// Number of versions decided in this holding.
    pub decided_count: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Preparing {
    header: TableHeader,
    /// Time at which the coordinator started to prepare the version.
    since: Moment,
}

impl Coordinator {
    /// Starts a holding at `now`. Leases of earlier coordinators were requested before it, so they end within one lease
    /// of it.
    pub fn new(config: &PlacementConfig, epoch: u64, now: Moment) -> Self {
        let peer = Peer::unknown(now + config.lease_length_at_coordinator());
        Coordinator {
            epoch,
            started_at: now,
            history_known: false,
            history_bounded: false,
            recovered: None,
            decided: None,
            preparing: None,
            lists_older_since: None,
            highest_version: 0,
            announcements_sent: 0,
            peers: vec![peer; config.configured.into()],
            decided_count: 0,
        }
    }

    /// Processes a node's report, and answers if the node needs a lease or lacks something.
    pub fn on_report(
        &mut self,
        config: &PlacementConfig,
        now: Moment,
        from: NodeIncarnation,
        report: Report,
        out: &mut Outbox,
    ) {
        let Some(peer) = self.peers.get_mut(usize::from(from.node.0)) else {
            return;
        };
        if report.epoch != self.epoch {
            if peer.announced_at.is_none_or(|announced_at| now >= announced_at + config.retry) {
                self.announce(now, from.node, None, out);
            }
            return;
        }
        let stamp = report.stamp;
        if !peer.accept_report(now, from, report) {
            return;
        }
        self.learn_from_report(from.node);
        self.clear_behind(from.node);
        self.try_recover(now);
        self.decide(config, now, out);
        self.reply(config, now, from, stamp, out);
    }

    /// Sends due announcements, decides a version that is ready, and starts the next one.
    pub fn tick(
        &mut self,
        config: &PlacementConfig,
        now: Moment,
        view: &View,
        newest: Option<(u64, &Array)>,
        out: &mut Outbox,
    ) {
        self.try_recover(now);
        self.decide(config, now, out);
        self.propose(config, now, view, newest);
        let (decided, preparing) = (self.decided, self.preparing_header());
        for node in 0..config.configured {
            let node = NodeId(node);
            let Some(peer) = self.peers.get(usize::from(node.0)) else {
                continue;
            };
            let up_to_date = if self.history_known {
                peer.is_up_to_date(decided, preparing)
            } else {
                peer.report.is_some()
            };
            let reachable = view.is_alive(node) || self.reported_recently(config, now, peer);
            let wait = if reachable { config.retry } else { config.lease / 2 };
            if !up_to_date && peer.announced_at.is_none_or(|announced_at| now >= announced_at + wait) {
                self.announce(now, node, None, out);
            }
        }
    }

    fn preparing_header(&self) -> Option<TableHeader> {
        self.preparing.as_ref().map(|preparing| preparing.header)
    }

    fn reported_recently(&self, config: &PlacementConfig, now: Moment, peer: &Peer) -> bool {
        peer.reported_at.is_some_and(|reported_at| now < reported_at + config.heartbeat_interval() * 2)
    }

    fn start_preparing(&mut self, now: Moment, header: Option<TableHeader>) {
        self.preparing = header.map(|header| Preparing { header, since: now });
        for peer in &mut self.peers {
            peer.announced_at = None;
            if header.is_some_and(|header| !peer.holds(&header)) {
                peer.behind_since.get_or_insert(now);
            }
        }
    }

    fn announce(&mut self, now: Moment, to: NodeId, grant: Option<Grant>, out: &mut Outbox) {
        let (decided, preparing) = (self.decided, self.preparing_header());
        self.announcements_sent += 1;
        let (epoch, number, history_known) = (self.epoch, self.announcements_sent, self.history_known);
        let announcement = Announcement { epoch, number, history_known, decided, preparing, grant };
        if let Some(peer) = self.peers.get_mut(usize::from(to.0)) {
            peer.announced_at = Some(now);
        }
        out.send(to, Message::Announcement(announcement));
    }
}

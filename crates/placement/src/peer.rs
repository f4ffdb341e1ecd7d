//! The coordinator's record of one node: its last report and until when it may have a lease.

use hallpin_membership::names::{Incarnation, Moment, NodeIncarnation};

use crate::message::Report;
use crate::table::TableHeader;

/// The coordinator's record of one node.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    /// Incarnation that sent the last accepted report; `None` before the first report.
    incarnation: Option<Incarnation>,
    /// The newest report of `incarnation`.
    pub report: Option<Report>,
    /// Time at which the coordinator accepted `report`.
    pub reported_at: Option<Moment>,
    /// Time from which the node certainly has no lease; `None` if it has none already.
    lease_ends_by: Option<Moment>,
    /// Time of this coordinator's last grant to `incarnation`.
    pub granted_at: Option<Moment>,
    /// Time of the last announcement to the node; cleared when a version is started or abandoned.
    pub announced_at: Option<Moment>,
    /// Time since which there is a version that the node does not hold.
    pub behind_since: Option<Moment>,
}

impl Peer {
    /// Creates the record of a node that has not reported. `lease_ends_by` is when leases of earlier coordinators end.
    pub fn unknown(lease_ends_by: Moment) -> Self {
        Peer {
            incarnation: None,
            report: None,
            reported_at: None,
            lease_ends_by: Some(lease_ends_by),
            granted_at: None,
            announced_at: None,
            behind_since: None,
        }
    }

    /// Stores a report under this coordinator's own fencing number, and returns `true`. A report of an older
    /// incarnation, or no newer than the last one of the same incarnation, is ignored and gives `false`.
    ///
    /// A node that reports having no lease can get none from an earlier coordinator any more, because it ignores those.
    /// A grant of this coordinator may still be on its way, so such a lease always counts until its end.
    pub fn accept_report(&mut self, now: Moment, from: NodeIncarnation, report: Report) -> bool {
        if self.incarnation.is_some_and(|incarnation| from.incarnation < incarnation) {
            return false;
        }
        if self.incarnation != Some(from.incarnation) {
            // A new incarnation has no lease of an older one. The first incarnation heard of may itself have been
            // granted one by an earlier coordinator.
            let first = self.incarnation.is_none();
            self.incarnation = Some(from.incarnation);
            self.report = None;
            self.granted_at = None;
            if !first {
                self.lease_ends_by = None;
            }
        }
        if self.report.as_ref().is_some_and(|known| report.number <= known.number) {
            return false;
        }
        if !report.leased && self.granted_at.is_none() {
            self.lease_ends_by = None;
        }
        self.report = Some(report);
        self.reported_at = Some(now);
        true
    }

    /// Records a lease granted at `now` that ends no later than `lease_ends_by`, by the coordinator's clock.
    pub fn grant(&mut self, now: Moment, lease_ends_by: Moment) {
        self.granted_at = Some(now);
        self.lease_ends_by = Some(lease_ends_by);
    }

    /// Returns whether the node may have a lease now.
    pub fn may_be_leased(&self, now: Moment) -> bool {
        self.lease_ends_by.is_some_and(|lease_ends_by| now < lease_ends_by)
    }

    /// Returns whether the node had a lease when it last reported and may have it still, without a gap.
    pub fn has_continuous_lease(&self, now: Moment) -> bool {
        self.report.as_ref().is_some_and(|report| report.leased) && self.may_be_leased(now)
    }

    /// Returns whether the last report lists this table or a newer decided one.
    pub fn holds(&self, header: &TableHeader) -> bool {
        self.report.as_ref().is_some_and(|report| report.holds(header))
    }

    /// Returns whether the node has reported exactly the decided table and the one being prepared.
    pub fn is_up_to_date(&self, decided: Option<TableHeader>, preparing: Option<TableHeader>) -> bool {
        let id = |header: Option<TableHeader>| header.map(|header| header.id);
        self.report
            .as_ref()
            .is_some_and(|report| id(report.base) == id(decided) && id(report.prepared) == id(preparing))
    }
}

//! Counts this node's uses and open connections against its allotments, and selects the connections to close.

use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;

use hallpin_membership::names::Moment;
use hallpin_quota::gate::{Admission, AdmissionGate};
use hallpin_quota::{Allotment, Resource, TenantIndex};
use tokio::sync::Notify;

/// Typical duration of a use. Requests rejected within it would have been in use at the same time.
const USE_TIME: Duration = Duration::from_millis(20);
/// How long a box may still count a connection after it was closed here.
pub const CLOSING: Duration = Duration::from_millis(20);

/// The state of one open connection, shared by the connection and [`Usage`].
#[derive(Debug, Default)]
pub struct ConnectionPermit {
    busy: Cell<bool>,
    cut: Cell<bool>,
    cut_notify: Notify,
}

impl ConnectionPermit {
    /// Sets whether an attempt or a value uses the connection. Idle connections are cut first.
    pub fn set_busy(&self, busy: bool) {
        self.busy.set(busy);
    }

    /// Whether the connection must be closed.
    pub fn is_cut(&self) -> bool {
        self.cut.get()
    }

    /// Waits until the connection must be closed.
    pub async fn cut(&self) {
        while !self.cut.get() {
            self.cut_notify.notified().await;
        }
    }
}

/// Usage of one node. Bounded by its boxes, tenants and descriptors.
#[derive(Debug)]
pub struct Usage {
    gate: AdmissionGate,
    /// Permits of the open connections by box.
    open: BTreeMap<Resource, Vec<Weak<ConnectionPermit>>>,
    /// Connections closed here that the box may still count, with the time until which it may.
    closing: VecDeque<(Moment, Resource)>,
    /// By box and tenant, the start of the current window of [`USE_TIME`] and the rejections within it.
    rejected: BTreeMap<(Resource, TenantIndex), (Moment, u32)>,
    /// Rejected requests since the start, by tenant.
    pub rejected_total: BTreeMap<TenantIndex, u64>,
    /// Connections cut since the start.
    pub cut_total: u64,
}

impl Default for Usage {
    fn default() -> Self {
        Usage {
            gate: AdmissionGate::new(USE_TIME),
            open: BTreeMap::new(),
            closing: VecDeque::new(),
            rejected: BTreeMap::new(),
            rejected_total: BTreeMap::new(),
            cut_total: 0,
        }
    }
}

impl Usage {
    /// The demand of a tenant that requests one more use: its uses without a limit, plus twice their square root for
    /// random bursts (square-root staffing; Halfin and Whitt, 1981). Without this margin, a box with an eighth of its
    /// capacity in use rejected one request in 30.
    pub fn demand(&mut self, now: Moment, resource: Resource, tenant: TenantIndex) -> u32 {
        let (window_start, rejected) = self.rejected.entry((resource, tenant)).or_insert((now, 0));
        if now >= *window_start + USE_TIME {
            (*window_start, *rejected) = (now, 0);
        }
        let base = self.gate.in_use(resource, tenant).saturating_add(*rejected).saturating_add(1);
        base.saturating_add(2 * base.isqrt())
    }

    /// Begins a use if the allotment allows it; returns whether it did.
    pub fn admit(
        &mut self,
        now: Moment,
        resource: Resource,
        tenant: TenantIndex,
        allotment: Allotment,
    ) -> bool {
        let admitted = self.gate.admit(now, resource, tenant, allotment) == Admission::Admitted;
        if !admitted {
            self.rejected.entry((resource, tenant)).or_insert((now, 0)).1 += 1;
            *self.rejected_total.entry(tenant).or_default() += 1;
        }
        admitted
    }

    /// Ends a use.
    pub fn release(&mut self, resource: Resource, tenant: TenantIndex) {
        self.gate.release(resource, tenant);
    }

    /// Counts a connection before it is opened; `None` where the allotment is used up.
    pub fn open(
        &mut self,
        now: Moment,
        resource: Resource,
        allotment: Allotment,
    ) -> Option<Rc<ConnectionPermit>> {
        self.expire_closing(now);
        if !self.gate.open(resource, allotment) {
            return None;
        }
        let permit = Rc::new(ConnectionPermit::default());
        permit.set_busy(true);
        self.open.entry(resource).or_default().push(Rc::downgrade(&permit));
        Some(permit)
    }

    /// Records that a connection was closed or could not be opened. It counts for [`CLOSING`] longer, as it may at the
    /// box.
    pub fn record_close(&mut self, now: Moment, resource: Resource) {
        self.closing.push_back((now + CLOSING, resource));
        self.expire_closing(now);
    }

    fn expire_closing(&mut self, now: Moment) {
        while let Some((_, resource)) = self.closing.front().copied().filter(|(at, _)| *at <= now) {
            self.closing.pop_front();
            self.gate.record_close(resource);
        }
    }

    /// Cuts the connections beyond an allotment, idle ones first; returns whether there were any.
    pub fn cut_excess(&mut self, now: Moment, resource: Resource, allotment: Allotment) -> bool {
        self.expire_closing(now);
        let Some(open) = self.open.get_mut(&resource) else { return false };
        open.retain(|permit| permit.strong_count() > 0);
        let permits: Vec<Rc<ConnectionPermit>> =
            open.iter().filter_map(Weak::upgrade).filter(|permit| !permit.is_cut()).collect();
        let (busy, idle): (Vec<_>, Vec<_>) = permits.iter().partition(|permit| permit.busy.get());
        let excess = permits.len().saturating_sub(allotment.node_max_uses as usize);
        for permit in idle.into_iter().chain(busy).take(excess) {
            permit.cut.set(true);
            permit.cut_notify.notify_one();
        }
        self.cut_total += excess as u64;
        excess > 0
    }

    /// Boxes to which connections were opened.
    pub fn resources(&self) -> Vec<Resource> {
        self.open.keys().copied().collect()
    }

    /// Connections that are open or that the boxes may still count, and uses, over all boxes.
    pub fn counts(&mut self, now: Moment) -> (u64, u64) {
        self.expire_closing(now);
        let counts = self.open.keys().map(|resource| self.gate.counts(*resource));
        counts.fold((0, 0), |sum, (open, used)| (sum.0 + u64::from(open), sum.1 + u64::from(used)))
    }

    /// Removes boxes that are not listed and have nothing open or in use.
    pub fn retain(&mut self, is_listed: impl Fn(Resource) -> bool) {
        let gate = &mut self.gate;
        self.open.retain(|resource, _| {
            let is_kept = is_listed(*resource) || gate.counts(*resource) != (0, 0);
            if !is_kept {
                gate.remove(*resource);
            }
            is_kept
        });
        self.rejected.retain(|(resource, _), _| is_listed(*resource));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOX: Resource = Resource(1);
    const A: TenantIndex = TenantIndex(0);
    const NOW: Moment = Duration::from_secs(1);

    fn allotment(node_max_uses: u32) -> Allotment {
        Allotment { max_uses: node_max_uses, node_max_uses, expires_at: None, min_interval: None }
    }

    /// Idle connections are cut before busy ones, none is cut twice, and none is replaced before the box has seen it
    /// close.
    #[test]
    fn excess_connections_are_cut_and_replaced_only_once_the_box_has_seen_them_close() {
        let mut usage = Usage::default();
        let mut permits: Vec<Rc<ConnectionPermit>> =
            (0..4).map(|_| usage.open(NOW, BOX, allotment(4)).expect("within the allotment")).collect();
        assert!(usage.open(NOW, BOX, allotment(4)).is_none());
        permits[2].set_busy(false);
        assert!(usage.cut_excess(NOW, BOX, allotment(2)));
        assert!(!usage.cut_excess(NOW, BOX, allotment(2)), "none is cut twice");
        let cut: Vec<bool> = permits.iter().map(|permit| permit.is_cut()).collect();
        assert_eq!(cut, [true, false, true, false]);
        permits.retain(|permit| !permit.is_cut());
        (0..2).for_each(|_| usage.record_close(NOW, BOX));
        assert!(usage.open(NOW, BOX, allotment(3)).is_none(), "the box may still count them");
        assert!(usage.open(NOW + CLOSING, BOX, allotment(3)).is_some());
        assert_eq!((usage.counts(NOW + CLOSING), usage.cut_total), ((3, 0), 2));
    }

    #[test]
    fn rejected_requests_count_as_demand_for_the_duration_of_a_use() {
        let mut usage = Usage::default();
        let mut request = |ms: u64| {
            let now = NOW + Duration::from_millis(ms);
            (usage.demand(now, BOX, A), usage.admit(now, BOX, A, allotment(1)))
        };
        assert_eq!([request(0), request(1), request(2)], [(3, true), (4, false), (5, false)]);
        assert_eq!(request(30), (4, false));
        usage.release(BOX, A);
        assert_eq!(usage.rejected_total[&A], 3);
        assert!(usage.admit(NOW, BOX, A, allotment(1)));
    }
}

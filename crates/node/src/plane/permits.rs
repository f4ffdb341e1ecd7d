//! Enforces budgets in a node: admits uses and connections of a box, and closes connections beyond the allotment.

use std::rc::Rc;

use hallpin_balancer::ServerId;
use hallpin_membership::names::Moment;
use hallpin_quota::{Allotment, Budgets, Resource, TenantIndex};

use super::boxes::resource;
use super::runtime::PlaneRuntime;
use super::usage::{ConnectionPermit, CLOSING};

/// A use of a box's quota by one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaUse {
    resource: Resource,
    tenant: TenantIndex,
}

/// A connection counted against a box's quota until this is dropped.
pub struct CountedConnection {
    plane_runtime: Rc<PlaneRuntime>,
    resource: Resource,
    /// The state of the connection, shared with its user.
    pub permit: Rc<ConnectionPermit>,
}

impl CountedConnection {
    /// Whether the connection is still within the node's allotment at this moment. This detects, before a write, that
    /// the node was paused past the end of its lease.
    pub fn is_within_quota(&self) -> bool {
        self.plane_runtime.close_excess(self.resource);
        !self.permit.is_cut()
    }
}

impl Drop for CountedConnection {
    fn drop(&mut self) {
        let now = self.plane_runtime.now();
        self.plane_runtime.usage.borrow_mut().record_close(now, self.resource);
    }
}

/// The tenant's allotment at the box is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsedUp;

impl PlaneRuntime {
    /// The allotment for a use or connection that begins now: looked up [`CLOSING`] ahead, as the use must have ended
    /// at the box when the lease ends.
    fn allotment(budgets: &Budgets, now: Moment, resource: Resource, tenant: TenantIndex) -> Allotment {
        budgets.allotment(now + CLOSING, resource, tenant)
    }

    /// Begins a use for a tenant; `None` where budgets are off.
    ///
    /// # Errors
    /// Returns [`UsedUp`] where the tenant's allotment at the box is used up.
    pub fn begin_use(&self, server: &ServerId, tenant: Option<&str>) -> Result<Option<QuotaUse>, UsedUp> {
        let (now, resource, mut plane) = (self.now(), resource(server), self.plane.borrow_mut());
        let Some(budgets) = plane.budgets() else { return Ok(None) };
        let tenant = budgets.in_force().tenant(tenant.unwrap_or_default());
        let mut usage = self.usage.borrow_mut();
        // Recorded first, as the demand of this node's tenants decides how it divides its quota.
        budgets.record_demand(now, resource, tenant, usage.demand(now, resource, tenant));
        let allotment = Self::allotment(budgets, now, resource, tenant);
        let admitted = usage.admit(now, resource, tenant, allotment);
        admitted.then_some(Some(QuotaUse { resource, tenant })).ok_or(UsedUp)
    }

    /// Ends a use.
    pub fn end_use(&self, used: QuotaUse) {
        self.usage.borrow_mut().release(used.resource, used.tenant);
    }

    /// Whether budgets are on, so that connections are counted.
    pub fn has_budgets(&self) -> bool {
        self.plane.borrow_mut().budgets().is_some()
    }

    /// Counts a connection to a box; `None` where the node's allotment is used up.
    pub fn open_connection(self: &Rc<Self>, server: &ServerId) -> Option<CountedConnection> {
        let (now, resource, mut plane) = (self.now(), resource(server), self.plane.borrow_mut());
        let allotment = Self::allotment(plane.budgets()?, now, resource, TenantIndex(0));
        let permit = self.usage.borrow_mut().open(now, resource, allotment)?;
        if let Some(expires_at) = allotment.expires_at {
            self.schedule_check(expires_at);
        }
        Some(CountedConnection { plane_runtime: self.clone(), resource, permit })
    }

    /// Closes the connections beyond the node's allotment of one box.
    fn close_excess(&self, resource: Resource) {
        if self.cut_excess(resource) {
            self.close_cut_idle_connections();
        }
    }

    /// Closes the connections beyond the node's allotments of all boxes.
    pub(super) fn close_all_excess(&self) {
        self.next_expiry.set(None);
        let all = self.usage.borrow().resources();
        // `filter` and `count` visit every box, even after one had connections to close.
        if all.into_iter().filter(|resource| self.cut_excess(*resource)).count() > 0 {
            self.close_cut_idle_connections();
        }
    }

    /// Cuts the connections beyond the node's allotment of one box; returns whether there were any.
    fn cut_excess(&self, resource: Resource) -> bool {
        let (now, mut plane) = (self.now(), self.plane.borrow_mut());
        let Some(budgets) = plane.budgets() else { return false };
        let allotment = Self::allotment(budgets, now, resource, TenantIndex(0));
        if let Some(expires_at) = allotment.expires_at {
            self.schedule_check(expires_at);
        }
        self.usage.borrow_mut().cut_excess(now, resource, allotment)
    }

    /// Schedules the check for the end of a lease, [`CLOSING`] before it.
    fn schedule_check(&self, expires_at: Moment) {
        let check_at = expires_at.saturating_sub(CLOSING);
        self.next_expiry.set(Some(self.next_expiry.get().map_or(check_at, |before| before.min(check_at))));
    }

    /// Has the connection pool close idle connections that were cut.
    fn close_cut_idle_connections(&self) {
        if let Some(close_cut_idle_connections) = self.close_cut_idle_connections.get() {
            close_cut_idle_connections();
        }
    }

    /// Sets the callback by which the connection pool closes idle connections that were cut.
    pub fn set_idle_closer(&self, close_cut_idle_connections: impl Fn() + 'static) {
        let first = self.close_cut_idle_connections.set(Box::new(close_cut_idle_connections)).is_ok();
        debug_assert!(first, "the callback is set once");
    }
}

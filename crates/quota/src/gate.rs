//! Admission at a node: counts the uses and open connections of each resource against the node's allotments.

use std::collections::BTreeMap;
use std::time::Duration;

use hallpin_membership::names::Moment;

use crate::names::{Allotment, Resource, TenantIndex};

/// The outcome of a request for one use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The use has begun; it lasts until [`AdmissionGate::release`].
    Admitted,
    /// The tenant's or the node's allotment is in use.
    Rejected {
        /// When a retry may succeed.
        retry_after: Duration,
    },
}

#[derive(Clone, Debug, Default)]
struct ResourceUse {
    /// Concurrent uses by tenant.
    in_use: Vec<u32>,
    /// By tenant: when it last began a use beyond its `max_uses`, as a tenant with an allotment below one may.
    last_extra_use: Vec<Option<Moment>>,
    /// Number of open connections.
    open: u32,
}

/// Usage counts of one node. A tenant's uses stay within its allotment, and the uses and open connections of all
/// tenants within the node's. After an allotment shrinks nothing new is admitted, and [`AdmissionGate::excess`] returns
/// how many connections to close.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    resources: BTreeMap<Resource, ResourceUse>,
    /// Returned with a rejection unless a better value is known.
    default_retry_after: Duration,
}

impl AdmissionGate {
    /// A gate with nothing in use. `default_retry_after`, about the duration of a use, is returned with a rejection
    /// unless a better value is known.
    pub fn new(default_retry_after: Duration) -> Self {
        AdmissionGate { resources: BTreeMap::new(), default_retry_after }
    }

    /// Begins a use if the tenant's allotment and the node's allow one more.
    pub fn admit(
        &mut self,
        now: Moment,
        resource: Resource,
        tenant: TenantIndex,
        allotment: Allotment,
    ) -> Admission {
        let default_retry_after = self.default_retry_after;
        let resource_use = self.resources.entry(resource).or_default();
        let index = usize::from(tenant.0);
        if resource_use.in_use.len() <= index {
            resource_use.in_use.resize(index + 1, 0);
            resource_use.last_extra_use.resize(index + 1, None);
        }
        if resource_use.in_use.iter().sum::<u32>() >= allotment.node_max_uses {
            return Admission::Rejected { retry_after: default_retry_after };
        }
        if resource_use.in_use[index] >= allotment.max_uses {
            if let Some(wait) = resource_use.wait(now, index, allotment, default_retry_after) {
                return Admission::Rejected { retry_after: wait };
            }
            resource_use.last_extra_use[index] = Some(now);
        }
        resource_use.in_use[index] += 1;
        Admission::Admitted
    }

    /// Ends a use.
    pub fn release(&mut self, resource: Resource, tenant: TenantIndex) {
        let in_use = self
            .resources
            .get_mut(&resource)
            .and_then(|resource_use| resource_use.in_use.get_mut(usize::from(tenant.0)));
        if let Some(in_use) = in_use {
            *in_use = in_use.saturating_sub(1);
        }
    }

    /// Counts a connection before it is opened; returns false, without counting it, where `node_max_uses` are open.
    pub fn open(&mut self, resource: Resource, allotment: Allotment) -> bool {
        let resource_use = self.resources.entry(resource).or_default();
        let is_allowed = resource_use.open < allotment.node_max_uses;
        resource_use.open += u32::from(is_allowed);
        is_allowed
    }

    /// Uncounts a connection that was closed or could not be opened.
    pub fn record_close(&mut self, resource: Resource) {
        if let Some(resource_use) = self.resources.get_mut(&resource) {
            resource_use.open = resource_use.open.saturating_sub(1);
        }
    }

    /// Number of open connections beyond the node's allotment; these must be closed at once, even if in use.
    pub fn excess(&self, resource: Resource, allotment: Allotment) -> u32 {
        self.resources
            .get(&resource)
            .map_or(0, |resource_use| resource_use.open.saturating_sub(allotment.node_max_uses))
    }

    /// Numbers of open connections and of uses in progress by all tenants.
    pub fn counts(&self, resource: Resource) -> (u32, u32) {
        self.resources
            .get(&resource)
            .map_or((0, 0), |resource_use| (resource_use.open, resource_use.in_use.iter().sum()))
    }

    /// Concurrent uses by one tenant.
    pub fn in_use(&self, resource: Resource, tenant: TenantIndex) -> u32 {
        let resource_use = self.resources.get(&resource);
        resource_use
            .and_then(|resource_use| resource_use.in_use.get(usize::from(tenant.0)))
            .copied()
            .unwrap_or(0)
    }

    /// Removes a resource and its counts.
    pub fn remove(&mut self, resource: Resource) {
        self.resources.remove(&resource);
    }
}

impl ResourceUse {
    /// How long a tenant at its `max_uses` has to wait; `None` where its rate allows one more use now.
    fn wait(
        &self,
        now: Moment,
        index: usize,
        allotment: Allotment,
        default_retry_after: Duration,
    ) -> Option<Duration> {
        let min_interval = allotment.min_interval.filter(|_| self.in_use[index] == allotment.max_uses);
        match (min_interval, self.last_extra_use[index]) {
            (None, _) => Some(default_retry_after),
            (Some(_), None) => None,
            (Some(min_interval), Some(last)) => {
                let wait = last.saturating_add(min_interval).saturating_sub(now);
                (!wait.is_zero()).then_some(wait)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BOX: Resource = Resource(1);
    const A: TenantIndex = TenantIndex(0);
    const B: TenantIndex = TenantIndex(1);

    fn allotment(max_uses: u32, node_max_uses: u32, min_interval: Option<Duration>) -> Allotment {
        Allotment { max_uses, node_max_uses, expires_at: None, min_interval }
    }

    #[test]
    fn uses_stay_within_the_tenants_and_the_nodes_allotment() {
        let second = Duration::from_secs(1);
        let (mut gate, rejected) = (AdmissionGate::new(second), Admission::Rejected { retry_after: second });
        assert_eq!(
            [
                gate.admit(second, BOX, A, allotment(2, 3, None)),
                gate.admit(second, BOX, A, allotment(2, 3, None))
            ],
            [Admission::Admitted; 2]
        );
        assert_eq!(gate.admit(second, BOX, A, allotment(2, 3, None)), rejected);
        assert_eq!(gate.admit(second, BOX, B, allotment(2, 3, None)), Admission::Admitted);
        assert_eq!(
            gate.admit(second, BOX, B, allotment(2, 3, None)),
            rejected,
            "the node's allotment is in use"
        );
        gate.release(BOX, A);
        assert_eq!(gate.admit(second, BOX, B, allotment(2, 3, None)), Admission::Admitted);
        assert_eq!((gate.counts(BOX), gate.in_use(BOX, B)), ((0, 3), 2));
    }

    #[test]
    fn an_allotment_below_one_is_granted_by_rate() {
        let ms = Duration::from_millis;
        let (mut gate, fractional) = (AdmissionGate::new(ms(5)), allotment(0, 2, Some(ms(100))));
        assert_eq!(gate.admit(ms(1000), BOX, B, fractional), Admission::Admitted);
        assert_eq!(
            gate.admit(ms(1200), BOX, B, fractional),
            Admission::Rejected { retry_after: ms(5) },
            "one use at a time"
        );
        gate.release(BOX, B);
        assert_eq!(gate.admit(ms(1040), BOX, B, fractional), Admission::Rejected { retry_after: ms(60) });
        assert_eq!(gate.admit(ms(1100), BOX, B, fractional), Admission::Admitted);
    }

    #[test]
    fn connections_beyond_a_shrunk_allotment_are_excess() {
        let mut gate = AdmissionGate::new(Duration::ZERO);
        let opened = (0..5).filter(|_| gate.open(BOX, allotment(0, 4, None))).count();
        assert_eq!(
            (opened, gate.excess(BOX, allotment(0, 4, None)), gate.excess(BOX, allotment(0, 1, None))),
            (4, 0, 3)
        );
        gate.record_close(BOX);
        assert_eq!(
            (gate.excess(BOX, allotment(0, 1, None)), gate.open(BOX, allotment(0, 1, None))),
            (2, false)
        );
        gate.remove(BOX);
        assert_eq!(gate.counts(BOX), (0, 0));
    }
}

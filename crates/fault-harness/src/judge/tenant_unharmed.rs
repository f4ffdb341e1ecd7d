//! Rule `tenant-unharmed`: once a tenant's rate is raised, the other tenants are served at least the share that they
//! were served before, less a bound.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use hallpin_simulation::time::Time;

use super::scheduling_delay::SchedulingDelay;
use super::{Rule, Violations};
use crate::spec::Spec;
use crate::trace::{Event, Record};

/// Number of requests issued, and of those served.
type Counts = (u64, u64);

pub(super) struct TenantUnharmed {
    names: Vec<String>,
    max_loss: f64,
    /// Tenants whose rate was raised, and the time of the first raise.
    raised: BTreeSet<usize>,
    since: Option<Time>,
    /// For each open request its tenant, and whether it was issued after the first raise.
    open: BTreeMap<u64, (usize, bool)>,
    /// For each tenant the requests before and after the first raise.
    counts: Vec<[Counts; 2]>,
    /// Time of the last record.
    last: Time,
    delays: Rc<SchedulingDelay>,
}

fn share((asked, served): Counts) -> f64 {
    served as f64 / asked.max(1) as f64
}

impl TenantUnharmed {
    pub fn new(spec: &Spec, max_loss: f64, delays: Rc<SchedulingDelay>) -> Self {
        let names: Vec<String> = spec.tenants.iter().map(|tenant| tenant.name.clone()).collect();
        let counts = vec![Default::default(); names.len()];
        let (raised, open) = (BTreeSet::new(), BTreeMap::new());
        TenantUnharmed { names, max_loss, raised, since: None, open, counts, last: Time::ZERO, delays }
    }
}

impl Rule for TenantUnharmed {
    fn observe(&mut self, record: &Record, _: &mut Violations) {
        self.last = record.at;
        match record.event {
            Event::Rate { tenant, factor } if factor > 1.0 => {
                self.raised.insert(tenant);
                self.since.get_or_insert(record.at);
            }
            Event::Asked { ask, tenant, .. } => drop(self.open.insert(ask, (tenant, self.since.is_some()))),
            Event::Over { ask, served } => {
                let of = self.open.remove(&ask);
                let counts =
                    of.and_then(|(tenant, after)| self.counts.get_mut(tenant)?.get_mut(usize::from(after)));
                if let Some((asked, served_count)) = counts {
                    (*asked, *served_count) = (*asked + 1, *served_count + u64::from(served));
                }
            }
            _ => {}
        }
    }

    fn finish(&mut self, violations: &mut Violations) {
        let Some(since) = self.since else { return };
        // Requests lost to scheduling delay of the machine do not count as harm by another tenant.
        let span = self.last.since(since).as_secs().max(1.0);
        let delays = self.delays.allowance(since, self.last).as_secs() / span;
        let others = (0..self.names.len()).filter(|tenant| !self.raised.contains(tenant));
        for (name, [before, after]) in
            others.filter_map(|tenant| Some((self.names.get(tenant)?, self.counts.get(tenant)?)))
        {
            let least = (share(*before) - self.max_loss - delays).max(0.0);
            if after.0 > 0 && share(*after) < least {
                let (asked, served) = after;
                let what = format!(
                    "{name}: {served} of {asked} requests served while another tenant overloaded, share {:.3} before",
                    share(*before)
                );
                violations.add("tenant-unharmed", self.last, what);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{violation_times, NONE};
    use super::*;

    /// Times of the violations with two tenants and a request each before and after the second one's rate is raised;
    /// the parameters say whether the requests after it were served.
    fn check(others: bool, raised_served: bool) -> Vec<u64> {
        let asked = |ask, tenant| Event::Asked { ask, tenant, tries: 1 };
        let over = |ask, served| Event::Over { ask, served };
        let events = vec![
            (0, asked(1, 0)),
            (1, asked(2, 1)),
            (2, over(1, true)),
            (3, over(2, true)),
            (4, Event::Rate { tenant: 1, factor: 8.0 }),
            (5, asked(3, 0)),
            (6, asked(4, 1)),
            (7, over(3, others)),
            (8, over(4, raised_served)),
        ];
        let spec = Spec::parse("[[tenants]]\nname = \"quiet\"\n[[tenants]]\nname = \"loud\"\n").unwrap();
        violation_times(TenantUnharmed::new(&spec, 0.02, Rc::default()), events)
    }

    #[test]
    fn only_the_tenant_with_the_raised_rate_may_lose_service() {
        assert_eq!(check(false, true), [8]);
        assert_eq!(check(true, false), NONE);
    }
}

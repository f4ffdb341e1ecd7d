//! Rule `drain-honoured`: a node sends no new commands to a box that it was notified is draining or gone, once a grace
//! period has passed, and none to a box that it was never notified of.
//!
//! Boxes at one address are one host to a node: a command there is allowed if any of them may receive it. Data that a
//! cut held back was sent, or a notification made, before the cut healed; a paused node receives notifications when it
//! is resumed.

use std::collections::BTreeMap;
use std::rc::Rc;

use hallpin_simulation::list::Phase;
use hallpin_simulation::time::{Span, Time};

use super::scheduling_delay::SchedulingDelay;
use super::{Rule, Violations};
use crate::relay::Site;
use crate::trace::{Event, Record};

/// Commands that arrive within this time after held data was delivered count as held.
const HELD_WINDOW: Span = Span::from_millis(100);

pub(super) struct DrainHonoured {
    /// For each box the first box at its address.
    hosts: Vec<usize>,
    grace: Span,
    /// For each node the phase that it was notified of for each box, and since when.
    notified: BTreeMap<usize, BTreeMap<usize, (Phase, Time)>>,
    /// For each direction of a link the time at which data that a cut held back was last delivered.
    held: BTreeMap<(Site, Site), Time>,
    delays: Rc<SchedulingDelay>,
}

impl DrainHonoured {
    pub fn new(hosts: Vec<usize>, grace: Span, delays: Rc<SchedulingDelay>) -> Self {
        DrainHonoured { hosts, grace, notified: BTreeMap::new(), held: BTreeMap::new(), delays }
    }

    fn notify(&mut self, node: usize, at: Time, complete: bool, entries: &[(usize, Phase)]) {
        let notified = self.notified.entry(node).or_default();
        if complete {
            let is_listed = |of: &usize| entries.iter().any(|(listed, _)| listed == of);
            for (_, entry) in
                notified.iter_mut().filter(|(of, entry)| !is_listed(of) && entry.0 != Phase::Gone)
            {
                *entry = (Phase::Gone, at);
            }
        }
        for (of, phase) in entries {
            let entry = notified.entry(*of).or_insert((*phase, at));
            // The grace period starts with the first notification that the box is not ready, and is not restarted by
            // further ones.
            if (entry.0 == Phase::Ready) != (*phase == Phase::Ready) {
                entry.1 = at;
            }
            entry.0 = *phase;
        }
    }

    /// Restarts the grace periods of a node that only now receives earlier notifications.
    fn restart_grace(&mut self, node: usize, at: Time) {
        let notified = self.notified.entry(node).or_default().values_mut();
        notified.filter(|(phase, _)| *phase != Phase::Ready).for_each(|(_, since)| *since = at);
    }

    fn attempt(&self, node: usize, of: usize, at: Time, violations: &mut Violations) {
        let Some(host) = self.hosts.get(of).copied() else { return };
        let held = self.held.get(&(Site::Node(node), Site::Box(host)));
        if held.is_some_and(|held| at.since(*held) < HELD_WINDOW + self.delays.allowance(*held, at)) {
            return;
        }
        let notified = self.notified.get(&node);
        let is_at_host = |of: &&usize| self.hosts.get(**of) == Some(&host);
        let entries =
            notified.into_iter().flatten().filter(|(of, _)| is_at_host(of)).map(|(_, entry)| *entry);
        let mut latest_notification = None;
        for (phase, since) in entries {
            if phase == Phase::Ready || at.since(since) <= self.grace + self.delays.allowance(since, at) {
                return;
            }
            latest_notification = latest_notification.max(Some(since));
        }
        let what = match latest_notification {
            Some(since) => {
                format!(
                    "n{node} sent a command to b{of}, which it was notified is not ready at {} us",
                    since.0
                )
            }
            None => format!("n{node} sent a command to b{of}, which it was never notified of"),
        };
        violations.add("drain-honoured", at, what);
    }
}

impl Rule for DrainHonoured {
    fn observe(&mut self, record: &Record, violations: &mut Violations) {
        let at = record.at;
        match &record.event {
            Event::Told { node, complete, entries, .. } => self.notify(*node, at, *complete, entries),
            Event::Attempt { of, node, .. } => self.attempt(*node, *of, at, violations),
            Event::Held { from: Site::List, to: Site::Node(node) } | Event::NodeResumed { node } => {
                self.restart_grace(*node, at);
            }
            Event::Held { from, to } => drop(self.held.insert((*from, *to), at)),
            _ => {}
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{violation_times, NONE};
    use super::*;

    /// The second box has the address of the first.
    fn rule() -> DrainHonoured {
        DrainHonoured::new(vec![0, 0, 2], Span::from_millis(1000), Rc::default())
    }

    fn notified(complete: bool, entries: &[(usize, Phase)]) -> Event {
        Event::Told { node: 0, revision: 1, complete, entries: entries.to_vec() }
    }

    fn sent(of: usize) -> Event {
        Event::Attempt { of, node: 0, connection: 0, id: 1, tenant: None, key: 1, write: false }
    }

    #[test]
    fn a_command_after_the_grace_period_is_a_violation() {
        use Phase::{Draining, Gone, Ready};
        let start = (0, notified(true, &[(0, Ready), (2, Ready)]));
        let notified_of = |phase| (100, notified(false, &[(0, phase)]));
        let check =
            |events: Vec<(u64, Event)>| violation_times(rule(), [vec![start.clone()], events].concat());
        for phase in [Draining, Gone] {
            assert_eq!(check(vec![notified_of(phase), (1100, sent(0)), (1200, sent(2))]), NONE);
            assert_eq!(check(vec![notified_of(phase), (1101, sent(0)), (1200, sent(2))]), [1101]);
        }
        // A box missing from a complete list is gone, and the grace period starts only once.
        assert_eq!(check(vec![(100, notified(true, &[(2, Ready)])), (1101, sent(0))]), [1101]);
        assert_eq!(
            check(vec![notified_of(Draining), (900, notified(false, &[(0, Gone)])), (1101, sent(0))]),
            [1101]
        );
        assert_eq!(violation_times(rule(), vec![(5, sent(0))]), [5], "never notified of it");
        // Another box at the same address may receive commands; data held by a cut or a pause was sent, or notified,
        // before.
        assert_eq!(
            check(vec![notified_of(Gone), (200, notified(false, &[(1, Ready)])), (3000, sent(1))]),
            NONE
        );
        let held = Event::Held { from: Site::Node(0), to: Site::Box(0) };
        assert_eq!(check(vec![notified_of(Gone), (3000, held.clone()), (3050, sent(0))]), NONE);
        assert_eq!(check(vec![notified_of(Gone), (3000, held), (3150, sent(0))]), [3150]);
        let resumed = Event::NodeResumed { node: 0 };
        let held = Event::Held { from: Site::List, to: Site::Node(0) };
        for event in [resumed, held] {
            assert_eq!(check(vec![notified_of(Gone), (3000, event.clone()), (3900, sent(0))]), NONE);
            assert_eq!(check(vec![notified_of(Gone), (3000, event), (4001, sent(0))]), [4001]);
        }
    }
}

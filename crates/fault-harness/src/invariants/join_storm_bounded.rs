//! Rule `join-storm-bounded`: no datagram exceeds the protocol's maximum length, and the datagrams of one node within
//! any second stay within a bound.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::scheduling_delay::SchedulingDelay;
use super::window::{extended_limit, Window};
use super::{Rule, Violations};
use crate::relay::Site;
use crate::trace::{Event, Record};

/// Maximum length of a datagram in the protocol, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;

pub(super) struct JoinStormBounded {
    limit: Option<u32>,
    sent: BTreeMap<Site, Window>,
    delays: Rc<SchedulingDelay>,
}

impl JoinStormBounded {
    pub fn new(limit: Option<u32>, delays: Rc<SchedulingDelay>) -> Self {
        JoinStormBounded { limit, sent: BTreeMap::new(), delays }
    }
}

impl Rule for JoinStormBounded {
    fn observe(&mut self, record: &Record, violations: &mut Violations) {
        let Event::Datagram { from, to, bytes, .. } = record.event else { return };
        if bytes > MAX_DATAGRAM_BYTES {
            let what = format!("{from} sent {to} a datagram of {bytes} bytes, limit {MAX_DATAGRAM_BYTES}");
            violations.add("join-storm-bounded", record.at, what);
        }
        let Some(limit) = self.limit else { return };
        let sent = self.sent.entry(from).or_default().add(record.at);
        if sent > extended_limit(limit, record.at, &self.delays) {
            let what = format!("{from} sent {sent} datagrams within a second, limit {limit}");
            violations.add("join-storm-bounded", record.at, what);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{violation_times, NONE};
    use super::*;
    use crate::relay::Fate;

    fn sent(from: usize, bytes: usize) -> Event {
        Event::Datagram { from: Site::Node(from), to: Site::Node(2), bytes, fate: Fate::Lost }
    }

    #[test]
    fn only_too_many_or_too_long_datagrams_are_violations() {
        let rule = || JoinStormBounded::new(Some(2), Rc::default());
        assert_eq!(
            violation_times(rule(), vec![(0, sent(0, 256)), (1, sent(0, 9)), (999, sent(0, 9))]),
            [999]
        );
        assert_eq!(
            violation_times(
                rule(),
                vec![(0, sent(0, 256)), (1, sent(0, 9)), (1000, sent(0, 9)), (1001, sent(1, 9))]
            ),
            NONE
        );
        assert_eq!(violation_times(JoinStormBounded::new(None, Rc::default()), vec![(3, sent(0, 257))]), [3]);
    }
}

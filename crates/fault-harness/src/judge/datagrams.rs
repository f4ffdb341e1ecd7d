//! Rule `join-storm-bounded`: no datagram exceeds the protocol's maximum length, and the datagrams of one node within
//! any second stay within a bound.

use std::collections::BTreeMap;
use std::rc::Rc;

use super::starved::Starved;
use super::window::{allowed, Window};
use super::{Found, Rule};
use crate::relay::Site;
use crate::trace::{Event, Record};

/// Maximum length of a datagram in the protocol, in bytes.
const LONGEST: usize = 256;

pub(super) struct JoinStormBounded {
    most: Option<u32>,
    sent: BTreeMap<Site, Window>,
    starved: Rc<Starved>,
}

impl JoinStormBounded {
    pub fn new(most: Option<u32>, starved: Rc<Starved>) -> Self {
        JoinStormBounded { most, sent: BTreeMap::new(), starved }
    }
}

impl Rule for JoinStormBounded {
    fn see(&mut self, record: &Record, found: &mut Found) {
        let Event::Datagram { from, to, bytes, .. } = record.event else { return };
        if bytes > LONGEST {
            let what = format!("{from} sent {to} a datagram of {bytes} bytes, at most {LONGEST}");
            found.add("join-storm-bounded", record.at, what);
        }
        let Some(most) = self.most else { return };
        let sent = self.sent.entry(from).or_default().take(record.at);
        if sent > allowed(most, record.at, &self.starved) {
            let what = format!("{from} has sent {sent} datagrams within a second, at most {most}");
            found.add("join-storm-bounded", record.at, what);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::tests::{found, NONE};
    use super::*;
    use crate::relay::Fate;

    fn sent(from: usize, bytes: usize) -> Event {
        Event::Datagram { from: Site::Node(from), to: Site::Node(2), bytes, fate: Fate::Lost }
    }

    #[test]
    fn a_storm_and_a_long_datagram_are_found_and_what_keeps_to_the_bounds_is_not() {
        let rule = || JoinStormBounded::new(Some(2), Rc::default());
        assert_eq!(found(rule(), vec![(0, sent(0, 256)), (1, sent(0, 9)), (999, sent(0, 9))]), [999]);
        assert_eq!(
            found(rule(), vec![(0, sent(0, 256)), (1, sent(0, 9)), (1000, sent(0, 9)), (1001, sent(1, 9))]),
            NONE
        );
        assert_eq!(found(JoinStormBounded::new(None, Rc::default()), vec![(3, sent(0, 257))]), [3]);
    }
}

//! Three weeks of churn leave no state behind.

use super::common::{self, entry, read, refused, settings};
use super::{end, fleet, out, settled};
use crate::balance::TICK;
use crate::interface::*;

#[test]
fn after_three_weeks_of_churn_the_module_is_as_on_its_first_day() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let homes = |node: &mut common::Node, from| -> Vec<ServerId> {
        node.event(Event::Roster(RosterNews::Full(fleet(8))));
        node.pass(1.0);
        (0..64).map(|key| node.home(from + key, key)).collect()
    };
    // Time for which a request is held while no server is listed, in ticks.
    let held = |node: &mut common::Node, request| {
        node.event(Event::Roster(RosterNews::Full(vec![])));
        let since = node.now;
        node.request(read(request, 1));
        while !refused(&node.pass(TICK / 5.0)) {}
        (node.now - since) / TICK
    };
    let size = |node: &common::Node| {
        let state = &node.balancer.0;
        let servers = &state.servers;
        (servers.len(), servers.point_count(), servers.kind_count(), state.key_locations.len() < 500)
    };
    let first = (homes(&mut node, 1 << 50), held(&mut node, 1 << 51));
    let mut request = 0;
    let mut sizes = Vec::new();
    for hour in 0..21 * 24u64 {
        node.now = 100.0 + 3600.0 * (hour + 1) as f64;
        node.pass(TICK);
        let of = |n| RosterEntry { kind: format!("kind-{hour}"), started: Some(node.now), ..entry(n) };
        node.event(Event::Roster(RosterNews::Full((0..8).map(|n| of(hour * 4 + n)).collect())));
        for n in 0..60 {
            request += 1;
            node.request(NewRequest { write: n % 9 == 0, ..read(request, request % 40) });
            node.pass(TICK / 5.0);
            let status = [Status::Success, Status::Broken, Status::TimedOut, Status::Overloaded][n % 4];
            for attempt in out(&node, request) {
                end(&mut node, request, attempt, status, status == Status::Success);
            }
            node.event(Event::Withdrawn(RequestId(request)));
            for attempt in out(&node, request) {
                end(&mut node, request, attempt, Status::Cancelled, true);
            }
        }
        settled(&mut node);
        node.sends.clear();
        sizes.push(size(&node));
    }
    assert_eq!(sizes.get(1), sizes.last(), "sizes in the second hour and in the last");
    // Ejections of the last hour remain until a probe ends them, so the list is cleared.
    node.event(Event::Roster(RosterNews::Full(vec![])));
    let last = (homes(&mut node, 1 << 52), held(&mut node, 1 << 53));
    assert_eq!(first.0, last.0);
    assert!((first.1 - last.1).abs() < 1.01, "held for {} and {} ticks", first.1, last.1);
    settled(&mut node);
}

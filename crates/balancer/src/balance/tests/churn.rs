//! Three weeks of churn leave no state behind.

use super::common::{self, entry, read, rejected, settings};
use super::{assert_idle, attempts_in_flight, end_attempt, fleet};
use crate::balance::TICK_INTERVAL;
use crate::interface::*;

#[test]
fn three_weeks_of_churn_leave_owners_hold_times_and_table_sizes_unchanged() {
    let mut node = common::Node::with(settings(), 1, fleet(8));
    let owners = |node: &mut common::Node, from| -> Vec<ServerId> {
        node.event(Event::Endpoints(EndpointUpdate::Full(fleet(8))));
        node.advance(1.0);
        (0..64).map(|key| node.owner(from + key, key)).collect()
    };
    // Time for which a request is held while no server is listed, in ticks.
    let hold_time_in_ticks = |node: &mut common::Node, request| {
        node.event(Event::Endpoints(EndpointUpdate::Full(vec![])));
        let since = node.now;
        node.request(read(request, 1));
        while !rejected(&node.advance(TICK_INTERVAL / 5.0)) {}
        (node.now - since) / TICK_INTERVAL
    };
    let table_sizes = |node: &common::Node| {
        let state = &node.balancer.0;
        let servers = &state.servers;
        (servers.len(), servers.point_count(), servers.kind_count(), state.key_locations.len() < 500)
    };
    let before = (owners(&mut node, 1 << 50), hold_time_in_ticks(&mut node, 1 << 51));
    let mut request = 0;
    let mut sizes = Vec::new();
    for hour in 0..21 * 24u64 {
        node.now = 100.0 + 3600.0 * (hour + 1) as f64;
        node.advance(TICK_INTERVAL);
        let entry_of_this_hour =
            |n| EndpointEntry { kind: format!("kind-{hour}"), started: Some(node.now), ..entry(n) };
        node.event(Event::Endpoints(EndpointUpdate::Full(
            (0..8).map(|n| entry_of_this_hour(hour * 4 + n)).collect(),
        )));
        for n in 0..60 {
            request += 1;
            node.request(NewRequest { write: n % 9 == 0, ..read(request, request % 40) });
            node.advance(TICK_INTERVAL / 5.0);
            let status = [Status::Success, Status::Broken, Status::TimedOut, Status::Overloaded][n % 4];
            for attempt in attempts_in_flight(&node, request) {
                end_attempt(&mut node, request, attempt, status, status == Status::Success);
            }
            node.event(Event::ClientLeft(RequestId(request)));
            for attempt in attempts_in_flight(&node, request) {
                end_attempt(&mut node, request, attempt, Status::Cancelled, true);
            }
        }
        assert_idle(&mut node);
        node.sends.clear();
        sizes.push(table_sizes(&node));
    }
    assert_eq!(sizes.get(1), sizes.last(), "sizes in the second hour and in the last");
    // Ejections of the last hour remain until a probe readmits the server or the server leaves the list,
    // so the list is cleared.
    node.event(Event::Endpoints(EndpointUpdate::Full(vec![])));
    let after = (owners(&mut node, 1 << 52), hold_time_in_ticks(&mut node, 1 << 53));
    assert_eq!(before.0, after.0);
    assert!((before.1 - after.1).abs() < 1.01, "held for {} and {} ticks", before.1, after.1);
    assert_idle(&mut node);
}

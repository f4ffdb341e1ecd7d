//! Rule three and discovery: the endpoint list, and the calls for it.

use hallpin_balancer::*;

use crate::common::*;
use crate::fleet;

#[test]
fn a_server_that_drains_just_before_a_send_is_not_sent_to() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut node = Node::with(settings(), 1, fleet(4));
        let owner = node.owner(1, 9);
        let n = (1..=4).find(|&n| id(n) == owner).unwrap();
        node.event(Event::Endpoints(EndpointUpdate::Delta(vec![EndpointEntry { state, ..entry(n) }])));
        for request in 2..40 {
            assert!(sent(&node.request(read(request, 9))).iter().all(|s| *s != owner));
        }
    }
}

#[test]
fn a_server_absent_from_a_complete_list_has_left() {
    let mut node = Node::with(settings(), 1, fleet(4));
    node.event(Event::Endpoints(EndpointUpdate::Full(fleet(3))));
    assert!((1..200).all(|n| node.owner(n, n) != id(4)));
}

#[test]
fn with_an_empty_list_nothing_is_sent_until_a_new_list_arrives() {
    let mut node = Node::with(settings(), 1, fleet(4));
    node.event(Event::Endpoints(EndpointUpdate::Full(vec![])));
    assert!(sent(&node.request(read(1, 1))).is_empty());
    node.event(Event::Endpoints(EndpointUpdate::Full(fleet(4))));
    assert_eq!(sent(&node.request(read(2, 2))).len(), 1);
}

fn polling_settings() -> Settings {
    Settings { membership: Membership::OnRequest, ..settings() }
}

fn subscribe_calls(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Subscribe)).count()
}

#[test]
fn a_polling_node_subscribes_at_once_and_repeats_failed_calls() {
    let mut node = Node::new(polling_settings(), 1);
    assert_eq!(subscribe_calls(&node.event(Event::Endpoints(EndpointUpdate::Cached(fleet(4))))), 1);
    for _ in 0..5 {
        node.event(Event::Endpoints(EndpointUpdate::Failed));
        assert_eq!(subscribe_calls(&node.advance(3.0)), 1);
    }
    node.event(Event::Endpoints(EndpointUpdate::Delta(vec![])));
    assert_eq!(subscribe_calls(&node.advance(60.0)), 0, "a node subscribes once");
    node.event(Event::Endpoints(EndpointUpdate::Failed));
    assert_eq!(subscribe_calls(&node.advance(3.0)), 1, "a broken subscription is renewed");
}

#[test]
fn a_call_without_an_answer_is_repeated_before_the_poll_interval_ends() {
    let mut node = Node::new(polling_settings(), 1);
    node.event(Event::Endpoints(EndpointUpdate::Cached(fleet(4))));
    assert!(subscribe_calls(&node.advance(9.0)) >= 1);
}

/// A restarted node has only its stored list: it uses that, calls discovery at once, and counts a start that
/// the stored list lacked from the moment that it is notified.
#[test]
fn a_restarted_node_uses_its_stored_list_until_an_update_arrives() {
    let mut node = Node::new(polling_settings(), 7);
    let first = node.event(Event::Endpoints(EndpointUpdate::Cached(fleet(8))));
    assert_eq!(subscribe_calls(&first), 1);
    let owned = |node: &mut Node, from: u64| (0..2000).filter(|&n| node.owner(from + n, n) == id(1)).count();
    let before = owned(&mut node, 0);
    let started = EndpointEntry { started: Some(99.0), ..entry(1) };
    let gone = EndpointEntry { state: ServerState::Gone, ..entry(2) };
    node.event(Event::Endpoints(EndpointUpdate::Delta(vec![started, gone])));
    let after = owned(&mut node, 10_000);
    assert!(after > 0 && after * 2 < before, "{after} of {before}");
    assert!((0..500).all(|n| node.owner(20_000 + n, n) != id(2)));
}

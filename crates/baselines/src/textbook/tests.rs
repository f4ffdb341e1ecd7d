//! Behaviour that all textbook policies share.

use hallpin_balancer::{EndpointEntry, EndpointUpdate, ServerId, ServerState};

use hallpin_simulation::policy::EmptyWorldView;

use super::*;
use crate::PolicyKind;

fn settings() -> Settings {
    let day = hallpin_simulation::scenario::Scenario::default().draw(1).unwrap();
    Settings::from_json(&day.settings(0)).unwrap()
}

fn fleet(n: usize) -> Vec<EndpointEntry> {
    let entry = |i| EndpointEntry {
        server: ServerId(format!("b{i:02}").into()),
        state: ServerState::Ready,
        weight: 1.0 + (i % 2) as f64,
        ..EndpointEntry::default()
    };
    (0..n).map(entry).collect()
}

fn homes(kind: PolicyKind, n: usize) -> Vec<ServerId> {
    let mut policy = kind.factory()(settings(), 1).unwrap();
    let mut actions = Vec::new();
    policy.handle(0.0, Event::Endpoints(EndpointUpdate::Full(fleet(n))), &EmptyWorldView, &mut actions);
    let home = |key: u64| {
        let id = RequestId(key + 1);
        let new = NewRequest {
            id,
            time_left: 1.0,
            class: Some(hallpin_balancer::ClassId(0)),
            tenant: None,
            key: Some(Key(key)),
            write: false,
            work_hint: None,
        };
        let mut actions = Vec::new();
        policy.handle(0.1, Event::Request(new), &EmptyWorldView, &mut actions);
        let to = actions.iter().find_map(|a| match a {
            Action::Send { server, .. } => Some(server.clone()),
            _ => None,
        });
        policy.handle(0.1, Event::ClientLeft(id), &EmptyWorldView, &mut actions);
        to.expect("a box")
    };
    (0..2000).map(home).collect()
}

/// Hashing policies distribute keys by weight, and move few keys when a box joins.
#[test]
fn key_placement_follows_weights_and_moves_few_keys() {
    for (kind, most_moved) in
        [(PolicyKind::Rendezvous, 0.18), (PolicyKind::BoundedLoad, 0.2), (PolicyKind::Maglev, 0.25)]
    {
        let (before, after) = (homes(kind, 10), homes(kind, 11));
        let heavy = before.iter().filter(|s| s.0[1..].parse::<usize>().unwrap() % 2 == 1).count();
        let share = heavy as f64 / before.len() as f64;
        assert!((0.6..0.74).contains(&share), "{kind:?}: {share}, 2/3 expected");
        let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count() as f64 / before.len() as f64;
        assert!(moved < most_moved, "{kind:?}: {moved} moved, 1/16 expected");
    }
}

#[test]
fn all_policies_retry_after_failures_and_end_the_request_once() {
    for kind in [
        PolicyKind::Random,
        PolicyKind::LeastOfTwo,
        PolicyKind::Rendezvous,
        PolicyKind::BoundedLoad,
        PolicyKind::Maglev,
    ] {
        let mut policy = kind.factory()(settings(), 1).unwrap();
        let mut actions = Vec::new();
        policy.handle(0.0, Event::Endpoints(EndpointUpdate::Full(fleet(5))), &EmptyWorldView, &mut actions);
        let new = NewRequest {
            id: RequestId(1),
            time_left: 1.0,
            class: Some(hallpin_balancer::ClassId(0)),
            tenant: None,
            key: Some(Key(1)),
            write: false,
            work_hint: None,
        };
        policy.handle(0.0, Event::Request(new), &EmptyWorldView, &mut actions);
        for attempt in 0..3 {
            let failed = Outcome {
                request: RequestId(1),
                attempt: AttemptId(attempt),
                status: Status::Broken,
                elapsed: 0.01,
                finished: false,
                cache_note: None,
            };
            policy.handle(0.01, Event::Outcome(failed), &EmptyWorldView, &mut actions);
        }
        let sends: Vec<&ServerId> = actions
            .iter()
            .filter_map(|a| match a {
                Action::Send { server, .. } => Some(server),
                _ => None,
            })
            .collect();
        assert_eq!(sends.len(), 3, "{kind:?}");
        assert!(sends[0] != sends[1] && sends[1] != sends[2] && sends[0] != sends[2], "{kind:?}");
        let ends = actions.iter().filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_))).count();
        assert_eq!(ends, 1, "{kind:?}");
    }
}

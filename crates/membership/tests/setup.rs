//! Configuration, nodes stored by an earlier incarnation, and forgetting.

mod common;

use common::{config, ms, node_incarnation};
use hallpin_membership::machine::Output;
use hallpin_membership::view::MemberState;
use hallpin_membership::{ConfigError, Peers, PeersEvent};

/// A gossip payload from zone 0, from a node that stays or that leaves.
fn payload(leaving: bool) -> [u8; 8] {
    [0, 0, leaving.into(), 9, 9, 9, 9, 7]
}

#[test]
fn an_invalid_configuration_is_rejected_with_the_fields_name() {
    let error = |change: fn(&mut hallpin_membership::PeersConfig)| {
        let mut config = config(1, 1, 3);
        change(&mut config);
        Peers::new(config, 1, ms(0), &[]).err()
    };
    assert_eq!(error(|_| ()), None);
    assert_eq!(error(|c| c.configured = 1), Some(ConfigError::NotListed { this: 1, configured: 1 }));
    assert_eq!(error(|c| c.bounds.sends = 0), Some(ConfigError::Zero("bounds.sends")));
    assert!(matches!(
        error(|c| c.timing.suspicion_max = ms(1)),
        Some(ConfigError::Range("timing.suspicion_max", _))
    ));
}

#[test]
fn stored_nodes_are_pinged_first_and_are_no_members() {
    let known = [node_incarnation(90, 7), node_incarnation(300, 7), node_incarnation(40, 7)];
    let mut peers = Peers::new(config(0, 1, 200), 1, ms(0), &known).unwrap();
    assert_eq!(peers.view().members.len(), 1);
    let mut pinged = Vec::new();
    while pinged.len() < 3 {
        peers.tick(peers.due().unwrap());
        pinged.extend(peers.take_outputs().into_iter().filter_map(|output| match output {
            Output::Send { to, .. } => Some(to.0),
            Output::Event(_) => None,
        }));
    }
    assert!(pinged[..2] == [40, 90], "{pinged:?}");
    assert_eq!(
        peers.receive(ms(900), node_incarnation(90, 3), &payload(false)),
        Ok(()),
        "an earlier incarnation than was stored is accepted"
    );
    assert!(peers.view().is_alive(node_incarnation(90, 3).node));
}

#[test]
fn a_node_that_left_is_forgotten_after_its_time_and_not_before() {
    let mut config = config(0, 1, 3);
    config.timing.forget_after = ms(30_000);
    let mut peers = Peers::new(config, 1, ms(0), &[]).unwrap();
    peers.receive(ms(0), node_incarnation(1, 1), &payload(false)).unwrap();
    peers.receive(ms(100), node_incarnation(1, 1), &payload(true)).unwrap();
    for at in 1..400 {
        peers.tick(ms(at * 100));
        let state = peers.view().members.get(&node_incarnation(1, 1).node).map(|member| member.state);
        match at {
            1..300 => assert_eq!(state, Some(MemberState::Left), "after {at} tenths of a second"),
            310.. => assert_eq!(state, None),
            _ => {}
        }
    }
    let cut_off =
        peers.take_outputs().into_iter().filter(|output| *output == Output::Event(PeersEvent::CutOff(true)));
    assert_eq!(cut_off.count(), 1);
}

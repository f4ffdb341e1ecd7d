//! False claims by one node and arbitrary payloads: no node is removed by one node's claims, and an invalid payload
//! changes nothing.

mod common;

use common::{config, ms, node_incarnation, World};
use hallpin_membership::envelope::{Envelope, Rejection, MAX_PAYLOAD};
use hallpin_membership::view::MemberState;
use hallpin_membership::Peers;
use proptest::prelude::*;

/// Builds a gossip payload from zone 0 with one claim. `state` and the bytes after it are as postcard writes them.
fn gossip_payload(node: u8, incarnation: u8, refutations: &[u8], state: &[u8]) -> Vec<u8> {
    [&[0, 0, 0, 9, 9, 9, 9, 7, 0, node, incarnation], refutations, &[0], state].concat()
}

#[test]
fn one_nodes_claims_remove_no_other_node() {
    let false_claims: [(&str, u8, &[u8], Vec<u8>); 6] = [
        ("suspect, by three accusers", 1, &[0], vec![1, 2]),
        ("dead", 1, &[0], vec![2]),
        ("left", 1, &[0], vec![3]),
        ("dead in a newer incarnation", 99, &[0], vec![2]),
        ("alive in a newer incarnation", 99, &[0], vec![0]),
        ("dead, with all refutations used up", 1, &[0xff, 0xff, 0xff, 0xff, 0x0f], vec![2]),
    ];
    for (claim, incarnation, refutations, state) in false_claims {
        for seed in 0..3 {
            let mut world = World::settled(7, seed);
            for round in 0..100 {
                let mut state = state.clone();
                if state.len() == 2 {
                    state[1] = 2 + round % 3;
                }
                let payload = gossip_payload(3, incarnation, refutations, &state);
                for to in (0..6).filter(|to| *to != 3) {
                    let _ = world.call(to, |peers, now| peers.receive(now, node_incarnation(6, 1), &payload));
                }
                world.run(ms(50));
                for at in 0..6 {
                    let state = world.state(at, 3);
                    let out = matches!(state, None | Some(MemberState::Dead | MemberState::Left));
                    assert!(!out, "{claim}: {state:?} at {at}, seed {seed}");
                }
            }
            world.run(ms(3000));
            assert!(world.all_agree(), "{claim}: no agreement after it, seed {seed}");
        }
    }
}

#[test]
fn datagrams_of_strangers_and_earlier_incarnations_are_rejected_and_change_nothing() {
    let mut world = World::settled(3, 1);
    let view = world.peers(0).view().clone();
    let good = gossip_payload(1, 1, &[0], &[0]);
    for (from, payload, expected) in [
        (node_incarnation(3, 1), good.clone(), Rejection::UnknownPeer),
        (node_incarnation(0, 1), good.clone(), Rejection::UnknownPeer),
        (node_incarnation(1, 0), good.clone(), Rejection::UnknownPeer),
        (node_incarnation(1, 1), good[..good.len() - 1].to_vec(), Rejection::Payload),
        (node_incarnation(1, 1), [good.clone(), vec![77]].concat(), Rejection::Payload),
        (node_incarnation(1, 1), gossip_payload(3, 1, &[0], &[0]), Rejection::Payload),
        (node_incarnation(1, 1), gossip_payload(1, 1, &[0], &[1, 3]), Rejection::Payload),
        (node_incarnation(1, 1), vec![0; MAX_PAYLOAD + 1], Rejection::Payload),
        (node_incarnation(1, 1), vec![], Rejection::Payload),
    ] {
        let got = world.call(0, |peers, now| peers.receive(now, from, &payload));
        assert_eq!(got, Err(expected), "{payload:?}");
        assert_eq!(*world.peers(0).view(), view);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// `PROPTEST_CASES` sets another number of cases.
    #[test]
    fn arbitrary_bytes_break_neither_the_envelope_nor_the_table(bytes in proptest::collection::vec(any::<u8>(), 0..300), head in 0u8..12) {
        let _ = Envelope::decode(&bytes);
        let mut peers = Peers::new(config(0, 1, 3), 1, ms(0), &[]).unwrap();
        let hello = gossip_payload(1, 1, &[0], &[0]);
        peers.receive(ms(0), node_incarnation(1, 1), &hello).unwrap();
        let before = format!("{peers:?}");
        // Few random payloads decode beyond the first bytes; more do if they begin with a valid header.
        let started = [&[0, 0, 0, 9, 9, 9, 9, head], bytes.as_slice()].concat();
        for payload in [bytes, started] {
            if peers.receive(ms(1), node_incarnation(1, 1), &payload).is_err() {
                prop_assert_eq!(&format!("{peers:?}"), &before);
            } else {
                prop_assert!(payload.len() <= MAX_PAYLOAD);
                prop_assert!(peers.view().members.len() <= 3 && peers.view().this == node_incarnation(0, 1));
                prop_assert_eq!(peers.view().members[&hallpin_membership::names::NodeId(0)].state, MemberState::Alive);
                return Ok(());
            }
        }
    }
}

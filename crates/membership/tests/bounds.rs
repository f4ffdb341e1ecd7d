//! Limits on datagrams per second at 300 nodes: starting all at once, idle, and when many nodes fail.

mod common;

use common::{ms, node_incarnation, World};
use hallpin_membership::view::MemberState;
use hallpin_membership::Bounds;

const NODES: u16 = 300;

/// Measures for some seconds: the most datagrams that one node sent in a second, and the mean datagrams and bytes per
/// node and second.
fn measure(world: &mut World, seconds: u64) -> (u64, f64, f64) {
    (world.peak_per_second, world.bytes) = (0, 0);
    world.sent.clear();
    world.run(ms(seconds * 1000));
    let per_node_second = (world.nodes.len() as u64 * seconds) as f64;
    (
        world.peak_per_second,
        world.sent.values().sum::<u64>() as f64 / per_node_second,
        world.bytes as f64 / per_node_second,
    )
}

#[test]
fn three_hundred_nodes_stay_within_the_bounds() {
    let mut world = World::new(NODES, 300);
    (0..NODES).for_each(|node| world.start(node, 1));
    let took = world.time_until_all_agree(ms(10_000));
    println!("all start at once: agreed after {took:?}, peak a second {}", world.peak_per_second);
    let bounds = Bounds::default();
    assert!(world.peak_per_second <= u64::from(bounds.sends + bounds.burst));
    assert!(took.is_some(), "300 nodes did not find each other");

    world.run(ms(5000));
    let (peak_per_second, mean, bytes) = measure(&mut world, 3);
    println!("idle: mean {mean:.1} a second and node, {bytes:.0} bytes, peak {peak_per_second}");
    assert!(mean <= 10.0 && bytes <= 2048.0 && peak_per_second <= 40);
    assert!(world.all_agree());
}

#[test]
fn many_crashes_at_once_cause_no_datagram_storm() {
    let (mut world, bounds) = (World::new(100, 301), Bounds::default());
    (0..100).for_each(|node| world.start(node, 1));
    assert!(world.time_until_all_agree(ms(10_000)).is_some());
    (0..30).for_each(|node| world.crash(node));
    let (peak_per_second, mean, _) = measure(&mut world, 3);
    println!("30 of 100 crash at once: mean {mean:.1} a second and node, peak {peak_per_second}");
    assert!(peak_per_second <= u64::from(bounds.sends + bounds.burst));
    let took = world.time_until_all_agree(ms(20_000));
    println!("agreed {took:?} after these 3 s");
    assert!(took.is_some(), "the crashes were not agreed on");
}

#[test]
fn answers_to_a_flood_stay_within_the_bounds_and_leave_other_peers_theirs() {
    let bounds = Bounds::default();
    let mut world = World::settled(5, 1);
    // As postcard writes them: a ping with sequence number 5, and a request with that number to ping node 3, from zone
    // 0.
    let floods: [&[u8]; 2] = [&[0, 0, 0, 9, 9, 9, 9, 0, 5], &[0, 0, 0, 9, 9, 9, 9, 2, 5, 3]];
    (world.peak_per_second, world.sent) = (0, Default::default());
    for step in 0..3000 {
        for _ in 0..10 {
            world.call(0, |peers, now| peers.receive(now, node_incarnation(4, 1), floods[step % 2])).unwrap();
        }
        world.run(ms(1));
        assert!((0..4).all(|at| (0..4).all(|of| world.state(at, of) == Some(MemberState::Alive))));
    }
    println!("10,000 a second from one for 3 s: {} sent", world.sent[&0]);

    let mut world = World::settled(15, 2);
    (world.peak_per_second, world.sent) = (0, Default::default());
    for step in 0..3000u16 {
        for from in 1..15 {
            let flood = floods[usize::from(step % 2)];
            world.call(0, |peers, now| peers.receive(now, node_incarnation(from, 1), flood)).unwrap();
        }
        world.run(ms(1));
        assert!((0..15).all(|at| (0..15).all(|of| world.state(at, of) != Some(MemberState::Dead))));
    }
    println!(
        "14,000 a second from all for 3 s: {} sent, peak {} a second",
        world.sent[&0], world.peak_per_second
    );
    assert!(world.peak_per_second <= u64::from(bounds.sends + bounds.burst));
    assert!(world.sent[&0] <= 3 * u64::from(bounds.sends) + u64::from(bounds.burst));
}

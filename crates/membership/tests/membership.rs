//! Membership under crashes, partitions, loss and pauses, each with several seeds.

mod common;

use common::{ms, World};
use hallpin_membership::view::MemberState;

const SEEDS: std::ops::Range<u64> = 0..10;

/// Returns the longest of the seeds' times, and prints it with the median.
fn print_and_return_worst(what: &str, mut times: Vec<std::time::Duration>) -> std::time::Duration {
    times.sort_unstable();
    println!("{what}: median {:?}, worst {:?}", times[times.len() / 2], times[times.len() - 1]);
    times[times.len() - 1]
}

#[test]
fn a_crash_is_agreed_on_within_seconds() {
    for nodes in [5, 15, 30] {
        let times = SEEDS.map(|seed| {
            let mut world = World::settled(nodes, seed);
            world.crash(2);
            let gone = |w: &World| w.nodes.keys().all(|at| w.state(*at, 2) == Some(MemberState::Dead));
            let gone = world.until(ms(20_000), gone).expect("the crash was not agreed on");
            assert!(world.all_agree(), "another node was declared dead, seed {seed}");
            gone
        });
        assert!(print_and_return_worst(&format!("crash among {nodes}"), times.collect()) <= ms(4000));
    }
}

#[test]
fn both_sides_of_a_healed_partition_find_each_other() {
    for nodes in [5u16, 15, 30] {
        let times = SEEDS.map(|seed| {
            let mut world = World::settled(nodes, seed);
            let (one, other): (Vec<u16>, Vec<u16>) = (0..nodes).partition(|node| node % 5 < 3);
            world.partition(&one, &other, true);
            world.run(ms(10_000));
            assert!(one.iter().all(|a| other.iter().all(|b| world.state(*a, *b) == Some(MemberState::Dead))));
            world.partition(&one, &other, false);
            world.until(ms(20_000), |w| w.all_agree()).expect("the heal was not agreed on")
        });
        assert!(print_and_return_worst(&format!("heal of {nodes}"), times.collect()) <= ms(3000));
    }
}

#[test]
fn a_node_behind_a_one_way_partition_is_not_declared_dead() {
    for seed in SEEDS {
        let mut world = World::settled(5, seed);
        world.set_blocked(&[0], &[1], true);
        for _ in 0..300 {
            world.run(ms(100));
            let dead = |at: u16| (0..5).any(|of| world.state(at, of) == Some(MemberState::Dead));
            assert!(!(0..5).any(dead), "a node that others reach was declared dead, seed {seed}");
        }
    }
}

#[test]
fn two_nodes_that_only_others_can_reach_do_not_suspect_each_other() {
    for seed in SEEDS {
        let mut world = World::settled(5, seed);
        world.partition(&[0], &[1], true);
        for _ in 0..300 {
            world.run(ms(100));
            let is_alive = |at: u16, of: u16| world.state(at, of) == Some(MemberState::Alive);
            assert!((0..5).all(|at| (0..5).all(|of| is_alive(at, of))), "seed {seed}");
        }
    }
}

#[test]
fn a_node_that_is_heard_but_unreachable_is_not_declared_dead() {
    let mut world = World::settled(2, 1);
    world.set_blocked(&[0], &[1], true);
    for _ in 0..100 {
        world.run(ms(100));
        assert_ne!(world.state(0, 1), Some(MemberState::Dead));
    }
    assert!(world.peers(1).view().cut_off && !world.peers(0).view().cut_off);
}

#[test]
fn loss_duplication_and_reordering_make_no_node_dead() {
    for seed in SEEDS {
        let mut world = World::settled(10, seed);
        (world.loss, world.duplication, world.delay) = (0.3, 0.1, (ms(1), ms(40)));
        let mut suspected = 0;
        for _ in 0..600 {
            world.run(ms(100));
            for (at, of) in (0..10).flat_map(|at| (0..10).map(move |of| (at, of))) {
                suspected += usize::from(world.state(at, of) == Some(MemberState::Suspect));
                assert_ne!(world.state(at, of), Some(MemberState::Dead), "node {of} at {at}, seed {seed}");
            }
        }
        println!(
            "suspected in {suspected} of 60000 samples, peak datagrams a second {}",
            world.peak_per_second
        );
    }
}

#[test]
fn ten_nodes_join_in_a_second() {
    let times = SEEDS.map(|seed| {
        let mut world = World::new(15, seed);
        (0..5).for_each(|node| world.start(node, 1));
        world.run(ms(10_000));
        for node in 5..15 {
            world.start(node, 1);
            world.run(ms(90));
        }
        world.until(ms(20_000), |w| w.all_agree()).expect("the nodes did not find each other")
    });
    assert!(print_and_return_worst("ten joins", times.collect()) <= ms(3000));
}

#[test]
fn a_restart_replaces_the_earlier_incarnation_at_once() {
    let times = SEEDS.map(|seed| {
        let mut world = World::settled(5, seed);
        world.crash(3);
        world.run(ms(50));
        world.start(3, 2);
        world.until(ms(20_000), |w| w.all_agree()).expect("the new incarnation was not agreed on")
    });
    assert!(print_and_return_worst("restart", times.collect()) <= ms(2000));
}

#[test]
fn a_paused_node_returns_and_declares_no_other_dead() {
    for seed in SEEDS {
        let mut world = World::settled(5, seed);
        world.pause(4, true);
        world.run(ms(8000));
        assert!((0..4).all(|at| world.state(at, 4) == Some(MemberState::Dead)));
        world.pause(4, false);
        assert!(
            (0..4).all(|of| world.state(4, of) == Some(MemberState::Alive)),
            "it declared others dead after the pause"
        );
        assert!(world.until(ms(2000), |w| w.all_agree()).is_some());
    }
}

#[test]
fn a_paused_node_extends_the_timeouts_of_those_it_suspects() {
    for seed in SEEDS {
        let mut world = World::settled(5, seed);
        world.partition(&[1], &[0, 2, 3, 4], true);
        world.until(ms(5000), |w| w.state(0, 1) == Some(MemberState::Suspect)).unwrap();
        world.pause(0, true);
        world.partition(&[1], &[0, 2, 3, 4], false);
        world.run(ms(5000));
        world.call(0, |peers, now| peers.tick(now));
        assert_eq!(world.state(0, 1), Some(MemberState::Suspect), "seed {seed}");
        world.pause(0, false);
        assert!(world.until(ms(2000), |w| w.all_agree()).is_some());
    }
}

#[test]
fn a_node_that_hears_no_other_is_cut_off() {
    let mut world = World::settled(5, 1);
    world.partition(&[0], &[1, 2, 3, 4], true);
    world.run(ms(2500));
    assert!(world.peers(0).view().cut_off);
    assert!((1..5).all(|node| !world.peers(node).view().cut_off));
    world.partition(&[0], &[1, 2, 3, 4], false);
    assert!(world.until(ms(1000), |w| !w.peers(0).view().cut_off).is_some());
}

#[test]
fn a_node_that_leaves_is_removed_at_once_and_can_return() {
    for seed in SEEDS {
        let mut world = World::settled(15, seed);
        world.call(3, |peers, now| peers.leave(now));
        world.run(ms(10));
        assert!((0..15).all(|at| world.state(at, 3) == Some(MemberState::Left)));
        world.crash(3);
        world.start(3, 2);
        assert!(world.until(ms(2000), |w| w.all_agree()).is_some());
    }
}

//! Nodes that crash, pause or are partitioned at critical moments.

use hallpin_placement::PlacementEvent;

use crate::checker::check_history;
use crate::world::{array, World, LEASE};
use crate::{started, MILLI, SECOND};

fn others(world: &World, except: &[u16]) -> Vec<u16> {
    (0..world.nodes.len() as u16).filter(|n| !except.contains(n)).collect()
}

fn reported_lease_expiry(world: &World, n: u16) -> bool {
    world.nodes[usize::from(n)].events.iter().any(|(_, events)| *events == PlacementEvent::LeaseExpired)
}

#[test]
fn a_coordinator_killed_at_any_step_leaves_one_outcome_everywhere() {
    for step in 0..24 {
        for keep_state in [false, true] {
            let mut world = started(5, 2, 40 + step);
            world.network.delay_ms = 1..=5;
            let killed = world.coordinator().unwrap();
            world.set_all_lists(2, 21);
            world.run(500 * MILLI / 1000 * step as u32);
            world.kill(killed, keep_state);
            let left = others(&world, &[killed]);
            let took = world.until(SECOND * 8, |world| world.agree(left.clone(), 2));
            println!("killed {step} half milliseconds in: agreed {took:?} later");
            // No lease expired, and all nodes placed by the same tables in the same order.
            let placed = |n: u16| -> Vec<_> {
                let tables =
                    world.nodes[usize::from(n)].events.iter().filter_map(|(_, events)| match events {
                        PlacementEvent::Switch(table) => Some(table.id()),
                        _ => None,
                    });
                tables.collect()
            };
            assert!(
                left.iter().all(|n| placed(*n) == placed(left[0]) && !reported_lease_expiry(&world, *n)),
                "{:?}",
                world.states()
            );
            world.start([killed]);
            world.until(SECOND * 5, |world| world.agree(0..5, 2));
            check_history(&world.history).unwrap();
        }
    }
}

#[test]
fn a_partition_with_the_coordinator_in_the_minority_continues_in_the_majority() {
    for cut_after in 0..8 {
        let mut world = started(5, 2, 60);
        let coordinator = world.coordinator().unwrap();
        let minority = [coordinator, (coordinator + 1) % 5];
        let majority = others(&world, &minority);
        world.set_all_lists(2, 21);
        world.run(MILLI * cut_after);
        world.network.block_links(&minority, &majority);
        world.network.block_links(&majority, &minority);
        minority.iter().for_each(|n| world.set_list(*n, 3, array(22)));
        majority.iter().for_each(|n| world.set_list(*n, 4, array(23)));
        let took = world.until(SECOND * 8, |world| world.agree(majority.clone(), 4));
        println!("the majority agrees after {took:?}");
        assert!(
            minority.iter().all(|n| !world.is_leased(*n) && reported_lease_expiry(&world, *n)),
            "{:?}",
            world.states()
        );
        assert!(minority.iter().all(|n| world.nodes[usize::from(*n)].in_force().is_some()));
        world.run(SECOND * 3);
        world.network.blocked_links.clear();
        let took = world.until(SECOND * 4, |world| world.agree(0..5, 4));
        println!("healed: all agree after {took:?}");
        check_history(&world.history).unwrap();
    }
}

#[test]
fn a_one_way_partition_between_depots_lets_the_larger_one_continue() {
    for towards_smaller in [false, true] {
        let mut world = started(5, 2, 5);
        let (majority, minority) = ([0, 2, 4], [1, 3]);
        let (from, to) =
            if towards_smaller { (&majority[..], &minority[..]) } else { (&minority[..], &majority[..]) };
        world.network.block_links(from, to);
        world.run(500 * MILLI);
        world.set_all_lists(2, 21);
        let took = world.until(SECOND * 8, |world| world.agree(majority, 2));
        println!("one way, towards the smaller {towards_smaller}: the larger depot agrees after {took:?}");
        assert!(
            minority.iter().all(|n| !world.is_leased(*n) && reported_lease_expiry(&world, *n)),
            "{:?}",
            world.states()
        );
        world.run(SECOND * 5);
        world.set_all_lists(3, 22);
        world.until(SECOND, |world| world.agree(majority, 3));
        world.network.blocked_links.clear();
        let took = world.until(SECOND * 2, |world| world.agree(0..5, 3));
        println!("healed: all agree after {took:?}");
        check_history(&world.history).unwrap();
    }
}

#[test]
fn the_others_continue_without_a_depot_that_receives_nothing() {
    let mut world = started(5, 2, 6);
    let coordinator = world.coordinator().unwrap();
    let deaf = [(coordinator + 1) % 5, (coordinator + 3) % 5];
    let remaining = others(&world, &deaf);
    // Messages from the deaf nodes still arrive: their reports must not make the coordinator count their leases as
    // renewed.
    world.network.block_links(&remaining, &deaf);
    world.set_all_lists(2, 21);
    let took = world.until(LEASE * 2, |world| world.agree(remaining.clone(), 2));
    println!("agreed without the deaf nodes after {took:?}");
    assert!(took > LEASE / 2 && deaf.iter().all(|n| reported_lease_expiry(&world, *n)));
    check_history(&world.history).unwrap();
}

#[test]
fn a_node_that_never_gets_the_table_delays_the_others_only_briefly() {
    let mut world = started(5, 2, 12);
    let without = (world.coordinator().unwrap() + 1) % 5;
    let remaining = others(&world, &[without]);
    world.network.without_pages = Some(without);
    remaining.iter().for_each(|n| world.set_list(*n, 2, array(21)));
    let took = world.until(LEASE * 2, |world| world.agree(remaining.clone(), 2));
    println!("agreed without the node after {took:?}");
    assert!(reported_lease_expiry(&world, without) && world.nodes[usize::from(without)].in_force().is_some());
    world.network.without_pages = None;
    world.until(SECOND, |world| world.agree(0..5, 2));
    check_history(&world.history).unwrap();
}

#[test]
fn a_node_paused_past_its_lease_reports_the_expiry_before_it_switches() {
    let mut world = started(5, 2, 8);
    let paused = (world.coordinator().unwrap() + 1) % 5;
    world.nodes[usize::from(paused)].paused = true;
    world.set_all_lists(2, 21);
    let remaining = others(&world, &[paused]);
    world.until(LEASE * 2, |world| world.agree(remaining.clone(), 2));
    world.nodes[usize::from(paused)].paused = false;
    assert!(!world.is_leased(paused) && !reported_lease_expiry(&world, paused));
    world.set_list(paused, 2, array(21));
    world.until(SECOND, |world| world.agree(0..5, 2));
    assert!(reported_lease_expiry(&world, paused));
    check_history(&world.history).unwrap();
}

#[test]
fn leases_hold_with_clocks_that_drift_apart_by_two_percent() {
    for seed in 0..6 {
        let mut world = started(5, 2, seed);
        let coordinator = world.coordinator().unwrap();
        let cut = [(coordinator + 1) % 5, (coordinator + 2) % 5];
        let remaining = others(&world, &cut);
        for n in 0..5 {
            // The clocks of the nodes that wait run fast, those of the nodes that are waited for slow.
            world.set_rate(n, if cut.contains(&n) { -10_000 } else { 10_000 });
        }
        world.run(SECOND * 30 + MILLI * 40 * seed as u32);
        world.set_all_lists(2, 21);
        world.network.block_links(&cut, &remaining);
        world.network.block_links(&remaining, &cut);
        world.until(SECOND * 5, |world| world.agree(remaining.clone(), 2));
        world.network.blocked_links.clear();
        world.until(SECOND * 3, |world| world.agree(0..5, 2));
        check_history(&world.history).unwrap();
    }
}

#[test]
fn after_all_nodes_restart_the_first_table_is_newer_than_any_before() {
    for keep_state in [false, true] {
        let mut world = started(5, 2, 9);
        world.set_all_lists(2, 21);
        world.until(SECOND, |world| world.agree(0..5, 2));
        (0..5).for_each(|n| world.kill(n, keep_state));
        world.run(500 * MILLI);
        world.start(0..5);
        assert!(world.nodes.iter().all(|node| node.in_force().is_none()));
        if !keep_state {
            world.set_all_lists(2, 21);
        }
        let took = world.until(SECOND * 6, |world| world.agree(0..5, 2));
        println!("all restarted, state kept: {keep_state}: agreed after {took:?}");
        check_history(&world.history).unwrap();
    }
}

#[test]
fn a_stored_table_older_than_the_lost_one_returns_under_a_newer_id() {
    let mut world = started(3, 2, 10);
    world.kill(0, true);
    world.set_all_lists(2, 21);
    world.until(SECOND * 5, |world| world.agree(1..3, 2));
    (1..3).for_each(|n| world.kill(n, false));
    world.start(0..3);
    world.until(SECOND * 6, |world| world.agree(0..3, 1));
    check_history(&world.history).unwrap();
}

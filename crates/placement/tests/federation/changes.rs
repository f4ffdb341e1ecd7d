//! Changes of the list: whether they reach all nodes, how long that takes, and how many datagrams it costs.

use hallpin_placement::TableEntry;

use crate::checker::check_history;
use crate::world::{array, World};
use crate::{started, MILLI, SECOND};

/// Measures the datagrams and the time of one change whose list all nodes get at once.
fn change(count: u16, loss: f64) -> (u64, std::time::Duration) {
    let mut world = started(count, 1 + count / 2, 1);
    world.network.loss = loss;
    world.run(SECOND);
    let idle = world.network.sent;
    world.run(SECOND);
    let idle = world.network.sent - idle;
    let before = world.network.sent;
    world.set_all_lists(2, 21);
    let took = world.until(SECOND * 5, |world| world.agree(0..count, 2));
    check_history(&world.history).unwrap();
    let first =
        world.history.iter().find(|sample| sample.in_force.is_some_and(|(id, _)| id.version == 2)).unwrap();
    let spread = world.now.as_micros() - first.at_us;
    let sent = world.network.sent - before;
    println!("{count} nodes, loss {loss}: {sent} datagrams, {took:?}, first to last switch {spread} us; idle: {idle} a second");
    (sent, took)
}

#[test]
fn a_change_takes_few_datagrams_and_two_round_trips() {
    for count in [1, 3, 30] {
        let (sent, took) = change(count, 0.0);
        assert!(sent < 12 * u64::from(count), "{sent}");
        assert!(took < 20 * MILLI, "{took:?}");
    }
}

#[test]
#[ignore = "prints measurements of up to 300 nodes; a minute without optimisation"]
fn measures_changes_of_up_to_300_nodes() {
    for count in [3, 30, 300] {
        for loss in [0.0, 0.3] {
            change(count, loss);
        }
    }
}

#[test]
fn a_change_reaches_all_despite_loss_duplication_and_reordering() {
    for seed in 0..20 {
        let mut world = started(5, 2, seed);
        (world.network.loss, world.network.duplication, world.network.delay_ms) = (0.3, 0.2, 1..=60);
        for revision in 2..6 {
            world.set_all_lists(revision, 20 + revision);
            let took = world.until(SECOND * 8, |world| world.agree(0..5, revision));
            println!("revision {revision}: {took:?}");
        }
        check_history(&world.history).unwrap();
    }
}

#[test]
fn late_and_differing_lists_make_one_table_soon_after_the_first_node_gets_it() {
    for seed in 0..5 {
        let mut world = started(6, 2, seed);
        world.network.loss = 0.1;
        let told_at = |n: u64| 500 * MILLI * ((n * 5 + seed) % 6 * 2 + u64::from(n > 2)) as u32;
        let started_at = world.now;
        let mut order: Vec<u64> = (0..6).collect();
        order.sort_by_key(|n| told_at(*n));
        let mut agreed = None;
        for n in order {
            world.run((started_at + told_at(n)).saturating_sub(world.now));
            let mut entries = array(400);
            entries[3].weight_milli += n as u32 % 2;
            world.set_list(n as u16, 2, entries);
            if agreed.is_none() {
                agreed = Some(world.until(SECOND * 2, |world| world.agree(0..6, 2)));
            }
        }
        println!("agreed {agreed:?} after the first node got the list");
        world.run(SECOND * 2);
        assert!(world.agree(0..6, 2));
        check_history(&world.history).unwrap();
    }
}

#[test]
fn a_table_of_the_longest_ids_is_fetched_by_nodes_without_a_list() {
    let entry = |n| TableEntry { server: format!("{n:064}"), weight_milli: u32::MAX - n };
    let mut world = World::new(3, 2, 7);
    (world.network.loss, world.network.duplication, world.network.delay_ms) = (0.1, 0.1, 1..=10);
    world.start(0..3);
    world.set_list(1, 1, (0..1000).map(entry).collect());
    let took = world.until(SECOND * 20, |world| world.agree(0..3, 1));
    println!(
        "500 pages to two nodes after {took:?}, {} datagrams, longest {}",
        world.network.sent, world.network.longest
    );
    assert!(world.network.longest <= hallpin_membership::envelope::MAX_PAYLOAD);
    check_history(&world.history).unwrap();
}

#[test]
fn ten_nodes_join_during_a_change() {
    let mut world = World::new(15, 2, 3);
    world.start(0..8);
    world.set_all_lists(1, 20);
    world.until(SECOND * 10, |world| world.agree(0..8, 1));
    world.set_list(0, 2, array(30));
    for n in 8..15 {
        world.start([n]);
        world.run(100 * MILLI);
        world.set_list(n, 2, array(30));
    }
    let took = world.until(SECOND * 5, |world| world.agree(0..15, 2));
    println!("all agree {took:?} after the last joined");
    check_history(&world.history).unwrap();
}

#[test]
fn restarted_discovery_revisions_are_accepted_when_no_node_has_newer_ones_for_long() {
    let mut world = started(3, 2, 4);
    world.set_list(1, u64::MAX - 1, array(5));
    world.until(SECOND, |world| world.agree(0..3, u64::MAX - 1));
    world.set_all_lists(2, 21);
    world.run(SECOND * 10);
    assert!(world.agree(0..3, u64::MAX - 1));
    world.until(SECOND * 10, |world| world.agree(0..3, 2));
    world.set_all_lists(3, 22);
    world.until(SECOND, |world| world.agree(0..3, 3));
    check_history(&world.history).unwrap();
}

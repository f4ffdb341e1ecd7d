//! Federations of nodes in virtual time under faults; a checker verifies the tables by which they placed.

mod changes;
mod checker;
mod failures;
mod network;
mod random_faults;
mod world;

use std::time::Duration;

use world::World;

const SECOND: Duration = Duration::from_secs(1);
const MILLI: Duration = Duration::from_millis(1);

/// Starts a federation and waits until it agrees on a table of 20 servers, revision 1.
fn started(count: u16, zones: u16, seed: u64) -> World {
    let mut world = World::new(count, zones, seed);
    world.start(0..count);
    world.set_all_lists(1, 20);
    let took = world.until(SECOND * 10, |world| world.agree(0..count, 1));
    println!("{count} nodes agree on a first table after {took:?}");
    world
}

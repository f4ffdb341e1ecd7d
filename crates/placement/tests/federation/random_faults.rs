//! Random faults and changes: no invariant is violated, and once all faults are over all nodes agree.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::checker::check_history;
use crate::world::{array, World};
use crate::{MILLI, SECOND};

fn inject_fault(world: &mut World, rng: &mut Pcg64Mcg, revision: &mut u64) {
    let count = world.nodes.len() as u16;
    let n = rng.random_range(0..count);
    match rng.random_range(0..9) {
        0 => world.kill(n, rng.random_bool(0.5)),
        1 | 2 if world.nodes[usize::from(n)].placement.is_none() => world.start([n]),
        1 => world.nodes[usize::from(n)].paused = true,
        2 => world.nodes[usize::from(n)].paused = false,
        3 => world.network.block_links(&[n], &[rng.random_range(0..count)]),
        4 => {
            let side: Vec<u16> = (0..count).filter(|_| rng.random_bool(0.4)).collect();
            let others: Vec<u16> = (0..count).filter(|n| !side.contains(n)).collect();
            world.network.block_links(&side, &others);
            if rng.random_bool(0.7) {
                world.network.block_links(&others, &side);
            }
        }
        5 => world.network.blocked_links.clear(),
        6 => world.network.loss = rng.random_range(0.0..0.4),
        _ => {
            *revision += 1;
            let servers = rng.random_range(10..60);
            let updated: Vec<u16> = (0..count).filter(|_| rng.random_bool(0.6)).collect();
            updated.into_iter().for_each(|n| world.set_list(n, *revision, array(servers)));
        }
    }
}

fn run_scenario(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(3..7);
    let mut world = World::new(count, 2, seed);
    (world.network.duplication, world.network.delay_ms) = (0.1, 1..=rng.random_range(2..80));
    (0..count).for_each(|n| world.set_rate(n, rng.random_range(-15_000..15_000)));
    world.network.view_loss = rng.random_range(0.0..1.0);
    world.start(0..count);
    world.set_all_lists(1, 20);
    let mut revision = 1;
    for _ in 0..60 {
        world.run(MILLI * rng.random_range(1..900));
        inject_fault(&mut world, &mut rng, &mut revision);
    }
    world.network.blocked_links.clear();
    (world.network.loss, world.network.view_loss) = (0.0, 0.0);
    for n in 0..count {
        world.nodes[usize::from(n)].paused = false;
        if world.nodes[usize::from(n)].placement.is_none() {
            world.start([n]);
        }
    }
    revision += 1;
    world.set_all_lists(revision, 70);
    world.until(SECOND * 12, |world| world.agree(0..count, revision));
    check_history(&world.history).unwrap();
}

#[test]
fn random_faults_violate_no_invariant_and_heal() {
    (0..40).for_each(run_scenario);
}

#[test]
#[ignore = "for long runs: seeds from SEED on, 2000 of them"]
fn random_faults_for_long() {
    let from: u64 = std::env::var("SEED").map_or(1000, |seed| seed.parse().unwrap());
    (from..from + 2000).for_each(run_scenario);
}

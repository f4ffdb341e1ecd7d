//! The limits, shared by two processes.

use super::*;

#[test]
fn two_processes_stay_within_the_limits_of_one() {
    let limits = Limits { memory_mb: 48, sockets: 384 };
    let budget = Budget::new(&limits);
    let in_all = |b: &Budget| b.servers() + b.clients() + RESERVED;
    assert_eq!(in_all(&budget), 384);
    let mut held = Held::new(&budget, 1);
    held.set(7 << 20);
    assert!(budget.has_room());
    budget.join();
    assert!(!budget.has_room());
    assert!(2 * in_all(&budget) <= 384 && budget.clients_wanted() <= budget.clients());
    budget.leave();
    assert_eq!(in_all(&budget), 384);
    drop(held);
    assert_eq!(budget.held.get(), 0);
}

/// Where few descriptors are left beside the reserved ones, clients still leave a third of them to cache servers.
#[test]
fn clients_are_kept_within_their_part_of_few_descriptors() {
    for sockets in [RESERVED + 1, RESERVED + 3, 40, 51, 64, 1024] {
        let budget = Budget::new(&Limits { sockets, ..Limits::default() });
        assert!(budget.clients_wanted() <= budget.clients(), "of {sockets}");
    }
}

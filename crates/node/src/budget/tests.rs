//! Limits of one process, and of two processes that share them.

use super::*;
use crate::memory::MemoryUse;

#[test]
fn two_processes_stay_within_the_limits_of_one() {
    let limits = Limits { memory_mb: 48, sockets: 384 };
    let budget = Budget::new(&limits);
    let total_sockets =
        |b: &Budget| b.max_server_connections() + b.max_client_connections() + RESERVED_DESCRIPTORS;
    assert_eq!(total_sockets(&budget), 384);
    let reservation = budget.memory().try_reserve(MemoryUse::Answer, 3 << 20).unwrap();
    assert!(budget.memory().try_reserve(MemoryUse::Answer, 1 << 20).is_some());
    budget.add_process();
    assert!(budget.memory().try_reserve(MemoryUse::Answer, 1).is_none());
    assert!(
        2 * total_sockets(&budget) <= 384 && budget.idle_close_threshold() <= budget.max_client_connections()
    );
    budget.remove_process();
    assert_eq!(total_sockets(&budget), 384);
    drop(reservation);
    assert_eq!(budget.memory().reserved(MemoryUse::Answer), 0);
}

/// Where few descriptors remain besides the reserved ones, clients still leave a third of them to cache servers, so the
/// idle threshold must stay within the clients' limit.
#[test]
fn idle_close_threshold_stays_within_the_client_limit_with_few_descriptors() {
    for sockets in [RESERVED_DESCRIPTORS + 1, RESERVED_DESCRIPTORS + 3, 40, 51, 64, 1024] {
        let budget = Budget::new(&Limits { sockets, ..Limits::default() });
        assert!(budget.idle_close_threshold() <= budget.max_client_connections(), "of {sockets}");
    }
}

/// With little memory and many descriptors memory is what limits client connections.
#[test]
fn client_connections_are_limited_by_memory_too() {
    let clients = |memory_mb| Budget::new(&Limits { memory_mb, sockets: 1024 }).max_client_connections();
    assert_eq!(clients(32), clients(192), "by descriptors");
    assert_eq!(clients(16), 512, "a quarter of the memory at 8 KiB each");
}

/// Enlarged receive buffers take as much memory outside the process as it may have itself, two processes together.
#[test]
fn receive_buffers_are_limited_by_memory() {
    const BYTES: usize = 4 << 20;
    let budget = Budget::new(&Limits { memory_mb: 32, sockets: 1024 });
    let reserve_all = || std::iter::from_fn(|| budget.try_reserve_receive_buffer(BYTES)).collect::<Vec<_>>();
    assert_eq!(reserve_all().len(), 8);
    budget.add_process();
    let held = reserve_all();
    assert_eq!(held.len(), 4);
    budget.remove_process();
    assert_eq!(reserve_all().len(), 4);
    drop(held);
    assert_eq!(reserve_all().len(), 8);
}

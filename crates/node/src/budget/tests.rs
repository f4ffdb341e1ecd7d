//! Limits of one process, and of two processes that share them.

use super::*;

#[test]
fn two_processes_stay_within_the_limits_of_one() {
    let limits = Limits { memory_mb: 48, sockets: 384 };
    let budget = Budget::new(&limits);
    let total_sockets =
        |b: &Budget| b.max_server_connections() + b.max_client_connections() + RESERVED_DESCRIPTORS;
    assert_eq!(total_sockets(&budget), 384);
    let mut reservation = MemoryReservation::new(&budget, 1);
    reservation.set(7 << 20);
    assert!(budget.has_free_memory());
    budget.add_process();
    assert!(!budget.has_free_memory());
    assert!(
        2 * total_sockets(&budget) <= 384 && budget.idle_close_threshold() <= budget.max_client_connections()
    );
    budget.remove_process();
    assert_eq!(total_sockets(&budget), 384);
    drop(reservation);
    assert_eq!(budget.reserved_bytes.get(), 0);
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

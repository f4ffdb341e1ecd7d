//! A node's memory must not grow with the requests, keys and servers that it has seen.

mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{entry, read, settings, Node};
use hallpin_balancer::*;

struct CountingAllocator;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: forwards every call to the system's allocator and only counts bytes.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// One simulated minute: new keys throughout, all kinds of outcomes, and a server replaced each second.
fn simulate_minute(node: &mut Node, last_id: &mut u64) {
    for second in 0..60 {
        let first = *last_id / 100;
        let fleet =
            (first..first + 8).map(|n| EndpointEntry { started: Some(n as f64), ..entry(n) }).collect();
        node.event(Event::Endpoints(EndpointUpdate::Full(fleet)));
        for n in 0..100 {
            *last_id += 1;
            let key = if n % 2 == 0 { *last_id } else { n };
            let write = n % 20 == 0;
            node.request(NewRequest { write, ..read(*last_id, key) });
            let status = match (n + second) % 8 {
                0 => Status::TimedOut,
                1 => Status::Error,
                2 => Status::Unreachable,
                _ => Status::Success,
            };
            node.advance(0.01);
            if node.sends.contains_key(&RequestId(*last_id)) {
                node.outcome(*last_id, status, Some(CacheNote::Miss));
            }
            node.event(Event::ClientLeft(RequestId(*last_id)));
            // Retries that were sent before the client left end too.
            if let Some(attempts) = node.sends.remove(&RequestId(*last_id)) {
                for attempt in 0..attempts.len() as u32 {
                    node.event(Event::Outcome(Outcome {
                        request: RequestId(*last_id),
                        attempt: AttemptId(attempt),
                        status: Status::Cancelled,
                        elapsed: 0.01,
                        finished: true,
                        cache_note: None,
                    }));
                }
            }
        }
    }
}

#[test]
fn memory_does_not_grow_over_a_long_run() {
    let mut node = Node::with(settings(), 1, vec![]);
    let mut last_id = 0;
    simulate_minute(&mut node, &mut last_id);
    let short = LIVE_BYTES.load(Ordering::Relaxed);
    for _ in 0..20 {
        simulate_minute(&mut node, &mut last_id);
    }
    let long = LIVE_BYTES.load(Ordering::Relaxed);
    assert!(long < short + short / 4, "{short} bytes after a minute, {long} after twenty more");
}

//! Memory that a server of a large fleet takes in the balancer's tables, at its peak.

mod common;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};

use common::{entry, settings, Node};
use hallpin_balancer::*;

struct PeakAllocator;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);
static PEAK_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: forwards every call to the system's allocator and only counts bytes.
unsafe impl GlobalAlloc for PeakAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let live = LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK_BYTES.fetch_max(live, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: PeakAllocator = PeakAllocator;

/// The largest fleet that the pages name.
const LARGEST_FLEET: u64 = 3200;
/// What a list may name for each server of the memory of a node (`Limits::max_servers`), half of which is for servers, in
/// each of the two processes of an upgrade.
const MAX_BYTES_PER_SERVER: usize = 8 * 1024 / 2 / 2;

/// Guards against an upgrade that passes the node's memory (`docs/incidents`): the tables of two processes fit into what one
/// may have for its servers, whether the list comes at once, grows, changes or comes again.
#[test]
fn the_tables_of_a_large_fleet_leave_room_for_a_second_process() {
    let fleet = |from: u64, to: u64| (from..to).map(entry).collect::<Vec<_>>();
    let mut node = Node::with(settings(), 1, Vec::new());
    let before = LIVE_BYTES.load(Ordering::Relaxed);
    let lists: [(&str, u64, u64); 6] = [
        ("at once", 0, LARGEST_FLEET),
        ("again", 0, LARGEST_FLEET),
        ("smaller", 0, LARGEST_FLEET / 2),
        ("grown", 0, LARGEST_FLEET),
        ("a tenth replaced", LARGEST_FLEET / 10, LARGEST_FLEET + LARGEST_FLEET / 10),
        ("half replaced", LARGEST_FLEET / 2, LARGEST_FLEET + LARGEST_FLEET / 2),
    ];
    for (name, from, to) in lists {
        let list = fleet(from, to);
        PEAK_BYTES.store(LIVE_BYTES.load(Ordering::Relaxed), Ordering::Relaxed);
        node.event(Event::Endpoints(EndpointUpdate::Full(list)));
        let peak = (PEAK_BYTES.load(Ordering::Relaxed) - before) / LARGEST_FLEET as usize;
        let live = (LIVE_BYTES.load(Ordering::Relaxed) - before) / LARGEST_FLEET as usize;
        eprintln!("{name}: {live} bytes a server, {peak} at the peak");
        assert!(peak <= MAX_BYTES_PER_SERVER, "{name}: {peak} bytes a server at the peak");
    }
}

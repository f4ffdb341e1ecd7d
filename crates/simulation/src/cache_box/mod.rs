//! A cache box: cores with processor sharing, a bounded queue, a store of cached copies, and fetches from the planner.
//!
//! All requests in service get an equal share of the cores. One running sum, the attained work of each request in
//! service, therefore gives the order of completion: a request ends when the sum has grown by its work. A change of
//! speed changes only how fast the sum grows and updates no request.

mod connections;
mod fetches;
mod overload;
mod requests;
mod service;
mod spec;
mod speed;
mod views;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use hallpin_balancer::CacheNote;
use rustc_hash::FxHashMap;
use slab::Slab;

use crate::planner::{Planner, PlannerCall};
use crate::random::RandomStream;
use crate::store::{KeyId, Store};
use crate::time::{Span, Time};
use requests::{Fetch, PendingRequest, ServiceEnd, Stage};
pub use spec::{overload_limit, BoxSpec, WarmBy};

/// A request as it arrives at a box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Identifies the request; returned with the answer.
    pub token: u64,
    /// The requested key.
    pub key: KeyId,
    /// Size of the value, in bytes.
    pub bytes: u64,
    /// Work, in microseconds of a standard core.
    pub work: f64,
    /// For a write: its idempotency key, if it has one. `None` for a read.
    pub write: Option<Option<u64>>,
    /// Time after which no client waits for the answer.
    pub deadline: Time,
}

/// How a request ended at a box.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BoxAnswer {
    /// A read returned its value, or a write was carried out.
    Served {
        /// Whether the read was a hit, a miss, or joined a fetch in flight.
        note: CacheNote,
        /// Version of the key that was served or written.
        version: u64,
    },
    /// Rejected before any work on it was done.
    Busy,
    /// An error; the request may have run.
    Failed,
}

/// A load report of a box.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that the box holds, queued ones included.
    pub inflight: f64,
    /// Share of the core time that was busy, 0 to 1.
    pub util: f64,
    /// Requests answered per second.
    pub qps: f64,
}

/// An output of a box, which the simulation carries out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BoxOutput {
    /// An answer to the request with this token.
    Answer(u64, BoxAnswer),
    /// A call to the planner.
    Ask {
        /// The call.
        ask: PlannerCall,
        /// The box was warming up when it made the call.
        cold: bool,
    },
    /// The box fell over under too much load.
    Fell,
}

/// A cache box and its process.
pub struct CacheBox {
    /// Fixed properties of the box.
    pub spec: BoxSpec,
    rng: RandomStream,
    /// Whether the process runs. A box that fell over does not restart by itself.
    up: bool,
    fallen: bool,
    /// Start of the process; `None` if it started before the simulated time.
    started: Option<Time>,
    /// Work done since `started`, in microseconds of a standard core.
    done_work: f64,
    /// Factor by which incidents slow the box; 1 without any.
    slowness: f64,
    /// Error rate that incidents add to that of the spec.
    extra_error_rate: f64,
    requests: Slab<PendingRequest>,
    /// Requests that wait for their first slot, oldest first.
    waiting: VecDeque<usize>,
    /// Requests whose fetch succeeded and that wait for a slot again; they go before `waiting`.
    fetch_done: VecDeque<usize>,
    /// Number of slots in use.
    slots_in_use: u32,
    serving: BinaryHeap<Reverse<ServiceEnd>>,
    /// Running sum of the work that each request in service attained, in microseconds of a standard core, as of
    /// `updated_at`.
    attained_work: f64,
    updated_at: Time,
    last_sequence: u64,
    store: Store,
    /// Calls to the planner by their id.
    fetches: FxHashMap<u64, Fetch>,
    /// The fetch in flight of each key that more requests can join.
    joinable: FxHashMap<KeyId, u64>,
    /// Start and id of calls to the planner, oldest first, to time them out; finished ones are skipped when reached.
    fetch_order: VecDeque<(Time, u64)>,
    /// Reads at the planner that have not timed out.
    fetches_in_flight: u32,
    last_fetch_id: u64,
    open_connections: u32,
    /// Work sent to the box while it warms up, within the last `fall_for`.
    offered_work: VecDeque<(Time, f64)>,
    offered_work_sum: f64,
    report: Report,
}

/// Measurements of the current reporting period, and the reports made from earlier ones.
#[derive(Default)]
struct Report {
    busy_core_us: f64,
    completed: u64,
    next_at: Time,
    period_start: Time,
    /// Reports that are not visible yet, each with the time from which it is.
    delayed: VecDeque<(Time, Load)>,
    /// The visible report.
    published: Load,
}

impl CacheBox {
    /// A warm box with an empty store, whose process started before the simulated time.
    pub fn new(spec: BoxSpec, rng: RandomStream) -> Self {
        let store = Store::new(spec.memory, spec.evict, spec.ttl);
        CacheBox {
            spec,
            rng,
            up: true,
            fallen: false,
            started: None,
            done_work: 0.0,
            slowness: 1.0,
            extra_error_rate: 0.0,
            requests: Slab::new(),
            waiting: VecDeque::new(),
            fetch_done: VecDeque::new(),
            slots_in_use: 0,
            serving: BinaryHeap::new(),
            attained_work: 0.0,
            updated_at: Time::ZERO,
            last_sequence: 0,
            store,
            fetches: FxHashMap::default(),
            joinable: FxHashMap::default(),
            fetch_order: VecDeque::new(),
            fetches_in_flight: 0,
            last_fetch_id: 0,
            open_connections: 0,
            offered_work: VecDeque::new(),
            offered_work_sum: 0.0,
            report: Report::default(),
        }
    }

    /// Stores a copy of version 0 that expires at the given time; used to fill the cache before the simulation starts.
    pub fn preload(&mut self, key: KeyId, bytes: u64, expires: Time) {
        self.store.insert_until(key, 0, bytes, expires);
    }

    /// Ends the process: all requests, fetches, connections and copies are lost without any answer.
    pub fn stop(&mut self) {
        self.up = false;
        self.requests.clear();
        self.waiting.clear();
        self.fetch_done.clear();
        self.serving.clear();
        self.slots_in_use = 0;
        self.fetches.clear();
        self.joinable.clear();
        self.fetch_order.clear();
        self.fetches_in_flight = 0;
        self.open_connections = 0;
        self.offered_work.clear();
        self.offered_work_sum = 0.0;
        self.store.clear();
        self.report = Report::default();
    }

    /// Starts the process with an empty store and at the beginning of its warm-up.
    pub fn start(&mut self, now: Time) {
        self.stop();
        self.up = true;
        self.fallen = false;
        self.started = Some(now);
        self.done_work = 0.0;
        (self.attained_work, self.updated_at) = (0.0, now);
    }

    /// Multiplies the slowdown by `factor`; an incident that ends passes the inverse.
    pub fn slow_by(&mut self, now: Time, factor: f64) {
        self.advance(now);
        self.slowness *= factor;
    }

    /// Adds `share` to the error rate; an incident that ends passes the negative.
    pub fn add_error_rate(&mut self, share: f64) {
        self.extra_error_rate = (self.extra_error_rate + share).max(0.0);
    }
}

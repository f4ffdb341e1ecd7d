//! State of the boxes at one node: the endpoint list, the node's requests in flight, and ejections.

use hallpin_balancer::{EndpointEntry, EndpointUpdate, RequestId, Seconds, ServerId, ServerState};
use hallpin_simulation::policy::{TrueBox, TruePlanner, WorldView};
use rustc_hash::FxHashMap;

/// Failures without a success in between after which a box is ejected; only attempts that found the box
/// unreachable, timed out or broke off count as failures.
const EJECTION_FAILURES: u32 = 3;
/// Duration of an ejection.
const EJECTION_TIME: Seconds = 5.0;

/// State of one box.
#[derive(Default)]
struct BoxEntry {
    entry: EndpointEntry,
    /// Index in the simulated world, if the policy can see that.
    true_index: Option<usize>,
    /// Requests of this node in flight.
    in_flight: u32,
    /// Failures since the latest success or ejection.
    failures: u32,
    /// End of the latest ejection.
    ejected_until: Seconds,
}

/// All boxes that were ever listed. A box keeps its number, the index into `all`.
#[derive(Default)]
pub(crate) struct Boxes {
    all: Vec<BoxEntry>,
    numbers: FxHashMap<ServerId, usize>,
    /// Numbers of the boxes that are ready, ordered by id.
    ready: Vec<usize>,
    /// Requests of this node in flight at all boxes.
    in_flight: u32,
}

impl Boxes {
    /// Applies an update of the endpoint list; returns false if the update is a failure without a list.
    pub(crate) fn apply_update(&mut self, update: EndpointUpdate, world: &dyn WorldView) -> bool {
        let (is_full, entries) = match update {
            EndpointUpdate::Failed => return false,
            EndpointUpdate::Cached(entries) | EndpointUpdate::Full(entries) => (true, entries),
            EndpointUpdate::Delta(entries) => (false, entries),
        };
        if is_full {
            self.all.iter_mut().for_each(|known| known.entry.state = ServerState::Gone);
        }
        for entry in entries {
            let next = self.all.len();
            let number = *self.numbers.entry(entry.server.clone()).or_insert(next);
            if number == next {
                let true_index = world.find(&entry.server);
                self.all.push(BoxEntry { true_index, ..BoxEntry::default() });
            }
            self.all[number].entry = entry;
        }
        self.ready = (0..self.all.len()).filter(|n| self.all[*n].entry.state == ServerState::Ready).collect();
        self.ready.sort_unstable_by(|a, b| self.all[*a].entry.server.cmp(&self.all[*b].entry.server));
        true
    }

    pub(crate) fn id(&self, number: usize) -> &ServerId {
        &self.all[number].entry.server
    }

    pub(crate) fn attempt_sent(&mut self, number: usize) {
        self.all[number].in_flight += 1;
        self.in_flight += 1;
    }

    /// Counts an attempt that has ended or that nobody waits for any more.
    pub(crate) fn attempt_ended(&mut self, number: usize) {
        self.all[number].in_flight -= 1;
        self.in_flight -= 1;
    }

    pub(crate) fn attempt_succeeded(&mut self, number: usize) {
        self.all[number].failures = 0;
    }

    pub(crate) fn attempt_failed(&mut self, number: usize, now: Seconds) {
        let entry = &mut self.all[number];
        entry.failures += 1;
        if entry.failures >= EJECTION_FAILURES {
            (entry.failures, entry.ejected_until) = (0, now + EJECTION_TIME);
        }
    }

    /// The boxes as seen by a request that has already been sent to `tried`.
    pub(crate) fn view<'a>(&'a self, now: Seconds, tried: &'a [usize], world: &'a dyn WorldView) -> View<'a> {
        View { boxes: self, now, tried, world }
    }
}

/// The boxes as seen by one request. An index refers to the ready boxes of the last list, ordered by id.
#[derive(Clone, Copy)]
pub struct View<'a> {
    boxes: &'a Boxes,
    now: Seconds,
    tried: &'a [usize],
    world: &'a dyn WorldView,
}

impl View<'_> {
    /// Number of ready boxes.
    pub fn len(&self) -> usize {
        self.boxes.ready.len()
    }

    /// Returns true if no box is ready.
    pub fn is_empty(&self) -> bool {
        self.boxes.ready.is_empty()
    }

    fn entry(&self, index: usize) -> &BoxEntry {
        &self.boxes.all[self.boxes.ready[index]]
    }

    /// Number of the box, which is the same for all lists.
    pub(crate) fn number(&self, index: usize) -> usize {
        self.boxes.ready[index]
    }

    /// Id of the box.
    pub fn id(&self, index: usize) -> &ServerId {
        &self.entry(index).entry.server
    }

    /// Weight of the box in the list.
    pub fn weight(&self, index: usize) -> f64 {
        self.entry(index).entry.weight
    }

    /// Requests of this node in flight at the box.
    pub fn in_flight(&self, index: usize) -> u32 {
        self.entry(index).in_flight
    }

    /// Requests of this node in flight at all boxes.
    pub fn all_in_flight(&self) -> u32 {
        self.boxes.in_flight
    }

    /// Returns true if the box may be sent this request: it is not ejected and has not been tried.
    pub fn is_open(&self, index: usize) -> bool {
        self.now >= self.entry(index).ejected_until && !self.tried.contains(&self.number(index))
    }

    /// Actual current state of the box in the simulation; `None` if the policy cannot see the simulation.
    pub fn true_state(&self, index: usize) -> Option<TrueBox> {
        self.entry(index).true_index.map(|at| self.world.look(at))
    }

    /// Current time.
    pub(crate) fn now(&self) -> Seconds {
        self.now
    }

    /// The simulated world.
    pub(crate) fn world(&self) -> &dyn WorldView {
        self.world
    }

    /// Index of the box in the simulated world.
    pub(crate) fn true_index(&self, index: usize) -> Option<usize> {
        self.entry(index).true_index
    }

    /// Returns true if the box actually holds a valid copy of the request's key.
    pub fn has_copy(&self, index: usize, request: RequestId) -> bool {
        self.entry(index).true_index.is_some_and(|at| self.world.keeps(at, request))
    }

    /// Returns true if the request would join a call to the planner that the box has in progress.
    pub fn is_fetching(&self, index: usize, request: RequestId) -> bool {
        self.entry(index).true_index.is_some_and(|at| self.world.fetches(at, request))
    }

    /// Actual current state of the planner.
    pub fn planner(&self) -> TruePlanner {
        self.world.planner()
    }
}

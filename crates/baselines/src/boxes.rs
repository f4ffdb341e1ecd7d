//! The boxes as a textbook policy knows them: the list, its own requests in flight, and which it leaves alone.

use hallpin_balancer::{EndpointEntry, EndpointUpdate, RequestId, Seconds, ServerId, ServerState};
use hallpin_simulation::policy::{Sight, TrueBox, TruePlanner};
use rustc_hash::FxHashMap;

/// Failures in a row after which a box is left alone, and for how long.
const FAILURES: u32 = 3;
const ALONE: Seconds = 5.0;

#[derive(Default)]
struct Listed {
    entry: EndpointEntry,
    /// Its number in the world, where that can be seen.
    true_at: Option<usize>,
    in_flight: u32,
    failures: u32,
    alone_until: Seconds,
}

/// All boxes that were ever listed; a box keeps its number.
#[derive(Default)]
pub(crate) struct Boxes {
    all: Vec<Listed>,
    numbers: FxHashMap<ServerId, usize>,
    /// Those to pick from, in the order of their ids.
    ready: Vec<usize>,
    in_flight: u32,
}

impl Boxes {
    /// Takes news of the list; false where they tell nothing.
    pub(crate) fn listed(&mut self, news: EndpointUpdate, world: &dyn Sight) -> bool {
        let (whole, entries) = match news {
            EndpointUpdate::Failed => return false,
            EndpointUpdate::Cached(entries) | EndpointUpdate::Full(entries) => (true, entries),
            EndpointUpdate::Delta(entries) => (false, entries),
        };
        if whole {
            self.all.iter_mut().for_each(|l| l.entry.state = ServerState::Gone);
        }
        for entry in entries {
            let next = self.all.len();
            let number = *self.numbers.entry(entry.server.clone()).or_insert(next);
            if number == next {
                let true_at = world.find(&entry.server);
                self.all.push(Listed { true_at, ..Listed::default() });
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

    pub(crate) fn sent(&mut self, number: usize) {
        self.all[number].in_flight += 1;
        self.in_flight += 1;
    }

    /// A request has left a box, or nobody waits for it any more.
    pub(crate) fn left(&mut self, number: usize) {
        self.all[number].in_flight -= 1;
        self.in_flight -= 1;
    }

    pub(crate) fn answered(&mut self, number: usize) {
        self.all[number].failures = 0;
    }

    pub(crate) fn failed(&mut self, number: usize, now: Seconds) {
        let listed = &mut self.all[number];
        listed.failures += 1;
        if listed.failures >= FAILURES {
            (listed.failures, listed.alone_until) = (0, now + ALONE);
        }
    }

    /// Those that a request may pick from, which has tried some.
    pub(crate) fn view<'a>(&'a self, now: Seconds, tried: &'a [usize], world: &'a dyn Sight) -> View<'a> {
        View { boxes: self, now, tried, world }
    }
}

/// The boxes as one request finds them. Indices are into the ready ones as last listed, in the order of their ids.
#[derive(Clone, Copy)]
pub struct View<'a> {
    boxes: &'a Boxes,
    now: Seconds,
    tried: &'a [usize],
    world: &'a dyn Sight,
}

impl View<'_> {
    /// How many there are.
    pub fn len(&self) -> usize {
        self.boxes.ready.len()
    }

    /// There is none.
    pub fn is_empty(&self) -> bool {
        self.boxes.ready.is_empty()
    }

    fn listed(&self, index: usize) -> &Listed {
        &self.boxes.all[self.boxes.ready[index]]
    }

    /// The number by which all lists know it.
    pub(crate) fn number(&self, index: usize) -> usize {
        self.boxes.ready[index]
    }

    /// Its id.
    pub fn id(&self, index: usize) -> &ServerId {
        &self.listed(index).entry.server
    }

    /// Its listed size.
    pub fn weight(&self, index: usize) -> f64 {
        self.listed(index).entry.weight
    }

    /// Requests of this node that it has.
    pub fn in_flight(&self, index: usize) -> u32 {
        self.listed(index).in_flight
    }

    /// Requests of this node that all boxes have.
    pub fn all_in_flight(&self) -> u32 {
        self.boxes.in_flight
    }

    /// It may be sent this request: it is not being left alone and has not been tried.
    pub fn is_open(&self, index: usize) -> bool {
        self.now >= self.listed(index).alone_until && !self.tried.contains(&self.number(index))
    }

    /// As it truly is.
    pub fn truth(&self, index: usize) -> Option<TrueBox> {
        self.listed(index).true_at.map(|at| self.world.look(at))
    }

    /// The time.
    pub(crate) fn now(&self) -> Seconds {
        self.now
    }

    /// The world, for a policy that looks at it for itself.
    pub(crate) fn world(&self) -> &dyn Sight {
        self.world
    }

    /// Its number in the world.
    pub(crate) fn true_number(&self, index: usize) -> Option<usize> {
        self.listed(index).true_at
    }

    /// It truly keeps a good copy of what the request asks for.
    pub fn keeps(&self, index: usize, request: RequestId) -> bool {
        self.listed(index).true_at.is_some_and(|at| self.world.keeps(at, request))
    }

    /// Sent there, the request would truly join a call to the planner that is out.
    pub fn fetches(&self, index: usize, request: RequestId) -> bool {
        self.listed(index).true_at.is_some_and(|at| self.world.fetches(at, request))
    }

    /// The planner as it truly is.
    pub fn planner(&self) -> TruePlanner {
        self.world.planner()
    }
}

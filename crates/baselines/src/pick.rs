//! Box selection of the textbook policies.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use hallpin_balancer::{Key, RequestId, Seconds, ServerId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use twox_hash::XxHash3_64;

use crate::boxes::View;

/// A request to be routed.
#[derive(Clone, Copy, Debug)]
pub struct RoutingRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Key of the request.
    pub key: Key,
    /// Whether the request changes its key at the planner, the origin of the cached values.
    pub write: bool,
    /// Time until its deadline, less two event intervals of the settings.
    pub time_left: Seconds,
    /// Time since its arrival.
    pub age: Seconds,
}

/// Next step of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Choice {
    /// Send it to the box with this index in the view.
    Send(usize),
    /// Route it again after this time.
    Wait(Seconds),
    /// Reject it.
    Reject,
}

impl Choice {
    /// Sends to this box, or rejects if there is none.
    fn from_index(index: Option<usize>) -> Self {
        index.map_or(Choice::Reject, Choice::Send)
    }
}

/// Selects the box of a request.
pub trait Pick: Send {
    /// Called when the endpoint list has changed.
    fn list_changed(&mut self, _boxes: View) {}

    /// Decides the next step of a request.
    fn pick(&mut self, request: RoutingRequest, boxes: View, random: &mut Pcg64Mcg) -> Choice;

    /// Timeout of an attempt, as a share of the time left; the rest is for another attempt. The timeout is
    /// all of the time left if the share is not longer than the event interval.
    fn attempt_time_share(&self) -> f64 {
        0.5
    }
}

/// Tables with the hash of the list that each was built from, the newest first.
type Tables<T> = VecDeque<(u64, Arc<T>)>;

/// Tables shared by the nodes that hold the same list, so that each is built once per list and not once per node.
pub(crate) struct SharedTables<T>(Arc<Mutex<Tables<T>>>);

impl<T> Clone for SharedTables<T> {
    fn clone(&self) -> Self {
        SharedTables(Arc::clone(&self.0))
    }
}

impl<T> Default for SharedTables<T> {
    fn default() -> Self {
        SharedTables(Arc::default())
    }
}

impl<T> SharedTables<T> {
    /// Number of tables that are kept: nodes may hold so many lists at once, since list updates reach the
    /// nodes at different times.
    const MAX_TABLES: usize = 8;

    /// Returns the table for the boxes' current list and builds it if no node has done so.
    fn get_or_build(&self, boxes: View, build: impl FnOnce() -> T) -> Arc<T> {
        let mut list = Vec::new();
        for i in 0..boxes.len() {
            list.extend_from_slice(&boxes.id(i).0.len().to_le_bytes());
            list.extend_from_slice(boxes.id(i).0.as_bytes());
            list.extend_from_slice(&boxes.weight(i).to_le_bytes());
        }
        let list_hash = XxHash3_64::oneshot(&list);
        let mut tables = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, table)) = tables.iter().find(|(of, _)| *of == list_hash) {
            return Arc::clone(table);
        }
        let table = Arc::new(build());
        tables.push_front((list_hash, Arc::clone(&table)));
        tables.truncate(Self::MAX_TABLES);
        table
    }
}

/// Hash of a box id and a number.
fn hash(id: &ServerId, number: u64) -> u64 {
    XxHash3_64::oneshot(&[id.0.as_bytes(), &number.to_le_bytes()].concat())
}

/// Hash of two numbers, in little-endian bytes.
fn hash_pair(a: u64, b: u64) -> u64 {
    XxHash3_64::oneshot(&(u128::from(b) << 64 | u128::from(a)).to_le_bytes())
}

/// A random open box: by rejection sampling, which is fast while most boxes are open, or else from a list of the open
/// ones.
fn any_open(boxes: View, random: &mut Pcg64Mcg) -> Option<usize> {
    const MAX_TRIALS: usize = 8;
    if boxes.is_empty() {
        return None;
    }
    let mut trials = (0..MAX_TRIALS).map(|_| random.random_range(0..boxes.len()));
    trials.find(|i| boxes.is_open(*i)).or_else(|| {
        let open: Vec<usize> = (0..boxes.len()).filter(|i| boxes.is_open(*i)).collect();
        (!open.is_empty()).then(|| open[random.random_range(0..open.len())])
    })
}

/// A random open box: one that is neither ejected nor tried before by the request.
pub struct Random;

impl Pick for Random {
    fn pick(&mut self, _: RoutingRequest, boxes: View, random: &mut Pcg64Mcg) -> Choice {
        Choice::from_index(any_open(boxes, random))
    }
}

/// Of two random open boxes, the one with fewer requests of this node in flight per weight, the new request
/// included (power of two choices, Mitzenmacher).
pub struct LeastOfTwo;

impl Pick for LeastOfTwo {
    fn pick(&mut self, _: RoutingRequest, boxes: View, random: &mut Pcg64Mcg) -> Choice {
        let load = |i: usize| f64::from(boxes.in_flight(i) + 1) / boxes.weight(i).max(1e-9);
        let drawn = any_open(boxes, random).zip(any_open(boxes, random));
        Choice::from_index(drawn.map(|(a, b)| if load(b) < load(a) { b } else { a }))
    }
}

/// Rendezvous hashing with weights (Thaler and Ravishankar; the logarithmic method).
#[derive(Default)]
pub struct Rendezvous {
    /// Hashes of the box ids, by index in the view.
    ids: Vec<u64>,
}

impl Rendezvous {
    /// Score of a box for a key by the logarithmic method; the box with the highest score owns the key.
    fn score(&self, key: Key, boxes: View, index: usize) -> f64 {
        let unit = (hash_pair(self.ids[index], key.0) >> 11) as f64 / (1u64 << 53) as f64;
        -boxes.weight(index) / unit.max(f64::MIN_POSITIVE).ln()
    }

    /// Eligible box with the highest score for a key.
    fn best(&self, key: Key, boxes: View, is_eligible: impl Fn(usize) -> bool) -> Option<usize> {
        let scored = (0..boxes.len()).filter(|i| is_eligible(*i)).map(|i| (i, self.score(key, boxes, i)));
        scored.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
    }

    /// The `count` best eligible boxes of a key, the best first.
    pub(crate) fn best_of(
        &self,
        count: usize,
        key: Key,
        boxes: View,
        is_eligible: impl Fn(usize) -> bool,
    ) -> Vec<usize> {
        let mut best: Vec<(f64, usize)> = Vec::with_capacity(count + 1);
        for index in (0..boxes.len()).filter(|i| is_eligible(*i)) {
            let score = self.score(key, boxes, index);
            let position = best.partition_point(|(other, _)| *other >= score);
            if position < count {
                best.insert(position, (score, index));
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, index)| index).collect()
    }
}

impl Pick for Rendezvous {
    fn list_changed(&mut self, boxes: View) {
        self.ids = (0..boxes.len()).map(|i| hash(boxes.id(i), 0)).collect();
    }

    fn pick(&mut self, request: RoutingRequest, boxes: View, _: &mut Pcg64Mcg) -> Choice {
        Choice::from_index(self.best(request.key, boxes, |i| boxes.is_open(i)))
    }
}

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam): overflow goes to the next box on the
/// ring, or to the first open one if all open boxes are at the bound.
#[derive(Default)]
pub struct BoundedLoad {
    shared: SharedTables<Ring>,
    ring: Arc<Ring>,
}

#[derive(Default)]
pub(crate) struct Ring {
    /// Hash and box index of each point, in ascending order.
    points: Vec<(u64, usize)>,
    /// Sum of all weights.
    weights: f64,
}

impl BoundedLoad {
    /// Ring points of a box of mean weight.
    const MEAN_POINTS: f64 = 128.0;
    /// Bound on this node's requests in flight at a box, relative to the box's share of them by weight.
    const LOAD_BOUND: f64 = 1.25;

    pub(crate) fn new(shared: SharedTables<Ring>) -> Self {
        BoundedLoad { shared, ring: Arc::default() }
    }

    fn build(boxes: View) -> Ring {
        let weights: f64 = (0..boxes.len()).map(|i| boxes.weight(i)).sum();
        let mean = weights / boxes.len().max(1) as f64;
        let points =
            |i: usize| (Self::MEAN_POINTS * boxes.weight(i) / mean.max(1e-9)).round().max(1.0) as u64;
        let all = (0..boxes.len()).flat_map(|i| (0..points(i)).map(move |n| (hash(boxes.id(i), n), i)));
        let mut points: Vec<(u64, usize)> = all.collect();
        points.sort_unstable();
        Ring { points, weights }
    }
}

impl Pick for BoundedLoad {
    fn list_changed(&mut self, boxes: View) {
        self.ring = self.shared.get_or_build(boxes, || Self::build(boxes));
    }

    fn pick(&mut self, request: RoutingRequest, boxes: View, _: &mut Pcg64Mcg) -> Choice {
        let Ring { points, weights } = &*self.ring;
        let all = f64::from(boxes.all_in_flight()) + 1.0;
        let at = XxHash3_64::oneshot(&request.key.0.to_le_bytes());
        let first = points.partition_point(|(hash, _)| *hash < at);
        let mut fallback = None;
        for (_, i) in points[first..].iter().chain(&points[..first]) {
            if !boxes.is_open(*i) {
                continue;
            }
            fallback.get_or_insert(*i);
            let bound = (Self::LOAD_BOUND * all * boxes.weight(*i) / weights.max(1e-9)).ceil();
            if f64::from(boxes.in_flight(*i)) + 1.0 <= bound {
                return Choice::Send(*i);
            }
        }
        Choice::from_index(fallback)
    }
}

/// Maglev's lookup table (Eisenbud and others), sized for up to a thousand boxes.
#[derive(Default)]
pub struct Maglev {
    shared: SharedTables<Vec<u32>>,
    /// Box index by slot.
    table: Arc<Vec<u32>>,
}

impl Maglev {
    /// Size of the table: a prime, over 100 times the number of boxes of a small fleet and over 50 times that of a
    /// large one.
    const SLOTS: u64 = 65_537;

    pub(crate) fn new(shared: SharedTables<Vec<u32>>) -> Self {
        Maglev { shared, table: Arc::default() }
    }

    fn build(boxes: View) -> Vec<u32> {
        const NONE: u32 = u32::MAX;
        let slots = Self::SLOTS;
        let mut table = vec![NONE; slots as usize];
        let step = |i| (hash(boxes.id(i), 0) % slots, hash(boxes.id(i), 1) % (slots - 1) + 1);
        let steps: Vec<(u64, u64)> = (0..boxes.len()).map(step).collect();
        let heaviest = (0..boxes.len()).map(|i| boxes.weight(i)).fold(f64::MIN_POSITIVE, f64::max);
        let mut next = vec![0u64; boxes.len()];
        let mut credit = vec![0.0; boxes.len()];
        let mut filled = 0;
        while filled < slots && !boxes.is_empty() {
            for (i, (offset, skip)) in steps.iter().enumerate() {
                // A box of lower weight skips rounds in proportion.
                credit[i] += boxes.weight(i) / heaviest;
                if credit[i] < 1.0 || filled == slots {
                    continue;
                }
                credit[i] -= 1.0;
                loop {
                    let slot = ((offset + next[i] * skip) % slots) as usize;
                    next[i] += 1;
                    if table[slot] == NONE {
                        table[slot] = i as u32;
                        filled += 1;
                        break;
                    }
                }
            }
        }
        table
    }
}

impl Pick for Maglev {
    fn list_changed(&mut self, boxes: View) {
        self.table = self.shared.get_or_build(boxes, || Self::build(boxes));
    }

    fn pick(&mut self, request: RoutingRequest, boxes: View, _: &mut Pcg64Mcg) -> Choice {
        // If the owner is not open, the owner of the key's next hash is taken; after 64 hashes without an
        // open owner, the request is rejected.
        Choice::from_index((0..64u64).find_map(|n| {
            let slot = hash_pair(request.key.0, n) % Self::SLOTS;
            let owner = self.table.get(slot as usize).map(|i| *i as usize);
            owner.filter(|i| *i < boxes.len() && boxes.is_open(*i))
        }))
    }
}

/// Sends a read to the box with the largest share of free slots among those with a valid copy, or to one that is
/// fetching the key already. If all boxes with a copy are busy, the request waits a short time for one of them. After
/// that, and for keys without a copy, it sends to the key's owner among the running boxes, by rendezvous hashing, so
/// that copies are not scattered and fetches are joined. It sends the planner no more calls than it can process, and no
/// request to a box without a free slot.
///
/// It sees the present but not the future, so another policy that sees everything may still do better.
#[derive(Default)]
pub struct Omniscient {
    owners: Rendezvous,
}

impl Omniscient {
    /// Time after which a waiting request is routed again.
    const RETRY_INTERVAL: Seconds = 0.004;
    /// Age of a request from which another box may make a second copy instead of waiting for a busy box that has one.
    const SECOND_COPY_AGE: Seconds = 0.060;
    /// Planner load below which a second copy is made.
    const SPARE_PLANNER_LOAD: f64 = 0.5;
    /// Share of the time left within which the planner must be able to answer.
    const PLANNER_TIME_SHARE: f64 = 0.8;
    /// Share of its total time for which a request waits for the planner; after that it is rejected to make room.
    const WAIT_SHARE: f64 = 0.3;
    /// Share of a box's slots that is reserved for requests whose key is cached, against calls to the planner.
    const RESERVED_SLOT_SHARE: f64 = 0.3;
    /// Maximum number of planner calls, relative to the number that it can process at once.
    const MAX_PLANNER_LOAD: f64 = 1.0;

    /// Share of the box's slots that are free; `None` if the box is down, not open to the request or has none
    /// free.
    fn free_share(boxes: View, index: usize) -> Option<f64> {
        let state = boxes.true_state(index).filter(|t| t.up && boxes.is_open(index))?;
        let free = state.current_slots - state.demanded_slots as f64;
        // A box so slow that it has less than one slot still serves one request at a time.
        (free > 0.0).then(|| free / state.slots)
    }

    /// Routes a read to a box with a copy and a free slot, or makes it wait if only busy boxes have a copy. `None` if
    /// no box has a copy or a second copy may be made.
    fn route_to_copy(request: RoutingRequest, boxes: View, free_shares: &[Option<f64>]) -> Option<Choice> {
        let has_copy = |i: &usize| boxes.has_copy(*i, request.id);
        let with_copy =
            (0..boxes.len()).filter_map(|i| free_shares[i].map(|f| (i, f))).filter(|(i, _)| has_copy(i));
        if let Some((i, _)) = with_copy.max_by(|a, b| a.1.total_cmp(&b.1)) {
            return Some(Choice::Send(i));
        }
        let busy = |i: &usize| free_shares[*i].is_none() && Self::is_up(boxes, *i) && has_copy(i);
        let may_copy =
            request.age >= Self::SECOND_COPY_AGE && boxes.planner().load < Self::SPARE_PLANNER_LOAD;
        let wait = !may_copy && (0..boxes.len()).any(|i| busy(&i));
        wait.then_some(Choice::Wait(Self::RETRY_INTERVAL))
    }

    /// Returns true if the box is up and open to the request.
    fn is_up(boxes: View, index: usize) -> bool {
        boxes.is_open(index) && boxes.true_state(index).is_some_and(|t| t.up)
    }
}

impl Pick for Omniscient {
    fn list_changed(&mut self, boxes: View) {
        self.owners.list_changed(boxes);
    }

    fn pick(&mut self, request: RoutingRequest, boxes: View, _: &mut Pcg64Mcg) -> Choice {
        let free_shares: Vec<Option<f64>> = (0..boxes.len()).map(|i| Self::free_share(boxes, i)).collect();
        if let Some(choice) =
            Some(request).filter(|w| !w.write).and_then(|w| Self::route_to_copy(w, boxes, &free_shares))
        {
            return choice;
        }
        let planner = boxes.planner();
        if !planner.up || planner.expected_wait > request.time_left * Self::PLANNER_TIME_SHARE {
            return Choice::Reject;
        }
        if !request.write {
            if let Some(i) =
                (0..boxes.len()).find(|i| free_shares[*i].is_some() && boxes.is_fetching(*i, request.id))
            {
                return Choice::Send(i);
            }
        }
        if planner.load > Self::MAX_PLANNER_LOAD {
            let may_wait = request.age < (request.age + request.time_left) * Self::WAIT_SHARE;
            return if may_wait { Choice::Wait(Self::RETRY_INTERVAL) } else { Choice::Reject };
        }
        let is_eligible = |i: usize| {
            let has_free_slots = free_shares[i].is_some_and(|f| f > Self::RESERVED_SLOT_SHARE);
            has_free_slots && (request.write || boxes.true_state(i).is_some_and(|t| t.can_fetch))
        };
        match self.owners.best(request.key, boxes, |i| Self::is_up(boxes, i)) {
            None => Choice::Reject,
            Some(owner) if is_eligible(owner) => Choice::Send(owner),
            Some(_) if request.age < Self::SECOND_COPY_AGE || planner.load > Self::SPARE_PLANNER_LOAD => {
                Choice::Wait(Self::RETRY_INTERVAL)
            }
            Some(_) => match self.owners.best(request.key, boxes, is_eligible) {
                Some(other) => Choice::Send(other),
                None => Choice::Wait(Self::RETRY_INTERVAL),
            },
        }
    }

    fn attempt_time_share(&self) -> f64 {
        0.9
    }
}

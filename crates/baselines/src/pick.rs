//! How each textbook policy picks a box.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

use hallpin_decisions::{Key, Seconds, ServerId};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use twox_hash::XxHash3_64;

use crate::boxes::View;

/// What is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Its key.
    pub key: Key,
    /// It changes the key at the planner.
    pub write: bool,
    /// Time that is left for it.
    pub left: Seconds,
}

/// Picks boxes.
pub trait Pick: Send {
    /// The list has changed.
    fn listed(&mut self, _boxes: View) {}

    /// The index of the box to send to; `None` refuses.
    fn pick(&mut self, wanted: Wanted, boxes: View, random: &mut Pcg64Mcg) -> Option<usize>;

    /// Whether it is shown the boxes as they are.
    fn is_omniscient(&self) -> bool {
        false
    }
}

/// Tables by the hash of the list that they were built from, the newest first.
type Tables<T> = VecDeque<(u64, Arc<T>)>;

/// Tables that nodes with the same list share: they are built once a list, not once a node.
pub(crate) struct Shared<T>(Arc<Mutex<Tables<T>>>);

impl<T> Clone for Shared<T> {
    fn clone(&self) -> Self {
        Shared(Arc::clone(&self.0))
    }
}

impl<T> Default for Shared<T> {
    fn default() -> Self {
        Shared(Arc::default())
    }
}

impl<T> Shared<T> {
    /// Lists that nodes may hold at once, as news reach them at unlike times.
    const KEPT: usize = 8;

    fn of(&self, boxes: View, build: impl FnOnce() -> T) -> Arc<T> {
        let mut list = Vec::new();
        for i in 0..boxes.len() {
            list.extend_from_slice(&boxes.id(i).0.len().to_le_bytes());
            list.extend_from_slice(boxes.id(i).0.as_bytes());
            list.extend_from_slice(&boxes.weight(i).to_le_bytes());
        }
        let list = XxHash3_64::oneshot(&list);
        let mut kept = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, table)) = kept.iter().find(|(of, _)| *of == list) {
            return Arc::clone(table);
        }
        let table = Arc::new(build());
        kept.push_front((list, Arc::clone(&table)));
        kept.truncate(Self::KEPT);
        table
    }
}

fn hash(id: &ServerId, number: u64) -> u64 {
    XxHash3_64::oneshot(&[id.0.as_bytes(), &number.to_le_bytes()].concat())
}

/// Of two numbers, as bytes.
fn hash_pair(a: u64, b: u64) -> u64 {
    XxHash3_64::oneshot(&(u128::from(b) << 64 | u128::from(a)).to_le_bytes())
}

/// Any open box: by trial while most are open, or else from a list of them.
fn any_open(boxes: View, random: &mut Pcg64Mcg) -> Option<usize> {
    const TRIALS: usize = 8;
    if boxes.is_empty() {
        return None;
    }
    let mut trials = (0..TRIALS).map(|_| random.random_range(0..boxes.len()));
    trials.find(|i| boxes.is_open(*i)).or_else(|| {
        let open: Vec<usize> = (0..boxes.len()).filter(|i| boxes.is_open(*i)).collect();
        (!open.is_empty()).then(|| open[random.random_range(0..open.len())])
    })
}

/// Any box.
pub struct Random;

impl Pick for Random {
    fn pick(&mut self, _: Wanted, boxes: View, random: &mut Pcg64Mcg) -> Option<usize> {
        any_open(boxes, random)
    }
}

/// The one with fewer in flight, by size, of two drawn (Mitzenmacher).
pub struct LeastOfTwo;

impl Pick for LeastOfTwo {
    fn pick(&mut self, _: Wanted, boxes: View, random: &mut Pcg64Mcg) -> Option<usize> {
        let (a, b) = (any_open(boxes, random)?, any_open(boxes, random)?);
        let load = |i: usize| f64::from(boxes.in_flight(i) + 1) / boxes.weight(i).max(1e-9);
        Some(if load(b) < load(a) { b } else { a })
    }
}

/// Rendezvous hashing with weights (Thaler and Ravishankar; the logarithmic method).
#[derive(Default)]
pub struct Rendezvous {
    ids: Vec<u64>,
}

impl Rendezvous {
    fn best(&self, key: Key, boxes: View, fit: impl Fn(usize) -> bool) -> Option<usize> {
        let score = |i: usize| {
            let unit = (hash_pair(self.ids[i], key.0) >> 11) as f64 / (1u64 << 53) as f64;
            -boxes.weight(i) / unit.max(f64::MIN_POSITIVE).ln()
        };
        let fit = (0..boxes.len()).filter(|i| fit(*i)).map(|i| (i, score(i)));
        fit.max_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| i)
    }
}

impl Pick for Rendezvous {
    fn listed(&mut self, boxes: View) {
        self.ids = (0..boxes.len()).map(|i| hash(boxes.id(i), 0)).collect();
    }

    fn pick(&mut self, wanted: Wanted, boxes: View, _: &mut Pcg64Mcg) -> Option<usize> {
        self.best(wanted.key, boxes, |i| boxes.is_open(i))
    }
}

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam): overflow goes to the next on the ring.
#[derive(Default)]
pub struct BoundedLoad {
    shared: Shared<Ring>,
    ring: Arc<Ring>,
}

#[derive(Default)]
pub(crate) struct Ring {
    points: Vec<(u64, usize)>,
    weights: f64,
}

impl BoundedLoad {
    /// Points of a box of mean size.
    const POINTS: f64 = 128.0;
    /// What a box may have beyond its part of all that is in flight.
    const BOUND: f64 = 1.25;

    pub(crate) fn new(shared: Shared<Ring>) -> Self {
        BoundedLoad { shared, ring: Arc::default() }
    }

    fn build(boxes: View) -> Ring {
        let weights: f64 = (0..boxes.len()).map(|i| boxes.weight(i)).sum();
        let mean = weights / boxes.len().max(1) as f64;
        let points = |i: usize| (Self::POINTS * boxes.weight(i) / mean.max(1e-9)).round().max(1.0) as u64;
        let all = (0..boxes.len()).flat_map(|i| (0..points(i)).map(move |n| (hash(boxes.id(i), n), i)));
        let mut points: Vec<(u64, usize)> = all.collect();
        points.sort_unstable();
        Ring { points, weights }
    }
}

impl Pick for BoundedLoad {
    fn listed(&mut self, boxes: View) {
        self.ring = self.shared.of(boxes, || Self::build(boxes));
    }

    fn pick(&mut self, wanted: Wanted, boxes: View, _: &mut Pcg64Mcg) -> Option<usize> {
        let Ring { points, weights } = &*self.ring;
        let all = f64::from(boxes.all_in_flight()) + 1.0;
        let at = XxHash3_64::oneshot(&wanted.key.0.to_le_bytes());
        let first = points.partition_point(|(hash, _)| *hash < at);
        let mut fallback = None;
        for (_, i) in points[first..].iter().chain(&points[..first]) {
            if !boxes.is_open(*i) {
                continue;
            }
            fallback.get_or_insert(*i);
            let bound = (Self::BOUND * all * boxes.weight(*i) / weights.max(1e-9)).ceil();
            if f64::from(boxes.in_flight(*i)) + 1.0 <= bound {
                return Some(*i);
            }
        }
        fallback
    }
}

/// Maglev's lookup table (Eisenbud and others), a size for a thousand boxes.
#[derive(Default)]
pub struct Maglev {
    shared: Shared<Vec<u32>>,
    table: Arc<Vec<u32>>,
}

impl Maglev {
    /// A prime, over a hundred times the boxes of a small fleet and over fifty times those of a large one.
    const SLOTS: u64 = 65_537;

    pub(crate) fn new(shared: Shared<Vec<u32>>) -> Self {
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
                // A lighter box sits rounds out.
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
    fn listed(&mut self, boxes: View) {
        self.table = self.shared.of(boxes, || Self::build(boxes));
    }

    fn pick(&mut self, wanted: Wanted, boxes: View, _: &mut Pcg64Mcg) -> Option<usize> {
        // A box that is not open passes to the owner of the key's next hash.
        (0..64u64).find_map(|n| {
            let slot = hash_pair(wanted.key.0, n) % Self::SLOTS;
            let owner = self.table.get(slot as usize).map(|i| *i as usize);
            owner.filter(|i| *i < boxes.len() && boxes.is_open(*i))
        })
    }
}

/// Of the boxes that run and have room: the quickest that keeps the key, or else the key's home among them by
/// rendezvous hashing, so that copies are not scattered. It asks nothing of a planner that could not answer in time.
#[derive(Default)]
pub struct Omniscient {
    homes: Rendezvous,
}

impl Omniscient {
    /// A box that keeps the key is passed over when it would need this long, in seconds of its work a request.
    const CROWDED: f64 = 6.0;
    /// Share of the time left in which the planner must be able to answer.
    const IN_TIME: f64 = 0.8;

    /// How long the box would be at this request, in units of its own work, if it can take it.
    fn wait(boxes: View, index: usize) -> Option<f64> {
        let truth = boxes.truth(index).filter(|_| boxes.is_open(index))?;
        let room = truth.up && truth.held < truth.room && truth.capacity > 0.0;
        room.then(|| (truth.held as f64 + 1.0) / truth.capacity)
    }
}

impl Pick for Omniscient {
    fn listed(&mut self, boxes: View) {
        self.homes.listed(boxes);
    }

    fn pick(&mut self, wanted: Wanted, boxes: View, _: &mut Pcg64Mcg) -> Option<usize> {
        let waits: Vec<Option<f64>> = (0..boxes.len()).map(|i| Self::wait(boxes, i)).collect();
        let quickest = |fit: &dyn Fn(usize) -> bool| {
            let fit = waits.iter().enumerate().filter_map(|(i, w)| w.filter(|_| fit(i)).map(|w| (i, w)));
            fit.min_by(|a, b| a.1.total_cmp(&b.1))
        };
        let keeps = |i: usize| boxes.truth(i).is_some_and(|t| t.keeps);
        if let Some((i, _)) = quickest(&keeps).filter(|(_, wait)| !wanted.write && *wait < Self::CROWDED) {
            return Some(i);
        }
        let planner = boxes.planner();
        if !planner.up || planner.answers_in > wanted.left * Self::IN_TIME {
            return None;
        }
        let home = self.homes.best(wanted.key, boxes, |i| waits[i].is_some_and(|w| w < Self::CROWDED));
        home.or_else(|| quickest(&|_| true).map(|(i, _)| i))
    }

    fn is_omniscient(&self) -> bool {
        true
    }
}

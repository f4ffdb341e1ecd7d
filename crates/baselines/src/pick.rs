//! How each textbook policy picks a box.

use hallpin_decisions::{Key, ServerId};
use hallpin_model::policy::TrueBox;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use twox_hash::XxHash3_64;

/// A box that may be picked.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its id.
    pub server: ServerId,
    /// Its listed size.
    pub weight: f64,
    /// Requests of this node that it has.
    pub in_flight: u32,
    /// It may be sent this request: it is not being left alone and has not been tried.
    pub open: bool,
    /// As it truly is, where the policy is shown that.
    pub truth: Option<TrueBox>,
}

/// Picks boxes.
pub trait Pick: Send {
    /// The list has changed; the candidates are in the order of their ids.
    fn listed(&mut self, _candidates: &[Candidate]) {}

    /// The index of the box to send to; `None` refuses.
    fn pick(&mut self, key: Key, candidates: &[Candidate], random: &mut Pcg64Mcg) -> Option<usize>;

    /// Whether it is shown the boxes as they are.
    fn is_omniscient(&self) -> bool {
        false
    }
}

fn hash(id: &ServerId, number: u64) -> u64 {
    XxHash3_64::oneshot(&[id.0.as_bytes(), &number.to_le_bytes()].concat())
}

fn open(candidates: &[Candidate]) -> Vec<usize> {
    (0..candidates.len()).filter(|&i| candidates[i].open).collect()
}

/// Any box.
pub struct Random;

impl Pick for Random {
    fn pick(&mut self, _: Key, candidates: &[Candidate], random: &mut Pcg64Mcg) -> Option<usize> {
        let open = open(candidates);
        (!open.is_empty()).then(|| open[random.random_range(0..open.len())])
    }
}

/// The one with fewer in flight, by size, of two drawn (Mitzenmacher).
pub struct LeastOfTwo;

impl Pick for LeastOfTwo {
    fn pick(&mut self, _: Key, candidates: &[Candidate], random: &mut Pcg64Mcg) -> Option<usize> {
        let open = open(candidates);
        if open.is_empty() {
            return None;
        }
        let mut draw = || open[random.random_range(0..open.len())];
        let (a, b) = (draw(), draw());
        let load = |i: usize| f64::from(candidates[i].in_flight + 1) / candidates[i].weight.max(1e-9);
        Some(if load(b) < load(a) { b } else { a })
    }
}

/// Rendezvous hashing with weights (Thaler and Ravishankar; the logarithmic method).
pub struct Rendezvous;

impl Pick for Rendezvous {
    fn pick(&mut self, key: Key, candidates: &[Candidate], _: &mut Pcg64Mcg) -> Option<usize> {
        let score = |i: usize| {
            let unit = (hash(&candidates[i].server, key.0) >> 11) as f64 / (1u64 << 53) as f64;
            -candidates[i].weight / unit.max(f64::MIN_POSITIVE).ln()
        };
        open(candidates).into_iter().max_by(|a, b| score(*a).total_cmp(&score(*b)))
    }
}

/// Consistent hashing with bounded loads (Mirrokni, Thorup and Zadimoghaddam): overflow goes to the next on the ring.
#[derive(Default)]
pub struct BoundedLoad {
    ring: Vec<(u64, usize)>,
}

impl BoundedLoad {
    /// Points of a box of mean size.
    const POINTS: f64 = 128.0;
    /// What a box may have beyond its part of all that is in flight.
    const BOUND: f64 = 1.25;
}

impl Pick for BoundedLoad {
    fn listed(&mut self, candidates: &[Candidate]) {
        let mean = candidates.iter().map(|c| c.weight).sum::<f64>() / candidates.len().max(1) as f64;
        self.ring.clear();
        for (i, c) in candidates.iter().enumerate() {
            let points = (Self::POINTS * c.weight / mean.max(1e-9)).round().max(1.0) as u64;
            self.ring.extend((0..points).map(|n| (hash(&c.server, n), i)));
        }
        self.ring.sort_unstable();
    }

    fn pick(&mut self, key: Key, candidates: &[Candidate], _: &mut Pcg64Mcg) -> Option<usize> {
        let all: f64 = candidates.iter().map(|c| f64::from(c.in_flight)).sum::<f64>() + 1.0;
        let weights: f64 = candidates.iter().map(|c| c.weight).sum();
        let at = XxHash3_64::oneshot(&key.0.to_le_bytes());
        let first = self.ring.partition_point(|(hash, _)| *hash < at);
        let mut fallback = None;
        for (_, i) in self.ring[first..].iter().chain(&self.ring[..first]) {
            let c = &candidates[*i];
            if !c.open {
                continue;
            }
            fallback.get_or_insert(*i);
            let bound = (Self::BOUND * all * c.weight / weights.max(1e-9)).ceil();
            if f64::from(c.in_flight) + 1.0 <= bound {
                return Some(*i);
            }
        }
        fallback
    }
}

/// Maglev's lookup table (Eisenbud and others), a size for a small fleet.
#[derive(Default)]
pub struct Maglev {
    table: Vec<usize>,
}

impl Maglev {
    /// A prime, over a hundred times the boxes of a large fleet.
    const SLOTS: u64 = 65_537;
}

impl Pick for Maglev {
    fn listed(&mut self, candidates: &[Candidate]) {
        const NONE: usize = usize::MAX;
        let slots = Self::SLOTS;
        self.table = vec![NONE; slots as usize];
        if candidates.is_empty() {
            return;
        }
        let steps: Vec<(u64, u64)> = candidates
            .iter()
            .map(|c| (hash(&c.server, 0) % slots, hash(&c.server, 1) % (slots - 1) + 1))
            .collect();
        let heaviest = candidates.iter().map(|c| c.weight).fold(f64::MIN_POSITIVE, f64::max);
        let mut next = vec![0u64; candidates.len()];
        let mut credit = vec![0.0; candidates.len()];
        let mut filled = 0;
        while filled < slots {
            for (i, (offset, skip)) in steps.iter().enumerate() {
                // A lighter box sits rounds out.
                credit[i] += candidates[i].weight / heaviest;
                if credit[i] < 1.0 || filled == slots {
                    continue;
                }
                credit[i] -= 1.0;
                loop {
                    let slot = ((offset + next[i] * skip) % slots) as usize;
                    next[i] += 1;
                    if self.table[slot] == NONE {
                        self.table[slot] = i;
                        filled += 1;
                        break;
                    }
                }
            }
        }
    }

    fn pick(&mut self, key: Key, candidates: &[Candidate], _: &mut Pcg64Mcg) -> Option<usize> {
        // A box that is not open passes to the owner of the key's next hash.
        (0..64u64).find_map(|n| {
            let at = XxHash3_64::oneshot(&[key.0.to_le_bytes(), n.to_le_bytes()].concat()) % Self::SLOTS;
            self.table.get(at as usize).copied().filter(|i| candidates.get(*i).is_some_and(|c| c.open))
        })
    }
}

/// Of the boxes that run and have room: the quickest that keeps the key, or else the key's home among them by
/// rendezvous hashing, so that copies are not scattered. It does not see the planner.
pub struct Omniscient;

impl Omniscient {
    /// A box that keeps the key is passed over when it would need this long, in seconds of its work a request.
    const CROWDED: f64 = 6.0;
}

impl Pick for Omniscient {
    fn pick(&mut self, key: Key, candidates: &[Candidate], random: &mut Pcg64Mcg) -> Option<usize> {
        let wait = |i: usize| {
            let truth = candidates[i].truth.as_ref()?;
            let room = truth.up && truth.held < truth.room && truth.capacity > 0.0;
            room.then(|| (truth.held as f64 + 1.0) / truth.capacity)
        };
        let keeps = |i: &usize| candidates[*i].truth.as_ref().is_some_and(|t| t.keeps);
        let open: Vec<(usize, f64)> =
            open(candidates).into_iter().filter_map(|i| wait(i).map(|wait| (i, wait))).collect();
        let kept = open.iter().filter(|(i, wait)| keeps(i) && *wait < Self::CROWDED);
        if let Some((i, _)) = kept.min_by(|a, b| a.1.total_cmp(&b.1)) {
            return Some(*i);
        }
        let mut fit = candidates.to_vec();
        for (i, c) in fit.iter_mut().enumerate() {
            c.open = open.iter().any(|(o, wait)| *o == i && *wait < Self::CROWDED);
        }
        Rendezvous
            .pick(key, &fit, random)
            .or_else(|| open.iter().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(i, _)| *i))
    }

    fn is_omniscient(&self) -> bool {
        true
    }
}

//! The hash ring, which maps each slot of a fixed slot array to the server that owns it.

use std::collections::{BTreeMap, BTreeSet};

use twox_hash::XxHash3_64;

use crate::interface::{Key, ServerId};

/// Length of the slot array, as a power of two: more slots than a large fleet has points, so that few
/// collide.
const SLOT_BITS: u32 = 16;
/// Points of a server of weight 1; shares of servers vary by about 1/sqrt(128), 9 %.
const POINTS_PER_UNIT_WEIGHT: f64 = 128.0;

/// Weights by server.
pub(crate) type Weights = BTreeMap<ServerId, f64>;

/// XXH3, so that every node maps a key to the same owners. Numbers are hashed as bytes and not used as seeds:
/// a short input meets the seed in a single xor, and servers whose ids differ in one digit would get the same
/// points.
fn hash(bytes: &[u8]) -> u64 {
    XxHash3_64::oneshot(bytes)
}

/// Hash of a key and a number.
pub(super) fn hash_key(key: Key, number: u64) -> u64 {
    let key_and_number = u128::from(number) << 64 | u128::from(key.0);
    hash(&key_and_number.to_le_bytes())
}

/// The power of two that weights are divided by, so that the heaviest server has a scaled size from 1 to 2.
pub(crate) fn scale(weights: impl Iterator<Item = f64>) -> f64 {
    let heaviest = weights.fold(0.0, f64::max);
    if heaviest > 0.0 {
        heaviest.log2().floor().exp2()
    } else {
        1.0
    }
}

/// A server's scaled size in the slot array; 1 where its weight is unknown.
pub(crate) fn scaled_size(weight: f64, scale: f64) -> f64 {
    if weight > 0.0 {
        weight / scale
    } else {
        1.0
    }
}

/// Number of points of a server of this scaled size.
pub(crate) fn point_count(size: f64) -> u16 {
    (POINTS_PER_UNIT_WEIGHT * size).round().max(1.0) as u16
}

/// A virtual node of a server; its slot is the top bits of its hash. Only the points of low rank of a server
/// of a slow kind are active, as rebuilding the ring at each change of speed takes more time than a node has.
pub(crate) struct Point {
    hash: u64,
    server: ServerId,
    rank: u16,
}

impl Point {
    pub(super) fn server(&self) -> &ServerId {
        &self.server
    }

    pub(super) fn rank(&self) -> u16 {
        self.rank
    }
}

/// All points, sorted by hash.
#[derive(Default)]
pub(crate) struct HashRing {
    points: Vec<Point>,
}

impl HashRing {
    /// Adds a server's points. The ring has to be sorted before the next lookup.
    pub(crate) fn add(&mut self, server: &ServerId, count: u16) {
        let point = |rank: u16| {
            let hash = hash(&[server.0.as_bytes(), &rank.to_le_bytes()].concat());
            Point { hash, server: server.clone(), rank }
        };
        self.points.extend((0..count).map(point));
    }

    /// Removes the points of these servers.
    pub(super) fn remove(&mut self, servers: &BTreeSet<ServerId>) {
        self.points.retain(|point| !servers.contains(&point.server));
    }

    /// Sorts the points. A stable sort is quick here: most points are one sorted run, followed by a short
    /// unsorted one.
    pub(crate) fn sort(&mut self) {
        self.points.sort_by_key(|point| point.hash);
    }

    pub(super) fn len(&self) -> usize {
        self.points.len()
    }

    /// The owner of slot h(key, probe): the server of the nearest active point clockwise.
    pub(crate) fn owner(
        &self,
        key: Key,
        probe: u64,
        is_active: impl Fn(&Point) -> bool,
    ) -> Option<&ServerId> {
        let slot = hash_key(key, probe) >> (64 - SLOT_BITS);
        let first = self.first_index_at(slot);
        let clockwise = self.points[first..].iter().chain(&self.points[..first]);
        clockwise.into_iter().find(|point| is_active(point)).map(Point::server)
    }

    /// Index of the first point at or after a slot. Hashes are spread evenly, so the point is near the index
    /// that is proportional to the slot; each step of a binary search of a large ring would miss the CPU
    /// cache.
    fn first_index_at(&self, slot: u64) -> usize {
        let is_before = |point: &&Point| point.hash >> (64 - SLOT_BITS) < slot;
        let guess = (slot as usize * self.points.len()) >> SLOT_BITS;
        let back = self.points[..guess].iter().rev().take_while(|point| !is_before(point)).count();
        let forward = self.points[guess..].iter().take_while(is_before).count();
        guess - back + forward
    }
}

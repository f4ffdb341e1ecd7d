//! The hash ring, which maps each slot of a fixed slot array to the server that owns it.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use rustc_hash::FxHashSet;
use slab::Slab;
use twox_hash::XxHash3_64;

use crate::interface::{Key, ServerId};

/// Length of the slot array, as a power of two: more slots than a large fleet has points, so that few
/// collide.
const SLOT_BITS: u32 = 16;
/// Points of a server of weight 1; shares of servers vary by about 1/sqrt(128), 9 %.
const POINTS_PER_UNIT_WEIGHT: f64 = 128.0;
/// Most servers with points.
const MAX_SERVERS: usize = 1 << u16::BITS;
/// Up to this fraction of the points is merged into the others; of more the copy would take too much memory,
/// and all are sorted in place.
const MAX_MERGED_FRACTION: usize = 8;

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
///
/// It has eight bytes, as the points are most of the memory that a server takes.
#[derive(Clone, Copy)]
pub(crate) struct Point {
    /// The upper half of the hash. The lower half is computed anew where two points share the upper one.
    upper_hash: u32,
    /// Key of the server in [`HashRing::servers`].
    server: u16,
    rank: u16,
}

impl Point {
    fn slot(&self) -> u64 {
        u64::from(self.upper_hash >> (u32::BITS - SLOT_BITS))
    }
}

/// Hash of a server's point.
fn hash_point(server: &ServerId, rank: u16) -> u64 {
    hash(&[server.0.as_bytes(), &rank.to_le_bytes()].concat())
}

/// Order of two points by their hashes.
fn compare(servers: &Slab<ServerId>, a: &Point, b: &Point) -> Ordering {
    let hash_of = |point: &Point| hash_point(&servers[usize::from(point.server)], point.rank);
    a.upper_hash.cmp(&b.upper_hash).then_with(|| hash_of(a).cmp(&hash_of(b)))
}

/// All points, sorted by hash.
#[derive(Default)]
pub(crate) struct HashRing {
    /// Servers that have points.
    servers: Slab<ServerId>,
    points: Vec<Point>,
}

impl HashRing {
    /// Adds the points of servers that have none yet, with the number of each.
    pub(crate) fn add<'a>(&mut self, servers: impl Iterator<Item = (&'a ServerId, u16)> + Clone) {
        let sorted = self.points.len();
        // Exactly, as a vector that doubles would take up to twice the memory.
        self.points.reserve_exact(servers.clone().map(|(_, count)| usize::from(count)).sum());
        for (server, count) in servers {
            self.append_points(server, count);
        }
        let added = self.points.len() - sorted;
        let servers = &self.servers;
        if added > self.points.len() / MAX_MERGED_FRACTION {
            self.points.sort_unstable_by(|a, b| compare(servers, a, b));
        } else {
            self.points[sorted..].sort_unstable_by(|a, b| compare(servers, a, b));
            merge_tail(servers, &mut self.points, sorted);
        }
    }

    /// Appends a server's points. Servers beyond [`MAX_SERVERS`] get none.
    fn append_points(&mut self, server: &ServerId, count: u16) {
        if self.servers.len() == MAX_SERVERS {
            return;
        }
        let key = self.servers.insert(server.clone()) as u16;
        let point = |rank| {
            let upper_hash = (hash_point(server, rank) >> u32::BITS) as u32;
            Point { upper_hash, server: key, rank }
        };
        self.points.extend((0..count).map(point));
    }

    /// Removes the points of these servers.
    pub(super) fn remove(&mut self, removed: &BTreeSet<ServerId>) {
        let keys = self.servers.iter().filter(|(_, server)| removed.contains(*server));
        let keys: FxHashSet<u16> = keys.map(|(key, _)| key as u16).collect();
        if !keys.is_empty() {
            self.points.retain(|point| !keys.contains(&point.server));
            self.servers.retain(|_, server| !removed.contains(server));
        }
    }

    /// Frees memory that a larger fleet took.
    pub(super) fn shrink(&mut self) {
        if self.points.capacity() > 2 * self.points.len() {
            self.points.shrink_to_fit();
            self.servers.shrink_to_fit();
        }
    }

    pub(super) fn len(&self) -> usize {
        self.points.len()
    }

    /// The owner of slot h(key, probe): the server of the nearest point clockwise that is active by its
    /// server and rank.
    pub(crate) fn owner(
        &self,
        key: Key,
        probe: u64,
        is_active: impl Fn(&ServerId, u16) -> bool,
    ) -> Option<&ServerId> {
        let slot = hash_key(key, probe) >> (64 - SLOT_BITS);
        let first = self.first_index_at(slot);
        let clockwise = self.points[first..].iter().chain(&self.points[..first]);
        let mut owners = clockwise.map(|point| (&self.servers[usize::from(point.server)], point.rank));
        owners.find(|(server, rank)| is_active(server, *rank)).map(|(server, _)| server)
    }

    /// Index of the first point at or after a slot. Hashes are spread evenly, so the point is near the index
    /// that is proportional to the slot; each step of a binary search of a large ring would miss the CPU
    /// cache.
    fn first_index_at(&self, slot: u64) -> usize {
        let is_before = |point: &&Point| point.slot() < slot;
        let guess = (slot as usize * self.points.len()) >> SLOT_BITS;
        let back = self.points[..guess].iter().rev().take_while(|point| !is_before(point)).count();
        let forward = self.points[guess..].iter().take_while(is_before).count();
        guess - back + forward
    }
}

/// Merges the sorted points from `head` on into the sorted ones before, with a copy of the former alone.
fn merge_tail(servers: &Slab<ServerId>, points: &mut [Point], mut head: usize) {
    let tail = points[head..].to_vec();
    let mut end = points.len();
    for point in tail.iter().rev() {
        while head > 0 && compare(servers, &points[head - 1], point).is_gt() {
            (head, end) = (head - 1, end - 1);
            points[end] = points[head];
        }
        end -= 1;
        points[end] = *point;
    }
}

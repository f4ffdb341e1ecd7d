//! The hash ring: the owners of keys do not depend on how the ring came about.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use rand_pcg::rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use twox_hash::XxHash3_64;

use crate::balance::hash_ring::{hash_key, HashRing};
use crate::interface::{Key, ServerId};

/// Keys whose owners are compared.
const KEYS: u64 = 200;
/// Bits of a slot's number.
const SLOT_BITS: u32 = 16;

/// The points of these servers by their whole hashes.
fn points(servers: &BTreeMap<ServerId, u16>) -> BTreeMap<u64, (ServerId, u16)> {
    let point = |id: &ServerId, rank: u16| {
        let hash = XxHash3_64::oneshot(&[id.0.as_bytes(), &rank.to_le_bytes()].concat());
        (hash, (id.clone(), rank))
    };
    servers.iter().flat_map(|(id, count)| (0..*count).map(move |rank| point(id, rank))).collect()
}

/// Owner of a key by these points, of which only those below a rank are active.
fn expected_owner(points: &BTreeMap<u64, (ServerId, u16)>, key: Key, active: u16) -> Option<&ServerId> {
    let first = hash_key(key, 0) >> (64 - SLOT_BITS) << (64 - SLOT_BITS);
    let mut clockwise = points.range(first..).chain(points.range(..first)).map(|(_, point)| point);
    clockwise.find(|(_, rank)| *rank < active).map(|(id, _)| id)
}

/// Servers that come and go in groups of any size, in any order: each key has the owner that the whole hashes of the
/// points give, though the ring keeps half of each hash.
#[test]
fn owners_follow_the_points_hashes_however_servers_come_and_go() {
    let mut rng = Pcg64Mcg::seed_from_u64(55);
    let (mut ring, mut servers) = (HashRing::default(), BTreeMap::new());
    for round in 0..40 {
        let removed: BTreeSet<ServerId> = servers.keys().filter(|_| rng.random_bool(0.2)).cloned().collect();
        ring.remove(&removed);
        servers.retain(|id, _| !removed.contains(id));
        let group = [1, 3, 60, 300][rng.random_range(0..4)];
        let added: Vec<(ServerId, u16)> = (0..group)
            .map(|n| (ServerId(format!("10.0.{round}.{n}:11211").into()), rng.random_range(1..=256)))
            .collect();
        ring.add(added.iter().map(|(id, count)| (id, *count)));
        ring.shrink();
        servers.extend(added);
        let points = points(&servers);
        assert_eq!(ring.len(), points.len());
        for key in (0..KEYS).map(Key) {
            for active in [1, 256] {
                let owner = ring.owner(key, 0, |_, rank| rank < active);
                assert_eq!(owner, expected_owner(&points, key, active), "round {round}, {key:?}");
            }
        }
    }
}

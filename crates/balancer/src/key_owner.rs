//! The owner of a key under a placement table, computed by the balancer's own code.

use crate::balance::hash_ring::{point_count, scale, scaled_size, HashRing, Weights};
use crate::interface::{Key, ServerId, TableEntry};

/// The owner of slot h(key, 0) in an array of these entries, all of them warm and ready: the server to which
/// a node with this table sends a key while that server has capacity. `None` if there are no entries. Builds
/// the array anew at each call.
#[must_use]
pub fn key_owner(entries: &[TableEntry], key: Key) -> Option<ServerId> {
    let weights: Weights = entries.iter().map(|entry| (entry.server.clone(), entry.weight)).collect();
    let scale = scale(weights.values().copied());
    let mut ring = HashRing::default();
    ring.add(weights.iter().map(|(id, weight)| (id, point_count(scaled_size(*weight, scale)))));
    ring.owner(key, 0, |_, _| true).cloned()
}

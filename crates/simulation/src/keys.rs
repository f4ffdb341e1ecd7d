//! The keys that clients request: popularity by a Zipf-Mandelbrot law, its drift, and the sizes of the values.

use hallpin_balancer::Key;
use rand_distr::weighted::{Error, WeightedAliasIndex};
use rand_distr::Distribution;

use crate::random::{RandomStream, Spread};
use crate::run_spec::KeysSpec;
use crate::store::KeyId;

/// All keys of a scenario.
pub struct Keys {
    spec: KeysSpec,
    /// Samples a rank by its popularity.
    by_rank: WeightedAliasIndex<f64>,
    /// The key at each rank of popularity, the most popular first.
    keys_by_rank: Vec<KeyId>,
    /// Size of the value of each key, in bytes.
    bytes: Vec<u32>,
    /// Hash of each key's name, as a node computes it.
    hashed: Vec<Key>,
    rng: RandomStream,
    /// Number of swaps of ranks that are due; its fraction is carried over to the next second.
    pending_swaps: f64,
}

/// The name of a key on the wire.
pub fn wire_name(key: KeyId) -> String {
    format!("uprn{key:08x}")
}

impl Keys {
    /// Draws the popularity and the value sizes of all keys.
    ///
    /// # Errors
    /// If the weights form no distribution, as without any keys.
    pub fn new(spec: KeysSpec, seed: u64) -> Result<Self, Error> {
        let mut rng = RandomStream::new(seed, "keys");
        let weight = |rank: u32| libm::pow(f64::from(rank) + 1.0 + spec.offset, -spec.zipf);
        let by_rank = WeightedAliasIndex::new((0..spec.count).map(weight).collect())?;
        let bytes = (0..spec.count)
            .map(|_| rng.spread(Spread::LogNormal, spec.bytes, spec.bytes_cv).max(1.0) as u32)
            .collect();
        let hashed = (0..spec.count).map(|key| hallpin_protocol::key_of(&wire_name(key))).collect();
        let mut keys_by_rank: Vec<KeyId> = (0..spec.count).collect();
        for rank in (1..keys_by_rank.len()).rev() {
            keys_by_rank.swap(rank, rng.below(rank as u64 + 1) as usize);
        }
        Ok(Keys { spec, by_rank, keys_by_rank, bytes, hashed, rng, pending_swaps: 0.0 })
    }

    /// Draws a key by popularity.
    pub fn draw(&self, rng: &mut RandomStream) -> KeyId {
        self.keys_by_rank[self.by_rank.sample(rng.generator())]
    }

    /// Size of the value of a key, in bytes.
    pub fn bytes(&self, key: KeyId) -> u64 {
        u64::from(self.bytes[key as usize])
    }

    /// The key as a node sees it, by its hash.
    pub fn hashed(&self, key: KeyId) -> Key {
        self.hashed[key as usize]
    }

    /// The `count` most popular keys now.
    pub fn most_popular(&self, count: usize) -> Vec<KeyId> {
        self.keys_by_rank.iter().take(count).copied().collect()
    }

    /// Applies one second of drift: swaps the keys of random pairs of ranks, all ranks with equal probability.
    pub fn advance_drift(&mut self) {
        let (key_count, bound) = (self.keys_by_rank.len() as f64, self.keys_by_rank.len() as u64);
        self.pending_swaps += self.spec.drift * key_count;
        while self.pending_swaps >= 1.0 {
            self.pending_swaps -= 1.0;
            let (a, b) = (self.rng.below(bound) as usize, self.rng.below(bound) as usize);
            self.keys_by_rank.swap(a, b);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec() -> KeysSpec {
        KeysSpec {
            count: 1000,
            zipf: 1.0,
            offset: 4.0,
            drift: 0.01,
            changes: 0.0,
            bytes: 300.0,
            bytes_cv: 0.5,
        }
    }

    #[test]
    fn popular_keys_are_drawn_more_often_and_drift_moves_them() {
        let (mut keys, mut rng) = (Keys::new(spec(), 3).unwrap(), RandomStream::new(3, "t"));
        let first = keys.most_popular(1)[0];
        let hits = (0..100_000).filter(|_| keys.draw(&mut rng) == first).count() as f64;
        let norm: f64 = (0..1000).map(|rank| 1.0 / (f64::from(rank) + 5.0)).sum();
        let expected = 100_000.0 / 5.0 / norm;
        assert!((hits / expected - 1.0).abs() < 0.1, "{hits} hits, expected {expected}");
        let before = keys.most_popular(1000);
        keys.advance_drift();
        let moved = keys.most_popular(1000).iter().zip(&before).filter(|(a, b)| a != b).count();
        assert!((1..=20).contains(&moved), "{moved} of 10 swaps at most");
        assert!(Keys::new(KeysSpec { count: 0, ..spec() }, 1).is_err());
    }
}

//! Random numbers that are the same on every machine.
//!
//! Each component of the world draws from its own stream, so that a change in one never shifts the draws of another.
//! Logarithms and powers come from `libm`, because platform libraries differ in the last bits.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use twox_hash::XxHash3_64;

/// One stream of random numbers.
#[derive(Clone, Debug)]
pub struct RandomStream {
    stream: ChaCha8Rng,
    /// Second value of the last pair of normal draws, not used yet.
    spare: Option<f64>,
}

/// Distribution of amounts of work around their mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, schemars::JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    /// Constant.
    Fixed,
    /// Log-normal, with a long tail.
    #[default]
    LogNormal,
    /// Pareto, with a heavy tail.
    Pareto,
}

impl RandomStream {
    /// Creates the stream with this name for a seed.
    pub fn new(seed: u64, name: &str) -> Self {
        let mut stream = ChaCha8Rng::seed_from_u64(seed);
        stream.set_stream(XxHash3_64::oneshot(name.as_bytes()));
        RandomStream { stream, spare: None }
    }

    /// A uniform number in [0, 1).
    pub fn uniform(&mut self) -> f64 {
        self.stream.random()
    }

    /// 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.stream.random()
    }

    /// A uniform number in [`low`, `high`).
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.uniform()
    }

    /// A uniform integer below `n`; 0 if `n` is 0.
    pub fn below(&mut self, n: u64) -> u64 {
        self.stream.random_range(0..n.max(1))
    }

    /// True with this probability; draws nothing if it is 0.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.uniform() < probability
    }

    /// The underlying generator, for the distributions of `rand_distr`.
    pub fn generator(&mut self) -> &mut ChaCha8Rng {
        &mut self.stream
    }

    /// An exponentially distributed number with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -libm::log1p(-self.uniform()) * mean
    }

    /// A standard normal number, by Marsaglia's polar method.
    pub fn normal(&mut self) -> f64 {
        if let Some(spare) = self.spare.take() {
            return spare;
        }
        loop {
            let (x, y) = (2.0 * self.uniform() - 1.0, 2.0 * self.uniform() - 1.0);
            let square = x * x + y * y;
            if square > 0.0 && square < 1.0 {
                let scale = libm::sqrt(-2.0 * libm::log(square) / square);
                self.spare = Some(y * scale);
                return x * scale;
            }
        }
    }

    /// A number from `spread` with this mean and a standard deviation of `cv` times the mean; `Fixed` ignores
    /// `cv`.
    pub fn spread(&mut self, spread: Spread, mean: f64, cv: f64) -> f64 {
        if cv <= 0.0 || mean <= 0.0 {
            return mean.max(0.0);
        }
        match spread {
            Spread::Fixed => mean,
            Spread::LogNormal => {
                let variance = libm::log1p(cv * cv);
                mean * libm::exp(libm::sqrt(variance) * self.normal() - variance / 2.0)
            }
            Spread::Pareto => {
                let shape = 1.0 + libm::sqrt(1.0 + 1.0 / (cv * cv));
                let minimum = mean * (shape - 1.0) / shape;
                minimum * libm::pow(1.0 - self.uniform(), -1.0 / shape)
            }
        }
    }

    /// A sample of `many` distinct numbers of `0..of`, or all of them if there are fewer, in ascending order.
    pub fn sample_indices(&mut self, many: usize, of: usize) -> Vec<usize> {
        let mut chosen = rand::seq::index::sample(&mut self.stream, of, many.min(of)).into_vec();
        chosen.sort_unstable();
        chosen
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_stream_depends_only_on_its_name_and_seed() {
        let draw = |seed, name| -> Vec<u64> {
            let mut rng = RandomStream::new(seed, name);
            (0..8).map(|_| rng.bits()).collect()
        };
        assert_eq!(draw(1, "a"), draw(1, "a"));
        assert_ne!(draw(1, "a"), draw(1, "b"));
        assert_ne!(draw(1, "a"), draw(2, "a"));
    }

    #[test]
    fn draws_match_the_mean_and_deviation_of_their_distribution() {
        for (spread, cv, tolerance) in
            [(Spread::Fixed, 1.0, 1e-9), (Spread::LogNormal, 0.5, 0.01), (Spread::Pareto, 0.4, 0.02)]
        {
            let mut rng = RandomStream::new(7, "spread");
            let draws: Vec<f64> = (0..200_000).map(|_| rng.spread(spread, 40.0, cv)).collect();
            let mean = draws.iter().sum::<f64>() / draws.len() as f64;
            let variance = draws.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / draws.len() as f64;
            assert!((mean / 40.0 - 1.0).abs() < tolerance, "{spread:?}: mean {mean}");
            let expected = if spread == Spread::Fixed { 0.0 } else { cv };
            assert!(
                (variance.sqrt() / mean - expected).abs() < 0.1,
                "{spread:?}: cv {}",
                variance.sqrt() / mean
            );
        }
    }
}

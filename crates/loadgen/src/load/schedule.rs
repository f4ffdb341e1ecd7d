//! Arrival process: Poisson or evenly spaced under a rate profile, or replayed from a trace. No I/O.

use std::sync::Arc;
use std::time::Duration;

use hallpin_simulation::random::RandomStream;
use hallpin_simulation::store::KeyId;

/// Distribution of the gaps between requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spacing {
    /// Exponentially distributed gaps (a Poisson process).
    Poisson,
    /// Equal gaps.
    Even,
}

/// Piecewise-constant factor on the base rate: pairs of a start time in seconds, in ascending order, and the factor
/// that holds from then until the next start.
#[derive(Clone, Debug, PartialEq)]
pub struct RateProfile(Vec<(f64, f64)>);

/// Constant steps that approximate the slope between two points of a curve.
const STEPS_PER_SEGMENT: usize = 50;

impl RateProfile {
    /// The base rate throughout.
    pub fn constant() -> Self {
        RateProfile(vec![(0.0, 1.0)])
    }

    /// Bursts of `factor` times the base rate, each `lasts` long, at the start of every `period`.
    pub fn bursts(period: Duration, lasts: Duration, factor: f64, length: Duration) -> Self {
        let (period, lasts) = (period.as_secs_f64(), lasts.as_secs_f64());
        let count = if period > 0.0 { (length.as_secs_f64() / period).ceil() as usize } else { 0 };
        let burst = |n: usize| [(n as f64 * period, factor), (n as f64 * period + lasts.min(period), 1.0)];
        let steps: Vec<(f64, f64)> = (0..count).flat_map(burst).collect();
        if steps.is_empty() {
            RateProfile::constant()
        } else {
            RateProfile(steps)
        }
    }

    /// Interpolates linearly between the points and is constant outside them; `None` if there are no points, their
    /// times do not strictly increase, or a factor is negative or not finite.
    pub fn curve(points: &[(Duration, f64)]) -> Option<Self> {
        let times_increase = points.windows(2).all(|pair| pair[0].0 < pair[1].0);
        let factors_are_valid = points.iter().all(|(_, factor)| factor.is_finite() && *factor >= 0.0);
        let (first, last) = (points.first()?, points.last()?);
        if !times_increase || !factors_are_valid {
            return None;
        }
        let mut steps = vec![(0.0, first.1)];
        for pair in points.windows(2) {
            let ((a, from), (b, to)) =
                ((pair[0].0.as_secs_f64(), pair[0].1), (pair[1].0.as_secs_f64(), pair[1].1));
            let step = |n: usize| {
                let share = n as f64 / STEPS_PER_SEGMENT as f64;
                // Each step takes the curve's value at its midpoint, so that the total number of requests is right.
                (a + (b - a) * share, from + (to - from) * (share + 0.5 / STEPS_PER_SEGMENT as f64))
            };
            steps.extend((0..STEPS_PER_SEGMENT).map(step));
        }
        steps.push((last.0.as_secs_f64(), last.1));
        Some(RateProfile(steps))
    }

    /// Returns the factor at this time, in seconds, and the time at which the next one starts.
    fn at(&self, at: f64) -> (f64, f64) {
        let next = self.0.partition_point(|(from, _)| *from <= at);
        let factor = next.checked_sub(1).map_or(1.0, |n| self.0[n].1);
        (factor, self.0.get(next).map_or(f64::INFINITY, |(from, _)| *from))
    }
}

/// A request read from a trace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordedRequest {
    /// Arrival time, from the beginning of the trace.
    pub at: Duration,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant, if any.
    pub tenant: Option<usize>,
    /// Key.
    pub key: KeyId,
}

/// Arrival process of the requests.
#[derive(Clone, Debug)]
pub enum Arrivals {
    /// Generated at a rate, over all worker threads.
    Generated {
        /// Distribution of the gaps.
        spacing: Spacing,
        /// Base rate, in requests per second.
        rate: f64,
        /// Factor on the base rate over time.
        profile: RateProfile,
    },
    /// Replayed from a trace, in order of time.
    Recorded(Arc<Vec<RecordedRequest>>),
}

/// Iterator over the due requests of one worker thread.
pub struct Schedule {
    arrivals: Arrivals,
    worker: usize,
    workers: usize,
    /// Length of the run in seconds.
    length: f64,
    /// Time in seconds up to which requests have been generated.
    elapsed: f64,
    /// Whether the first request has been generated.
    has_started: bool,
    /// Index of this worker's next recorded request.
    next: usize,
    rng: RandomStream,
}

/// A request and its scheduled send time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DueRequest {
    /// Scheduled send time, from the start of the run.
    pub at: Duration,
    /// The recorded request when replaying a trace.
    pub recorded: Option<RecordedRequest>,
}

impl Schedule {
    /// Creates the schedule of one of `workers` threads, which together produce the whole rate.
    pub fn new(arrivals: Arrivals, worker: usize, workers: usize, length: Duration, seed: u64) -> Self {
        let rng = RandomStream::new(seed, &format!("arrivals of worker {worker}"));
        let length = length.as_secs_f64();
        Schedule { arrivals, worker, workers, length, elapsed: 0.0, has_started: false, next: worker, rng }
    }
}

impl Iterator for Schedule {
    type Item = DueRequest;

    fn next(&mut self) -> Option<DueRequest> {
        let (spacing, rate, profile) = match &self.arrivals {
            Arrivals::Recorded(all) => {
                let recorded = *all.get(self.next)?;
                self.next += self.workers;
                let at = recorded.at;
                return (at.as_secs_f64() < self.length)
                    .then_some(DueRequest { at, recorded: Some(recorded) });
            }
            Arrivals::Generated { spacing, rate, profile } => {
                (*spacing, *rate / self.workers as f64, profile)
            }
        };
        // Integral of this worker's rate up to the next request.
        let mut remaining = match spacing {
            Spacing::Poisson => self.rng.exponential(1.0),
            // Offsets the first request of each worker, so that the workers' requests interleave evenly.
            Spacing::Even if !self.has_started => (self.worker + 1) as f64 / self.workers as f64,
            Spacing::Even => 1.0,
        };
        self.has_started = true;
        while self.elapsed < self.length {
            let (factor, step_end) = profile.at(self.elapsed);
            let requests_in_step = (step_end - self.elapsed) * rate * factor;
            if rate * factor > 0.0 && remaining <= requests_in_step {
                self.elapsed += remaining / (rate * factor);
                return (self.elapsed < self.length)
                    .then(|| DueRequest { at: Duration::from_secs_f64(self.elapsed), recorded: None });
            }
            remaining -= if requests_in_step.is_nan() { 0.0 } else { requests_in_step };
            self.elapsed = step_end;
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn times(spacing: Spacing, rate: f64, profile: RateProfile, workers: usize, seed: u64) -> Vec<f64> {
        let arrivals = Arrivals::Generated { spacing, rate, profile };
        let schedule =
            |worker| Schedule::new(arrivals.clone(), worker, workers, Duration::from_secs(100), seed);
        let mut all: Vec<f64> = (0..workers).flat_map(schedule).map(|due| due.at.as_secs_f64()).collect();
        all.sort_by(f64::total_cmp);
        all
    }

    /// Poisson: counts per second have a variance equal to their mean, and a Kolmogorov-Smirnov test accepts the gaps
    /// as exponential.
    #[test]
    fn poisson_gaps_are_exponential() {
        let times = times(Spacing::Poisson, 200.0, RateProfile::constant(), 3, 5);
        let mut counts = [0.0f64; 100];
        times.iter().for_each(|t| counts[*t as usize] += 1.0);
        let mean = counts.iter().sum::<f64>() / 100.0;
        let variance = counts.iter().map(|c| (c - mean).powi(2)).sum::<f64>() / 99.0;
        assert!((mean - 200.0).abs() < 6.0, "mean {mean}");
        assert!((0.65..1.5).contains(&(variance / mean)), "variance {variance} of mean {mean}");
        let mut gaps: Vec<f64> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
        gaps.sort_by(f64::total_cmp);
        let n = gaps.len() as f64;
        let distances = gaps.iter().enumerate().map(|(i, gap)| {
            let expected = 1.0 - (-gap * 200.0).exp();
            (expected - i as f64 / n).abs().max((expected - (i + 1) as f64 / n).abs())
        });
        let max_distance = distances.fold(0.0, f64::max);
        assert!(
            max_distance < 1.63 / n.sqrt(),
            "distance {max_distance}, exceeded with probability 0.01: {}",
            1.63 / n.sqrt()
        );
    }

    #[test]
    fn even_gaps_are_equal_over_all_workers() {
        let times = times(Spacing::Even, 80.0, RateProfile::constant(), 4, 1);
        // The last request is due exactly at the end; rounding of the summed gaps may put it just before.
        assert!((7999..=8000).contains(&times.len()), "{}", times.len());
        assert!(times.windows(2).all(|pair| (pair[1] - pair[0] - 0.0125).abs() < 1e-9));
    }

    #[test]
    fn rate_profiles_produce_the_expected_number_of_requests() {
        let bursts = RateProfile::bursts(
            Duration::from_secs(10),
            Duration::from_secs(1),
            5.0,
            Duration::from_secs(100),
        );
        let within = |times: &[f64]| times.iter().filter(|t| **t % 10.0 < 1.0).count() as f64;
        let even = times(Spacing::Even, 100.0, bursts, 2, 1);
        assert!((within(&even) - 5000.0).abs() < 12.0, "{}", within(&even));
        assert!((even.len() as f64 - 14_000.0).abs() < 12.0, "{}", even.len());
        let points = [(0, 0.0), (50, 2.0), (100, 0.0)].map(|(s, f)| (Duration::from_secs(s), f));
        let triangle = times(Spacing::Even, 100.0, RateProfile::curve(&points).unwrap(), 2, 1);
        let in_first_quarter = triangle.iter().filter(|t| **t < 25.0).count() as f64;
        assert!(
            (triangle.len() as f64 - 10_000.0).abs() < 10.0 && (in_first_quarter - 1250.0).abs() < 10.0,
            "{in_first_quarter}"
        );
        assert!(RateProfile::curve(&[]).is_none());
        assert!(RateProfile::curve(&[(Duration::from_secs(1), 1.0), (Duration::from_secs(1), 2.0)]).is_none());
        // With a rate of zero there are no requests, and the iterator ends.
        let none = RateProfile::curve(&[(Duration::ZERO, 0.0)]).unwrap();
        assert!(times(Spacing::Poisson, 100.0, none, 1, 1).is_empty());
    }

    #[test]
    fn each_recorded_request_is_replayed_by_exactly_one_worker() {
        let recorded = |n: u64| RecordedRequest {
            at: Duration::from_millis(n * 30),
            class: 0,
            tenant: None,
            key: n as KeyId,
        };
        let all = Arc::new((0..5000).map(recorded).collect::<Vec<_>>());
        let schedule =
            |worker| Schedule::new(Arrivals::Recorded(all.clone()), worker, 3, Duration::from_secs(100), 1);
        let mut keys: Vec<KeyId> =
            (0..3).flat_map(schedule).filter_map(|due| due.recorded).map(|recorded| recorded.key).collect();
        keys.sort_unstable();
        assert_eq!(keys, (0..3334).collect::<Vec<_>>());
    }
}

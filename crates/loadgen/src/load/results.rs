//! Results of a run: mergeable latency histograms and counters. No I/O.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Final outcome of a request, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Answered with the requested value or, for a write, its receipt.
    Completed,
    /// Rejected without execution, at its last try.
    Refused,
    /// Answered with an error.
    Failed,
    /// Not answered in time.
    TimedOut,
    /// The connection ended before the answer came, or the answer belonged to another request.
    Broken,
    /// Not sent: its deadline passed or the run ended before a connection was free, or the backlog was full.
    Unsent,
}

impl Outcome {
    /// Every outcome, in declaration order.
    pub const ALL: [Outcome; 6] = [
        Outcome::Completed,
        Outcome::Refused,
        Outcome::Failed,
        Outcome::TimedOut,
        Outcome::Broken,
        Outcome::Unsent,
    ];

    /// Returns the name used in tables and files.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Completed => "completed",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::TimedOut => "timed-out",
            Outcome::Broken => "broken",
            Outcome::Unsent => "unsent",
        }
    }
}

/// Counters of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests that came due.
    pub asked: u64,
    /// Tries sent.
    pub tries: u64,
    /// Connections established.
    pub connections: u64,
    /// Connection attempts that were refused or timed out.
    pub refused_connections: u64,
    /// Connections that the target closed with requests in flight, or that were closed after an invalid answer.
    pub broken_connections: u64,
    /// Answers that belonged to another request.
    pub misdelivered: u64,
    /// Malformed answers; each closes its connection.
    pub malformed: u64,
    /// Requests answered on slow connections.
    pub slow_answered: u64,
    /// Slow connections that ended before their answer.
    pub slow_cut_off: u64,
    /// Half-open connections established.
    pub half_open: u64,
    /// Half-open connections closed by the target.
    pub half_open_closed: u64,
}

/// Counters of one second of the run: `asked` by scheduled time, the others by completion time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Second {
    /// Requests that came due.
    pub asked: u64,
    /// Requests completed.
    pub completed: u64,
    /// Requests rejected.
    pub refused: u64,
    /// Requests that ended in any other outcome.
    pub lost: u64,
}

/// Results of a run, or of one worker thread's share of it.
#[derive(Clone, Debug)]
pub struct RunResults {
    /// Microseconds from a request's scheduled send time to its end, by outcome.
    by_outcome: [Histogram<u64>; 6],
    /// Microseconds by which the generator was late in dispatching requests.
    lateness: Histogram<u64>,
    /// Counters.
    pub counts: Counts,
    /// Counters for each second of the run.
    pub seconds: Vec<Second>,
    /// Total CPU time of the worker threads.
    pub cpu_time: Duration,
    /// Total run time of the worker threads.
    pub run_time: Duration,
}

/// Precision of a histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Largest latency that a histogram distinguishes, in microseconds: one hour.
const MAX_LATENCY_US: u64 = 3_600_000_000;

pub(super) fn histogram() -> Histogram<u64> {
    // These constant bounds are valid.
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("good bounds")
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Records a duration; one beyond the histogram's range counts as the longest.
fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(micros(span));
}

impl Default for RunResults {
    fn default() -> Self {
        RunResults {
            by_outcome: std::array::from_fn(|_| histogram()),
            lateness: histogram(),
            counts: Counts::default(),
            seconds: Vec::new(),
            cpu_time: Duration::ZERO,
            run_time: Duration::ZERO,
        }
    }
}

impl RunResults {
    /// Records that a request came due at `due` and was dispatched `lateness` afterwards.
    pub fn record_due(&mut self, due: Duration, lateness: Duration) {
        self.counts.asked += 1;
        record(&mut self.lateness, lateness);
        self.second_mut(due).asked += 1;
    }

    /// Records the final outcome of a request that was due at `due`.
    pub fn record_outcome(&mut self, outcome: Outcome, due: Duration, now: Duration) {
        record(&mut self.by_outcome[outcome as usize], now.saturating_sub(due));
        let second = self.second_mut(now);
        match outcome {
            Outcome::Completed => second.completed += 1,
            Outcome::Refused => second.refused += 1,
            _ => second.lost += 1,
        }
    }

    /// Counters of the second that contains `at`, a time since the start of the run.
    fn second_mut(&mut self, at: Duration) -> &mut Second {
        let at = at.as_secs() as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Second::default());
        }
        &mut self.seconds[at]
    }

    /// Latencies in microseconds, from the scheduled send time, of the requests with this outcome.
    pub fn latencies(&self, outcome: Outcome) -> &Histogram<u64> {
        &self.by_outcome[outcome as usize]
    }

    /// Dispatch lateness of the generator, in microseconds.
    pub fn lateness(&self) -> &Histogram<u64> {
        &self.lateness
    }

    /// Builds the results of a saved run, of which only the histograms are known.
    pub(super) fn from_histograms(by_outcome: [Histogram<u64>; 6], lateness: Histogram<u64>) -> Self {
        let counts = Counts { asked: lateness.len(), ..Counts::default() };
        RunResults { by_outcome, lateness, counts, ..RunResults::default() }
    }

    /// Adds the results of another thread or another run.
    pub fn merge(&mut self, other: &RunResults) {
        for (ours, theirs) in self.by_outcome.iter_mut().zip(&other.by_outcome) {
            merge(ours, theirs);
        }
        merge(&mut self.lateness, &other.lateness);
        let (total, added) = (&mut self.counts, &other.counts);
        total.asked += added.asked;
        total.tries += added.tries;
        total.connections += added.connections;
        total.refused_connections += added.refused_connections;
        total.broken_connections += added.broken_connections;
        total.misdelivered += added.misdelivered;
        total.malformed += added.malformed;
        total.slow_answered += added.slow_answered;
        total.slow_cut_off += added.slow_cut_off;
        total.half_open += added.half_open;
        total.half_open_closed += added.half_open_closed;
        if self.seconds.len() < other.seconds.len() {
            self.seconds.resize(other.seconds.len(), Second::default());
        }
        for (ours, theirs) in self.seconds.iter_mut().zip(&other.seconds) {
            ours.asked += theirs.asked;
            ours.completed += theirs.completed;
            ours.refused += theirs.refused;
            ours.lost += theirs.lost;
        }
        self.cpu_time += other.cpu_time;
        self.run_time += other.run_time;
    }
}

fn merge(into: &mut Histogram<u64>, other: &Histogram<u64>) {
    // All histograms are created with the same bounds.
    into.add(other).expect("equal bounds");
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Merging two threads' results equals recording everything in one; the median is checked against a known
    /// distribution.
    #[test]
    fn merged_results_equal_results_recorded_together() {
        let (mut first, mut second, mut combined) =
            (RunResults::default(), RunResults::default(), RunResults::default());
        for n in 0..10_000u64 {
            let (due, now) = (Duration::from_millis(n), Duration::from_millis(n) + Duration::from_micros(n));
            let partial = if n % 3 == 0 { &mut first } else { &mut second };
            for results in [partial, &mut combined] {
                results.record_due(due, Duration::from_micros(7));
                results.record_outcome(
                    if n % 10 == 0 { Outcome::Refused } else { Outcome::Completed },
                    due,
                    now,
                );
            }
        }
        first.merge(&second);
        assert_eq!((first.counts, &first.seconds), (combined.counts, &combined.seconds));
        assert_eq!(first.latencies(Outcome::Completed), combined.latencies(Outcome::Completed));
        assert_eq!((first.latencies(Outcome::Refused).len(), first.lateness().max()), (1000, 7));
        let median = combined.latencies(Outcome::Completed).value_at_quantile(0.5) as f64;
        assert!((median / 5000.0 - 1.0).abs() < 0.002, "{median}");
        assert_eq!(first.seconds.iter().map(|second| second.asked).sum::<u64>(), 10_000);
    }
}

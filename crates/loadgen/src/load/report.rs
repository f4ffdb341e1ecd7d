//! Report of a run as text and JSON, and its histograms as HdrHistogram interval logs.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::time::Duration;

use comfy_table::{presets, CellAlignment, Table};
use hdrhistogram::serialization::interval_log::{
    IntervalLogIterator, IntervalLogWriterBuilder, LogEntry, Tag,
};
use hdrhistogram::serialization::{Deserializer, V2DeflateSerializer};
use hdrhistogram::Histogram;
use serde::Serialize;

use super::results::{histogram, Counts, Outcome, RunResults, Second};
use super::LoadError;

/// Reported quantiles and their names.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p90", 0.9), ("p99", 0.99), ("p99.9", 0.999)];
/// Lateness at the 99th percentile above which the generator itself, not the target, limits the measurement.
const MAX_LATENESS: Duration = Duration::from_millis(2);

/// Latencies of the requests with one outcome.
#[derive(Clone, Debug, Serialize)]
pub struct Times {
    /// Number of requests.
    pub requests: u64,
    /// Fraction of all requests that came due.
    pub share: f64,
    /// Latency in milliseconds from the scheduled send time, by quantile, and its maximum.
    pub ms: BTreeMap<&'static str, f64>,
}

/// Performance of the generator itself.
#[derive(Clone, Debug, Serialize)]
pub struct Generator {
    /// Dispatch lateness in milliseconds, by quantile, and its maximum.
    pub late_ms: BTreeMap<&'static str, f64>,
    /// CPU time of the worker threads as a fraction of their run time.
    pub cpu_share: f64,
    /// The generator was so late that the latencies do not describe the target.
    pub bottleneck: bool,
}

/// Summary of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Time during which requests were sent, in seconds.
    pub seconds: f64,
    /// Requests that came due per second.
    pub asked_a_second: f64,
    /// Requests completed per second.
    pub completed_a_second: f64,
    /// Average number of tries for each request that came due.
    pub tries_a_request: f64,
    /// Latencies by outcome; outcomes without requests are left out.
    pub outcomes: BTreeMap<&'static str, Times>,
    /// Counters.
    pub counts: Counts,
    /// Performance of the generator.
    pub generator: Generator,
    /// Counters for each second of the run.
    pub course: Vec<Second>,
}

fn quantiles(histogram: &Histogram<u64>) -> BTreeMap<&'static str, f64> {
    let named = QUANTILES.iter().map(|(name, q)| (*name, histogram.value_at_quantile(*q) as f64 / 1e3));
    named.chain([("max", histogram.max() as f64 / 1e3)]).collect()
}

impl Report {
    /// Summarises a run during which requests were sent for `length`.
    pub fn new(results: &RunResults, length: Duration) -> Self {
        let (counts, length) = (results.counts, length.as_secs_f64().max(1e-9));
        let asked = counts.asked.max(1) as f64;
        let times = |outcome: Outcome| {
            let latencies = results.latencies(outcome);
            let times = Times {
                requests: latencies.len(),
                share: latencies.len() as f64 / asked,
                ms: quantiles(latencies),
            };
            (!latencies.is_empty()).then(|| (outcome.name(), times))
        };
        let lateness = Duration::from_micros(results.lateness().value_at_quantile(0.99));
        Report {
            seconds: length,
            asked_a_second: counts.asked as f64 / length,
            completed_a_second: results.latencies(Outcome::Completed).len() as f64 / length,
            tries_a_request: counts.tries as f64 / asked,
            outcomes: Outcome::ALL.into_iter().filter_map(times).collect(),
            counts,
            generator: Generator {
                late_ms: quantiles(results.lateness()),
                cpu_share: results.cpu_time.as_secs_f64() / results.run_time.as_secs_f64().max(1e-9),
                bottleneck: lateness > MAX_LATENESS,
            },
            course: results.seconds.clone(),
        }
    }

    /// Whether every answer was well-formed and belonged to its request.
    pub fn is_good(&self) -> bool {
        self.counts.misdelivered == 0 && self.counts.malformed == 0
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut table = Table::new();
        table.load_preset(presets::NOTHING);
        table.set_header(["", "requests", "share", "p50", "p90", "p99", "p99.9", "max"]);
        for outcome in Outcome::ALL {
            let Some(times) = self.outcomes.get(outcome.name()) else { continue };
            let ms = |name: &str| format!("{:.2} ms", times.ms.get(name).copied().unwrap_or(0.0));
            table.add_row([
                outcome.name().to_string(),
                times.requests.to_string(),
                format!("{:.2} %", times.share * 100.0),
                ms("p50"),
                ms("p90"),
                ms("p99"),
                ms("p99.9"),
                ms("max"),
            ]);
        }
        for column in 1..8 {
            if let Some(column) = table.column_mut(column) {
                column.set_cell_alignment(CellAlignment::Right);
            }
        }
        let counts = &self.counts;
        writeln!(f, "{table}\n")?;
        writeln!(
            f,
            "{} requests in {:.1} s: {:.0} a second asked, {:.0} completed",
            counts.asked, self.seconds, self.asked_a_second, self.completed_a_second
        )?;
        // A run read back from a file has histograms only.
        if counts.connections + counts.refused_connections > 0 {
            writeln!(
                f,
                "{:.3} tries per request; connections: {} established, {} refused or timed out, {} broken with requests in flight",
                self.tries_a_request,
                counts.connections,
                counts.refused_connections,
                counts.broken_connections
            )?;
        }
        if counts.slow_answered + counts.slow_cut_off + counts.half_open > 0 {
            writeln!(
                f,
                "slow connections: {} answered, {} cut off; half-open: {} established, {} closed by the target",
                counts.slow_answered, counts.slow_cut_off, counts.half_open, counts.half_open_closed
            )?;
        }
        if !self.is_good() {
            writeln!(
                f,
                "WRONG: {} answers belonged to another request, {} were malformed",
                counts.misdelivered, counts.malformed
            )?;
        }
        let lateness = |name: &str| self.generator.late_ms.get(name).copied().unwrap_or(0.0);
        write!(
            f,
            "the generator was {:.2} ms late at p99, {:.2} ms at most",
            lateness("p99"),
            lateness("max")
        )?;
        if self.generator.bottleneck {
            write!(f, ": it was the bottleneck, not the target; use more workers or a lower rate")?;
        }
        Ok(())
    }
}

/// Tag of the generator's lateness in an interval log.
const LATENESS_TAG: &str = "late";

/// Saves a run's histograms as an HdrHistogram interval log, one entry for each outcome and one for the lateness.
///
/// # Errors
/// If the file cannot be written.
pub fn save(results: &RunResults, length: Duration, path: &Path) -> Result<(), LoadError> {
    let log_error = |detail: String| LoadError::LogFile(path.into(), detail);
    let mut file = BufWriter::new(File::create(path).map_err(|e| log_error(e.to_string()))?);
    let mut serializer = V2DeflateSerializer::new();
    let builder = IntervalLogWriterBuilder::new();
    let mut log = builder.begin_log_with(&mut file, &mut serializer).map_err(|e| log_error(e.to_string()))?;
    let named = Outcome::ALL.into_iter().map(|outcome| (outcome.name(), results.latencies(outcome)));
    for (name, histogram) in named.chain([(LATENESS_TAG, results.lateness())]) {
        log.write_histogram(histogram, Duration::ZERO, length, Tag::new(name))
            .map_err(|error| log_error(format!("{error:?}")))?;
    }
    file.flush().map_err(|e| log_error(e.to_string()))
}

/// Reads saved runs and merges them as consecutive runs; also returns the total time during which requests were sent.
///
/// # Errors
/// If a file cannot be read or is not a complete log written by [`save`].
pub fn read_back(paths: &[std::path::PathBuf]) -> Result<(RunResults, Duration), LoadError> {
    let (mut combined, mut length) = (RunResults::default(), Duration::ZERO);
    for path in paths {
        let (results, run_length) = read_one(path)?;
        combined.merge(&results);
        length += run_length;
    }
    Ok((combined, length))
}

fn read_one(path: &Path) -> Result<(RunResults, Duration), LoadError> {
    let log_error = |detail: String| LoadError::LogFile(path.into(), detail);
    let text = std::fs::read(path).map_err(|error| log_error(error.to_string()))?;
    let (mut by_outcome, mut lateness) = (std::array::from_fn(|_| histogram()), histogram());
    let (mut length, mut entries, mut deserializer) = (Duration::ZERO, 0, Deserializer::new());
    for entry in IntervalLogIterator::new(&text) {
        let LogEntry::Interval(interval) = entry.map_err(|error| log_error(format!("{error:?}")))? else {
            continue;
        };
        let name = interval.tag().map_or("", |tag| tag.as_str());
        let into = match Outcome::ALL.into_iter().find(|outcome| outcome.name() == name) {
            Some(outcome) => &mut by_outcome[outcome as usize],
            None if name == LATENESS_TAG => &mut lateness,
            None => return Err(log_error(format!("tag {name:?}: an outcome expected"))),
        };
        let encoded =
            base64::Engine::decode(&base64::engine::general_purpose::STANDARD, interval.encoded_histogram())
                .map_err(|error| log_error(format!("tag {name}: {error}")))?;
        let decoded: Histogram<u64> = deserializer
            .deserialize(&mut &encoded[..])
            .map_err(|error| log_error(format!("tag {name}: {error:?}")))?;
        into.add(&decoded).map_err(|error| log_error(format!("tag {name}: {error:?}")))?;
        (length, entries) = (length.max(interval.duration()), entries + 1);
    }
    if entries <= Outcome::ALL.len() {
        return Err(log_error(format!(
            "{} entries expected, got {entries}: is the file truncated?",
            Outcome::ALL.len() + 1
        )));
    }
    Ok((RunResults::from_histograms(by_outcome, lateness), length))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn results(requests: u64) -> RunResults {
        let mut results = RunResults::default();
        for n in 0..requests {
            results.record_due(Duration::ZERO, Duration::from_micros(n % 50));
            results.record_outcome(Outcome::Completed, Duration::ZERO, Duration::from_micros(100 * n));
        }
        results.record_outcome(Outcome::TimedOut, Duration::ZERO, Duration::from_secs(2));
        results
    }

    #[test]
    fn a_saved_run_reads_back_and_a_truncated_one_is_rejected() {
        let folder = tempfile::tempdir().unwrap();
        let (one, two) = (folder.path().join("one.hlog"), folder.path().join("two.hlog"));
        save(&results(1000), Duration::from_secs(4), &one).unwrap();
        save(&results(500), Duration::from_secs(3), &two).unwrap();
        let (combined, length) = read_back(&[one.clone(), two]).unwrap();
        let mut both = results(1000);
        both.merge(&results(500));
        for outcome in Outcome::ALL {
            assert_eq!(combined.latencies(outcome), both.latencies(outcome), "{outcome:?}");
        }
        assert_eq!((combined.lateness(), length), (both.lateness(), Duration::from_secs(7)));
        let text = std::fs::read(&one).unwrap();
        for cut in [text.len() / 4, text.len() / 2, text.len() - 40] {
            std::fs::write(&one, &text[..cut]).unwrap();
            assert!(read_back(std::slice::from_ref(&one)).is_err(), "cut at {cut} of {}", text.len());
        }
        let error = save(&results(10), Duration::ZERO, Path::new("/dev/full")).unwrap_err();
        assert!(error.to_string().starts_with("/dev/full: "), "{error}");
    }

    /// A run without requests must not divide by zero.
    #[test]
    fn a_run_without_requests_has_a_report() {
        let report = Report::new(&RunResults::default(), Duration::ZERO);
        assert!(report.outcomes.is_empty() && report.is_good() && !report.generator.bottleneck);
        assert!(report.asked_a_second == 0.0 && report.to_string().contains("0 requests"));
    }
}

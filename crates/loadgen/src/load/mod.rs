//! Open-loop load generator for real nodes: requests are sent at their scheduled times, whatever became of the others.
//!
//! Latencies are measured from the *scheduled* send time, so that a stalled node cannot delay the requests that would
//! have measured the stall (coordinated omission). The parts without I/O are [`schedule`] (send times), [`mix`]
//! (request contents), [`results`] and [`report`] (results). [`run`] starts the worker threads, each with its own
//! connections.

mod connection;
pub mod fake_server;
pub mod mix;
pub mod report;
pub mod results;
pub mod schedule;
mod shared;
mod slow_connections;
mod worker;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use mix::{Mix, MixError, MixSpec};
use results::RunResults;
use schedule::Arrivals;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct LoadSpec {
    /// Addresses of the nodes; connections are assigned to them round-robin.
    pub targets: Vec<SocketAddr>,
    /// Arrival process of the requests.
    pub arrivals: Arrivals,
    /// Time during which requests are sent.
    pub length: Duration,
    /// Distribution of classes, tenants and keys.
    pub mix: MixSpec,
    /// Number of connections, over all threads and targets.
    pub connections: usize,
    /// Maximum number of requests in flight on one connection.
    pub pipeline: usize,
    /// Opens a new connection for each request.
    pub fresh: bool,
    /// Number of worker threads.
    pub workers: usize,
    /// Requests that may queue in one worker thread for a connection; further ones are dropped and counted as unsent.
    pub backlog: usize,
    /// Time after which the client of a request gives up, over all its tries.
    pub wait: Duration,
    /// Maximum number of tries for one request.
    pub tries: u32,
    /// Additional connections that write and read byte by byte.
    pub slow: usize,
    /// Additional connections that send nothing.
    pub half_open: usize,
    /// Seed of all random draws.
    pub seed: u64,
}

/// Error of running a load or of saving or reading back its results.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A count that must be at least 1 is 0.
    #[error("{0}: at least 1 expected, got 0")]
    Zero(&'static str),
    /// There are more worker threads than connections.
    #[error("workers: at most one per connection expected, got {workers} for {connections} connections")]
    IdleWorkers {
        /// Number of worker threads.
        workers: usize,
        /// Number of connections.
        connections: usize,
    },
    /// The distribution of requests is invalid.
    #[error(transparent)]
    Mix(#[from] MixError),
    /// The runtime of a worker thread or of the fake server could not be created.
    #[error("runtime: {0}")]
    Runtime(#[from] std::io::Error),
    /// A worker thread panicked.
    #[error("worker {0}: the thread panicked")]
    WorkerPanicked(usize),
    /// A file of histograms could not be written or read back.
    #[error("{path}: {detail}", path = .0.display(), detail = .1)]
    LogFile(PathBuf, String),
}

/// Live counters of a run, for progress displays, and its stop flag.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests that came due.
    pub asked: AtomicU64,
    /// Requests completed.
    pub completed: AtomicU64,
    /// Requests that ended in any other outcome.
    pub other: AtomicU64,
    /// Set by the caller to stop the run: no further requests are sent, and those in flight are abandoned.
    pub stop: AtomicBool,
}

impl Progress {
    fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }

    fn is_stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// Time for the worker threads to start before the first request is due.
const START_DELAY: Duration = Duration::from_millis(50);

/// Sends requests until `spec.length` has passed or the run is stopped, and returns the merged results.
///
/// # Errors
/// If the spec is invalid, or a worker thread cannot create its runtime or panics. Misbehaviour of the targets is
/// counted in the results and is no error.
pub fn run(spec: &LoadSpec, progress: &Arc<Progress>) -> Result<RunResults, LoadError> {
    let counts = [
        ("targets", spec.targets.len()),
        ("connections", spec.connections),
        ("pipeline", spec.pipeline),
        ("workers", spec.workers),
        ("backlog", spec.backlog),
        ("tries", spec.tries as usize),
    ];
    if let Some((name, _)) = counts.iter().find(|(_, count)| *count == 0) {
        return Err(LoadError::Zero(name));
    }
    if spec.workers > spec.connections {
        return Err(LoadError::IdleWorkers { workers: spec.workers, connections: spec.connections });
    }
    let mixes = (0..spec.workers)
        .map(|worker| Mix::new(&spec.mix, spec.seed, worker))
        .collect::<Result<Vec<_>, _>>()?;
    let start = Instant::now() + START_DELAY;
    let threads: Vec<_> = mixes
        .into_iter()
        .enumerate()
        .map(|(number, mix)| {
            let (spec, progress) = (spec.clone(), Arc::clone(progress));
            std::thread::spawn(move || worker::run(&spec, number, mix, start, progress))
        })
        .collect();
    // Joins every thread before any error is returned.
    let joined: Vec<_> = threads.into_iter().map(std::thread::JoinHandle::join).collect();
    let mut total = RunResults::default();
    for (number, result) in joined.into_iter().enumerate() {
        total.merge(&result.map_err(|_| LoadError::WorkerPanicked(number))??);
    }
    Ok(total)
}

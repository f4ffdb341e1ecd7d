//! Scenario runs in virtual time: faster than real time, and with the same result on every machine.

use std::io;
use std::num::NonZeroUsize;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hallpin_balancer::Sizes;
use hallpin_baselines::PolicyKind;
use hallpin_simulation::history::Header;
use hallpin_simulation::invariants::{InvariantChecker, Verdict};
use hallpin_simulation::plane::{Switch, Tally};
use hallpin_simulation::scenario::{InvalidField, Scenario};
use hallpin_simulation::time::{Span, Time};
use hallpin_simulation::trace::{Event, Sink};
use hallpin_simulation::world::{DayResult, World, WorldError};

use crate::footprint::Footprint;
use crate::trace_file::TraceFile;

/// Reason why a scenario run failed.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The scenario is invalid.
    #[error("scenario: {0}")]
    Scenario(#[from] InvalidField),
    /// The simulated world cannot be built from the scenario.
    #[error("scenario: {0}")]
    World(#[from] WorldError),
    /// The trace file could not be written.
    #[error("trace: {0}")]
    Trace(#[from] io::Error),
}

/// Result of one scenario run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct RunResult {
    /// The policy that made the decisions.
    #[serde(serialize_with = "serialize_policy_name")]
    pub policy: PolicyKind,
    /// Seed that the run was drawn from.
    pub seed: u64,
    /// Verdict of the invariant checker.
    pub verdict: Verdict,
    /// Number of events that were processed in virtual time, or recorded in a run on sockets.
    pub events: u64,
    /// Largest table sizes of any node's policy in each 10 s; empty if sizes were not sampled.
    pub sizes: Vec<(Time, Sizes)>,
    /// Counters of the communication between nodes; zero if it was not counted.
    pub tally: Tally,
    /// Resource use of each node; empty if the nodes are not processes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub footprints: Vec<Footprint>,
    /// Wall-clock duration of the run; not serialised, as it is not part of the result.
    #[serde(skip)]
    pub wall_time: Duration,
}

fn serialize_policy_name<S: serde::Serializer>(kind: &PolicyKind, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(kind.name())
}

/// Runs the scenario once and writes a trace if a path is given. `plane` selects the parts of the communication between
/// nodes; it is off for every policy but the decision module.
///
/// # Errors
/// If the scenario is invalid, its world cannot be built, or the trace could not be written completely.
pub fn run_scenario(
    scenario: &Scenario,
    seed: u64,
    policy: PolicyKind,
    plane: Switch,
    trace: Option<&Path>,
) -> Result<RunResult, RunError> {
    let run_spec = scenario.draw(seed)?;
    let began = Instant::now();
    let new_policy = policy.factory();
    let plane = if policy == PolicyKind::Module { plane } else { Switch::Off };
    let mut checker = InvariantChecker::new(&run_spec);
    let (events, sizes, tally) = match trace {
        None => {
            let done =
                World::new(&run_spec, &*new_policy, |at: Time, event: &Event| checker.record(at, event))?
                    .with_plane(plane)?
                    .run();
            (done.events, done.sizes, done.tally)
        }
        Some(path) => {
            let mut file = TraceFile::create(path, &Header::new(scenario, seed, Span::ZERO))?;
            let sink = |at: Time, event: &Event| {
                file.record(at, event);
                checker.record(at, event);
            };
            let DayResult { events, sizes, tally, .. } =
                World::new(&run_spec, &*new_policy, sink)?.with_plane(plane)?.run();
            file.finish()?;
            (events, sizes, tally)
        }
    };
    Ok(RunResult {
        policy,
        seed,
        verdict: checker.verdict(),
        events,
        sizes,
        tally,
        footprints: Vec::new(),
        wall_time: began.elapsed(),
    })
}

/// Runs the scenario for each policy and seed, on one thread per core, and calls `ended` after each run. The results
/// are ordered by policy and then seed, independently of thread scheduling.
///
/// # Errors
/// The first error in the order of the results.
pub fn run_all(
    scenario: &Scenario,
    seeds: &[u64],
    policies: &[PolicyKind],
    plane: Switch,
    ended: &(dyn Fn() + Sync),
) -> Result<Vec<RunResult>, RunError> {
    let runs: Vec<(PolicyKind, u64)> = policies.iter().flat_map(|p| seeds.iter().map(|s| (*p, *s))).collect();
    let threads = std::thread::available_parallelism().map_or(1, NonZeroUsize::get).min(runs.len());
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some(&(policy, seed)) = runs.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let played = run_scenario(scenario, seed, policy, plane, None);
                    ended();
                    // A poisoned lock is ignored: the scope propagates the panic of the thread that held it.
                    if let Ok(mut results) = results.lock() {
                        results.push(((policy, seed), played));
                    }
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    results.sort_by_key(|(run, _)| runs.iter().position(|r| r == run));
    results.into_iter().map(|(_, played)| played).collect()
}

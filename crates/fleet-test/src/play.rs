//! Runs the scenarios of a trial for all seeds and policies, in parallel.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;

use hallpin_balancer::Sizes;
use hallpin_baselines::PolicyKind;
use hallpin_emulator::{run_scenario, RunError, RunResult};
use hallpin_simulation::invariants::Verdict;
use hallpin_simulation::plane::{Switch, Tally};
use hallpin_simulation::scenario::{Scenario, ScenarioFileError};
use serde::Serialize;

use crate::day::{Day, Size};
use crate::gate::{self, Finding, Metrics};

/// The simplest policy, used as the lower reference.
const SIMPLEST_POLICY: PolicyKind = PolicyKind::Random;

/// Scenarios, seeds and options of a trial.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// The scenarios.
    pub days: Vec<Day>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// Size limits of the scenarios.
    pub size: Size,
    /// Delay of the late-seeing policy, in milliseconds.
    pub late_seeing_delay_ms: u32,
    /// Parts of the communication between nodes that are on for the decision module.
    pub plane: Switch,
    /// Number of parallel runs; the number of cores if not given.
    pub jobs: Option<NonZeroUsize>,
}

/// Reason why a trial failed to run.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// A scenario is invalid.
    #[error("{}: {error}", day.name())]
    Scenario {
        /// The scenario.
        day: Day,
        /// The reason.
        #[source]
        error: ScenarioFileError,
    },
    /// A run failed.
    #[error("{} seed {seed}: {error}", day.name())]
    Play {
        /// The scenario.
        day: Day,
        /// Seed of the run.
        seed: u64,
        /// The reason.
        #[source]
        error: RunError,
    },
}

/// Result of one scenario with one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Result {
    /// The scenario.
    pub day: Day,
    /// Seed of the runs.
    pub seed: u64,
    /// Metrics of the decision module.
    pub module: Metrics,
    /// Metrics of the late-seeing policy.
    pub late: Metrics,
    /// Metrics of the simplest policy.
    #[serde(rename = "plainest")]
    pub simplest: Metrics,
    /// Share of the weighted requests that the decision module is required to serve.
    #[serde(rename = "wanted")]
    pub required: f64,
    /// Acceptance criteria that were not met.
    pub findings: Vec<Finding>,
    /// Largest size of each table of the module at any node during the run.
    pub sizes: Vec<(&'static str, usize)>,
    /// Counters of the communication between nodes in the module's run.
    pub tally: Tally,
    /// Verdict of the module's run, with figures per second for charts.
    #[serde(skip)]
    pub verdict: Verdict,
}

impl Result {
    /// Share served by the module relative to that of the late-seeing policy; lower is worse.
    pub fn margin(&self) -> f64 {
        self.module.served / self.late.served.max(f64::MIN_POSITIVE)
    }
}

/// Result of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    /// Result of each scenario and seed that all three policies completed, in the plan's order.
    pub results: Vec<Result>,
    /// Number of planned results.
    pub planned: usize,
}

impl Trial {
    /// Returns true if the trial is complete and all criteria were met.
    pub fn passed(&self) -> bool {
        self.is_complete() && !self.results.iter().any(|r| !r.findings.is_empty())
    }

    /// Returns true if all planned results are there.
    pub fn is_complete(&self) -> bool {
        self.results.len() == self.planned
    }

    /// The result in which the module falls furthest behind the late-seeing policy; results with findings come first.
    pub fn worst_result(&self) -> Option<&Result> {
        let order = |r: &&Result| (r.findings.is_empty(), r.margin());
        self.results.iter().min_by(|a, b| {
            let (a, b) = (order(a), order(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }
}

/// One simulation run: scenario, seed and policy.
struct Job {
    day: Day,
    seed: u64,
    policy: PolicyKind,
    /// Index of the scenario in the plan.
    scenario: usize,
}

/// Runs a trial and calls `ended` after each run. Once `stop` is set no further run is started, and the result covers
/// the completed ones. Unless it is stopped, the result does not depend on the number of parallel runs.
///
/// # Errors
/// An invalid scenario, before any run; or else the first error of a run, in the order in which the runs were
/// queued.
pub fn trial(
    plan: &TrialPlan,
    stop: &AtomicBool,
    ended: &(dyn Fn() + Sync),
) -> std::result::Result<Trial, TrialError> {
    let scenario =
        |day: &Day| day.scenario(plan.size).map_err(|error| TrialError::Scenario { day: *day, error });
    let scenarios: Vec<Scenario> = plan.days.iter().map(scenario).collect::<std::result::Result<_, _>>()?;
    let jobs = jobs(plan);
    let cores = std::thread::available_parallelism().ok();
    let threads = plan.jobs.or(cores).map_or(1, NonZeroUsize::get).min(jobs.len().max(1));
    let (next, played) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while !stop.load(Ordering::Relaxed) {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(index) else { break };
                    let outcome =
                        run_scenario(&scenarios[job.scenario], job.seed, job.policy, plan.plane, None);
                    ended();
                    // A poisoned lock is ignored: the scope propagates the panic of the thread that held it.
                    if let Ok(mut played) = played.lock() {
                        played.push((index, outcome));
                    }
                }
            });
        }
    });
    let mut played = played.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    played.sort_by_key(|(index, _)| *index);
    collect_results(plan, &jobs, played)
}

/// Queues the runs, the soak first, so that no long run starts last and leaves the other cores idle.
fn jobs(plan: &TrialPlan) -> Vec<Job> {
    let policies =
        [PolicyKind::Module, PolicyKind::LateSeeing { delay_ms: plan.late_seeing_delay_ms }, SIMPLEST_POLICY];
    let mut days: Vec<(usize, Day)> = plan.days.iter().copied().enumerate().collect();
    days.sort_by_key(|(index, day)| (*day != Day::Soak, *index));
    let jobs_of_day = |(scenario, day): (usize, Day)| {
        let seeds = plan.seeds.iter();
        seeds.flat_map(move |seed| policies.map(|policy| Job { day, seed: *seed, policy, scenario }))
    };
    days.into_iter().flat_map(jobs_of_day).collect()
}

/// Combines the runs of the three policies for each scenario and seed, in the plan's order.
fn collect_results(
    plan: &TrialPlan,
    jobs: &[Job],
    played: Vec<(usize, std::result::Result<RunResult, RunError>)>,
) -> std::result::Result<Trial, TrialError> {
    let mut runs: Vec<(&Job, RunResult)> = Vec::new();
    for (index, outcome) in played {
        let job = &jobs[index];
        let (outcome, seed) = (outcome, job.seed);
        let run = outcome.map_err(|error| TrialError::Play { day: job.day, seed, error })?;
        runs.push((job, run));
    }
    let mut results = Vec::new();
    for day in &plan.days {
        for seed in &plan.seeds {
            let of = |is: &dyn Fn(PolicyKind) -> bool| {
                runs.iter().find(|(j, _)| j.day == *day && j.seed == *seed && is(j.policy)).map(|(_, d)| d)
            };
            let module = of(&|kind| kind == PolicyKind::Module);
            let late = of(&|kind| matches!(kind, PolicyKind::LateSeeing { .. }));
            let simplest = of(&|kind| kind == SIMPLEST_POLICY);
            if let (Some(module), Some(late), Some(simplest)) = (module, late, simplest) {
                results.push(result(*day, *seed, module, late, simplest));
            }
        }
    }
    Ok(Trial { results, planned: plan.days.len() * plan.seeds.len() })
}

/// Compares the runs of the three policies for one scenario and seed.
fn result(day: Day, seed: u64, module: &RunResult, late: &RunResult, simplest: &RunResult) -> Result {
    let metrics = |played: &RunResult| Metrics::from_verdict(&played.verdict);
    let required =
        gate::required_share(day, late.verdict.all_requests.share(), simplest.verdict.all_requests.share());
    let sizes = module.sizes.iter().map(|(_, s)| *s).fold(Sizes::default(), Sizes::max_of_each);
    Result {
        day,
        seed,
        module: metrics(module),
        late: metrics(late),
        simplest: metrics(simplest),
        required,
        findings: gate::findings(day, &module.verdict, &late.verdict, &module.sizes, required),
        sizes: sizes.tables().to_vec(),
        tally: module.tally.clone(),
        verdict: module.verdict.clone(),
    }
}

#[cfg(test)]
mod tests;

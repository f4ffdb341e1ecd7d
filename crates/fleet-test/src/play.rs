//! Plays the days over seeds and cores.

use std::num::NonZeroUsize;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Mutex;

use hallpin_balancer::Sizes;
use hallpin_baselines::Kind;
use hallpin_emulator::{play, PlayError, Played};
use hallpin_simulation::plane::{Switch, Tally};
use hallpin_simulation::referee::Verdict;
use hallpin_simulation::scenario::{Scenario, Unreadable};
use serde::Serialize;

use crate::day::{Day, Size};
use crate::gate::{self, Figures, Finding};

/// The plainest policy.
const PLAINEST: Kind = Kind::Random;

/// What is to be played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The days.
    pub days: Vec<Day>,
    /// The seeds.
    pub seeds: Vec<u64>,
    /// How large the days are.
    pub size: Size,
    /// How late the late-seeing policy sees.
    pub late_ms: u32,
    /// Which parts of the plane the module's nodes have.
    pub plane: Switch,
    /// Days played at once; without it as many as there are cores.
    pub jobs: Option<NonZeroUsize>,
}

/// Why a trial could not be played.
#[derive(Debug, thiserror::Error)]
pub enum TrialError {
    /// A day's scenario makes no sense.
    #[error("{}: {error}", day.name())]
    Scenario {
        /// The day.
        day: Day,
        /// What is wrong with it.
        #[source]
        error: Unreadable,
    },
    /// A day was not played.
    #[error("{} seed {seed}: {error}", day.name())]
    Play {
        /// The day.
        day: Day,
        /// Its seed.
        seed: u64,
        /// Why not.
        #[source]
        error: PlayError,
    },
}

/// One day of one seed.
#[derive(Clone, Debug, Serialize)]
pub struct Result {
    /// The day.
    pub day: Day,
    /// Its seed.
    pub seed: u64,
    /// What the decision module came to.
    pub module: Figures,
    /// What the late-seeing policy came to.
    pub late: Figures,
    /// What the plainest policy came to.
    pub plainest: Figures,
    /// Share of the worth that was to be served.
    pub wanted: f64,
    /// What did not hold.
    pub findings: Vec<Finding>,
    /// The most that the module held at any node, table by table, over the day.
    pub sizes: Vec<(&'static str, usize)>,
    /// What was counted beside on the module's day.
    pub tally: Tally,
    /// The module's day second by second, for a picture.
    #[serde(skip)]
    pub verdict: Verdict,
}

impl Result {
    /// What was served for what was to be; the less, the worse the day.
    pub fn margin(&self) -> f64 {
        self.module.served / self.late.served.max(f64::MIN_POSITIVE)
    }
}

/// What came of a trial.
#[derive(Clone, Debug, Serialize)]
pub struct Trial {
    /// Each day and seed that was played to its end by all three policies, in the plan's order.
    pub results: Vec<Result>,
    /// How many were planned.
    pub planned: usize,
}

impl Trial {
    /// All that was planned was played, and all held.
    pub fn passed(&self) -> bool {
        self.is_whole() && !self.results.iter().any(|r| !r.findings.is_empty())
    }

    /// All that was planned was played.
    pub fn is_whole(&self) -> bool {
        self.results.len() == self.planned
    }

    /// The day on which the module lost most against the late-seeing policy; one with findings first.
    pub fn worst(&self) -> Option<&Result> {
        let order = |r: &&Result| (r.findings.is_empty(), r.margin());
        self.results.iter().min_by(|a, b| {
            let (a, b) = (order(a), order(b));
            a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))
        })
    }
}

/// One day, seed and policy.
struct Job {
    day: Day,
    seed: u64,
    policy: Kind,
    scenario: usize,
}

/// Plays a trial and tells of each day that has ended. Once `stop` is set no further day is begun, and the trial is of
/// those that were played. The result is the same however many are played at once.
///
/// # Errors
/// The first that any day met, in the plan's order.
pub fn trial(
    plan: &Plan,
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
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(at) else { break };
                    let day = play(&scenarios[job.scenario], job.seed, job.policy, plan.plane, None);
                    ended();
                    // A thread that has panicked ends the scope with that panic.
                    if let Ok(mut played) = played.lock() {
                        played.push((at, day));
                    }
                }
            });
        }
    });
    let mut played = played.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    played.sort_by_key(|(at, _)| *at);
    gather(plan, &jobs, played)
}

/// The long ones first, so that no core waits for a soak that began last.
fn jobs(plan: &Plan) -> Vec<Job> {
    let policies = [Kind::Module, Kind::LateSeeing { delay_ms: plan.late_ms }, PLAINEST];
    let mut days: Vec<(usize, Day)> = plan.days.iter().copied().enumerate().collect();
    days.sort_by_key(|(at, day)| (*day != Day::Soak, *at));
    let of_day = |(scenario, day): (usize, Day)| {
        let seeds = plan.seeds.iter();
        seeds.flat_map(move |seed| policies.map(|policy| Job { day, seed: *seed, policy, scenario }))
    };
    days.into_iter().flat_map(of_day).collect()
}

/// The three policies of each day and seed beside each other, in the plan's order.
fn gather(
    plan: &Plan,
    jobs: &[Job],
    played: Vec<(usize, std::result::Result<Played, PlayError>)>,
) -> std::result::Result<Trial, TrialError> {
    let mut days: Vec<(&Job, Played)> = Vec::new();
    for (at, day) in played {
        let job = &jobs[at];
        let (day, seed) = (day, job.seed);
        let day = day.map_err(|error| TrialError::Play { day: job.day, seed, error })?;
        days.push((job, day));
    }
    let mut results = Vec::new();
    for day in &plan.days {
        for seed in &plan.seeds {
            let of = |is: &dyn Fn(Kind) -> bool| {
                days.iter().find(|(j, _)| j.day == *day && j.seed == *seed && is(j.policy)).map(|(_, d)| d)
            };
            let module = of(&|kind| kind == Kind::Module);
            let late = of(&|kind| matches!(kind, Kind::LateSeeing { .. }));
            let plainest = of(&|kind| kind == PLAINEST);
            if let (Some(module), Some(late), Some(plainest)) = (module, late, plainest) {
                results.push(result(*day, *seed, module, late, plainest));
            }
        }
    }
    Ok(Trial { results, planned: plan.days.len() * plan.seeds.len() })
}

fn result(day: Day, seed: u64, module: &Played, late: &Played, plainest: &Played) -> Result {
    let figures = |played: &Played| Figures::of(&played.verdict);
    let wanted = gate::wanted(day, late.verdict.whole.share(), plainest.verdict.whole.share());
    let sizes = module.sizes.iter().map(|(_, s)| *s).fold(Sizes::default(), Sizes::max_of_each);
    Result {
        day,
        seed,
        module: figures(module),
        late: figures(late),
        plainest: figures(plainest),
        wanted,
        findings: gate::findings(day, &module.verdict, &late.verdict, &module.sizes, wanted),
        sizes: sizes.tables().to_vec(),
        tally: module.tally.clone(),
        verdict: module.verdict.clone(),
    }
}

#[cfg(test)]
mod tests;

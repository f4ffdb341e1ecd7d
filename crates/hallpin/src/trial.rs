//! `hallpin trial`: full-size scenarios over several seeds, and one verdict.

use std::io::Write;
use std::num::{NonZeroU64, NonZeroUsize};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use clap::builder::PossibleValue;
use clap::ValueEnum;
use hallpin_baselines::DEFAULT_LATE_SEEING_DELAY_MS;
use hallpin_fleet_test::day::{Day, Size};
use hallpin_fleet_test::play::{trial, Trial, TrialPlan};
use hallpin_fleet_test::report;
use hallpin_loadgen::chart;
use hallpin_simulation::time::Span;

use crate::failure::{self, Failure};
use crate::plane_parts::PlaneParts;
use crate::terminal::{on_signal, progress_bar};

/// Value of `--days`: a day of the trial by its name.
#[derive(Clone, Copy, Debug, PartialEq)]
struct DayArgument(Day);

impl ValueEnum for DayArgument {
    fn value_variants<'a>() -> &'a [Self] {
        const ALL: [DayArgument; 7] = [
            DayArgument(Day::Calm),
            DayArgument(Day::Roll),
            DayArgument(Day::Herd),
            DayArgument(Day::Zone),
            DayArgument(Day::Split),
            DayArgument(Day::Join),
            DayArgument(Day::Soak),
        ];
        &ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(self.0.name()))
    }
}

/// Command-line options.
#[derive(clap::Args)]
pub struct Options {
    /// Plays only calm, herd and split
    #[arg(long, conflicts_with = "days")]
    quick: bool,
    /// Plays only these days
    #[arg(long, value_enum, value_delimiter = ',', value_name = "DAYS")]
    days: Vec<DayArgument>,
    /// Plays each day with this many seeds, counting up from the first one
    #[arg(long, default_value = "1", value_name = "N")]
    seeds: NonZeroU64,
    /// The first seed
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    /// Maximum number of nodes, with the rest of a day scaled in proportion; 300 by default
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..))]
    nodes: Option<u32>,
    /// Maximum length of the soak; 45 minutes by default
    #[arg(long, value_name = "TIME")]
    soak: Option<humantime::Duration>,
    /// Delay of the late-seeing policy that sets the pass threshold
    #[arg(long, value_name = "TIME")]
    late: Option<humantime::Duration>,
    /// Parts of the plane between nodes that are on under the module policy
    #[arg(long, value_enum, default_value = "off", value_name = "PARTS")]
    plane: PlaneParts,
    /// Days played at the same time; by default as many as there are cores
    #[arg(long, value_name = "N")]
    jobs: Option<NonZeroUsize>,
    /// Writes all results as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Draws the worst day as an SVG chart: requests served, rejected and failed over time, and the incidents
    #[arg(long, value_name = "FILE")]
    chart: Option<PathBuf>,
}

impl Options {
    /// The plan that the options describe, or the first option that is out of range.
    fn plan(&self) -> Result<TrialPlan, Failure> {
        let late_ms = match self.late {
            None => DEFAULT_LATE_SEEING_DELAY_MS,
            Some(late) => u32::try_from(late.as_millis())
                .map_err(|_| Failure::Usage(format!("--late: up to 49 days expected, got {late}")))?,
        };
        let soak = self.soak.map(|soak| Span::from_secs(soak.as_secs_f64()));
        if soak.is_some_and(|soak| soak < Span::from_millis(1000)) {
            return Err(Failure::Usage("--soak: 1s or more expected".into()));
        }
        let days = match (self.quick, &self.days[..]) {
            (true, _) => Day::QUICK.to_vec(),
            (false, []) => Day::ALL.to_vec(),
            (false, chosen) => {
                Day::ALL.into_iter().filter(|day| chosen.contains(&DayArgument(*day))).collect()
            }
        };
        let seeds = (0..self.seeds.get()).map(|n| self.seed.wrapping_add(n)).collect();
        Ok(TrialPlan {
            days,
            seeds,
            size: Size { nodes: self.nodes, soak },
            late_seeing_delay_ms: late_ms,
            plane: self.plane.into(),
            jobs: self.jobs,
        })
    }
}

/// Plays the trial; the exit code is 1 if it failed, and 2 if it was cut off before anything failed.
pub fn run(options: &Options) -> Result<ExitCode, Failure> {
    let plan = options.plan()?;
    let stop = Arc::new(AtomicBool::new(false));
    let stop_requested = Arc::clone(&stop);
    on_signal(move || {
        stop_requested.store(true, Ordering::Relaxed);
        // Ignores the error: a closed standard error must not prevent the stop.
        let _ = writeln!(std::io::stderr(), "stopping: days already started are played to their end");
    });
    let (days, seeds) = (plan.days.len(), plan.seeds.len());
    eprintln!("{} days by three policies; Ctrl-C ends it early and prints the results so far", days * seeds);
    let days = (days * seeds * 3) as u64;
    let bar = progress_bar(days, "{bar:40} {pos}/{len} days, {elapsed} so far, {eta} to go");
    let played = trial(&plan, &stop, &|| bar.inc(1));
    bar.finish_and_clear();
    let trial = played?;
    print!("{}", report::text(&trial));
    draw_worst(options, &trial)?;
    if let Some(path) = &options.json {
        let text = serde_json::to_vec_pretty(&trial).map_err(|error| Failure::Json(path.clone(), error))?;
        failure::write_file(path, &text)?;
    }
    let failed = trial.results.iter().any(|r| !r.findings.is_empty());
    Ok(ExitCode::from(match (trial.passed(), failed) {
        (true, _) => 0,
        (false, true) => 1,
        (false, false) => 2,
    }))
}

/// Draws the worst result as a chart, if one is asked for and there is a result.
fn draw_worst(options: &Options, trial: &Trial) -> Result<(), Failure> {
    if let (Some(path), Some(worst)) = (&options.chart, trial.worst_result()) {
        let title = format!("fleet trial, {}, seed {}", worst.day.name(), worst.seed);
        chart::draw_run(&worst.verdict, &title, path)?;
    }
    Ok(())
}

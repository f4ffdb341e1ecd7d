//! `hallpin emulate`: runs a scenario and checks the result against the rules.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::builder::PossibleValue;
use clap::ValueEnum;
use hallpin_baselines::{PolicyKind, DEFAULT_LATE_SEEING_DELAY_MS};
use hallpin_emulator::{run_all, run_scenario, RunResult};
use hallpin_loadgen::{chart, table};
use hallpin_simulation::invariants::Verdict;

use crate::failure::{self, Failure};
use crate::plane_parts::PlaneParts;
use crate::sockets;
use crate::terminal::progress_bar;

/// Value of `--policy`: one policy, or all of them.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    One(PolicyKind),
    All,
}

impl ValueEnum for Policy {
    fn value_variants<'a>() -> &'a [Self] {
        const ALL: [Policy; 9] = [
            Policy::One(PolicyKind::Module),
            Policy::One(PolicyKind::Random),
            Policy::One(PolicyKind::LeastOfTwo),
            Policy::One(PolicyKind::Rendezvous),
            Policy::One(PolicyKind::BoundedLoad),
            Policy::One(PolicyKind::Maglev),
            Policy::One(PolicyKind::Omniscient),
            Policy::One(PolicyKind::LateSeeing { delay_ms: DEFAULT_LATE_SEEING_DELAY_MS }),
            Policy::All,
        ];
        &ALL
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            Policy::One(kind) => kind.name(),
            Policy::All => "all",
        }))
    }
}

/// Command-line options.
#[derive(clap::Args)]
pub struct Options {
    /// Scenario file
    #[arg(value_name = "SCENARIO")]
    file: PathBuf,
    /// Plays it in virtual time, as fast as the machine allows; this is the default
    #[arg(long = "virtual", conflicts_with = "sockets")]
    in_virtual_time: bool,
    /// Plays it on loopback sockets, with real nodes, in real time
    #[arg(long)]
    sockets: bool,
    /// Seed of the scenario's random draws
    #[arg(long, default_value_t = 1, value_name = "N")]
    seed: u64,
    /// Plays this many consecutive seeds, and prints medians and quartiles
    #[arg(long, value_name = "N", conflicts_with_all = ["trace", "chart"])]
    seeds: Option<u64>,
    /// Policy that routes the requests; may be given more than once
    #[arg(long, value_enum, default_value = "module", value_name = "POLICY")]
    policy: Vec<Policy>,
    /// Parts of the plane between nodes that are on, in virtual time and under the module policy
    #[arg(long, value_enum, default_value = "off", value_name = "PARTS", conflicts_with = "sockets")]
    plane: PlaneParts,
    /// Writes the verdicts as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Writes a trace of all events, one JSON object a line
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
    /// Draws the run as an SVG chart
    #[arg(long, value_name = "FILE")]
    chart: Option<PathBuf>,
}

/// Plays the scenario; the exit code is 1 if the module policy broke a rule in any run.
pub fn run(options: &Options) -> Result<ExitCode, Failure> {
    let scenario = failure::read_scenario(&options.file)?;
    let kinds = kinds(&options.policy);
    if options.sockets && kinds != [PolicyKind::Module] {
        return Err(Failure::Usage(
            "--sockets runs real nodes, which always use the module policy: omit --policy".into(),
        ));
    }
    let played = match (options.seeds, &kinds[..]) {
        (None, [kind]) => {
            let trace = options.trace.as_deref();
            let played = if options.sockets {
                sockets::play(&scenario, options.seed, trace)?.0
            } else {
                run_scenario(&scenario, options.seed, *kind, options.plane.into(), trace)?
            };
            println!("{}, seed {}, {}\n", scenario.name, played.seed, kind.name());
            println!("{}", table::run_summary(&played.verdict));
            if let Some(path) = &options.chart {
                let title = format!("{}, seed {}, {}", scenario.name, played.seed, kind.name());
                chart::draw_run(&played.verdict, &title, path)?;
            }
            let speed = played.events as f64 / played.wall_time.as_secs_f64().max(1e-9) / 1e6;
            eprintln!("{} events in {:.2?}, {speed:.2} million a second", played.events, played.wall_time);
            vec![played]
        }
        (seeds, _) => {
            if options.trace.is_some() || options.chart.is_some() {
                return Err(Failure::Usage("--trace and --chart need a single run: give one policy".into()));
            }
            let seeds: Vec<u64> = (options.seed..).take(seeds.unwrap_or(1).max(1) as usize).collect();
            let played = if options.sockets {
                seeds
                    .iter()
                    .map(|seed| Ok(sockets::play(&scenario, *seed, None)?.0))
                    .collect::<Result<_, Failure>>()?
            } else {
                let days = (seeds.len() * kinds.len()) as u64;
                let bar = progress_bar(days, "{bar:40} {pos}/{len} days, {eta} to go");
                let played = run_all(&scenario, &seeds, &kinds, options.plane.into(), &|| bar.inc(1));
                bar.finish_and_clear();
                played?
            };
            println!("{}, seeds {} to {}\n", scenario.name, seeds[0], seeds[seeds.len() - 1]);
            println!("{}", table::comparison(&played));
            played
        }
    };
    if let Some(path) = &options.json {
        let text = serde_json::to_vec_pretty(&played).map_err(|error| Failure::Json(path.clone(), error))?;
        failure::write_file(path, &text)?;
    }
    let broke_a_rule = |p: &RunResult| p.policy == PolicyKind::Module && !Verdict::is_clean(&p.verdict);
    Ok(ExitCode::from(u8::from(played.iter().any(broke_a_rule))))
}

/// The policies to run, in the order given, each once.
fn kinds(policies: &[Policy]) -> Vec<PolicyKind> {
    let mut kinds = Vec::new();
    for policy in policies {
        match policy {
            Policy::One(kind) => kinds.push(*kind),
            Policy::All => kinds.extend(PolicyKind::ALL),
        }
    }
    let mut seen = std::collections::BTreeSet::new();
    kinds.retain(|kind| seen.insert(*kind));
    kinds
}

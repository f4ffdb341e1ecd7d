//! Benchmarks several real nodes with the control plane between them off and on, and prints medians and worst values.
//!
//! `cargo build --release -p hallpin-node`, then
//! `cargo bench -p hallpin-fault-harness --bench processes -- --nodes 5,15,30 --seeds 3 --only crash`.
#![forbid(unsafe_code)]

mod budget;
mod crash;
mod metrics;
mod poll;
mod restart;
mod run;
mod scenarios;
mod table;

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, ValueEnum};
use hallpin_fault_harness::block_on;

use metrics::Metrics;
use run::{Failure, Run};

/// A benchmark scenario, run with the control plane off and on. Steps that need the control plane are skipped while it
/// is off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// Steady load; with the control plane on, then a crash, a restart, a partition and its healing
    Crash,
    /// A box joins; nodes are notified of it over two seconds
    Table,
    /// Two tenants demand twice the capacity of two boxes
    Use,
    /// One tenant raises its rate eightfold
    Overdrive,
    /// Seven nodes of ten are killed and started at once
    #[value(name = "restart-70")]
    Restart70,
    /// All nodes are killed and started at once
    #[value(name = "restart-100")]
    Restart100,
    /// Like restart-100, where boxes accept far more connections than are needed
    #[value(name = "restart-100-wide")]
    Restart100Wide,
}

/// Command-line options.
#[derive(Parser)]
struct Options {
    /// Numbers of nodes
    #[arg(long, value_delimiter = ',', default_value = "5,15,30")]
    nodes: Vec<u16>,
    /// Number of seeds for each number of nodes
    #[arg(long, default_value_t = 3)]
    seeds: u64,
    /// The first seed
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Runs only these scenarios
    #[arg(long, value_enum, value_delimiter = ',')]
    only: Vec<Scenario>,
    /// The node's program; by default the one in this benchmark's build folder
    #[arg(long)]
    program: Option<PathBuf>,
    /// Keeps the configurations, logs and state of the nodes in this folder, and the trace
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Passed by cargo to every benchmark
    #[arg(long, hide = true)]
    bench: bool,
}

fn main() -> ExitCode {
    let options = Options::parse();
    let scenarios = match options.only.as_slice() {
        [] => Scenario::value_variants().to_vec(),
        only => only.to_vec(),
    };
    let (mut metrics, mut failed) = (Metrics::default(), 0_u32);
    for nodes in &options.nodes {
        for seed in (options.first..).take(usize::try_from(options.seeds).unwrap_or(usize::MAX)) {
            for scenario in &scenarios {
                // The order alternates with the seed, in case the first run warms up the machine for the second.
                for control_plane_on in [seed % 2 == 0, seed % 2 != 0] {
                    let run = Run { scenario: *scenario, nodes: usize::from(*nodes), seed, control_plane_on };
                    if let Err(failure) = run_one(&run, &options, &mut metrics) {
                        println!("{run}: FAILED: {failure}");
                        failed += 1;
                    }
                }
            }
        }
    }
    println!("\n{metrics}\nfailed runs: {failed}");
    ExitCode::from(u8::from(failed > 0))
}

/// Runs one benchmark in its own runtime, which leaves nothing behind.
fn run_one(run: &Run, options: &Options, metrics: &mut Metrics) -> Result<(), Failure> {
    let folder = tempfile::tempdir()?;
    let keep = options.keep.as_ref().map(|keep| keep.join(run.to_string().replace([' ', ','], "-")));
    let trace = keep.as_ref().map(|keep| keep.join("trace.jsonl"));
    let folder = keep.unwrap_or_else(|| folder.path().into());
    let values = block_on(async {
        let mut bench = run.bench(options.program.clone(), folder).await?;
        let played = match run.scenario {
            Scenario::Crash => crash::play(&mut bench).await,
            Scenario::Table => table::play(&mut bench).await,
            Scenario::Use => budget::utilisation(&mut bench).await,
            Scenario::Overdrive => budget::overdrive(&mut bench).await,
            Scenario::Restart70 => restart::play(&mut bench, 0.7).await,
            Scenario::Restart100 | Scenario::Restart100Wide => restart::play(&mut bench, 1.0).await,
        };
        bench.end(played, trace.as_deref()).await
    })??;
    for value in values {
        println!("{run}: {value}");
        metrics.add(run, value);
    }
    Ok(())
}

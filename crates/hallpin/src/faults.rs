//! `hallpin faults run`: runs real nodes with faults between them and checks the harness's counts against the rules.

use std::path::PathBuf;
use std::process::ExitCode;

use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::Table;
use hallpin_emulator::process::Program;
use hallpin_fault_harness::invariants::{BoxCounts, Counts};
use hallpin_fault_harness::{block_on, play, Options as HarnessOptions, Report};

use crate::failure::{self, Failure};

/// Subcommands of `hallpin faults`.
#[derive(clap::Subcommand)]
pub enum Command {
    /// Plays a fault scenario; the exit code is 1 if a rule was broken or an expected result is missing
    #[command(after_help = "Examples:\n  \
        hallpin faults run scenarios/faults/five-of-seven.toml\n  \
        hallpin faults run scenarios/faults/all-silent-list.toml --seed 7 --trace run.jsonl --json run.json")]
    Run(Options),
}

/// Command-line options.
#[derive(clap::Args)]
pub struct Options {
    /// Fault scenario file
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Seed that replaces the file's
    #[arg(long, value_name = "N")]
    seed: Option<u64>,
    /// Writes the report as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Writes a trace of all events, one JSON object a line
    #[arg(long, value_name = "FILE")]
    trace: Option<PathBuf>,
    /// Keeps the nodes' configurations, logs and states in this folder
    #[arg(long, value_name = "FOLDER")]
    keep: Option<PathBuf>,
}

/// Plays a fault scenario and prints the counts and the verdict.
pub fn run(command: &Command) -> Result<ExitCode, Failure> {
    let Command::Run(options) = command;
    let mut spec = failure::read_fault_scenario(&options.file)?;
    spec.seed = options.seed.unwrap_or(spec.seed);
    let path = std::env::current_exe().map_err(|error| Failure::File("this program".into(), error))?;
    let folder = tempfile::tempdir().map_err(|error| Failure::File(std::env::temp_dir(), error))?;
    let harness_options = HarnessOptions {
        program: Program { path, arguments: vec!["node".into()] },
        folder: options.keep.clone().unwrap_or_else(|| folder.path().into()),
    };
    println!("{}, seed {}\n", spec.name, spec.seed);
    let played = block_on(play(spec, &harness_options, options.trace.as_deref()))
        .map_err(hallpin_fault_harness::HarnessError::from)?;
    if played.is_err() {
        // Keeps the folder: the error may name a node's log in it.
        let _ = folder.keep();
    }
    let report = played?;
    print_report(&report);
    if let Some(path) = &options.json {
        let text = serde_json::to_vec_pretty(&report).map_err(|error| Failure::Json(path.clone(), error))?;
        failure::write_file(path, &text)?;
    }
    Ok(ExitCode::from(u8::from(!report.is_good())))
}

/// Prints the tables, each violation, each missing result and the verdict.
fn print_report(report: &Report) {
    println!("{}\n\n{}\n", box_table(&report.counts), totals_table(&report.counts));
    for violation in &report.violations {
        println!("{:.6} s: {}: {}", violation.at.as_secs(), violation.rule, violation.what);
    }
    report.missing.iter().for_each(|what| println!("missing: {what}"));
    match report.violation_count {
        0 => println!("rules: kept"),
        broken => println!("rules: broken {broken} times"),
    }
}

/// One row per box: its connections, the most used by each tenant, and its answers by kind.
fn box_table(counts: &Counts) -> Table {
    let mut table = Table::new();
    let answers = ["hit", "miss", "wrote", "busy", "failed", "gone"];
    let head = ["box", "whole", "most open", "opened", "most used by tenant"].into_iter().chain(answers);
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header(head);
    for (index, box_counts) in counts.boxes.iter().enumerate() {
        let BoxCounts { connection_limit, peak_open, opened, peak_used, answers, .. } = box_counts;
        let peak_used: Vec<String> = peak_used.iter().map(u32::to_string).collect();
        let mut row = vec![
            format!("b{index}"),
            connection_limit.to_string(),
            peak_open.to_string(),
            opened.to_string(),
            peak_used.join(" "),
        ];
        use hallpin_fault_harness::trace::BoxAnswer::{Busy, Failed, Gone, Hit, Miss, Wrote};
        row.extend(
            [Hit, Miss, Wrote, Busy, Failed, Gone]
                .map(|answer| answers.get(&answer).unwrap_or(&0).to_string()),
        );
        table.add_row(row);
    }
    table
}

/// The counts that concern no single box.
fn totals_table(counts: &Counts) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header(["counted", ""]);
    for (name, asked, served) in &counts.tenants {
        table.add_row([format!("{name}: served of asked"), format!("{served} of {asked}")]);
    }
    for (outcome, count) in &counts.tries {
        table.add_row([format!("tries: {outcome:?}").to_lowercase(), count.to_string()]);
    }
    let (fetches, peak) = counts.fetches;
    table.add_row(["fetches at the planner, most at once".into(), format!("{fetches}, {peak}")]);
    let (calls, peak) = counts.list_calls;
    table.add_row(["calls to service discovery, most a second".into(), format!("{calls}, {peak}")]);
    let datagrams = &counts.datagrams;
    table.add_row([
        "datagrams, lost, most of one node a second".into(),
        format!("{}, {}, {}", datagrams.sent, datagrams.lost, datagrams.peak),
    ]);
    let process_starts: Vec<String> = counts.process_starts.iter().map(u32::to_string).collect();
    table.add_row(["incarnations of each node".into(), process_starts.join(" ")]);
    if let Some((tables, misrouted, all)) = counts.placed {
        let counted = format!("{tables}, {misrouted} of {all}");
        table.add_row(["tables, first attempts to no table's owner".into(), counted]);
    }
    table.add_row([
        "scheduling delay of the harness itself".into(),
        format!("{:.1} s", counts.scheduling_delay.as_secs()),
    ]);
    let full = counts.full_service.map_or("-".into(), |took| format!("{:.1} s", took.as_secs()));
    table.add_row(["full service after the last fault".into(), full]);
    table
}

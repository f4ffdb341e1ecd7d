//! The `hallpin` command: parses the command line, runs the subcommand and prints its result.

mod check;
mod emulate;
mod failure;
mod faults;
mod load;
mod plane_parts;
mod schema;
mod sockets;
mod terminal;
mod trial;
mod try_out;

use std::io;
use std::process::ExitCode;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;

use failure::Failure;

/// A cache-routing node, an emulated fleet for it, and tools to test and measure both.
///
/// Exit codes: 0 success, 1 a check failed (a rule broken, an objective missed), 2 the command could not be run.
/// Results go to standard output, logs to standard error; HALLPIN_LOG filters them.
#[derive(Parser)]
#[command(name = "hallpin", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs one real node
    #[command(
        after_help = "Examples:\n  hallpin node --config node.json\n  RELAY_CONFIG=node.json hallpin node --log json"
    )]
    Node(hallpin_node::Options),
    /// Starts an emulated fleet with real nodes, injects faults, and reports what happened
    #[command(
        after_help = "Examples:\n  hallpin try\n  hallpin try --seconds 60 --scenario scenarios/snow.toml"
    )]
    Try(try_out::Options),
    /// Plays a scenario and checks the result against the rules
    #[command(after_help = "Examples:\n  \
        hallpin emulate scenarios/quiet.toml\n  \
        hallpin emulate scenarios/snow.toml --seed 7 --trace day.jsonl --chart day.svg\n  \
        hallpin emulate scenarios/snow.toml --seeds 20 --policy all --json snow.json")]
    Emulate(emulate::Options),
    /// Plays the fleet trial: full-size scenarios over several seeds, and one verdict
    #[command(after_help = "Examples:\n  \
        hallpin trial\n  \
        hallpin trial --quick --seeds 3\n  \
        hallpin trial --days zone,join --seeds 20 --json trial.json --chart worst.svg\n  \
        hallpin trial --nodes 60 --soak 5m")]
    Trial(trial::Options),
    /// Sends open-loop load to nodes and reports the results, or with --read reports saved results
    #[command(after_help = "Examples:\n  \
        hallpin load --target 127.0.0.1:7001 --target 127.0.0.1:7002 --rate 5000 --length 30s\n  \
        hallpin load --target 127.0.0.1:7001 --bursts 10s:1s:5 --class lookup:9 --class report:1:64 --tries 3\n  \
        hallpin load --target 127.0.0.1:7001 --curve 0s:0.2,30s:1,60s:0.2 --length 60s --json day.json\n  \
        hallpin load --target 127.0.0.1:7001 --trace day.jsonl --save run.hlog\n  \
        hallpin load --read one.hlog two.hlog\n  \
        hallpin load --target stand-in --rate 100000 --connections 16 --pipeline 64")]
    Load(Box<load::Options>),
    /// Runs several real nodes with faults between them
    #[command(subcommand)]
    Faults(faults::Command),
    /// Validates files and prints errors as FILE:LINE:COLUMN: FIELD: MESSAGE
    #[command(after_help = "Examples:\n  hallpin check scenarios/*.toml")]
    Check(check::Options),
    /// Prints a documented template of a file, with every default
    #[command(
        after_help = "Examples:\n  hallpin schema scenario > mine.toml\n  hallpin schema scenario --json"
    )]
    Schema(schema::Options),
    /// Prints completions for a shell
    #[command(after_help = "Examples:\n  hallpin completions bash > /etc/bash_completion.d/hallpin")]
    Completions {
        /// The shell
        shell: Shell,
    },
}

fn run(command: Command) -> Result<ExitCode, Failure> {
    match command {
        Command::Node(options) => Ok(hallpin_node::main(options)),
        Command::Try(options) => try_out::run(&options),
        Command::Emulate(options) => emulate::run(&options),
        Command::Trial(options) => trial::run(&options),
        Command::Load(options) => load::run(&options),
        Command::Faults(command) => faults::run(&command),
        Command::Check(options) => check::run(&options),
        Command::Schema(options) => schema::run(&options),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Cli::command(), "hallpin", &mut io::stdout());
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("hallpin: {failure}");
            ExitCode::from(2)
        }
    }
}

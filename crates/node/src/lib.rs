//! The balancer node: accepts client connections, routes requests to cache servers and runs the balancer on real
//! sockets and clocks.

#![forbid(unsafe_code)]

mod answer;
mod budget;
mod buffer;
mod clock;
mod config;
mod discovery;
mod driver;
mod frontend;
mod lifecycle;
pub mod log;
mod memory;
mod message;
mod metrics;
mod opaque_ids;
mod operator;
mod plane;
mod port;
mod process;
mod reload;
mod roster;
mod stop;
mod succession;
mod system_error;
mod takeover;
mod transfer;
mod upstream;

use std::path::PathBuf;
use std::process::ExitCode;

use tokio::task::LocalSet;
use tracing::{error, info};

use config::NodeConfigError;

/// Command line options of a node.
#[derive(Clone, Debug, Default, clap::Args)]
pub struct Options {
    /// Configuration file; defaults to the path in RELAY_CONFIG
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Fleet configuration file; it enables the control plane between nodes, without it the node runs standalone
    #[arg(long, value_name = "FILE")]
    pub fleet: Option<PathBuf>,
    /// Format of log lines on standard error; HALLPIN_LOG filters them
    #[arg(long, value_name = "FORMAT", default_value = "human")]
    pub log: log::Format,
    /// Exit at once when standard input closes, so that a parent process leaves no nodes behind
    #[arg(long)]
    pub end_with_input: bool,
}

/// Why a node ended without a request to stop.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Config(#[from] NodeConfigError),
    #[error("runtime: {0}")]
    Runtime(#[source] std::io::Error),
    #[error("driver: its task ended unexpectedly")]
    DriverEnded,
}

impl Failure {
    /// Exit code: 2 for invalid options or configuration, 1 for a failure at run time.
    fn exit_code(&self) -> u8 {
        match self {
            Failure::Config(_) => 2,
            Failure::Runtime(_) | Failure::DriverEnded => 1,
        }
    }
}

/// Exits when standard input closes: the process that held its other end is gone, and with it whoever waited for
/// answers.
fn exit_when_input_closes() {
    let read = std::io::copy(&mut std::io::stdin().lock(), &mut std::io::sink());
    info!(?read, "standard input closed; exiting");
    std::process::exit(1);
}

fn block_on(options: Options) -> Result<(), Failure> {
    log::start(options.log)?;
    if options.end_with_input {
        std::thread::spawn(exit_when_input_closes);
    }
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(Failure::Runtime)?;
    LocalSet::new().block_on(&runtime, process::run(options))
}

/// Runs a node until it is asked to stop and logs a failure. The exit code is 0 after a requested stop, 1 if the node
/// failed at run time, 2 if its options or configuration are invalid.
pub fn main(options: Options) -> ExitCode {
    let Err(failure) = block_on(options) else { return ExitCode::SUCCESS };
    // Logging has not started if HALLPIN_LOG is not a valid filter.
    if tracing::enabled!(tracing::Level::ERROR) {
        error!("{failure}");
    } else {
        eprintln!("hallpin-node: {failure}");
    }
    ExitCode::from(failure.exit_code())
}

//! `hallpin check`: reads files and says what is wrong with them.

use std::path::PathBuf;
use std::process::ExitCode;

use crate::failure::{scenario, Failure};

/// What the command line says.
#[derive(clap::Args)]
pub struct Options {
    /// Files to read
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

/// Names every file that is at fault; the exit code is 2 if one is.
pub fn run(options: &Options) -> Result<ExitCode, Failure> {
    let mut bad = 0;
    for path in &options.files {
        if let Err(failure) = scenario(path) {
            println!("{failure}");
            bad += 1;
        }
    }
    Ok(if bad == 0 { ExitCode::SUCCESS } else { ExitCode::from(2) })
}

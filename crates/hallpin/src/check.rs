//! `hallpin check`: validates files. A file named `*.jsonl` is a recorded history and is checked against the rules; a
//! file in a folder named `faults` is a fault scenario; any other file is a scenario.

use std::fs::File;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use hallpin_loadgen::table;
use hallpin_simulation::history;

use crate::failure::{read_fault_scenario, read_scenario, Failure};

/// Command-line options.
#[derive(clap::Args)]
pub struct Options {
    /// Scenarios, fault scenarios or histories to validate
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

/// Prints every invalid file, and every rule that a history breaks. The exit code is 2 if a file is invalid, otherwise
/// 1 if a rule is broken.
pub fn run(options: &Options) -> Result<ExitCode, Failure> {
    let mut code = 0;
    for path in &options.files {
        let result = if path.extension().is_some_and(|end| end == "jsonl") {
            check_history(path)
        } else if path.parent().is_some_and(|folder| folder.ends_with("faults")) {
            read_fault_scenario(path).map(|_| 0)
        } else {
            read_scenario(path).map(|_| 0)
        };
        code = code.max(result.unwrap_or_else(|failure| {
            println!("{failure}");
            2
        }));
    }
    Ok(ExitCode::from(code))
}

/// Checks a history against the rules; returns 1 if it breaks one.
fn check_history(path: &Path) -> Result<u8, Failure> {
    let file = File::open(path).map_err(|error| Failure::File(path.into(), error))?;
    let verdict =
        history::check_history(BufReader::new(file)).map_err(|error| Failure::History(path.into(), error))?;
    for violation in &verdict.first_violations {
        println!(
            "{}: {}: {}: {}",
            path.display(),
            violation.at,
            table::rule_name(violation.rule),
            violation.what
        );
    }
    Ok(u8::from(!verdict.is_clean()))
}

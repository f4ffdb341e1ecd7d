//! Errors of the command, each printed as one line, and file access that names the file in its errors.

use std::path::{Path, PathBuf};

use hallpin_emulator::{RunError, SocketsError};
use hallpin_fault_harness::{HarnessError, Spec};
use hallpin_fleet_test::play::TrialError;
use hallpin_loadgen::chart::ChartError;
use hallpin_loadgen::load::LoadError;
use hallpin_simulation::history::HistoryError;
use hallpin_simulation::scenario::{Scenario, ScenarioFileError};

/// Error that ends the command with exit code 2.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A file cannot be read or written.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    File(PathBuf, #[source] std::io::Error),
    /// A file is not a valid scenario or fault scenario.
    #[error("{path}:{error}", path = .0.display(), error = .1)]
    InvalidScenario(PathBuf, #[source] ScenarioFileError),
    /// A history cannot be checked.
    #[error("{path}:{error}", path = .0.display(), error = .1)]
    History(PathBuf, #[source] HistoryError),
    /// A run in virtual time failed.
    #[error(transparent)]
    Play(#[from] RunError),
    /// A run on sockets failed.
    #[error(transparent)]
    Sockets(#[from] SocketsError),
    /// A fault scenario did not run to its end.
    #[error(transparent)]
    FaultHarness(#[from] HarnessError),
    /// A fleet trial failed.
    #[error(transparent)]
    Trial(#[from] TrialError),
    /// A load could not be run, or its results could not be saved or read back.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// A chart could not be drawn or written.
    #[error(transparent)]
    Chart(#[from] ChartError),
    /// A result cannot be encoded as JSON.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    Json(PathBuf, #[source] serde_json::Error),
    /// The options are invalid or contradict each other.
    #[error("{0}")]
    Usage(String),
}

/// Reads and validates a scenario.
pub fn read_scenario(path: &Path) -> Result<Scenario, Failure> {
    let text = std::fs::read_to_string(path).map_err(|error| Failure::File(path.into(), error))?;
    Scenario::parse(&text).map_err(|error| Failure::InvalidScenario(path.into(), error))
}

/// Reads and validates a fault scenario.
pub fn read_fault_scenario(path: &Path) -> Result<Spec, Failure> {
    let text = std::fs::read_to_string(path).map_err(|error| Failure::File(path.into(), error))?;
    Spec::parse(&text).map_err(|error| Failure::InvalidScenario(path.into(), error))
}

/// Writes a file.
pub fn write_file(path: &Path, text: &[u8]) -> Result<(), Failure> {
    std::fs::write(path, text).map_err(|error| Failure::File(path.into(), error))
}

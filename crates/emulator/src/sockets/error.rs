//! Errors of scenario runs on sockets.

use std::io;
use std::path::PathBuf;

use hallpin_simulation::run_spec::NodeId;
use hallpin_simulation::scenario::InvalidField;
use hallpin_simulation::world::WorldError;

/// Reason why a scenario run on sockets failed.
#[derive(Debug, thiserror::Error)]
pub enum SocketsError {
    /// The scenario is invalid.
    #[error("scenario: {0}")]
    Scenario(#[from] InvalidField),
    /// The simulated world cannot be built from the scenario.
    #[error("scenario: {0}")]
    World(#[from] WorldError),
    /// A file could not be written.
    #[error("{path}: {error}", path = .0.display(), error = .1)]
    File(PathBuf, #[source] io::Error),
    /// A node could not be started or ended unexpectedly.
    #[error("node {0}: {1}")]
    Node(NodeId, String),
    /// A socket could not be created.
    #[error("sockets: {0}")]
    Sockets(#[from] io::Error),
}

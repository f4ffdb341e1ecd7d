//! Reloading the configuration while the node runs: the address of discovery, and the contracts.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tracing::warn;

use crate::config::{Config, NodeConfigError};
use crate::plane::PlaneRuntime;

/// Reads the configuration again at each SIGHUP and applies the address of discovery and the contracts. Everything else
/// needs a restart.
pub async fn reload(
    path: PathBuf,
    mut hangup: Signal,
    discovery: watch::Sender<SocketAddr>,
    plane_runtime: Option<Rc<PlaneRuntime>>,
) {
    while hangup.recv().await.is_some() {
        match Config::read(&path).and_then(|config| config.settings().map(|_| config.discovery)) {
            Ok(address) => {
                discovery.send_if_modified(|current| std::mem::replace(current, address) != address);
            }
            Err(NodeConfigError(what)) => warn!("{what}; the old configuration stands"),
        }
        if let Some(plane_runtime) = &plane_runtime {
            plane_runtime.reload();
        }
    }
}

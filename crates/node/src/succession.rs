//! Decides which process accepts connections while an old and a new process share one address.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};
use tracing::{info, warn};

use crate::budget::Budget;
use crate::config::{config_error, NodeConfigError};
use crate::frontend::Frontend;
use crate::lifecycle::{Lifecycle, LifecycleState};
use crate::opaque_ids::SharedOpaqueIds;
use crate::port::{bind_when_free, Accept};
use crate::takeover::{self, Predecessor, Successor};

/// Takes the listening socket over from a process that serves at the address, or binds a new one.
///
/// # Errors
/// If there is no takeover and the address cannot be bound.
pub async fn listen(address: SocketAddr) -> Result<(TcpListener, Option<Predecessor>), NodeConfigError> {
    let path = takeover::socket_path(address).filter(|path| path.symlink_metadata().is_ok());
    if let Some(path) = path {
        match takeover::claim(&path, address).await {
            Ok((listener, predecessor)) => return Ok((listener, Some(predecessor))),
            Err(error) => warn!(path = %path.display(), %error, "no takeover; listening anew"),
        }
    }
    // The address is shared (SO_REUSEPORT): if a takeover fails, this process serves beside the running one.
    let listener = bind_when_free(address, true).await.map_err(config_error(&format!("listen {address}")))?;
    Ok((listener, None))
}

/// Waits until this process is ready, and notifies the predecessor, or until the predecessor accepts no more. The two
/// processes share the limits until the predecessor has exited.
pub async fn wait_for_turn(
    mut predecessor: Predecessor,
    lifecycle: &Lifecycle,
    budget: Rc<Budget>,
    ids: Rc<SharedOpaqueIds>,
) {
    budget.add_process();
    predecessor.share_ids(ids).await;
    let mut phases = lifecycle.subscribe();
    tokio::select! {
        // Never fails, as the lifecycle outlives this call.
        _ = phases.wait_for(|phase| phase.state == LifecycleState::Ready) => predecessor.notify_serving().await,
        () = predecessor.wait_until_closed() => info!("the predecessor accepts no more"),
    }
    tokio::task::spawn_local(async move {
        predecessor.wait_for_exit().await;
        info!("the predecessor is gone");
        budget.remove_process();
    });
}

/// Accepts clients except while a successor does, until `until` and including what is queued by then, or forever. Ends
/// earlier if the listener fails for good.
pub async fn accept(
    frontend: &Rc<Frontend>,
    listener: &impl Accept<Stream = TcpStream>,
    mut successor: watch::Receiver<Successor>,
    until: Option<Instant>,
) {
    loop {
        let serving = *successor.borrow_and_update() == Successor::Serving;
        tokio::select! {
            () = accept_clients(frontend, listener, until), if !serving => return,
            // Connections in the accept queue are left to the successor.
            () = sleep_until(until.unwrap_or_else(Instant::now)), if serving && until.is_some() => return,
            changed = successor.changed() => if changed.is_err() {
                // The socket is not offered any more, so no successor can come.
                return accept_clients(frontend, listener, until).await;
            }
        }
    }
}

/// Accepts until the listener fails for good, or until `until`.
async fn accept_clients(
    frontend: &Rc<Frontend>,
    listener: &impl Accept<Stream = TcpStream>,
    until: Option<Instant>,
) {
    match until {
        None => frontend.clone().accept(listener).await,
        Some(_) => frontend.clone().accept_until(listener, until).await,
    }
}

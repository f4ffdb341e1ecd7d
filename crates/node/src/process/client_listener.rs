//! The clients' listening socket, and its hand-over between processes.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tracing::info;

use super::LOG_TARGET;
use crate::budget::Budget;
use crate::config::config_error;
use crate::opaque_ids::SharedOpaqueIds;
use crate::takeover::{self, Offer, Predecessor, Successor};
use crate::Failure;

/// The clients' listening socket, and the processes that share it.
pub(super) struct ClientListener {
    pub(super) listener: Rc<TcpListener>,
    pub(super) address: SocketAddr,
    pub(super) predecessor: Cell<Option<Predecessor>>,
    pub(super) successor: Cell<Option<watch::Sender<Successor>>>,
    pub(super) successor_updates: watch::Receiver<Successor>,
    /// Whether this process has begun to accept: after a takeover it leaves connections to its predecessor at first.
    pub(super) accepts: Cell<bool>,
    pub(super) closed: Rc<Notify>,
}

impl ClientListener {
    pub(super) fn on(listener: TcpListener, predecessor: Option<Predecessor>) -> Result<Self, Failure> {
        let address = listener.local_addr().map_err(config_error("listen"))?;
        info!(target: LOG_TARGET, "listening on {address}");
        let (successor, successor_updates) = watch::channel(Successor::None);
        Ok(ClientListener {
            listener: Rc::new(listener),
            address,
            predecessor: Cell::new(predecessor),
            successor: Cell::new(Some(successor)),
            successor_updates,
            accepts: Cell::new(false),
            closed: Rc::new(Notify::new()),
        })
    }

    /// Offers the socket to a process that is started to replace this one.
    pub(super) fn offer(&self, budget: Rc<Budget>, ids: Rc<SharedOpaqueIds>) {
        let Some(path) = takeover::socket_path(self.address) else { return };
        let Some(successor) = self.successor.take() else { return };
        let socket = Rc::downgrade(&self.listener);
        let offer = Offer { path, socket, budget, ids, successor, closed: self.closed.clone() };
        tokio::task::spawn_local(offer.run());
    }
}

//! Client connections: receives commands and sends the answers in the order of the commands.

mod client;
mod closing;
mod commands;
mod input;
mod kernel_backlog;
mod output;
mod output_buffer;
mod serve;
mod shared;
mod skipped_command;
mod stage;
#[cfg(test)]
mod tests;
mod unread_input;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout, timeout_at, Instant};

use client::Client;
pub use output::error_delay;
pub use shared::Frontend;
use shared::{EvictionCandidate, Rank};

use crate::port::{Accept, BACKLOG};
use crate::system_error::{AcceptRetry, NextAccept, Operation, ACCEPT_PAUSE};

/// Most pauses after failures of `accept` once the time to accept is over, 0.2 s in all: by then the connections
/// between requests are closed and have freed their descriptors, or `accept` fails for another reason and must not
/// delay the end.
const MAX_PAUSES_AT_END: u32 = 40;

impl Frontend {
    /// Accepts until the listener fails for good. A connection accepted by the kernel counts as accepted by the node,
    /// so a full node closes other connections to make room.
    pub async fn accept(self: Rc<Self>, listener: &impl Accept<Stream = TcpStream>) {
        self.accept_until(listener, None).await;
    }

    /// Accepts until `until`, and then whatever is still queued: closing a listener resets its queued connections,
    /// and requests on them count as accepted. Ends earlier if the listener fails for good.
    pub async fn accept_until(
        self: Rc<Self>,
        listener: &impl Accept<Stream = TcpStream>,
        until: Option<Instant>,
    ) {
        let mut retry = AcceptRetry::new(Operation::AcceptClient);
        // After `until` no more than a full queue is accepted, so a continuing flood does not delay the end.
        let (mut remaining, mut pauses) = (BACKLOG, MAX_PAUSES_AT_END);
        while remaining > 0 && pauses > 0 {
            let Some(accepted) = next_connection(listener, until).await else { return };
            let past_end = u32::from(until.is_some_and(|until| until <= Instant::now()));
            remaining -= past_end;
            match accepted {
                Ok(stream) => {
                    retry.accepted();
                    self.admit(stream);
                }
                Err(error) => match retry.failed(&error) {
                    NextAccept::Immediately => {}
                    next @ (NextAccept::AfterPause | NextAccept::AfterFreeingDescriptors) => {
                        if next == NextAccept::AfterFreeingDescriptors {
                            self.free_descriptors();
                        }
                        pauses -= past_end;
                        sleep(ACCEPT_PAUSE).await;
                    }
                    NextAccept::Never => return,
                },
            }
            // Hundreds of connections may arrive at once; lets the accepted ones run in between.
            tokio::task::yield_now().await;
        }
    }

    /// Serves a connection if there is capacity for it or another can be closed.
    fn admit(self: &Rc<Self>, stream: TcpStream) {
        // From the threshold on, each new connection closes another one if it may: if clients that keep their
        // connections after a request filled the limit, nobody could connect.
        let has_slot = self.open.get() < self.budget.idle_close_threshold() || self.make_room();
        // With every connection in use, the remaining descriptors are for cache servers: the new connection is closed
        // at once, before anything is read from it.
        if !has_slot && self.open.get() >= self.budget.max_client_connections() && !self.evict_stalled() {
            return self.record_refused();
        }
        // Counted here, as the task starts later.
        self.open.set(self.open.get() + 1);
        let (sequence, since) = (self.take_number(), Instant::now());
        let close = Rc::new(Notify::new());
        let candidate = EvictionCandidate { since, close: close.clone() };
        self.candidates.borrow_mut().insert((Rank::Untrusted, sequence), candidate);
        tokio::task::spawn_local(self.clone().connection(stream, sequence, since, close));
    }

    /// Closes one client connection and one cached connection to a cache server, if any may be closed.
    fn free_descriptors(&self) {
        let _ = self.make_room() || self.evict_stalled();
        self.upstream.close_oldest();
    }

    async fn connection(self: Rc<Self>, stream: TcpStream, sequence: u64, since: Instant, close: Rc<Notify>) {
        Client::new(self, stream, sequence, since, close).serve().await;
    }
}

/// The next connection, or `None` if the time is up and none is queued.
async fn next_connection(
    listener: &impl Accept<Stream = TcpStream>,
    until: Option<Instant>,
) -> Option<io::Result<TcpStream>> {
    let Some(until) = until else { return Some(listener.accept().await) };
    if let Ok(accepted) = timeout_at(until, listener.accept()).await {
        return Some(accepted);
    }
    // After this yield the runtime has been notified of everything that arrived in time.
    tokio::task::yield_now().await;
    timeout(Duration::ZERO, listener.accept()).await.ok()
}

//! Owns the plane in a node: moves datagrams, drives the timer, and passes on events.

use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use hallpin_control_plane::PlaneOutput;
use hallpin_membership::names::Moment;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::{sleep, sleep_until, Instant};
use tracing::{error, info, warn};

use super::boxes::Boxes;
use super::evidence_timer::EvidenceTimer;
use super::machines::NodePlane;
use super::metrics;
use super::refusal_log::RefusalLog;
use super::socket::{Addresses, Socket};
use super::state::{CachedState, StateWriter, StoredTable, StoredView};
use super::usage::Usage;
use crate::log::LogThrottle;
use crate::message::Message;

/// Interval at which this node's observations of boxes are passed to membership.
pub(super) const GATHER_INTERVAL: Duration = Duration::from_millis(200);
/// Shortest wait of the plane's timer, whatever deadlines its machines request.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// The plane of this node with its socket, timer and bookkeeping.
pub struct PlaneRuntime {
    pub(super) started: Instant,
    pub(super) listen: SocketAddr,
    pub(super) addresses: RefCell<Option<Addresses>>,
    pub(super) socket: OnceCell<Socket>,
    pub(super) plane: RefCell<NodePlane>,
    pub(super) boxes: RefCell<Boxes>,
    /// When observations are next passed to membership.
    pub(super) gather_at: Cell<Moment>,
    /// Wakes the loop after a call from the node, as deadlines may have changed.
    pub(super) wake: Notify,
    pub(super) refusal_log: RefCell<RefusalLog>,
    pub(super) log_throttle: LogThrottle,
    /// Number of alive nodes in the last view.
    pub(super) alive: Cell<usize>,
    /// Schedules notifications of the balancer about peers' evidence.
    pub(super) evidence_timer: EvidenceTimer,
    /// Path of the contracts file.
    pub(super) contracts: Option<PathBuf>,
    /// Connections that a box accepts from all nodes together; `None` without budgets.
    pub(super) connections_per_box: Option<u32>,
    pub(super) usage: RefCell<Usage>,
    /// When open connections are next checked against the allotments, shortly before the lease ends that the first of
    /// them depend on; `None` if there is no such lease.
    pub(super) next_expiry: Cell<Option<Moment>>,
    /// Closes idle connections that were cut.
    pub(super) close_cut_idle_connections: OnceCell<Box<dyn Fn()>>,
    /// How long after the start no datagram is sent or received.
    pub(super) quiet_period: Duration,
    pub(super) state: RefCell<Option<StateWriter>>,
    pub(super) messages: UnboundedSender<Message>,
    /// Datagrams that the socket did not accept.
    pub(super) lost_datagrams: Cell<u64>,
}

impl PlaneRuntime {
    /// The time since the start by this node's monotonic clock, which continues while the process is paused.
    pub(super) fn now(&self) -> Moment {
        self.started.elapsed()
    }

    /// Runs the receive, timer and send loop until the node ends. Ends earlier if the address cannot be bound.
    pub async fn run(self: Rc<Self>) {
        let Some(addresses) = self.addresses.take() else { return };
        sleep_until(self.started + self.quiet_period).await;
        if let Some(state) = &*self.state.borrow() {
            state.quiet_is_over();
        }
        match Socket::bind(self.listen, addresses).await {
            Ok(socket) => drop(self.socket.set(socket)),
            Err(error) => return error!(listen = %self.listen, %error, "no plane: its address cannot be had"),
        }
        info!(listen = %self.listen, "the plane between nodes is on");
        let mut pause = Duration::ZERO;
        loop {
            self.advance();
            self.flush();
            let (wakeup, reading) = (self.next_wakeup(), self.readable(pause));
            tokio::select! {
                () = reading => pause = self.read(),
                () = self.wake.notified() => {}
                () = sleep_until(wakeup) => {}
            }
            // Requests are processed between two batches of datagrams, however many arrive.
            tokio::task::yield_now().await;
        }
    }

    async fn readable(&self, pause: Duration) {
        if !pause.is_zero() {
            sleep(pause).await;
        }
        match self.socket.get() {
            Some(socket) => socket.readable().await,
            None => std::future::pending().await,
        }
    }

    /// Reads one batch of datagrams; returns the pause before the next, 0 if none is required.
    fn read(&self) -> Duration {
        let Some(socket) = self.socket.get() else { return Duration::ZERO };
        let pause = socket.read(|sender, bytes| {
            // Leases rely on the clock being read after the datagram has arrived.
            let now = self.now();
            let result = self.plane.borrow_mut().receive(now, sender, bytes);
            if let Err(why) = result {
                if let Some(dropped) = self.refusal_log.borrow_mut().record(Instant::now()) {
                    warn!(%why, dropped, "datagrams dropped; the last was {why}");
                }
            }
        });
        pause.unwrap_or_default()
    }

    fn next_wakeup(&self) -> Instant {
        let due = self.plane.borrow().due();
        let times = [due, self.next_expiry.get(), Some(self.gather_at.get())];
        let wakeup = times.into_iter().flatten().min().unwrap_or_default();
        self.started + wakeup.max(self.now() + MIN_WAIT)
    }

    fn advance(&self) {
        let now = self.now();
        if self.next_expiry.get().is_some_and(|expiry| expiry <= now) {
            self.close_all_excess();
        }
        let mut plane = self.plane.borrow_mut();
        if now >= self.gather_at.get() {
            self.gather_at.set(now + GATHER_INTERVAL);
            for fact in self.boxes.borrow_mut().take_facts() {
                plane.peers().observe(now, fact);
            }
            if self.evidence_timer.take_due(now) {
                self.notify_evidence(&plane.peers().evidence(now));
            }
            if let Some(state) = &mut *self.state.borrow_mut() {
                state.write_if_due(now, || snapshot(&mut plane));
            }
        }
        if plane.due().is_some_and(|due| due <= now) {
            plane.tick(now);
        }
    }

    /// Takes the plane's outputs: sends datagrams and handles events.
    pub(super) fn flush(&self) {
        let outputs = self.plane.borrow_mut().take(self.now());
        for output in outputs {
            match output {
                PlaneOutput::Datagram { to, bytes } => {
                    let sent = self.socket.get().is_some_and(|socket| socket.send(to, &bytes));
                    self.lost_datagrams.set(self.lost_datagrams.get() + u64::from(!sent));
                }
                PlaneOutput::Event(event) => self.handle_event(event),
            }
        }
    }

    /// Writes the plane's metrics.
    pub(super) fn write_metrics(&self, out: &mut String) {
        let (now, mut plane) = (self.now(), self.plane.borrow_mut());
        metrics::write_plane(out, plane.view(), plane.counters(), self.lost_datagrams.get());
        if let Some(placement) = plane.placement() {
            metrics::write_placement(out, placement, now);
        }
        if let Some(budgets) = plane.budgets() {
            let resources: Vec<_> = self
                .connections_per_box
                .map(|connections| self.boxes.borrow().capacities(connections))
                .unwrap_or_default()
                .into_keys()
                .collect();
            metrics::write_budgets(out, budgets, &resources, &mut self.usage.borrow_mut(), now);
        }
    }
}

/// The plane's state that is stored across restarts.
fn snapshot(plane: &mut NodePlane) -> CachedState {
    let view = StoredView(plane.view().members.values().map(|member| member.node_incarnation).collect());
    CachedState { table: plane.placement().map(|placement| StoredTable(placement.stored())), view }
}

//! A fake box: its process generations, its slots, its cached copies, and its fetches in flight.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hallpin_emulator::loopback;
use hallpin_protocol::{Command, Verb};
use hallpin_simulation::time::{Span, Time};
use tokio::sync::{watch, Semaphore};
use tokio::time::sleep;

use super::connection;
use super::Planner;
use crate::spec::Boxes;
use crate::trace::{BoxAnswer, Event, Recorder};

/// Delay before the next accept after one that failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// One box: its address, and its process while that runs.
pub struct CacheBox {
    /// Index of the box in the scenario.
    pub at: usize,
    /// Listen address of the box's process.
    pub address: SocketAddr,
    pub(super) recorder: Rc<Recorder>,
    pub(super) tenants: Vec<String>,
    spec: Boxes,
    planner: Rc<Planner>,
    generation: watch::Sender<ProcessGeneration>,
    slots: Semaphore,
    /// Number of commands that wait for a slot.
    waiting: Cell<u32>,
    open_connections: Cell<u32>,
    /// Number of connections accepted since the run started.
    connections: Cell<u64>,
    /// Start time of the process; `None` if it counts as started before the run, or was never started.
    started: Cell<Option<Time>>,
    /// Fetches in flight by key; each becomes true when the fetch is done.
    fetches: RefCell<BTreeMap<u64, watch::Receiver<bool>>>,
}

/// Generation of the box's process, and whether it is running.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessGeneration {
    number: u32,
    up: bool,
}

impl ProcessGeneration {
    /// Whether the box's process is running.
    pub fn is_up(self) -> bool {
        self.up
    }
}

impl CacheBox {
    /// A box whose process is not running yet.
    pub fn new(
        at: usize,
        spec: Boxes,
        address: SocketAddr,
        tenants: Vec<String>,
        planner: Rc<Planner>,
        recorder: Rc<Recorder>,
    ) -> Rc<Self> {
        let slots = Semaphore::new(spec.slots.max(1) as usize);
        Rc::new(CacheBox {
            at,
            address,
            recorder,
            tenants,
            spec,
            planner,
            generation: watch::Sender::new(ProcessGeneration { number: 0, up: false }),
            slots,
            waiting: Cell::new(0),
            open_connections: Cell::new(0),
            connections: Cell::new(0),
            started: Cell::new(None),
            fetches: RefCell::default(),
        })
    }

    /// The current process generation, updated at each start and end.
    pub fn generations(&self) -> watch::Receiver<ProcessGeneration> {
        self.generation.subscribe()
    }

    /// Start time of the process, if it was started during the run.
    pub fn started(&self) -> Option<Time> {
        self.started.get()
    }

    /// Starts the process with an empty store. With `started_before_run`, it counts as started before the run, and so
    /// as warm.
    pub fn start(&self, started_before_run: bool) {
        self.stop();
        self.planner.clear(self.at);
        self.started.set((!started_before_run).then(|| self.recorder.now()));
        let life = self.generation.borrow().number + 1;
        let whole = self.spec.connections;
        self.recorder.record(Event::BoxUp { of: self.at, life, whole, cold: !started_before_run });
        self.generation.send_replace(ProcessGeneration { number: life, up: true });
    }

    /// Ends the process; all its connections are reset.
    pub fn stop(&self) {
        let ProcessGeneration { number, up } = *self.generation.borrow();
        if up {
            self.fetches.borrow_mut().clear();
            self.generation.send_replace(ProcessGeneration { number, up: false });
            self.recorder.record(Event::BoxDown { of: self.at, life: number });
        }
    }

    /// Accepts connections while the box's process is running, until the future is dropped.
    pub async fn run(self: Rc<Self>) {
        let mut generations = self.generations();
        loop {
            let Ok(generation) = generations.wait_for(|g| g.up).await.map(|g| *g) else { return };
            tokio::select! {
                () = self.accept(generation) => {}
                changed = generations.wait_for(|now| *now != generation) => if changed.is_err() { return },
            }
        }
    }

    async fn accept(self: &Rc<Self>, life: ProcessGeneration) {
        let listener = loopback::listen(self.address).await;
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    let Some(node) = node_of(from.ip()) else { continue };
                    let connection = connection::run(self.clone(), life, node, stream);
                    tokio::task::spawn_local(connection);
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            }
        }
    }

    /// Counts an accepted connection; returns its number, and whether it exceeds the connection limit.
    pub(super) fn opened(&self, node: usize) -> (u64, bool) {
        let connection = self.connections.get();
        self.connections.set(connection + 1);
        self.open_connections.set(self.open_connections.get() + 1);
        self.recorder.record(Event::Opened { of: self.at, node, connection });
        (connection, self.open_connections.get() > self.spec.connections)
    }

    pub(super) fn closed(&self, connection: u64) {
        self.open_connections.set(self.open_connections.get().saturating_sub(1));
        self.recorder.record(Event::Closed { of: self.at, connection });
    }

    /// Executes a command; returns how it was answered, and the resulting version of the key.
    pub(super) async fn work(self: &Rc<Self>, command: &Command) -> (BoxAnswer, u64) {
        if self.waiting.get() >= self.spec.waiting && self.slots.available_permits() == 0 {
            return (BoxAnswer::Busy, 0);
        }
        {
            let _place = QueuePlace::take(&self.waiting);
            // The semaphore is never closed.
            let Ok(slot) = self.slots.acquire().await else { return (BoxAnswer::Busy, 0) };
            drop(_place);
            sleep(Duration::from_micros(self.spec.work.0)).await;
            drop(slot);
        }
        let key = command.key.0;
        if command.verb == Verb::Set {
            return (BoxAnswer::Wrote, self.planner.write(self.at, key, self.is_cold()).await);
        }
        if let Some(version) = self.planner.cached_version(self.at, key) {
            return (BoxAnswer::Hit, version);
        }
        let mut fetch = self.fetch(key);
        // Fails only if the box's process ends, which breaks off its fetches.
        let done = fetch.wait_for(|done| *done).await.is_ok();
        let answer = if done { BoxAnswer::Miss } else { BoxAnswer::Failed };
        (answer, self.planner.cached_version(self.at, key).unwrap_or(0))
    }

    /// The fetch of a key that is in flight, or a new one, which goes on even if nobody waits for it.
    fn fetch(self: &Rc<Self>, key: u64) -> watch::Receiver<bool> {
        if let Some(in_flight) = self.fetches.borrow().get(&key) {
            return in_flight.clone();
        }
        let (done, is_done) = watch::channel(false);
        self.fetches.borrow_mut().insert(key, is_done.clone());
        let (cache_box, cold, mut generations) = (self.clone(), self.is_cold(), self.generations());
        let generation = *generations.borrow_and_update();
        tokio::task::spawn_local(async move {
            tokio::select! {
                _ = cache_box.planner.fetch(cache_box.at, key, cold) => {
                    cache_box.fetches.borrow_mut().remove(&key);
                    done.send_replace(true);
                }
                _ = generations.wait_for(|now| *now != generation) => {}
            }
        });
        is_done
    }

    fn is_cold(&self) -> bool {
        let since = |started: Time| self.recorder.now().since(started);
        self.started.get().map_or(Span(u64::MAX), since) < self.spec.cold
    }
}

/// A place in the queue for a slot, given back when it is dropped.
struct QueuePlace<'a>(&'a Cell<u32>);

impl<'a> QueuePlace<'a> {
    fn take(waiting: &'a Cell<u32>) -> Self {
        waiting.set(waiting.get() + 1);
        QueuePlace(waiting)
    }
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// The index of the node with this address: the last octet is the index plus 1.
fn node_of(ip: IpAddr) -> Option<usize> {
    match ip {
        IpAddr::V4(ip) => usize::from(ip.octets()[3]).checked_sub(1),
        IpAddr::V6(_) => None,
    }
}

//! Fake service discovery: the endpoint list, and an agent on each node's host that receives each change with a delay.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hallpin_emulator::agent::Agent;
use hallpin_simulation::chance::Chance;
use hallpin_simulation::list::{self, Listing, News, Phase};
use hallpin_simulation::time::{Span, Time};
use serde_json::{json, Value};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::spec::Spec;
use crate::trace::{Event, Recorder};

/// The endpoint list and its agents.
pub struct Discovery {
    recorder: Rc<Recorder>,
    spec: Rc<Spec>,
    list: RefCell<list::List>,
    /// The revision that each node's agent has.
    agents: Vec<watch::Sender<u64>>,
    /// 1 while the agents are silent, 0 otherwise.
    silence: watch::Sender<u32>,
    rng: RefCell<Chance>,
    /// `box_addresses[node][box]` is the address at which a node reaches a box.
    box_addresses: Vec<Vec<SocketAddr>>,
    /// Unix time of the harness's start, in milliseconds.
    started_unix_ms: u64,
}

impl Discovery {
    /// An empty endpoint list.
    pub fn new(spec: Rc<Spec>, box_addresses: Vec<Vec<SocketAddr>>, recorder: Rc<Recorder>) -> Rc<Self> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_unix_ms = unix.as_millis().saturating_sub(u128::from(recorder.now().0 / 1000));
        Rc::new(Discovery {
            recorder,
            list: RefCell::default(),
            agents: box_addresses.iter().map(|_| watch::Sender::new(0)).collect(),
            silence: watch::Sender::new(0),
            rng: RefCell::new(Chance::new(spec.seed, "list")),
            spec,
            box_addresses,
            started_unix_ms: u64::try_from(started_unix_ms).unwrap_or(0),
        })
    }

    /// Sets the phase of a box; each agent receives the change after its own delay.
    pub fn set(self: &Rc<Self>, of: usize, phase: Phase, started: Option<Time>) {
        let listing = Listing { cache_box: of, phase, started };
        let Some(revision) = self.list.borrow_mut().set(listing) else { return };
        self.recorder.record(Event::Listed { revision, of, phase });
        for node in 0..self.agents.len() {
            let delay = self.rng.borrow_mut().between(0.0, self.spec.list.spread.as_secs());
            if delay == 0.0 {
                self.deliver(node, revision);
                continue;
            }
            let discovery = self.clone();
            tokio::task::spawn_local(async move {
                sleep(Duration::from_micros(Span::from_secs(delay).0)).await;
                discovery.deliver(node, revision);
            });
        }
    }

    /// Sets whether the agents are silent.
    pub fn set_silent(&self, silent: bool) {
        self.silence.send_replace(u32::from(silent));
    }

    /// The agent on a node's host.
    pub fn agent(self: &Rc<Self>, node: usize) -> impl Agent {
        NodeAgent { discovery: self.clone(), node }
    }

    /// The endpoint list that a node has at its start, recorded as a notification.
    pub fn initial_list(&self, node: usize) -> Value {
        let update = self.list.borrow().until(*self.agents[node].borrow()).whole();
        self.notify(node, &update)
    }

    /// Unix time in milliseconds of a time on the harness's clock.
    pub fn unix_ms(&self, at: Time) -> u64 {
        self.started_unix_ms + at.0 / 1000
    }

    fn deliver(&self, node: usize, revision: u64) {
        self.agents[node].send_if_modified(|current| {
            let newer = revision > *current;
            *current = revision.max(*current);
            newer
        });
    }

    fn notify(&self, node: usize, update: &News) -> Value {
        let entries = update.listings.iter().map(|l| (l.cache_box, l.phase)).collect();
        let News { revision, complete, .. } = *update;
        self.recorder.record(Event::Told { node, revision, complete, entries });
        let boxes: Vec<_> = self.spec.each_box().collect();
        let member = |l: &Listing| {
            json!({
                "id": format!("b{}", l.cache_box), "host_port": self.box_addresses[node][l.cache_box],
                "locality": boxes[l.cache_box].depot.as_ref(), "flavor": "box", "cell": l.cache_box, "phase": l.phase,
                "size": f64::from(boxes[l.cache_box].slots),
                "up_since_ms": l.started.map_or(0, |at| self.unix_ms(at)),
            })
        };
        let members: Vec<Value> = update.listings.iter().map(member).collect();
        json!({"revision": revision, "complete": complete, "members": members})
    }
}

#[derive(Clone)]
struct NodeAgent {
    discovery: Rc<Discovery>,
    node: usize,
}

impl Agent for NodeAgent {
    fn silence(&self) -> watch::Receiver<u32> {
        self.discovery.silence.subscribe()
    }

    fn revision(&self) -> watch::Receiver<u64> {
        self.discovery.agents[self.node].subscribe()
    }

    fn asked(&self, _after: Option<u64>) {
        self.discovery.recorder.record(Event::ListAsked { node: self.node });
    }

    fn tell(&self, after: Option<u64>) -> String {
        let (list, revision) = (self.discovery.list.borrow(), *self.discovery.agents[self.node].borrow());
        let update = match after {
            Some(after) => list.between(after, revision),
            None => list.until(revision).whole(),
        };
        self.discovery.notify(self.node, &update).to_string()
    }
}

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
pub struct List {
    recorder: Rc<Recorder>,
    spec: Rc<Spec>,
    list: RefCell<list::List>,
    /// The revision that each node's agent has.
    agents: Vec<watch::Sender<u64>>,
    silence: watch::Sender<u32>,
    chance: RefCell<Chance>,
    /// `seen[node][box]` is the address at which a node reaches a box.
    seen: Vec<Vec<SocketAddr>>,
    /// Unix time of the harness's start, in milliseconds.
    began_ms: u64,
}

impl List {
    /// An empty endpoint list.
    pub fn new(spec: Rc<Spec>, seen: Vec<Vec<SocketAddr>>, recorder: Rc<Recorder>) -> Rc<Self> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let began = unix.as_millis().saturating_sub(u128::from(recorder.now().0 / 1000));
        Rc::new(List {
            recorder,
            list: RefCell::default(),
            agents: seen.iter().map(|_| watch::Sender::new(0)).collect(),
            silence: watch::Sender::new(0),
            chance: RefCell::new(Chance::new(spec.seed, "list")),
            spec,
            seen,
            began_ms: u64::try_from(began).unwrap_or(0),
        })
    }

    /// Sets the phase of a box; each agent receives the change after its own delay.
    pub fn set(self: &Rc<Self>, of: usize, phase: Phase, started: Option<Time>) {
        let listing = Listing { cache_box: of, phase, started };
        let Some(revision) = self.list.borrow_mut().set(listing) else { return };
        self.recorder.record(Event::Listed { revision, of, phase });
        for node in 0..self.agents.len() {
            let late = self.chance.borrow_mut().between(0.0, self.spec.list.spread.as_secs());
            if late == 0.0 {
                self.send(node, revision);
                continue;
            }
            let list = self.clone();
            tokio::task::spawn_local(async move {
                sleep(Duration::from_micros(Span::from_secs(late).0)).await;
                list.send(node, revision);
            });
        }
    }

    /// Sets whether the agents are silent.
    pub fn silence(&self, silent: bool) {
        self.silence.send_replace(u32::from(silent));
    }

    /// The agent on a node's host.
    pub fn agent(self: &Rc<Self>, node: usize) -> impl Agent {
        NodeAgent { list: self.clone(), node }
    }

    /// The endpoint list that a node has at its start, recorded as a notification.
    pub fn known(&self, node: usize) -> Value {
        let news = self.list.borrow().until(*self.agents[node].borrow()).whole();
        self.told(node, &news)
    }

    /// Unix time in milliseconds of a time on the harness's clock.
    pub fn unix_ms(&self, at: Time) -> u64 {
        self.began_ms + at.0 / 1000
    }

    fn send(&self, node: usize, revision: u64) {
        self.agents[node].send_if_modified(|has| {
            let newer = revision > *has;
            *has = revision.max(*has);
            newer
        });
    }

    fn told(&self, node: usize, news: &News) -> Value {
        let entries = news.listings.iter().map(|l| (l.cache_box, l.phase)).collect();
        let News { revision, complete, .. } = *news;
        self.recorder.record(Event::Told { node, revision, complete, entries });
        let boxes: Vec<_> = self.spec.each_box().collect();
        let member = |l: &Listing| {
            json!({
                "id": format!("b{}", l.cache_box), "host_port": self.seen[node][l.cache_box],
                "locality": boxes[l.cache_box].depot.as_ref(), "flavor": "box", "cell": l.cache_box, "phase": l.phase,
                "size": f64::from(boxes[l.cache_box].slots),
                "up_since_ms": l.started.map_or(0, |at| self.unix_ms(at)),
            })
        };
        let members: Vec<Value> = news.listings.iter().map(member).collect();
        json!({"revision": revision, "complete": complete, "members": members})
    }
}

#[derive(Clone)]
struct NodeAgent {
    list: Rc<List>,
    node: usize,
}

impl Agent for NodeAgent {
    fn silence(&self) -> watch::Receiver<u32> {
        self.list.silence.subscribe()
    }

    fn revision(&self) -> watch::Receiver<u64> {
        self.list.agents[self.node].subscribe()
    }

    fn asked(&self, _after: Option<u64>) {
        self.list.recorder.record(Event::ListAsked { node: self.node });
    }

    fn tell(&self, after: Option<u64>) -> String {
        let (list, has) = (self.list.list.borrow(), *self.list.agents[self.node].borrow());
        let news = match after {
            Some(after) => list.between(after, has),
            None => list.until(has).whole(),
        };
        self.list.told(self.node, &news).to_string()
    }
}

//! Discovery agent of each node, which serves the scenario's endpoint list.

use std::rc::Rc;

use hallpin_simulation::list::{Listing, Phase, WatchEvent};
use hallpin_simulation::run_spec::NodeId;
use serde_json::{json, Value};
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::agent::{self, Agent};
use super::environment::{Environment, SharedEnvironment};

/// Discovery agent on one node's machine.
#[derive(Clone)]
struct NodeAgent {
    environment: SharedEnvironment,
    node: NodeId,
}

impl Agent for NodeAgent {
    fn silence_count(&self) -> watch::Receiver<u32> {
        self.environment.borrow().list_silent.subscribe()
    }

    fn revision(&self) -> watch::Receiver<u64> {
        self.environment.borrow().agents[self.node].changed.subscribe()
    }

    fn request_received(&self, _after: Option<u64>) {}

    fn call_abandoned(&self) {
        // At the end of the run all calls are dropped at once, possibly while the environment is borrowed.
        if let Ok(mut environment) = self.environment.try_borrow_mut() {
            environment.call_failed(self.node);
        }
    }

    fn tell(&self, after: Option<u64>) -> String {
        let mut environment = self.environment.borrow_mut();
        environment.call_answered(self.node);
        let list = &environment.agents[self.node].list;
        let update = after.map_or_else(|| list.complete_list(), |after| list.changes_since(after));
        let body = list_json(&environment, self.node, &update).to_string();
        environment.record_notified(self.node, &update.listings);
        environment.observed[self.node].count_list_bytes(body.len());
        body
    }
}

/// Serves a node's agent until the run is over.
pub(super) async fn run(environment: SharedEnvironment, node: NodeId, listener: TcpListener) {
    agent::serve(NodeAgent { environment, node }, listener).await;
}

/// Encodes a list as discovery does, with the addresses at which the boxes are reached from the node's depot.
pub(super) fn list_json(environment: &Environment, node: NodeId, update: &WatchEvent) -> Value {
    let depot = environment.run_spec.nodes[node];
    let member = |l: &Listing| {
        let spec = &environment.run_spec.boxes[l.cache_box];
        let phase = match l.phase {
            Phase::Ready => "ready",
            Phase::Draining => "draining",
            Phase::Gone => "gone",
        };
        json!({
            "id": spec.id, "host_port": environment.addresses[l.cache_box][depot].to_string(),
            "locality": environment.run_spec.depots[spec.depot], "flavor": spec.kind, "cell": spec.cell,
            "phase": phase, "size": spec.size, "up_since_ms": environment.unix_ms(l.started),
        })
    };
    let members: Vec<Value> = update.listings.iter().map(member).collect();
    json!({"revision": update.revision, "complete": update.complete, "members": members})
}

/// The list that a node is started with: the agent's current one. The node counts as notified of it.
pub(super) fn initial_list(environment: &Rc<std::cell::RefCell<Environment>>, node: NodeId) -> Value {
    let mut environment = environment.borrow_mut();
    let update = environment.agents[node].list.complete_list();
    let list_json = list_json(&environment, node, &update);
    environment.record_notified(node, &update.listings);
    list_json
}

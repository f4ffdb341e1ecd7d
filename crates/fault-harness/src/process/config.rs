//! The configuration of a node's process, in the form in which the platform writes it.

use hallpin_simulation::random::RandomStream;
use serde_json::{json, Value};

use super::NodeAddresses;
use crate::spec::{Spec, Tenant};

/// The configuration of a node's next process, including the endpoint list that the node has at its start.
pub fn config(spec: &Spec, addresses: &NodeAddresses, generation: u32, initial_list: Value) -> Value {
    let seed = RandomStream::new(spec.seed, &format!("n{} life {generation}", addresses.node)).bits();
    json!({
        "name": format!("n{}", addresses.node), "listen": addresses.listen, "operator": addresses.operator,
        "discovery": addresses.discovery, "seed": format!("{seed:016x}"),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": spec.nodes.sockets},
        "peer_listen": addresses.peer_listen, "peers": addresses.peers,
        "known": initial_list, "settings": settings(spec, addresses.node),
    })
}

fn settings(spec: &Spec, node: usize) -> Value {
    let deadline = spec.longest_deadline().as_secs();
    let grade = |name: &str, effect: &str| {
        json!({
            "name": name, "effect": effect, "group": "all", "streamed": false, "hard-limit-s": deadline,
            "target-s": deadline / 2.0, "importance": 1.0, "late-worth": 0.0, "key-ttl-s": 30.0,
        })
    };
    let tenant = |t: &Tenant| json!({"name": t.name, "share": 1.0, "quota-per-s": t.quota});
    let warm_up = spec.each_box().map(|group| group.cold).max().unwrap_or_default();
    json!({
        "areas": spec.depots, "locality": spec.depot_of(node), "balancers": spec.nodes.count, "me": node,
        "family": "cache", "family-info": {"mode": "through", "origin-kind": -1},
        "grades": [grade("read", "free"), grade("write", "guarded")],
        "tenants": spec.tenants.iter().map(tenant).collect::<Vec<_>>(),
        "guarantees": {
            "ask-every-s": 10.0, "cold-from": 0.3, "ramp-time-s": warm_up.as_secs(),
            "drain-grace-s": spec.rules.drain_grace.as_secs(), "fall-multiple": 3.0, "fall-s": 2.0,
            "grace-to-answer-s": 0.05,
        },
        "limits": {
            "cancel": true, "probes": false, "peers": true, "parallel-tries": true, "retry-after": true,
            "max-attempts": 3, "dial-timeout-s": 0.25, "max-retry-after-s": 2.0, "idle-close-s": 60.0,
            "multiplex": 1, "max-open": 20000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 80000,
        },
        "membership-mode": "pushed", "weight-source": "nominal", "round-s": 0.005,
        "report": {"how": "off", "fields": []},
    })
}

//! Settings that a node receives at its start, in the platform's format.

use serde_json::{json, Value};

use super::{ClassSpec, Effect, NodeId, RunSpec, TenantSpec};
use crate::time::Span;

impl RunSpec {
    /// Settings that this node receives at its start, in the platform's format.
    pub fn settings(&self, node: NodeId) -> Value {
        let effect = |effect| match effect {
            Effect::Free => "free",
            Effect::Guarded => "guarded",
            Effect::SingleShot => "single_shot",
        };
        let grade = |c: &ClassSpec| {
            json!({
                "name": c.name, "effect": effect(c.effect), "group": "all", "streamed": false,
                "hard-limit-s": c.deadline.as_secs(), "target-s": c.aim.as_secs(),
                "importance": c.worth, "late-worth": c.late_worth, "key-ttl-s": c.window.as_secs(),
            })
        };
        let tenant = |t: &TenantSpec| json!({"name": t.name, "share": t.share, "quota-per-s": t.quota});
        let (rules, limits) = (&self.rules, &self.limits);
        let idle = self.boxes.iter().map(|b| b.idle_close).min().unwrap_or(Span::from_millis(10_000));
        json!({
            "areas": self.depots, "locality": self.depots[self.nodes[node]],
            "balancers": self.nodes.len(), "me": node, "family": "cache",
            "family-info": {
                "mode": "through", "origin-kind": -1,
                "origin-fall-multiple": rules.planner_multiple, "origin-fall-s": rules.planner_for.as_secs(),
            },
            "grades": self.classes.iter().map(grade).collect::<Vec<_>>(),
            "tenants": self.tenants.iter().map(tenant).collect::<Vec<_>>(),
            "guarantees": {
                "ask-every-s": 10.0, "cold-from": rules.cold_from, "ramp-time-s": rules.ramp.as_secs(),
                "drain-grace-s": rules.drain_grace.as_secs(), "fall-multiple": rules.fall_multiple,
                "fall-s": rules.fall_for.as_secs(), "grace-to-answer-s": rules.answer_grace.as_secs(),
            },
            "limits": {
                "cancel": limits.cancel, "probes": limits.probes, "peers": limits.peers,
                "parallel-tries": limits.second_copies, "retry-after": limits.retry_after,
                "max-attempts": limits.max_attempts, "dial-timeout-s": limits.dial_timeout.as_secs(),
                "max-retry-after-s": self.clients.max_retry_after.as_secs(), "idle-close-s": idle.as_secs(),
                "multiplex": 32, "max-open": 20000, "cpu-us-per-request": 0.0, "cpu-us-per-s": 80000,
            },
            "membership-mode": "pushed", "weight-source": "nominal", "worth-by": "work", "round-s": 0.005,
            "over-share-worth": self.goal.over_share_worth,
            "prices": {"cross-zone": self.goal.prices.cross_zone, "probe": self.goal.prices.probe},
            "report": if limits.reports {
                json!({"how": "inline", "fields": ["inflight", "util", "qps"]})
            } else {
                json!({"how": "off", "fields": []})
            },
        })
    }
}

//! The participants of a scenario: nodes, boxes, planner, endpoint list, tenants.

use hallpin_simulation::time::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use toml::Spanned;

/// The nodes, numbered from 0. Node `n` is in depot `n` modulo the number of depots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Nodes {
    /// Number of nodes, from 1 to 90.
    pub count: u16,
    /// Number of nodes, counted from the last, that are started only by a fault.
    pub late: u16,
    /// Maximum number of file descriptors that each node may have open.
    pub sockets: u32,
    /// The operator file that turns on the control plane between nodes; without it the control plane is off. The
    /// placeholders `{state}`, `{node}` and `{nodes}` stand for the node's state folder, its index and the number of
    /// nodes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fleet: Option<String>,
    /// The contracts file, which the operator file refers to as `contracts.toml` in its own folder.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub contracts: Option<String>,
}

impl Default for Nodes {
    fn default() -> Self {
        Nodes { count: 5, late: 0, sockets: 1024, fleet: None, contracts: None }
    }
}

/// A group of identical boxes, numbered from 0 across all groups.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Boxes {
    /// Number of boxes.
    pub count: u16,
    /// The depot that the boxes are in.
    #[schemars(with = "String")]
    pub depot: Spanned<String>,
    /// Connection limit of a box. On a connection beyond it the box rejects every command.
    pub connections: u32,
    /// Number of commands that a box executes concurrently.
    pub slots: u32,
    /// Maximum number of commands that wait for a slot; further ones are rejected.
    pub waiting: u32,
    /// How long a command occupies a slot.
    pub work: Span,
    /// How long a box counts as cold after a start with an empty store.
    pub cold: Span,
    /// Absent when the run starts: no process, and not on the endpoint list.
    pub late: bool,
    /// Index of the box whose address these boxes share, one after the other being there.
    #[schemars(with = "Option<u16>")]
    #[serde(skip_serializing_if = "Option::is_none")]
    pub at: Option<Spanned<u16>>,
}

impl Default for Boxes {
    fn default() -> Self {
        Boxes {
            count: 4,
            depot: Spanned::new(0..0, "a".into()),
            connections: 200,
            slots: 4,
            waiting: 64,
            work: Span::from_millis(2),
            cold: Span::from_millis(3000),
            late: false,
            at: None,
        }
    }
}

/// The planner, which boxes fetch from and write to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Planner {
    /// Number of concurrent fetches; further ones wait.
    pub fetches: u32,
    /// How long one fetch takes.
    pub fetch: Span,
}

impl Default for Planner {
    fn default() -> Self {
        Planner { fetches: 64, fetch: Span::from_millis(20) }
    }
}

/// The endpoint list of service discovery.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ListSpec {
    /// Maximum delay until an agent has a change; drawn for each agent and change.
    pub spread: Span,
}

/// The clients of a tenant. Their requests are open loop: they are issued whether or not earlier ones were answered.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Requests per second, over all nodes.
    pub rate: f64,
    /// The tenant's quota in requests per second, as in the nodes' settings.
    pub quota: f64,
    /// Number of distinct keys.
    pub keys: u32,
    /// Share of requests that are writes, 0 to 1.
    pub writes: f64,
    /// How long a client waits for the answer to a try.
    pub deadline: Span,
    /// Maximum number of tries of a request, each at another node; a rejected request is not retried.
    pub tries: u32,
    /// Number of persistent connections to each node, in addition to the rate. Each sends one request after the other
    /// for as long as it stays open.
    pub standing: u32,
}

impl Default for Tenant {
    fn default() -> Self {
        Tenant {
            name: "council".into(),
            rate: 100.0,
            quota: 1000.0,
            keys: 200,
            writes: 0.0,
            deadline: Span::from_millis(1000),
            tries: 3,
            standing: 0,
        }
    }
}

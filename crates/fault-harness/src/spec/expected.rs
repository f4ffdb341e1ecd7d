//! Bounds of the invariants, and further results that a run must show.

use hallpin_simulation::time::Span;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Bounds of the invariants. One whose bound is not set here is not checked; those that need no bound always are.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Whether to check that the connections open at a box never exceed its connection limit.
    pub whole_kept: bool,
    /// Time from the notification that a box is draining or gone until a node must send it no new commands.
    pub drain_grace: Span,
    /// Added to every time limit, for delays of the harness itself.
    pub leeway: Span,
    /// Maximum number of concurrent fetches from the planner.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub planner_fetches: Option<u32>,
    /// Maximum number of concurrent fetches by one cold box.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub cold_fetches: Option<u32>,
    /// Maximum number of calls by one node to the endpoint list within any second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub list_calls: Option<u32>,
    /// Maximum number of datagrams sent by one node within any second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub datagrams: Option<u32>,
    /// Maximum drop, 0 to 1, of the share of requests served of other tenants once a `rate` fault raises a tenant's
    /// load.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant_loss: Option<f64>,
    /// Maximum time from the first node that places keys by a table until all do, if placement tables are on. No node
    /// goes back to an older table.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub table_spread: Option<Span>,
    /// How long after a cut, a pause or a start a node may still place keys by an older table.
    pub table_catch_up: Span,
    /// Minimum time between a node being cut off and the end of its lease on the table, if placement tables are on.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub table_lease: Option<Span>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            whole_kept: true,
            drain_grace: Span::from_millis(1000),
            leeway: Span::from_millis(250),
            planner_fetches: None,
            cold_fetches: None,
            list_calls: None,
            datagrams: None,
            tenant_loss: None,
            table_spread: None,
            table_catch_up: Span::from_millis(3000),
            table_lease: None,
        }
    }
}

/// Further results that a run must show. Those that are not set are not checked.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Expected {
    /// Minimum share of all requests that were served, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub served: Option<f64>,
    /// Minimum number of requests that were served.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests: Option<u64>,
    /// Maximum time after the last fault until every further second serves at least 98% of the share that was served
    /// before the first fault.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub full_service: Option<Span>,
}

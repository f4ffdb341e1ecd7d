//! The endpoint list and its updates.

use super::identifiers::{Seconds, ServerId};

/// State of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts requests.
    Ready,
    /// Finishes its requests and must be sent no new ones. Unknown states are handled as this one.
    #[default]
    Draining,
    /// Has left the list.
    Gone,
}

/// One server in the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointEntry {
    /// Address of the server.
    pub server: ServerId,
    /// State of the server.
    pub state: ServerState,
    /// Zone of the server.
    pub zone: String,
    /// Weight relative to other servers; [`WeightSource`](crate::WeightSource) gives its meaning.
    pub weight: f64,
    /// Machine kind of the server.
    pub kind: String,
    /// Time of the last start, if it was recent.
    pub started: Option<Seconds>,
    /// Cell of the server.
    pub cell: u64,
}

/// An update of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    /// The changed entries.
    Delta(Vec<EndpointEntry>),
    /// The complete list; a server that is absent has left.
    Full(Vec<EndpointEntry>),
    /// The complete list as this node last stored it, possibly outdated.
    Cached(Vec<EndpointEntry>),
    /// A discovery call failed or the subscription broke; the current list stays in force.
    Failed,
}

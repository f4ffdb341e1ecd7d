//! Updates from the other nodes: the agreed placement table and their reports on servers.

use super::identifiers::{Seconds, ServerId};

/// An update from the control plane between nodes. If none ever arrives, the balancer acts by its endpoint
/// list and its own observations alone.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetUpdate {
    /// The placement table in force: the slot array consists of these entries instead of the ready entries of
    /// the endpoint list; whether a server may be sent to still depends on the list. A table that is not
    /// newer than the current one, by epoch and then by version, is ignored. The control plane bounds the
    /// number of entries.
    Table {
        /// Epoch in which the table was decided.
        epoch: u64,
        /// Version of the table within its epoch.
        version: u64,
        /// Servers of the table; of two entries for one server the last counts.
        entries: Vec<TableEntry>,
    },
    /// Merged reports of peers, on some servers or all. They expire after a few seconds.
    Servers(Vec<ServerReport>),
}

/// One server of a placement table.
#[derive(Clone, Debug, PartialEq)]
pub struct TableEntry {
    /// Address of the server.
    pub server: ServerId,
    /// Weight of the server's share of the slot array, relative to the other entries; 1 for all where weights
    /// are unknown. A weight that is not above 0 counts as unknown.
    pub weight: f64,
}

/// What other nodes observed of one incarnation of a server, with each node counted once.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerReport {
    /// Address of the server.
    pub server: ServerId,
    /// Start time of the observed incarnation, as listed, on the host's clock.
    pub started: Option<Seconds>,
    /// Number of peers that recently sent to the server and had no answer.
    pub silent: u16,
    /// Number of peers that recently had an answer.
    pub answering: u16,
    /// Requests that peers have in flight at the server. No decision uses it yet.
    pub in_flight: u32,
}

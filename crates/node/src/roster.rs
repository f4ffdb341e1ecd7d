//! Parses discovery's JSON list of cache servers into the balancer's types.

use std::net::SocketAddr;

use hallpin_balancer::{EndpointEntry, ServerId, ServerState};
use serde::de::IgnoredAny;
use serde::Deserialize;

use crate::clock::{Clock, ListReading};

/// A complete list of servers, or only the entries that changed.
#[derive(Debug)]
pub struct Roster {
    pub revision: u64,
    /// Whether the list names all servers; otherwise it names those that changed.
    pub complete: bool,
    pub members: Vec<Member>,
}

/// A cache server in a list.
#[derive(Debug)]
pub struct Member {
    pub entry: EndpointEntry,
    pub address: SocketAddr,
    /// Last start of the server in milliseconds of Unix time, as listed; 0 if the list does not name it.
    pub started_unix_ms: u64,
}

#[derive(Deserialize)]
struct List {
    revision: u64,
    complete: bool,
    members: Vec<ListEntry>,
}

#[derive(Deserialize)]
struct ListEntry {
    id: String,
    host_port: SocketAddr,
    phase: String,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    flavor: String,
    #[serde(default)]
    cell: u64,
    #[serde(default = "default_size")]
    size: f64,
    #[serde(default)]
    up_since_ms: f64,
}

fn default_size() -> f64 {
    1.0
}

/// A list of which only the number of entries is read.
#[derive(Deserialize)]
struct EntryCount {
    members: Vec<IgnoredAny>,
}

impl Roster {
    /// Number of entries of a list, read without keeping any.
    ///
    /// # Errors
    /// If the text is not a list.
    pub fn count_entries(text: &[u8]) -> Result<usize, serde_json::Error> {
        let list: EntryCount = serde_json::from_slice(text)?;
        Ok(list.members.len())
    }

    /// Parses a list in discovery's JSON form; `clock` converts start times.
    ///
    /// # Errors
    /// If the text is not such a list.
    pub fn from_json(text: &[u8], clock: &Clock) -> Result<Self, serde_json::Error> {
        let list: List = serde_json::from_slice(text)?;
        let mut reading = clock.read_list();
        let members: Vec<Member> =
            list.members.into_iter().map(|entry| entry.into_member(&mut reading)).collect();
        if list.complete {
            reading.complete(members.iter().map(|member| &member.entry.server));
        }
        Ok(Roster { revision: list.revision, complete: list.complete, members })
    }
}

impl ListEntry {
    fn into_member(self, reading: &mut ListReading) -> Member {
        // Servers are placed on the hash ring by id: it is the same at all nodes, which the address may not be.
        let server = ServerId(self.id.into());
        let started = (self.up_since_ms > 0.0).then(|| reading.started(&server, self.up_since_ms));
        let state = match self.phase.as_str() {
            "ready" => ServerState::Ready,
            "gone" => ServerState::Gone,
            _ => ServerState::Draining,
        };
        Member {
            address: self.host_port,
            // A cast from a float saturates at the bounds of the integer.
            started_unix_ms: self.up_since_ms as u64,
            entry: EndpointEntry {
                server,
                state,
                zone: self.locality,
                weight: self.size,
                kind: self.flavor,
                started,
                cell: self.cell,
            },
        }
    }
}

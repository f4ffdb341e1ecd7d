//! The events of a run. Boxes, nodes and tenants are identified by their index in the scenario, from 0.

use hallpin_simulation::list::Phase;
use hallpin_simulation::time::Time;
use serde::{Deserialize, Serialize};

use crate::relay::{Fate, Site};

/// An event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Microseconds since the harness started.
    pub at: Time,
    /// The event at that time.
    #[serde(flatten)]
    pub event: Event,
}

/// How a node's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Killed with SIGKILL on request.
    Killed,
    /// Exited after SIGTERM within the stop timeout.
    Stopped,
    /// Killed with SIGKILL because the stop timeout after SIGTERM expired.
    Overdue,
    /// Exited or crashed without a request, or exited with an error after SIGTERM.
    Fell,
}

/// How a box answered a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BoxAnswer {
    /// Served from the box's cached copy.
    Hit,
    /// Fetched from the planner.
    Miss,
    /// A write that was passed to the planner.
    Wrote,
    /// Rejected without being executed.
    Busy,
    /// The planner's fetch failed.
    Failed,
    /// The connection ended before the answer.
    Gone,
}

/// How a client's try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClientAnswer {
    /// A value, or the receipt of a write, that carries the try's own opaque.
    Served,
    /// The node rejected the try with `busy`.
    Busy,
    /// The node answered with any other failure.
    Failed,
    /// The node sent the answer to another try, or bytes that do not parse as an answer.
    Foreign,
    /// The node closed a reused idle connection, possibly before it read the try. The client sends the request once
    /// more.
    Crossed,
    /// The connection ended without an answer.
    Broken,
    /// No answer arrived within the deadline.
    Nothing,
}

/// An event of a run. The comment on each variant describes its fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs)]
#[serde(tag = "event", rename_all = "kebab-case")]
pub enum Event {
    /// A node's process was started; `life` is its generation number, from 1.
    NodeStarted { node: usize, life: u32, pid: i32 },
    /// The node accepts clients.
    NodeReady { node: usize, life: u32 },
    /// The node was sent SIGTERM.
    NodeLeaves { node: usize, life: u32 },
    /// The node's process has ended.
    NodeEnded { node: usize, life: u32, end: End },
    /// The node was sent SIGSTOP.
    NodePaused { node: usize },
    /// The node was sent SIGCONT.
    NodeResumed { node: usize },
    /// The endpoint list has a new revision, in which box `of` is in `phase`.
    Listed { revision: u64, of: usize, phase: Phase },
    /// A node polls the endpoint list.
    ListAsked { node: usize },
    /// A node received box phases: the complete endpoint list, or only the changes.
    Told { node: usize, revision: u64, complete: bool, entries: Vec<(usize, Phase)> },
    /// A box's process was started: `whole` is its connection limit, `cold` whether its store is empty.
    BoxUp { of: usize, life: u32, whole: u32, cold: bool },
    /// The box's process has ended.
    BoxDown { of: usize, life: u32 },
    /// A box has accepted a connection from a node.
    Opened { of: usize, node: usize, connection: u64 },
    /// The box's connection was closed.
    Closed { of: usize, connection: u64 },
    /// A box has read a complete command; `id` is that of the try.
    Attempt { of: usize, node: usize, connection: u64, id: u64, tenant: Option<usize>, key: u64, write: bool },
    /// The box's work on the command of try `id` has ended; `how` covers rejections, failed fetches and
    /// connections that ended before the answer too.
    Answer { of: usize, connection: u64, id: u64, how: BoxAnswer },
    /// A box starts to fetch a key from the planner; `cold` says whether its store is still filling.
    Fetch { of: usize, key: u64, cold: bool },
    /// The box's fetch has ended; `ok` says whether the planner answered.
    Fetched { of: usize, key: u64, cold: bool, ok: bool },
    /// The harness itself was not scheduled for `by` microseconds.
    Late { by: u64 },
    /// The load starts.
    LoadBegins,
    /// A tenant's client issues a request, for which it may make up to `tries` tries.
    Asked { ask: u64, tenant: usize, tries: u32 },
    /// The last byte of try `id` of request `ask` was written to a node's connection; `until` is its deadline.
    Taken { id: u64, ask: u64, node: usize, tenant: usize, until: Time },
    /// The try ended.
    Ended { id: u64, how: ClientAnswer },
    /// A node sent unsolicited bytes on a client's connection.
    Stray { node: usize },
    /// The request is finished, served or not.
    Over { ask: u64, served: bool },
    /// A datagram reached the relay.
    Datagram { from: Site, to: Site, bytes: usize, fate: Fate },
    /// A tenant's request rate is multiplied by `factor` from now on.
    Rate { tenant: usize, factor: f64 },
    /// The conditions of one direction of a link changed; `cut` says whether nothing passes now.
    Link { from: Site, to: Site, cut: bool },
    /// Data that a cut had held back is now delivered to the other end of the link.
    Held { from: Site, to: Site },
    /// The harness injected a fault, on behalf of the scenario or the test.
    Fault { what: String },
}

//! Messages of the table protocol and their encoding.

use hallpin_membership::envelope::{Rejection, MAX_PAYLOAD};
use hallpin_membership::names::Moment;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::pages::Change;
use crate::table::TableHeader;

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) enum Message {
    /// From a node to the coordinator: the tables that the node holds. It also requests a lease.
    Report(Report),
    /// From the coordinator to a node: the decided table and the one being prepared. It may grant a lease.
    #[serde(rename = "Word")]
    Announcement(Announcement),
    /// Between any two nodes: requests pages of an array.
    #[serde(rename = "Want")]
    PageRequest(PageRequest),
    /// Answers a page request with one page.
    Page(Page),
}

/// The tables and the list that a node holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Fencing number of the coordinator. A node that reports under it ignores coordinators with a lower one.
    pub epoch: u64,
    /// Grows by 1 with each report of one incarnation.
    pub number: u64,
    /// Time of sending by the node's own clock, in microseconds.
    pub stamp: u64,
    /// The newest decided table that the node holds.
    pub base: Option<TableHeader>,
    /// The undecided table that the node holds.
    pub prepared: Option<TableHeader>,
    /// Whether the node had a lease when it sent the report.
    pub leased: bool,
    /// Revision and digest of the array made from the node's own list.
    pub list: Option<(u64, u64)>,
}

impl Report {
    /// Returns whether the node holds this table or a newer decided one.
    pub fn holds(&self, header: &TableHeader) -> bool {
        self.prepared.is_some_and(|held| held.id == header.id)
            || self.base.is_some_and(|held| held.id >= header.id)
    }
}

/// The state of the tables according to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Announcement {
    /// Fencing number of the coordinator.
    pub epoch: u64,
    /// Grows by 1 with each announcement of one holding. Applying an older one that arrives later would undo what was
    /// reported since.
    pub number: u64,
    /// Whether the coordinator knows what its predecessors decided. Until then it only collects reports.
    #[serde(rename = "settled")]
    pub history_known: bool,
    /// The newest decided table.
    pub decided: Option<TableHeader>,
    /// The table being prepared.
    pub preparing: Option<TableHeader>,
    /// A lease, in answer to a report.
    pub grant: Option<Grant>,
}

/// How far a fencing number may be ahead of this node's start (139 years of milliseconds). Accepting a greater one
/// would shut out every genuine coordinator.
const MAX_AHEAD: u64 = 1 << 42;

impl Announcement {
    /// Returns whether a coordinator can have sent this: its fencing number is plausible, and no table carries a
    /// greater one.
    pub fn is_plausible(&self, incarnation: u64) -> bool {
        let headers = [self.decided, self.preparing].into_iter().flatten();
        self.epoch <= incarnation.saturating_add(MAX_AHEAD)
            && headers.into_iter().all(|header| header.id.epoch <= self.epoch)
    }
}

/// A lease that starts when the report was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Grant {
    /// Incarnation of the node that reported.
    pub incarnation: u64,
    /// `stamp` of the report.
    pub stamp: u64,
}

/// Requests pages of the changes that turn one array into another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PageRequest {
    /// Digest of the array that the requester lacks.
    pub target: u64,
    /// Digest of the array that the requester has.
    pub base: u64,
    /// Index of the first requested page.
    pub first: u16,
    /// Bit i stands for page `first + i`.
    pub mask: u16,
}

/// One page of the changes that turn one array into another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Page {
    /// Digest of the array that the changes lead to.
    pub target: u64,
    /// Digest of the array that the changes apply to: the base of the request, or the empty array if the answering node does not have that base.
    pub base: u64,
    /// Position of this page, from 0.
    pub index: u16,
    /// Number of pages that the changes take.
    pub of: u16,
    pub changes: Vec<Change>,
}

/// Converts a moment to microseconds, as it is sent.
pub(crate) fn micros(now: Moment) -> u64 {
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Encodes a payload; `None` if it is longer than a datagram allows, which no message of this crate is.
pub(crate) fn encode<T: Serialize>(message: &T) -> Option<Vec<u8>> {
    postcard::to_allocvec(message).ok().filter(|bytes| bytes.len() <= MAX_PAYLOAD)
}

/// Decodes a payload from any sender: at most `MAX_PAYLOAD` bytes, and nothing may follow the message.
pub(crate) fn decode<T: DeserializeOwned>(payload: &[u8]) -> Result<T, Rejection> {
    if payload.len() > MAX_PAYLOAD {
        return Err(Rejection::Payload);
    }
    match postcard::take_from_bytes(payload) {
        Ok((message, [])) => Ok(message),
        _ => Err(Rejection::Payload),
    }
}

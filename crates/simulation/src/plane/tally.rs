//! Measurements of a scenario beside its verdict, with and without the control plane. The simulation counts them, not
//! the nodes.

use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::list::BoxId;
use crate::store::KeyId;
use crate::time::{Span, Time};

/// Window in which reads of a key by two boxes count as a double fetch.
const DOUBLE_FETCH_WINDOW: Span = Span(10_000_000);

/// How long all nodes took to place requests by a revision of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct RevisionSpread {
    /// Revision of the list.
    pub revision: u64,
    /// Time at which the list reached this revision.
    pub listed: Time,
    /// Time from which all running nodes placed by this revision or a later one; `None` if that was never reached.
    pub all: Option<Time>,
}

/// The counts of a scenario.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Tally {
    /// Datagrams sent by nodes.
    pub datagrams: u64,
    /// Bytes of these datagrams.
    pub bytes: u64,
    /// Most datagrams sent by one node in one second of the scenario.
    pub most_in_a_second: u64,
    /// Attempts at silent boxes that ended unanswered.
    pub unanswered: u64,
    /// Unanswered attempts that were sent after the first unanswered attempt of that silence had ended at any node.
    pub after_evidence: u64,
    /// Calls from boxes to the planner: reads, writes and retries.
    pub fetches: u64,
    /// Calls that read a key which another box had read less than 10 s before.
    pub double_fetches: u64,
    /// How each revision of the list spread.
    pub spreads: Vec<RevisionSpread>,
    /// The box that last read each key, and when.
    #[serde(skip)]
    fetched: FxHashMap<KeyId, (BoxId, Time)>,
    /// The current second, and the datagrams that each node sent in it.
    #[serde(skip)]
    second: (u64, FxHashMap<usize, u64>),
}

impl Tally {
    /// Counts a datagram that a node sends.
    pub fn count_datagram(&mut self, at: Time, node: usize, bytes: usize) {
        let second = at.0 / 1_000_000;
        if self.second.0 != second {
            self.second = (second, FxHashMap::default());
        }
        let sent = self.second.1.entry(node).or_default();
        *sent += 1;
        self.most_in_a_second = self.most_in_a_second.max(*sent);
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }

    /// Counts a call from a box to the planner.
    pub fn count_fetch(&mut self, at: Time, by: BoxId, key: KeyId, write: bool) {
        self.fetches += 1;
        if write {
            return;
        }
        let previous = self.fetched.insert(key, (by, at));
        let is_double = previous
            .is_some_and(|(other, fetched_at)| other != by && at.since(fetched_at) < DOUBLE_FETCH_WINDOW);
        self.double_fetches += u64::from(is_double);
    }

    /// Records that all running nodes now place by this revision or a later one.
    pub fn record_all_place_by(&mut self, at: Time, revision: u64) {
        let incomplete = self.spreads.iter_mut().rev().take_while(|spread| spread.all.is_none());
        incomplete.filter(|spread| spread.revision <= revision).for_each(|spread| spread.all = Some(at));
    }
}

//! A node's record of the boxes on the endpoint list and of its own attempts at them, as input to its plane.

use std::collections::BTreeMap;

use hallpin_balancer::{
    CacheMode, EndpointEntry, Seconds, ServerId, ServerReport, ServerState, Settings, Status, WeightSource,
};
use hallpin_membership::facts::{BoxEvidence, BoxIncarnation, OwnObservation};
use hallpin_placement::TableEntry;
use twox_hash::XxHash3_64;

/// An attempt in flight at one incarnation of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentAttempt(BoxIncarnation);

/// A listed box with the counts of attempts at its present incarnation.
#[derive(Debug)]
struct ObservedBox {
    server: ServerId,
    incarnation: BoxIncarnation,
    started: Option<Seconds>,
    /// Weight in a placement table, in thousandths; `None` if the box belongs in no table.
    table_weight_milli: Option<u32>,
    /// Attempts answered since the last observation was taken.
    answered: u32,
    /// Attempts that ended unanswered since the last observation was taken.
    silent: u32,
    in_flight: u32,
    /// Whether a count changed since the last observation was taken.
    is_changed: bool,
}

/// The boxes on the endpoint list, by the hash of their id.
#[derive(Debug)]
pub(super) struct Boxes {
    /// Kind of the list entries that are planners; only with a look-aside cache.
    planner_kind: Option<String>,
    /// Whether table weights follow the boxes' sizes. Otherwise list weights are load readings that differ from list to
    /// list, and every box weighs the same.
    uses_weights: bool,
    boxes: BTreeMap<u64, ObservedBox>,
}

impl Boxes {
    pub fn new(settings: &Settings) -> Self {
        let planner_kind = match &settings.cache {
            CacheMode::Aside { origin_kind } => Some(origin_kind.clone()),
            CacheMode::Through => None,
        };
        let uses_weights = matches!(settings.weights, WeightSource::Nominal | WeightSource::Rough);
        Boxes { planner_kind, uses_weights, boxes: BTreeMap::new() }
    }

    /// Replaces the list by a complete one. The counts of a box that restarted begin anew.
    pub fn set_list(&mut self, list: &[EndpointEntry]) {
        let mut previous = std::mem::take(&mut self.boxes);
        for entry in list.iter().filter(|entry| entry.state != ServerState::Gone) {
            let id = box_id(&entry.server);
            let incarnation = BoxIncarnation { id, started_unix_ms: milliseconds(entry.started) };
            let table_weight_milli = self.table_weight_milli(entry);
            let unobserved = || ObservedBox {
                server: entry.server.clone(),
                incarnation,
                started: entry.started,
                table_weight_milli: None,
                answered: 0,
                silent: 0,
                in_flight: 0,
                is_changed: false,
            };
            let known = previous.remove(&id).filter(|known| known.incarnation == incarnation);
            self.boxes.insert(id, ObservedBox { table_weight_milli, ..known.unwrap_or_else(unobserved) });
        }
    }

    /// Weight of a list entry in a placement table, in thousandths; `None` for planners and boxes that are not ready.
    fn table_weight_milli(&self, entry: &EndpointEntry) -> Option<u32> {
        let is_placed = entry.state == ServerState::Ready && self.planner_kind.as_ref() != Some(&entry.kind);
        // The cast saturates at the bounds of u32 and turns NaN into 0.
        let milli = if self.uses_weights { (entry.weight * 1000.0).round() as u32 } else { 1000 };
        is_placed.then_some(milli)
    }

    /// The entries of a placement table made from this list.
    pub fn table(&self) -> Vec<TableEntry> {
        let entry = |known: &ObservedBox| {
            Some(TableEntry { server: known.server.0.to_string(), weight_milli: known.table_weight_milli? })
        };
        self.boxes.values().filter_map(entry).collect()
    }

    /// The report for the policy on what peers observed of a box; `None` unless it concerns the listed incarnation.
    pub fn evidence(&self, evidence: &BoxEvidence) -> Option<ServerReport> {
        let known = self.boxes.get(&evidence.of.id).filter(|known| known.incarnation == evidence.of)?;
        let BoxEvidence { silent, answering, in_flight, .. } = *evidence;
        Some(ServerReport {
            server: known.server.clone(),
            started: known.started,
            silent,
            answering,
            in_flight,
        })
    }

    /// Records that an attempt is sent; `None` for a box that is not on the list.
    pub fn sent(&mut self, server: &ServerId) -> Option<SentAttempt> {
        let known = self.boxes.get_mut(&box_id(server))?;
        known.in_flight = known.in_flight.saturating_add(1);
        known.is_changed = true;
        Some(SentAttempt(known.incarnation))
    }

    /// Records the end of an attempt. Attempts at an earlier incarnation of the box are ignored.
    pub fn ended(&mut self, sent: SentAttempt, status: Status) {
        let Some(known) = self.boxes.get_mut(&sent.0.id).filter(|b| b.incarnation == sent.0) else { return };
        known.in_flight = known.in_flight.saturating_sub(1);
        known.is_changed = true;
        match status {
            Status::Success | Status::Error | Status::Overloaded | Status::Absent => {
                known.answered = known.answered.saturating_add(1);
            }
            Status::TimedOut | Status::Unreachable | Status::Broken => {
                known.silent = known.silent.saturating_add(1);
            }
            // The node itself ended the attempt.
            _ => {}
        }
    }

    /// The boxes whose counts changed since the last call.
    pub fn take_observations(&mut self) -> Vec<OwnObservation> {
        let observation = |known: &mut ObservedBox| {
            known.is_changed = false;
            OwnObservation {
                of: known.incarnation,
                answered: std::mem::take(&mut known.answered),
                silent: std::mem::take(&mut known.silent),
                in_flight: known.in_flight,
            }
        };
        self.boxes.values_mut().filter(|known| known.is_changed).map(observation).collect()
    }
}

/// Id of a box in datagrams: the hash of its name.
fn box_id(server: &ServerId) -> u64 {
    XxHash3_64::oneshot(server.0.as_bytes())
}

/// Start of a box in milliseconds of simulated time; 0 if the list gives no start.
fn milliseconds(started: Option<Seconds>) -> u64 {
    started.map_or(0, |at| (at * 1000.0).round() as u64)
}

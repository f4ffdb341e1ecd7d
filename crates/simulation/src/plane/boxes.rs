//! What a node was told of boxes by the list, and saw of them itself, gathered for its plane.

use std::collections::BTreeMap;

use hallpin_balancer::{
    CacheMode, EndpointEntry, Seconds, ServerId, ServerReport, ServerState, Settings, Status, WeightSource,
};
use hallpin_membership::facts::{BoxEvidence, BoxIncarnation, OwnObservation};
use hallpin_placement::TableEntry;
use twox_hash::XxHash3_64;

/// An attempt that is under way at one life of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sent(BoxIncarnation);

#[derive(Debug)]
struct Seen {
    server: ServerId,
    life: BoxIncarnation,
    started: Option<Seconds>,
    /// Its part of a placement table, in thousandths; none where it belongs in no table.
    part: Option<u32>,
    answered: u32,
    silent: u32,
    in_flight: u32,
    news: bool,
}

/// The boxes of the list, by the hash of their id; as many as that names.
#[derive(Debug)]
pub(super) struct Boxes {
    planner: Option<String>,
    /// Weights are a box's own size, and no reading that differs from list to list.
    weighed: bool,
    seen: BTreeMap<u64, Seen>,
}

impl Boxes {
    pub fn new(settings: &Settings) -> Self {
        let planner = match &settings.cache {
            CacheMode::Aside { origin_kind } => Some(origin_kind.clone()),
            CacheMode::Through => None,
        };
        let weighed = matches!(settings.weights, WeightSource::Nominal | WeightSource::Rough);
        Boxes { planner, weighed, seen: BTreeMap::new() }
    }

    /// Follows the whole list. A box that has started anew begins with nothing held of it.
    pub fn learn(&mut self, list: &[EndpointEntry]) {
        let mut before = std::mem::take(&mut self.seen);
        for entry in list.iter().filter(|entry| entry.state != ServerState::Gone) {
            let id = hash(&entry.server);
            let life = BoxIncarnation { id, started_unix_ms: milliseconds(entry.started) };
            let part = self.part(entry);
            let new = || Seen {
                server: entry.server.clone(),
                life,
                started: entry.started,
                part: None,
                answered: 0,
                silent: 0,
                in_flight: 0,
                news: false,
            };
            let held = before.remove(&id).filter(|seen| seen.life == life);
            self.seen.insert(id, Seen { part, ..held.unwrap_or_else(new) });
        }
    }

    fn part(&self, entry: &EndpointEntry) -> Option<u32> {
        let placed = entry.state == ServerState::Ready && self.planner.as_ref() != Some(&entry.kind);
        // A cast of a float ends at the bounds; what is no number is 0.
        let milli = if self.weighed { (entry.weight * 1000.0).round() as u32 } else { 1000 };
        placed.then_some(milli)
    }

    /// The array that the list would make.
    pub fn table(&self) -> Vec<TableEntry> {
        let entry =
            |seen: &Seen| Some(TableEntry { server: seen.server.0.to_string(), weight_milli: seen.part? });
        self.seen.values().filter_map(entry).collect()
    }

    /// What peers found of a life of a box, if that is the one listed.
    pub fn evidence(&self, found: &BoxEvidence) -> Option<ServerReport> {
        let seen = self.seen.get(&found.of.id).filter(|seen| seen.life == found.of)?;
        let BoxEvidence { silent, answering, in_flight, .. } = *found;
        Some(ServerReport {
            server: seen.server.clone(),
            started: seen.started,
            silent,
            answering,
            in_flight,
        })
    }

    /// An attempt goes out. `None` for a box that the list does not name.
    pub fn sent(&mut self, server: &ServerId) -> Option<Sent> {
        let seen = self.seen.get_mut(&hash(server))?;
        seen.in_flight = seen.in_flight.saturating_add(1);
        seen.news = true;
        Some(Sent(seen.life))
    }

    /// It ended. What went to an earlier life of the box says nothing of this one.
    pub fn ended(&mut self, sent: Sent, status: Status) {
        let Some(seen) = self.seen.get_mut(&sent.0.id).filter(|seen| seen.life == sent.0) else { return };
        seen.in_flight = seen.in_flight.saturating_sub(1);
        seen.news = true;
        match status {
            Status::Success | Status::Error | Status::Overloaded | Status::Absent => {
                seen.answered = seen.answered.saturating_add(1);
            }
            Status::TimedOut | Status::Unreachable | Status::Broken => {
                seen.silent = seen.silent.saturating_add(1);
            }
            // What the node itself ended.
            _ => {}
        }
    }

    /// What was seen since the last call.
    pub fn facts(&mut self) -> Vec<OwnObservation> {
        let fact = |seen: &mut Seen| {
            seen.news = false;
            OwnObservation {
                of: seen.life,
                answered: std::mem::take(&mut seen.answered),
                silent: std::mem::take(&mut seen.silent),
                in_flight: seen.in_flight,
            }
        };
        self.seen.values_mut().filter(|seen| seen.news).map(fact).collect()
    }
}

fn hash(server: &ServerId) -> u64 {
    XxHash3_64::oneshot(server.0.as_bytes())
}

/// A start on the world's clock; 0 for one of before the day.
fn milliseconds(started: Option<Seconds>) -> u64 {
    started.map_or(0, |at| (at * 1000.0).round() as u64)
}

//! Records of the listed boxes: what the endpoint list says and what this node observed, collected for the plane.

use std::collections::{BTreeMap, BTreeSet};

use hallpin_balancer::{Seconds, ServerId, ServerReport, ServerState, Status};
use hallpin_membership::facts::{BoxEvidence, BoxIncarnation, OwnObservation};
use hallpin_placement::TableEntry;
use hallpin_quota::Resource;
use twox_hash::XxHash3_64;

use super::weights::TableWeights;
use crate::roster::Roster;

/// An attempt in flight at one incarnation of a box.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SentAttempt {
    server: ServerId,
    life: BoxIncarnation,
}

/// What the outcome of an attempt says about a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    Answered,
    Silent,
    Inconclusive,
}

fn evidence_of(status: Status) -> Evidence {
    match status {
        Status::Success | Status::Error | Status::Overloaded | Status::Absent => Evidence::Answered,
        Status::TimedOut | Status::Unreachable | Status::Broken => Evidence::Silent,
        // Ended by this node itself, or not understood.
        _ => Evidence::Inconclusive,
    }
}

/// What this node knows of one listed box (cache server): its incarnation and table weight, and the evidence that
/// the attempts of this node gave.
#[derive(Debug)]
struct BoxRecord {
    life: BoxIncarnation,
    /// Start of this incarnation on the balancer's clock.
    started: Option<Seconds>,
    /// Weight in a placement table, in thousandths; `None` where the box belongs in no table.
    table_weight: Option<u32>,
    /// Attempts that the box answered since the last [`Boxes::take_facts`].
    answered: u32,
    /// Attempts since then that timed out or whose connection failed.
    silent: u32,
    /// Attempts in flight now.
    in_flight: u32,
    /// Whether anything has changed since the last [`Boxes::take_facts`].
    has_changes: bool,
}

/// The listed boxes. Bounded by the size of the list.
#[derive(Debug, Default)]
pub struct Boxes {
    table_weights: TableWeights,
    records: BTreeMap<ServerId, BoxRecord>,
    by_id: BTreeMap<u64, ServerId>,
}

/// The quota resource of a box: its connections. All incarnations share it, as a node that does not know of the next
/// incarnation may still have connections to the last.
pub fn resource(server: &ServerId) -> Resource {
    Resource(hash(server))
}

fn hash(server: &ServerId) -> u64 {
    XxHash3_64::oneshot(server.0.as_bytes())
}

impl Boxes {
    /// No boxes until the first [`Boxes::apply_roster`].
    pub fn new(table_weights: TableWeights) -> Self {
        Boxes { table_weights, ..Boxes::default() }
    }

    /// Applies an endpoint list. A box that has restarted begins with an empty record.
    pub fn apply_roster(&mut self, roster: &Roster) {
        if roster.complete {
            let listed: BTreeSet<&ServerId> = roster.members.iter().map(|m| &m.entry.server).collect();
            self.records.retain(|server, _| listed.contains(server));
        }
        for member in &roster.members {
            let server = &member.entry.server;
            if member.entry.state == ServerState::Gone {
                self.records.remove(server);
                continue;
            }
            let life = BoxIncarnation { id: hash(server), started_unix_ms: member.started_unix_ms };
            let (started, table_weight) =
                (member.entry.started, self.table_weights.weight_milli(&member.entry));
            let new = || BoxRecord {
                life,
                started,
                table_weight,
                answered: 0,
                silent: 0,
                in_flight: 0,
                has_changes: false,
            };
            let record = self.records.entry(server.clone()).or_insert_with(new);
            if record.life != life {
                *record = new();
            }
            record.table_weight = table_weight;
        }
        self.by_id = self.records.iter().map(|(server, record)| (record.life.id, server.clone())).collect();
    }

    /// The placement table that follows from the list.
    pub fn table(&self) -> Vec<TableEntry> {
        let entry = |(server, record): (&ServerId, &BoxRecord)| {
            Some(TableEntry { server: server.0.to_string(), weight_milli: record.table_weight? })
        };
        self.records.iter().filter_map(entry).collect()
    }

    /// The connection capacity of each listed box.
    pub fn capacities(&self, connections: u32) -> BTreeMap<Resource, u32> {
        self.records.values().map(|record| (Resource(record.life.id), connections)).collect()
    }

    /// Converts evidence of peers about a box; `None` unless it concerns the listed incarnation.
    pub fn evidence(&self, evidence: &BoxEvidence) -> Option<ServerReport> {
        let server = self.by_id.get(&evidence.of.id)?;
        let record = self.records.get(server).filter(|record| record.life == evidence.of)?;
        let BoxEvidence { silent, answering, in_flight, .. } = *evidence;
        Some(ServerReport { server: server.clone(), started: record.started, silent, answering, in_flight })
    }

    /// Records that an attempt begins. `None` for a box that is not listed.
    pub fn record_attempt(&mut self, server: &ServerId) -> Option<SentAttempt> {
        let record = self.records.get_mut(server)?;
        record.in_flight = record.in_flight.saturating_add(1);
        record.has_changes = true;
        Some(SentAttempt { server: server.clone(), life: record.life })
    }

    /// Records an attempt's outcome. One at an earlier incarnation of the box is ignored.
    pub fn record_outcome(&mut self, sent: &SentAttempt, status: Status) {
        let Some(record) = self.records.get_mut(&sent.server).filter(|record| record.life == sent.life)
        else {
            return;
        };
        record.in_flight = record.in_flight.saturating_sub(1);
        record.has_changes = true;
        match evidence_of(status) {
            Evidence::Answered => record.answered = record.answered.saturating_add(1),
            Evidence::Silent => record.silent = record.silent.saturating_add(1),
            Evidence::Inconclusive => {}
        }
    }

    /// Takes the observations since the last call.
    pub fn take_facts(&mut self) -> Vec<OwnObservation> {
        let fact = |record: &mut BoxRecord| {
            record.has_changes = false;
            OwnObservation {
                of: record.life,
                answered: std::mem::take(&mut record.answered),
                silent: std::mem::take(&mut record.silent),
                in_flight: record.in_flight,
            }
        };
        self.records.values_mut().filter(|record| record.has_changes).map(fact).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::Clock;

    fn roster(complete: bool, members: &str) -> Roster {
        let list = format!(r#"{{"revision":7,"complete":{complete},"members":[{members}]}}"#);
        Roster::from_json(list.as_bytes(), &Clock::start()).unwrap()
    }

    fn member(id: &str, phase: &str, since: u64) -> String {
        format!(r#"{{"id":"{id}","host_port":"127.0.0.1:9","phase":"{phase}","up_since_ms":{since}}}"#)
    }

    #[test]
    fn observations_are_taken_once_and_attempts_in_flight_stay_counted() {
        let (mut boxes, s) = (Boxes::default(), ServerId("s".into()));
        assert_eq!(boxes.record_attempt(&s), None, "not listed");
        boxes.apply_roster(&roster(true, &member("s", "ready", 5)));
        let sent: Vec<SentAttempt> = (0..4).filter_map(|_| boxes.record_attempt(&s)).collect();
        boxes.record_outcome(&sent[0], Status::Success);
        boxes.record_outcome(&sent[1], Status::TimedOut);
        boxes.record_outcome(&sent[2], Status::Cancelled);
        let of = BoxIncarnation { id: hash(&s), started_unix_ms: 5 };
        assert_eq!(boxes.take_facts(), [OwnObservation { of, answered: 1, silent: 1, in_flight: 1 }]);
        assert_eq!(boxes.take_facts(), []);
    }

    /// A box replaced at its address must not count as silent for attempts that its earlier incarnation left unanswered
    /// (hard case 11).
    #[test]
    fn an_attempt_at_an_earlier_incarnation_does_not_count_for_the_next() {
        let (mut boxes, s) = (Boxes::default(), ServerId("s".into()));
        boxes.apply_roster(&roster(true, &member("s", "ready", 5)));
        let sent = boxes.record_attempt(&s).unwrap();
        boxes.apply_roster(&roster(false, &member("s", "ready", 6)));
        boxes.record_outcome(&sent, Status::TimedOut);
        assert_eq!(boxes.take_facts(), []);
        boxes.apply_roster(&roster(false, &member("s", "gone", 6)));
        assert_eq!(boxes.record_attempt(&s), None);
    }

    /// Evidence of peers about an incarnation other than the listed one is dropped.
    #[test]
    fn evidence_of_another_incarnation_is_dropped() {
        let mut boxes = Boxes::default();
        boxes.apply_roster(&roster(true, &member("s", "ready", 5)));
        let id = hash(&ServerId("s".into()));
        let evidence = |since| BoxEvidence {
            of: BoxIncarnation { id, started_unix_ms: since },
            silent: 2,
            answering: 1,
            in_flight: 3,
        };
        assert_eq!(boxes.evidence(&evidence(4)), None);
        let converted = boxes.evidence(&evidence(5)).unwrap();
        assert_eq!((converted.silent, converted.answering, converted.in_flight), (2, 1, 3));
        assert!(converted.started.is_some());
    }
}

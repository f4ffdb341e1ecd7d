//! Observations of boxes reported by peers: the newest report of each peer's current incarnation about each box, and
//! the evidence that they amount to.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::facts::{BoxEvidence, BoxIncarnation, Observation, PeerFact};
use crate::message::Report;
use crate::names::{Incarnation, Moment, NodeId, NodeIncarnation};

#[derive(Clone, Debug)]
pub(crate) struct PeerFacts {
    recent: Duration,
    /// Limit on the boxes of one reporter, and on contested boxes.
    max_boxes: usize,
    reporters: BTreeMap<NodeId, Reporter>,
    /// Boxes that some peer reported silent, with the time until which that counts.
    contested: BTreeMap<u64, Moment>,
    /// The evidence may have changed since it was last announced.
    pub dirty: bool,
}

#[derive(Clone, Debug)]
struct Reporter {
    incarnation: Incarnation,
    boxes: BTreeMap<u64, PeerEntry>,
}

#[derive(Clone, Copy, Debug)]
struct PeerEntry {
    fact: PeerFact,
    seq: u64,
    expires_at: Moment,
}

impl PeerFacts {
    pub fn new(recent: Duration, max_boxes: usize) -> Self {
        PeerFacts { recent, max_boxes, reporters: BTreeMap::new(), contested: BTreeMap::new(), dirty: false }
    }

    /// Accepts a report about a box if it is the reporter's newest: by the reporter's incarnation, then by its sequence
    /// number.
    pub fn accept(&mut self, now: Moment, from: NodeIncarnation, report: &Report) {
        let Some(remaining) = self.recent.checked_sub(Duration::from_millis(report.age_ms.into())) else {
            return;
        };
        self.drop_older_incarnations(from);
        let new = Reporter { incarnation: from.incarnation, boxes: BTreeMap::new() };
        let reporter = self.reporters.entry(from.node).or_insert(new);
        let id = u64::from_be_bytes(report.id);
        let known = reporter.boxes.get(&id).copied();
        let older = |known: PeerEntry| {
            report.seq <= known.seq || report.started_unix_ms < known.fact.of.started_unix_ms
        };
        if from.incarnation < reporter.incarnation || known.is_some_and(older) {
            return;
        }
        if known.is_none() && reporter.boxes.len() >= self.max_boxes {
            let oldest =
                reporter.boxes.iter().min_by_key(|(id, entry)| (entry.expires_at, **id)).map(|(id, _)| *id);
            oldest.and_then(|oldest| reporter.boxes.remove(&oldest));
        }
        let of = BoxIncarnation { id, started_unix_ms: report.started_unix_ms };
        let observation = Observation::of(report.answered.into(), report.silent.into());
        let fact = PeerFact { by: from.node, of, observation, in_flight: report.in_flight };
        let entry = PeerEntry { fact, seq: report.seq, expires_at: now + remaining };
        reporter.boxes.insert(id, entry);
        self.dirty |= known.is_none_or(|known| known.fact != fact || known.expires_at <= now);
        if observation == Observation::Silent
            && (self.contested.len() < self.max_boxes || self.contested.contains_key(&id))
        {
            self.contested.insert(id, entry.expires_at);
        }
    }

    /// Drops the reports of an earlier incarnation of a node.
    pub fn drop_older_incarnations(&mut self, current: NodeIncarnation) {
        if self.reporters.get(&current.node).is_some_and(|known| known.incarnation < current.incarnation) {
            self.reporters.remove(&current.node);
            self.dirty = true;
        }
    }

    /// Drops reports that have expired by this node's clock.
    pub fn expire(&mut self, now: Moment) {
        for reporter in self.reporters.values_mut() {
            let before = reporter.boxes.len();
            reporter.boxes.retain(|_, entry| entry.expires_at > now);
            self.dirty |= reporter.boxes.len() < before;
        }
        self.reporters.retain(|_, reporter| !reporter.boxes.is_empty());
        self.contested.retain(|_, expires_at| *expires_at > now);
    }

    pub fn is_empty(&self) -> bool {
        self.reporters.is_empty()
    }

    pub fn is_contested(&self, id: u64) -> bool {
        self.contested.contains_key(&id)
    }

    /// Merges the unexpired reports by box. If a newer incarnation of a box is known, only that one counts. It is known
    /// if this node has observed it itself (`own`) or two peers report it, so that no single peer can void the others'
    /// reports.
    pub fn evidence(&self, now: Moment, own: impl Fn(u64) -> Option<u64>) -> Vec<BoxEvidence> {
        let entries = self.reporters.values().flat_map(|reporter| reporter.boxes.values());
        let mut by_box: BTreeMap<u64, Vec<PeerFact>> = BTreeMap::new();
        for entry in entries.filter(|entry| entry.expires_at > now) {
            by_box.entry(entry.fact.of.id).or_default().push(entry.fact);
        }
        let mut evidence = Vec::new();
        for (id, facts) in by_box {
            let mut started: Vec<u64> = facts.iter().map(|fact| fact.of.started_unix_ms).collect();
            started.sort_unstable_by(|a, b| b.cmp(a));
            let newest = own(id).max(started.get(1).copied()).unwrap_or(0);
            started.dedup();
            let incarnations = started.into_iter().filter(|started| *started >= newest);
            evidence.extend(
                incarnations.map(|started_unix_ms| merge(BoxIncarnation { id, started_unix_ms }, &facts)),
            );
        }
        evidence
    }
}

/// Merges the facts about one incarnation of a box. Each reporter occurs in `facts` once, so it counts once.
fn merge(of: BoxIncarnation, facts: &[PeerFact]) -> BoxEvidence {
    let mut evidence = BoxEvidence { of, silent: 0, answering: 0, in_flight: 0 };
    for fact in facts.iter().filter(|fact| fact.of == of) {
        match fact.observation {
            Observation::Silent => evidence.silent += 1,
            Observation::Answering => evidence.answering += 1,
            Observation::Nothing => {}
        }
        evidence.in_flight = evidence.in_flight.saturating_add(fact.in_flight.into());
    }
    evidence
}

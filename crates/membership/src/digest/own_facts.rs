//! This node's own observations of boxes in a sliding window, and the order in which they are sent to peers.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::facts::{BoxIncarnation, Observation, OwnObservation};
use crate::message::Report;
use crate::names::Moment;

/// Number of steps in which the sliding window moves.
const STEPS: u32 = 4;

#[derive(Clone, Debug)]
pub(crate) struct OwnFacts {
    /// Length of the sliding window.
    recent: Duration,
    max_boxes: usize,
    /// The record of each box, by the box's id.
    boxes: BTreeMap<u64, BoxRecord>,
    /// Number of observations of all boxes so far.
    seq: u64,
}

#[derive(Clone, Debug)]
struct BoxRecord {
    started_unix_ms: u64,
    /// Step index, answered attempts and silent attempts, the newest step last.
    steps: Vec<(u64, u32, u32)>,
    in_flight: u32,
    /// Number of the last observation among those of all boxes.
    seq: u64,
    /// Time of the last observation.
    seen_at: Moment,
    /// Number of gossip datagrams that must still carry the last change.
    urgent_sends_left: u8,
    last_sent_at: Moment,
}

impl BoxRecord {
    /// Returns the answered and the silent attempts since the step `oldest`.
    fn totals(&self, oldest: u64) -> (u32, u32) {
        let fresh = self.steps.iter().filter(|(step, ..)| *step >= oldest);
        fresh.fold((0, 0), |(a, s), (_, answered, silent)| {
            (a.saturating_add(*answered), s.saturating_add(*silent))
        })
    }
}

impl OwnFacts {
    pub fn new(recent: Duration, max_boxes: usize) -> Self {
        OwnFacts { recent, max_boxes, boxes: BTreeMap::new(), seq: 0 }
    }

    /// Counts an observation, and returns whether it changed how the box appears while some attempt in the window was
    /// silent. Such a change is sent in `retransmit_limit` gossip datagrams. Observations of an earlier incarnation of
    /// a box are dropped; one of a newer incarnation starts from zero.
    pub fn observe(&mut self, now: Moment, fact: OwnObservation, retransmit_limit: u8) -> bool {
        let known = self.boxes.get(&fact.of.id);
        if known.is_some_and(|known| known.started_unix_ms > fact.of.started_unix_ms) {
            return false;
        }
        if known.is_none_or(|known| known.started_unix_ms < fact.of.started_unix_ms) {
            self.evict_if_full(fact.of.id);
            self.boxes.insert(fact.of.id, new_record(now, fact.of));
        }
        let (step, oldest) = (self.step_index(now), self.oldest_step(now));
        let Some(own) = self.boxes.get_mut(&fact.of.id) else { return false };
        let before = own.totals(oldest);
        own.steps.retain(|(step, ..)| *step >= oldest);
        match own.steps.last_mut().filter(|last| last.0 == step) {
            Some(last) => {
                last.1 = last.1.saturating_add(fact.answered);
                last.2 = last.2.saturating_add(fact.silent);
            }
            None => own.steps.push((step, fact.answered, fact.silent)),
        }
        self.seq += 1;
        (own.in_flight, own.seq, own.seen_at) = (fact.in_flight, self.seq, now);
        let after = own.totals(oldest);
        let changed = Observation::of(before.0, before.1) != Observation::of(after.0, after.1) && after.1 > 0;
        if changed {
            own.urgent_sends_left = retransmit_limit;
        }
        changed
    }

    /// Returns the start time of the newest incarnation of a box that this node has observed.
    pub fn started(&self, id: u64) -> Option<u64> {
        self.boxes.get(&id).map(|own| own.started_unix_ms)
    }

    /// Returns whether a change must still be sent at once.
    pub fn has_urgent(&self) -> bool {
        self.boxes.values().any(|own| own.urgent_sends_left > 0)
    }

    /// Returns the reports in the order of sending: changes, then boxes that peers report silent, then those sent
    /// longest ago.
    pub fn send_order(&self, now: Moment, contested: impl Fn(u64) -> bool) -> Vec<Report> {
        let oldest = self.oldest_step(now);
        let mut order: Vec<_> = self
            .boxes
            .iter()
            .filter(|(_, own)| now.saturating_sub(own.seen_at) < self.recent)
            .map(|(id, own)| {
                ((std::cmp::Reverse(own.urgent_sends_left), !contested(*id), own.last_sent_at, *id), own)
            })
            .collect();
        order.sort_unstable_by_key(|(key, _)| *key);
        order.into_iter().map(|((.., id), own)| own.report(now, id, oldest)).collect()
    }

    /// Records that a report was sent. Only gossip datagrams count towards the sends of a change.
    pub fn mark_sent(&mut self, now: Moment, report: &Report, is_gossip: bool) {
        if let Some(own) = self.boxes.get_mut(&u64::from_be_bytes(report.id)) {
            (own.urgent_sends_left, own.last_sent_at) =
                (own.urgent_sends_left.saturating_sub(is_gossip.into()), now);
        }
    }

    /// If the limit is reached, removes the box observed longest ago to make room for another.
    fn evict_if_full(&mut self, id: u64) {
        if self.boxes.len() < self.max_boxes || self.boxes.contains_key(&id) {
            return;
        }
        if let Some(oldest) = self.boxes.iter().min_by_key(|(id, own)| (own.seen_at, **id)).map(|(id, _)| *id)
        {
            self.boxes.remove(&oldest);
        }
    }

    fn step_index(&self, now: Moment) -> u64 {
        (now.as_nanos() / (self.recent / STEPS).as_nanos().max(1)) as u64
    }

    fn oldest_step(&self, now: Moment) -> u64 {
        (self.step_index(now) + 1).saturating_sub(u64::from(STEPS))
    }
}

impl BoxRecord {
    fn report(&self, now: Moment, id: u64, oldest: u64) -> Report {
        let (answered, silent) = self.totals(oldest);
        let short = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
        Report {
            id: id.to_be_bytes(),
            started_unix_ms: self.started_unix_ms,
            seq: self.seq,
            answered: short(answered),
            silent: short(silent),
            in_flight: short(self.in_flight),
            age_ms: u16::try_from(now.saturating_sub(self.seen_at).as_millis()).unwrap_or(u16::MAX),
        }
    }
}

fn new_record(now: Moment, of: BoxIncarnation) -> BoxRecord {
    let started_unix_ms = of.started_unix_ms;
    BoxRecord {
        started_unix_ms,
        steps: vec![],
        in_flight: 0,
        seq: 0,
        seen_at: now,
        urgent_sends_left: 0,
        last_sent_at: Moment::ZERO,
    }
}

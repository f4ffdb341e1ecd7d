//! Totals over a run.

use std::collections::BTreeMap;

use hallpin_simulation::time::{Span, Time};
use serde::Serialize;

use super::fetches_in_flight::FetchesInFlight;
use super::window::Window;
use crate::relay::{Fate, Site};
use crate::spec::Spec;
use crate::trace::{BoxAnswer, ClientAnswer, Event, Record};

/// Full service is this fraction of the share that was served before the first fault.
const FULL_SHARE: f64 = 0.98;
/// Step in which the time to full service is determined.
const STEP: Span = Span::from_millis(100);
const SECOND: Span = Span::from_millis(1000);

/// What a box observed.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct BoxCounts {
    /// Connection limit of the box.
    #[serde(rename = "whole")]
    pub whole: u32,
    /// Maximum number of connections open at once.
    pub peak_open: u32,
    /// Number of accepted connections.
    pub opened: u64,
    /// For each tenant the maximum number of concurrent commands, each on its own connection.
    pub peak_used: Vec<u32>,
    /// Number of finished commands by answer.
    pub answers: BTreeMap<BoxAnswer, u64>,
    /// Number of connections that are open.
    open: u32,
    /// For each tenant the number of commands in progress.
    used: Vec<u32>,
}

/// Datagrams between nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Datagrams {
    /// Datagrams that reached the relay.
    pub sent: u64,
    /// Datagrams that the relay did not deliver.
    pub lost: u64,
    /// Total bytes of all datagrams that reached the relay.
    pub bytes: u64,
    /// Maximum number of datagrams sent by one node within a second.
    pub peak: usize,
}

/// Totals over a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Totals of each box.
    pub boxes: Vec<BoxCounts>,
    /// Number of fetches from the planner, and the maximum number in flight at once.
    pub fetches: (u64, u32),
    /// Number of calls by all nodes to the endpoint list, and the maximum within a second.
    pub list_calls: (u64, usize),
    /// Datagrams between nodes.
    pub datagrams: Datagrams,
    /// For each tenant its name, the number of its requests, and the number served.
    pub tenants: Vec<(String, u64, u64)>,
    /// Number of tries by outcome.
    pub tries: BTreeMap<ClientAnswer, u64>,
    /// Number of placement tables, first attempts of reads that went to no table's owner of the key, and all first
    /// attempts of reads; counted if an invariant about tables is checked.
    pub placed: Option<(usize, u64, u64)>,
    /// Total scheduling delay of the harness, by which time limits were extended.
    #[serde(rename = "starved")]
    pub starved: Span,
    /// Number of starts of each node.
    #[serde(rename = "lives")]
    pub lives: Vec<u32>,
    /// Time from the last fault until every further second serves 98% of the share that was served before the first
    /// fault; `None` if there was no fault, no request before it, or if the last second does not.
    pub full_service: Option<Span>,
}

impl Counts {
    /// Computes the totals of a run.
    pub fn of(spec: &Spec, records: &[Record]) -> Self {
        let tenants = spec.tenants.len();
        let template =
            BoxCounts { peak_used: vec![0; tenants], used: vec![0; tenants], ..BoxCounts::default() };
        let mut counts = Counts {
            boxes: spec.each_box().map(|_| template.clone()).collect(),
            tenants: spec.tenants.iter().map(|t| (t.name.clone(), 0, 0)).collect(),
            lives: vec![0; usize::from(spec.nodes.count)],
            full_service: full_service(records),
            ..Counts::default()
        };
        let (mut fetches_in_flight, mut list_calls_window) = (FetchesInFlight::default(), Window::default());
        let mut sent: BTreeMap<Site, Window> = BTreeMap::new();
        let (mut requests, mut commands) = (BTreeMap::new(), BTreeMap::new());
        for record in records {
            if fetches_in_flight.observe(record).is_some() {
                counts.fetches = (counts.fetches.0 + 1, counts.fetches.1.max(fetches_in_flight.all));
            }
            match &record.event {
                Event::ListAsked { .. } => {
                    let peak = counts.list_calls.1.max(list_calls_window.add(record.at));
                    counts.list_calls = (counts.list_calls.0 + 1, peak);
                }
                Event::Datagram { from, bytes, fate, .. } => {
                    let peak = sent.entry(*from).or_default().add(record.at);
                    counts.datagrams.count(*bytes, *fate, peak);
                }
                Event::Asked { ask, tenant, .. } => drop(requests.insert(*ask, *tenant)),
                Event::Over { ask, served } => {
                    let tenant = requests.remove(ask).and_then(|tenant| counts.tenants.get_mut(tenant));
                    if let Some((_, all, served_count)) = tenant {
                        (*all, *served_count) = (*all + 1, *served_count + u64::from(*served));
                    }
                }
                Event::Ended { how, .. } => *counts.tries.entry(*how).or_default() += 1,
                Event::NodeStarted { node, .. } => counts.lives[*node] += 1,
                Event::Attempt { of, connection, tenant: Some(tenant), .. } => {
                    commands.insert((*of, *connection), *tenant);
                    counts.boxes[*of].count_command(*tenant, true);
                }
                Event::Answer { of, connection, how, .. } => {
                    *counts.boxes[*of].answers.entry(*how).or_default() += 1;
                    if let Some(tenant) = commands.remove(&(*of, *connection)) {
                        counts.boxes[*of].count_command(tenant, false);
                    }
                }
                Event::Late { by } => counts.starved = counts.starved + Span(*by),
                event => counts.connection(event),
            }
        }
        counts
    }

    fn connection(&mut self, event: &Event) {
        match event {
            Event::BoxUp { of, whole, .. } => self.boxes[*of].whole = *whole,
            Event::Opened { of, .. } => {
                let counts = &mut self.boxes[*of];
                (counts.opened, counts.open) = (counts.opened + 1, counts.open + 1);
                counts.peak_open = counts.peak_open.max(counts.open);
            }
            Event::Closed { of, .. } => {
                let counts = &mut self.boxes[*of];
                counts.open = counts.open.saturating_sub(1);
            }
            _ => {}
        }
    }

    /// Number of requests of all tenants, and the number served.
    pub fn served(&self) -> (u64, u64) {
        self.tenants.iter().fold((0, 0), |(all, served), (_, tenant_all, tenant_served)| {
            (all + tenant_all, served + tenant_served)
        })
    }
}

impl BoxCounts {
    fn count_command(&mut self, tenant: usize, starts: bool) {
        let (Some(used), Some(peak)) = (self.used.get_mut(tenant), self.peak_used.get_mut(tenant)) else {
            return;
        };
        *used = if starts { *used + 1 } else { used.saturating_sub(1) };
        *peak = (*peak).max(*used);
    }
}

impl Datagrams {
    fn count(&mut self, bytes: usize, fate: Fate, peak: usize) {
        self.sent += 1;
        self.lost += u64::from(fate == Fate::Lost);
        self.bytes += bytes as u64;
        self.peak = self.peak.max(peak);
    }
}

/// Share served of the requests issued in an interval; `None` if there were none.
fn share(requests: &[(Time, bool)], from: Time, to: Time) -> Option<f64> {
    let within = || requests.iter().filter(|(at, _)| (from..to).contains(at));
    let all = within().count();
    (all > 0).then(|| within().filter(|(_, served)| *served).count() as f64 / all as f64)
}

fn full_service(records: &[Record]) -> Option<Span> {
    let begins = records.iter().find(|r| matches!(r.event, Event::LoadBegins))?.at;
    let faults = || records.iter().filter(|r| matches!(r.event, Event::Fault { .. }) && r.at >= begins);
    let (first, last) = (faults().next()?.at, faults().next_back()?.at);
    let mut open = BTreeMap::new();
    let mut issued = Vec::new();
    for record in records {
        match record.event {
            Event::Asked { ask, .. } => drop(open.insert(ask, record.at)),
            Event::Over { ask, served } => issued.extend(open.remove(&ask).map(|at| (at, served))),
            _ => {}
        }
    }
    issued.sort_unstable();
    let before = share(&issued, begins, first)?;
    let end = issued.last()?.0;
    let is_full = |at: Time| share(&issued, at, at + SECOND).is_none_or(|share| share >= before * FULL_SHARE);
    let (mut at, mut since) = (last, Some(last));
    // Only complete seconds count; the remainder at the end is ignored.
    while at + SECOND <= end {
        since = if is_full(at) { since.or(Some(at)) } else { None };
        at += STEP;
    }
    since.map(|since| since.since(last))
}

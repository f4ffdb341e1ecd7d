//! Utilisation of the boxes' connection limits under full demand, and what a tenant loses when another raises its rate.

use std::collections::BTreeMap;

use hallpin_fault_harness::spec::Action;
use hallpin_fault_harness::trace::{Event, Record};
use hallpin_simulation::time::{Span, Time};
use toml::Spanned;

use crate::metrics::Value;
use crate::run::{Bench, Failure};
use crate::scenarios::{RATE_FACTOR, SCARCE_LIMIT};

/// Time in seconds from the start of the load until the limits are divided by demand: one and a half leases of 2 s, and
/// one more lease for the division by demand.
const DIVISION_TIME_S: f64 = 5.5;

pub async fn utilisation(bench: &mut Bench) -> Result<(), Failure> {
    bench.harness.start_load();
    bench.elapse(DIVISION_TIME_S).await;
    let window = bench.elapse(6.0).await;
    bench.harness.drain_load().await?;
    let records = bench.records();
    let boxes = bench.spec.each_box().count();
    let limit = f64::from(SCARCE_LIMIT) * boxes as f64;
    let attempts = level(&records, window, |event| match event {
        Event::Attempt { .. } => 1.0,
        Event::Answer { .. } => -1.0,
        _ => 0.0,
    });
    let open = level(&records, window, connections);
    let peak = (0..boxes).map(|of| peak(&records, of)).max().unwrap_or(0);
    bench.report(Value::more_is_better("commands under way at boxes over the whole, mean", attempts / limit));
    bench.report(Value::more_is_better("connections open at boxes over the whole, mean", open / limit));
    let excess = f64::from(peak) - f64::from(SCARCE_LIMIT);
    bench.report(Value::less_is_better(
        "most connections over the whole at a box, in all the run",
        excess.max(0.0),
    ));
    let (north, south) = (share(&records, 0, window), share(&records, 1, window));
    bench
        .report(Value::more_is_better("share served of what is wanted, the lesser tenant", north.min(south)));
    Ok(())
}

pub async fn overdrive(bench: &mut Bench) -> Result<(), Failure> {
    bench.harness.start_load();
    bench.elapse(DIVISION_TIME_S).await;
    let alone = bench.elapse(4.0).await;
    bench.inject(Action::Rate { tenant: Spanned::new(0..0, "south".into()), factor: RATE_FACTOR }).await?;
    let beside = bench.elapse(5.0).await;
    bench.harness.drain_load().await?;
    let records = bench.records();
    let (before, during) = (share(&records, 0, alone), share(&records, 0, beside));
    bench.report(Value::less_is_better(
        "what the other loses, % of its share served before",
        100.0 * (1.0 - during / before),
    ));
    bench.report(Value::more_is_better("share served of the other, before", before));
    bench.report(Value::more_is_better("share served of the other, beside the overdrive", during));
    bench.report(Value::more_is_better("share served of who overdrives", share(&records, 1, beside)));
    Ok(())
}

fn connections(event: &Event) -> f64 {
    match event {
        Event::Opened { .. } => 1.0,
        Event::Closed { .. } => -1.0,
        _ => 0.0,
    }
}

/// Time average over an interval of a level that events raise and lower.
fn level(records: &[Record], (from, to): (Time, Time), step: impl Fn(&Event) -> f64) -> f64 {
    let (mut now, mut last, mut sum) = (0.0, from, 0.0);
    for record in records.iter().take_while(|record| record.at < to) {
        let change = step(&record.event);
        if change != 0.0 {
            let at = record.at.max(from);
            sum += now * at.since(last).as_secs();
            (now, last) = (now + change, at);
        }
    }
    (sum + now * to.since(last).as_secs()) / to.since(from).as_secs()
}

/// Maximum number of connections open at a box at once.
pub fn peak(records: &[Record], of_box: usize) -> u32 {
    let (mut open, mut max_open) = (0_u32, 0);
    for record in records {
        match record.event {
            Event::Opened { of, .. } if of == of_box => open += 1,
            Event::Closed { of, .. } if of == of_box => open = open.saturating_sub(1),
            _ => {}
        }
        max_open = max_open.max(open);
    }
    max_open
}

/// Share served of a tenant's requests that were issued within an interval.
fn share(records: &[Record], tenant: usize, (from, to): (Time, Time)) -> f64 {
    let requests = requests(records, |of| of == tenant);
    let within: Vec<bool> =
        requests.iter().filter(|(at, _)| (from..to).contains(at)).map(|(_, s)| *s).collect();
    within.iter().filter(|served| **served).count() as f64 / within.len().max(1) as f64
}

/// Requests of some tenants: when they were issued, and whether they were served.
pub fn requests(records: &[Record], whose: impl Fn(usize) -> bool) -> Vec<(Time, bool)> {
    let mut open: BTreeMap<u64, Time> = BTreeMap::new();
    let mut requests = Vec::new();
    for record in records {
        match record.event {
            Event::Asked { ask, tenant, .. } if whose(tenant) => drop(open.insert(ask, record.at)),
            Event::Over { ask, served } => requests.extend(open.remove(&ask).map(|at| (at, served))),
            _ => {}
        }
    }
    requests.sort_unstable();
    requests
}

/// Share served of the requests issued in the second from `from` on; `None` if there were none.
pub fn second(requests: &[(Time, bool)], from: Time) -> Option<f64> {
    let (first, end) = (requests.partition_point(|a| a.0 < from), from + Span::from_millis(1000));
    let within: Vec<bool> = requests[first..].iter().take_while(|a| a.0 < end).map(|a| a.1).collect();
    let served = within.iter().filter(|served| **served).count();
    (!within.is_empty()).then(|| served as f64 / within.len() as f64)
}

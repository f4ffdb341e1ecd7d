//! Time until service is back to its earlier level after most or all nodes were killed and restarted at once.

use hallpin_fault_harness::spec::{Action, StateFolderChange};
use hallpin_fault_harness::trace::Record;
use hallpin_simulation::time::{Span, Time};

use crate::budget::{peak, requests, second};
use crate::metrics::Value;
use crate::run::{nodes, Bench, Failure};

/// Full service is this fraction of the share that was served before the kill.
const FULL_SERVICE_FRACTION: f64 = 0.98;
/// How long every second must have full service, in milliseconds.
const STEADY_MS: u64 = 5000;
/// Step in which the time to full service is determined, in milliseconds.
const STEP_MS: u64 = 100;
/// Time observed after the kill, in seconds; full service that starts later than 6 s after it is reported as never.
const OBSERVED_S: f64 = 11.0;

pub async fn play(bench: &mut Bench, part: f64) -> Result<(), Failure> {
    bench.harness.start_load();
    bench.elapse(3.0).await;
    let (from, killed) = bench.elapse(4.0).await;
    let killed_count = (bench.run.nodes as f64 * part).ceil() as usize;
    bench.inject(Action::Kill(nodes(0..killed_count))).await?;
    bench.inject(Action::Start { nodes: nodes(0..killed_count), state: StateFolderChange::Lost }).await?;
    let (started, end) = bench.elapse(OBSERVED_S).await;
    bench.harness.drain_load().await?;
    let records = bench.records();
    let requests = requests(&records, |_| true);
    let before = requests.iter().filter(|(at, _)| (from..killed).contains(at));
    let (all, served) = before.fold((0, 0), |(all, served), (_, ok)| (all + 1, served + u32::from(*ok)));
    let before = f64::from(served) / f64::from(all.max(1));
    bench.report(Value::more_is_better("share served before", before));
    bench.report(Value::less_is_better(
        "from the kill until all were started again, s",
        started.since(killed).as_secs(),
    ));
    bench.report(Value::less_is_better(
        "time to full service, s",
        time_to_full_service(&requests, killed, end, before),
    ));
    let excess_connections =
        excess_connections(&records, bench.spec.each_box().count(), bench.spec.boxes[0].connections);
    bench.report(Value::less_is_better("most connections over the whole at a box", excess_connections));
    let after = requests.iter().filter(|(at, _)| (killed..end).contains(at));
    bench.report(Value::less_is_better(
        "requests not served after the kill",
        after.filter(|a| !a.1).count() as f64,
    ));
    Ok(())
}

/// By how much the open connections of any box exceeded its connection limit at most.
fn excess_connections(records: &[Record], boxes: usize, limit: u32) -> f64 {
    let peak_open = (0..boxes).map(|of| peak(records, of)).max().unwrap_or(0);
    f64::from(peak_open.saturating_sub(limit))
}

/// Time in seconds from the kill until each second of the next five has full service.
fn time_to_full_service(requests: &[(Time, bool)], killed: Time, end: Time, before: f64) -> Option<f64> {
    let steps = STEADY_MS / STEP_MS;
    let is_full = |at: Time| second(requests, at).is_none_or(|share| share >= before * FULL_SERVICE_FRACTION);
    let step = |n: u64| killed + Span::from_millis(n * STEP_MS);
    let mut consecutive = 0;
    for n in 0.. {
        if step(n) + Span::from_millis(1000) > end {
            return None;
        }
        consecutive = if is_full(step(n)) { consecutive + 1 } else { 0 };
        // Seconds that start within four seconds cover five.
        if consecutive > steps - 10 {
            return Some(step(n + 1 - consecutive).since(killed).as_secs());
        }
    }
    None
}

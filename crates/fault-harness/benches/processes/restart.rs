//! Time until service is back to its earlier level after most or all nodes were killed and restarted at once.

use hallpin_fault_harness::spec::{Doing, State};
use hallpin_fault_harness::trace::Record;
use hallpin_simulation::time::{Span, Time};

use crate::budget::{asks, peak, second};
use crate::figures::Value;
use crate::run::{nodes, Failure, Stage};

/// Full service is this fraction of the share that was served before the kill.
const FULL: f64 = 0.98;
/// How long every second must have full service, in milliseconds.
const STEADY_MS: u64 = 5000;
/// Step in which the time to full service is determined, in milliseconds.
const STEP_MS: u64 = 100;
/// Time observed after the kill, in seconds; full service that starts later than 6 s after it is reported as never.
const WATCHED: f64 = 11.0;

pub async fn play(stage: &mut Stage, part: f64) -> Result<(), Failure> {
    stage.rig.begin();
    stage.pass(3.0).await;
    let (from, killed) = stage.pass(4.0).await;
    let few = (stage.run.nodes as f64 * part).ceil() as usize;
    stage.fault(Doing::Kill(nodes(0..few))).await?;
    stage.fault(Doing::Start { nodes: nodes(0..few), state: State::Lost }).await?;
    let (started, end) = stage.pass(WATCHED).await;
    stage.rig.quiet().await?;
    let records = stage.records();
    let asks = asks(&records, |_| true);
    let before = asks.iter().filter(|(at, _)| (from..killed).contains(at));
    let (all, served) = before.fold((0, 0), |(all, good), (_, ok)| (all + 1, good + u32::from(*ok)));
    let before = f64::from(served) / f64::from(all.max(1));
    stage.tell(Value::more_is_better("share served before", before));
    stage.tell(Value::less_is_better(
        "from the kill until all were started again, s",
        started.since(killed).as_secs(),
    ));
    stage.tell(Value::less_is_better("time to full service, s", full(&asks, killed, end, before)));
    let over = over(&records, stage.spec.each_box().count(), stage.spec.boxes[0].connections);
    stage.tell(Value::less_is_better("most connections over the whole at a box", over));
    let after = asks.iter().filter(|(at, _)| (killed..end).contains(at));
    stage.tell(Value::less_is_better(
        "requests not served after the kill",
        after.filter(|a| !a.1).count() as f64,
    ));
    Ok(())
}

/// By how much the open connections of any box exceeded its connection limit at most.
fn over(records: &[Record], boxes: usize, whole: u32) -> f64 {
    let most = (0..boxes).map(|of| peak(records, of)).max().unwrap_or(0);
    f64::from(most.saturating_sub(whole))
}

/// Time in seconds from the kill until each second of the next five has full service.
fn full(asks: &[(Time, bool)], killed: Time, end: Time, before: f64) -> Option<f64> {
    let steps = STEADY_MS / STEP_MS;
    let good = |at: Time| second(asks, at).is_none_or(|share| share >= before * FULL);
    let step = |n: u64| killed + Span::from_millis(n * STEP_MS);
    let mut row = 0;
    for n in 0.. {
        if step(n) + Span::from_millis(1000) > end {
            return None;
        }
        row = if good(step(n)) { row + 1 } else { 0 };
        // Seconds that start within four seconds cover five.
        if row > steps - 10 {
            return Some(step(n + 1 - row).since(killed).as_secs());
        }
    }
    None
}

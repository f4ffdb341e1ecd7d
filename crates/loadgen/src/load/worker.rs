//! A worker thread of the generator: queues requests at their scheduled times and wakes free connections for them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustix::time::{clock_gettime, ClockId};
use tokio::sync::Notify;
use tokio::task::{yield_now, LocalSet};
use tokio::time::sleep;

use super::mix::{Mix, RequestSpec};
use super::results::{Outcome, RunResults};
use super::schedule::Schedule;
use super::shared::{Pending, Shared};
use super::{connection, slow_connections, LoadError, LoadSpec, Progress};

/// Waits shorter than this yield in a loop instead of sleeping, because the runtime's timers are coarser.
const TIMER_RESOLUTION: Duration = Duration::from_millis(2);
/// Longest sleep between two checks for retries, expired requests and a stop.
const MAX_SLEEP: Duration = Duration::from_millis(10);

/// Runs one worker thread to its end and returns its results.
pub(super) fn run(
    spec: &LoadSpec,
    number: usize,
    mix: Mix,
    start: Instant,
    progress: Arc<Progress>,
) -> Result<RunResults, LoadError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let share_of = |all: usize| all / spec.workers + usize::from(number < all % spec.workers);
    let connections = share_of(spec.connections);
    let shared = Rc::new(Shared::new(spec, number, start, connections, progress));
    let target = |index: usize| spec.targets[(number + index * spec.workers) % spec.targets.len()];
    let local = LocalSet::new();
    local.block_on(&runtime, async {
        let mut tasks = tokio::task::JoinSet::new();
        for connection in 0..connections {
            tasks.spawn_local(connection::run(shared.clone(), connection, target(connection)));
        }
        for n in 0..share_of(spec.slow) {
            tokio::task::spawn_local(slow_connections::run_slow(shared.clone(), target(n), n));
        }
        for n in 0..share_of(spec.half_open) {
            tokio::task::spawn_local(slow_connections::run_half_open(shared.clone(), target(n)));
        }
        dispatch(&shared, mix).await;
        // The connection tasks end the requests that are still in flight.
        while tasks.join_next().await.is_some() {}
    });
    drop(local);
    let mut results = shared.results.take();
    let cpu = clock_gettime(ClockId::ThreadCPUTime);
    results.cpu_time = Duration::new(cpu.tv_sec.unsigned_abs(), u32::try_from(cpu.tv_nsec).unwrap_or(0));
    results.run_time = shared.now();
    Ok(results)
}

/// Queues each request at its scheduled time and wakes free connections, until every request has ended or the run is
/// stopped.
async fn dispatch(shared: &Shared, mut mix: Mix) {
    let spec = &shared.spec;
    sleep(shared.start.saturating_duration_since(Instant::now())).await;
    let mut schedule =
        Schedule::new(spec.arrivals.clone(), shared.number, spec.workers, spec.length, spec.seed);
    let (mut next, mut next_drift) = (schedule.next(), Duration::from_secs(1));
    loop {
        let now = shared.now();
        if shared.progress.is_stopped() {
            next = None;
        }
        while let Some(due) = next.filter(|due| due.at <= now) {
            shared.results.borrow_mut().record_due(due.at, now - due.at);
            Progress::increment(&shared.progress.asked);
            shared.unfinished.set(shared.unfinished.get() + 1);
            let request_spec = match due.recorded {
                Some(recorded) => RequestSpec {
                    class: recorded.class % spec.mix.classes.len(),
                    tenant: recorded
                        .tenant
                        .filter(|_| !spec.mix.tenants.is_empty())
                        .map(|tenant| tenant % spec.mix.tenants.len()),
                    key: recorded.key,
                },
                None => mix.draw(),
            };
            let request = shared.next_id();
            let pending =
                Pending { request, due: due.at, request_spec, deadline: due.at + spec.wait, tries: 0 };
            if shared.queue.borrow().len() < spec.backlog {
                shared.queue.borrow_mut().push_back(pending);
            } else {
                shared.finish(pending, Outcome::Unsent);
            }
            next = schedule.next();
        }
        while next_drift <= now {
            mix.drift();
            next_drift += Duration::from_secs(1);
        }
        let next_retry = shared.queue_due_retries(now);
        shared.end_expired(now);
        shared.wake_free_connections();
        if next.is_none() && (shared.unfinished.get() == 0 || shared.progress.is_stopped()) {
            shared.finished.set(true);
            let (unsent, retries) = (shared.queue.take(), shared.retries.take());
            unsent
                .into_iter()
                .chain(retries.into_values())
                .for_each(|pending| shared.finish(pending, Outcome::Unsent));
            shared.wakeups.iter().for_each(Notify::notify_one);
            return;
        }
        let wake_at = [next.map(|due| due.at), next_retry].into_iter().flatten().min();
        let time_left = wake_at.map_or(MAX_SLEEP, |at| at.saturating_sub(now).min(MAX_SLEEP));
        if time_left > TIMER_RESOLUTION {
            sleep(time_left - TIMER_RESOLUTION).await;
        } else {
            yield_now().await;
        }
    }
}

//! The single-threaded runtime of the harness, which gives the trace one total order.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::trace::{Event, Recorder};

/// Interval at which the harness measures its own scheduling delay.
const DELAY_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum scheduling delay that is recorded.
const MIN_RECORDED_DELAY: Duration = Duration::from_millis(20);

/// Runs a future that uses a harness to completion; all tasks that it spawned end with it.
///
/// # Errors
/// Fails if no runtime can be created.
pub fn block_on<T>(future: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, future))
}

/// Raises this process's limit of open files to the hard limit: the links between 15 nodes need about 2,000.
pub(super) fn raise_file_limit() {
    let mut limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current = limit.maximum;
    // If the limit is not raised, the first socket that cannot be opened reports the error.
    let _ = rustix::process::setrlimit(rustix::process::Resource::Nofile, limit);
}

/// Records scheduling delays of the harness until it is dropped: during a delay, events are recorded later than they
/// happened.
pub(super) async fn record_scheduling_delay(recorder: Rc<Recorder>) {
    loop {
        let started = Instant::now();
        sleep(DELAY_CHECK_INTERVAL).await;
        let delay = started.elapsed().saturating_sub(DELAY_CHECK_INTERVAL);
        if delay >= MIN_RECORDED_DELAY {
            recorder.record(Event::Late { by: u64::try_from(delay.as_micros()).unwrap_or(u64::MAX) });
        }
    }
}

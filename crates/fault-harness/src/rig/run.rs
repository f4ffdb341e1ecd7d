//! The single-threaded runtime of the harness, which gives the trace one total order.

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep, Instant};

use crate::trace::{Event, Recorder};

/// Interval at which the harness measures its own scheduling delay.
const BEAT: Duration = Duration::from_millis(5);
/// Minimum scheduling delay that is recorded.
const LATE: Duration = Duration::from_millis(20);

/// Runs a future that uses a harness to completion; all tasks that it spawned end with it.
///
/// # Errors
/// Fails if no runtime can be created.
pub fn block_on<T>(what: impl Future<Output = T>) -> io::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(tokio::task::LocalSet::new().block_on(&runtime, what))
}

/// Raises this process's limit of open files to the hard limit: the links between 15 nodes need about 2,000.
pub(super) fn open_many() {
    let mut limit = rustix::process::getrlimit(rustix::process::Resource::Nofile);
    limit.current = limit.maximum;
    // If the limit is not raised, the first socket that cannot be opened reports the error.
    let _ = rustix::process::setrlimit(rustix::process::Resource::Nofile, limit);
}

/// Records scheduling delays of the harness until it is dropped: during a delay, events are recorded later than they
/// happened.
pub(super) async fn beat(recorder: Rc<Recorder>) {
    loop {
        let began = Instant::now();
        sleep(BEAT).await;
        let late = began.elapsed().saturating_sub(BEAT);
        if late >= LATE {
            recorder.record(Event::Late { by: u64::try_from(late.as_micros()).unwrap_or(u64::MAX) });
        }
    }
}

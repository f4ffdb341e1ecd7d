//! Writes the state periodically, one write at a time, on a separate thread, with retries.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hallpin_membership::names::{Incarnation, Moment};
use hallpin_store::{Snapshot, Store, StoreError, Stored};
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::task::spawn_blocking;
use tracing::{info, warn};

use super::file::{ProcessState, StateFile};
use super::retry::Retry;
use super::{CachedState, StoredTable};
use crate::clock::source::TimeSource;
use crate::metrics::append_line;

/// Why a write of the state failed.
#[derive(Debug, thiserror::Error)]
pub enum WriteError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the writer thread ended without a result")]
    Thread,
}

/// A write in progress.
pub(super) struct PendingWrite {
    outcome: oneshot::Receiver<Result<(), StoreError>>,
    contents: CachedState,
    started_at: Moment,
}

/// Schedules the writes of one node's state.
pub struct StateWriter {
    process: Arc<Mutex<ProcessState>>,
    time: &'static dyn TimeSource,
    write_interval: Duration,
    /// Age at which unchanged contents are written again, well before they are too old to be used.
    rewrite_after: Duration,
    next_write_at: Moment,
    /// The contents last written by this process with the start of their write; `None` before the first write, or if a
    /// write has failed since.
    written: Option<(CachedState, Moment)>,
    pub(super) pending: Option<PendingWrite>,
    retry: Retry,
    writes_done: u64,
    writes_failed: u64,
}

impl StateWriter {
    /// The writer of a process under `incarnation`, with the store if it could be opened.
    pub(super) fn new(
        file: StateFile,
        incarnation: Incarnation,
        store: Option<Store>,
        write_interval: Duration,
    ) -> Self {
        let (time, rewrite_after) = (file.time, file.limits.max_age / 4);
        StateWriter {
            time,
            process: Arc::new(Mutex::new(ProcessState::new(file, incarnation, store))),
            write_interval,
            rewrite_after,
            next_write_at: Moment::ZERO,
            written: None,
            pending: None,
            retry: Retry::default(),
            writes_done: 0,
            writes_failed: 0,
        }
    }

    pub(super) fn process(&self) -> MutexGuard<'_, ProcessState> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the quiet period at the start is over.
    pub fn quiet_is_over(&self) {
        self.process().quiet_is_over();
    }

    /// Starts a write if the contents have changed, their last write is old or the last write failed, once the write
    /// interval or the backoff is over and no write is in progress.
    pub fn write_if_due(&mut self, now: Moment, contents: impl FnOnce() -> CachedState) {
        self.take_outcome(now);
        if now < self.next_write_at || self.pending.is_some() {
            return;
        }
        self.next_write_at = now + self.write_interval;
        let contents = contents();
        if self
            .written
            .as_ref()
            .is_some_and(|(last, written_at)| *last == contents && now < *written_at + self.rewrite_after)
        {
            return;
        }
        match self.snapshot(&contents) {
            Some(snapshot) => self.write(now, contents, snapshot),
            None => warn!("the state could not be serialised"),
        }
    }

    /// Writes the metrics of state writes.
    pub fn write_metrics(&self, out: &mut String) {
        append_line(out, format_args!("app_state_writes_total{{result=\"done\"}} {}", self.writes_done));
        append_line(out, format_args!("app_state_writes_total{{result=\"failed\"}} {}", self.writes_failed));
        append_line(out, format_args!("app_state_failing {}", u8::from(self.retry.is_failing())));
    }

    fn snapshot(&self, contents: &CachedState) -> Option<Snapshot> {
        let epoch = contents.table.as_ref().map_or(0, |StoredTable(stored)| stored.epoch);
        let mut snapshot = Snapshot::new(self.time.unix_ms(), epoch);
        let view = snapshot.put(&Stored::new(contents.view.clone()));
        let table = contents.table.as_ref().is_none_or(|table| snapshot.put(&Stored::new(table.clone())));
        (view && table).then_some(snapshot)
    }

    fn write(&mut self, now: Moment, contents: CachedState, snapshot: Snapshot) {
        let (result_sender, outcome) = oneshot::channel();
        let process = self.process.clone();
        spawn_blocking(move || {
            let committed = process.lock().unwrap_or_else(PoisonError::into_inner).commit(&snapshot);
            // The receiver is gone if the node has ended in the meantime.
            let _ = result_sender.send(committed);
        });
        self.pending = Some(PendingWrite { outcome, contents, started_at: now });
    }

    /// Handles the outcome of the write in progress, if it has ended.
    pub(super) fn take_outcome(&mut self, now: Moment) {
        let Some(pending) = &mut self.pending else { return };
        let outcome = match pending.outcome.try_recv() {
            Ok(outcome) => outcome.map_err(WriteError::from),
            Err(TryRecvError::Closed) => Err(WriteError::Thread),
            Err(TryRecvError::Empty) => return,
        };
        let Some(PendingWrite { contents, started_at, .. }) = self.pending.take() else { return };
        match outcome {
            Ok(()) => self.succeeded(contents, started_at),
            Err(error) => self.failed(now, &error),
        }
    }

    fn succeeded(&mut self, contents: CachedState, started_at: Moment) {
        self.writes_done += 1;
        self.written = Some((contents, started_at));
        if let Some(failures) = self.retry.record_success() {
            info!(failures, "the state was written again after failures");
        }
    }

    /// Schedules a retry. The file may contain the old contents or those that failed; the next write replaces either.
    fn failed(&mut self, now: Moment, error: &WriteError) {
        self.writes_failed += 1;
        self.written = None;
        let outcome = self.retry.record_failure(now);
        self.next_write_at = now + outcome.retry_after;
        if outcome.should_warn {
            warn!(%error, "the state was not written; retrying");
        }
    }
}

//! State shared by the tasks of one worker thread: the queue of requests, scheduled retries, and free connections.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::mix::RequestSpec;
use super::results::{Outcome, RunResults};
use super::{LoadSpec, Progress};

/// Time after a request's deadline during which its answer still counts.
pub(super) const ANSWER_GRACE: Duration = Duration::from_millis(250);
/// Delay before the first retry without a retry-after hint; doubles with each further try.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// A request that has not ended. Times are measured from the start of the run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pending {
    /// Request id, the same for all tries.
    pub request: u64,
    /// Scheduled send time, from which the latency counts.
    pub due: Duration,
    pub request_spec: RequestSpec,
    /// Time at which its client gives up.
    pub deadline: Duration,
    /// Tries sent so far.
    pub tries: u32,
}

/// Shared state of one worker thread.
pub(super) struct Shared {
    pub spec: LoadSpec,
    /// Start of the run, from which all times are measured.
    pub start: Instant,
    /// Index of the worker thread.
    pub number: usize,
    /// Requests waiting for a connection, in the order in which they were queued.
    pub queue: RefCell<VecDeque<Pending>>,
    /// Requests waiting for a retry, by time and request id.
    pub retries: RefCell<BTreeMap<(Duration, u64), Pending>>,
    /// Number of ids given out.
    issued_id_count: Cell<u64>,
    /// Stack of connections that can take a request; the most recently freed one is last.
    free: RefCell<Vec<usize>>,
    /// Whether each connection is in `free`.
    is_free: Vec<Cell<bool>>,
    /// By connection: notified when it should take a request or the run is over.
    pub wakeups: Vec<Notify>,
    pub results: RefCell<RunResults>,
    /// Number of requests that have not ended.
    pub unfinished: Cell<u64>,
    /// Set once when the run is over.
    pub finished: Cell<bool>,
    pub progress: Arc<Progress>,
}

impl Shared {
    /// State of worker `number`, whose times count from `start`.
    pub fn new(
        spec: &LoadSpec,
        number: usize,
        start: Instant,
        connections: usize,
        progress: Arc<Progress>,
    ) -> Self {
        Shared {
            spec: spec.clone(),
            start,
            number,
            queue: RefCell::default(),
            retries: RefCell::default(),
            issued_id_count: Cell::new(0),
            free: RefCell::default(),
            is_free: vec![Cell::new(false); connections],
            wakeups: (0..connections).map(|_| Notify::new()).collect(),
            results: RefCell::default(),
            unfinished: Cell::new(0),
            finished: Cell::new(false),
            progress,
        }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Converts a time since the start of the run.
    pub fn instant(&self, at: Duration) -> tokio::time::Instant {
        (self.start + at).into()
    }

    /// Returns an id that is unique over all worker threads of the run.
    pub fn next_id(&self) -> u64 {
        self.issued_id_count.set(self.issued_id_count.get() + 1);
        (self.number as u64) << 48 | self.issued_id_count.get()
    }

    /// Whether the run is over: nothing more is sent or waited for.
    pub fn is_finished(&self) -> bool {
        self.finished.get()
    }

    /// Takes the next queued request whose client still waits, and ends the expired ones before it.
    pub fn next_request(&self) -> Option<Pending> {
        self.end_expired(self.now());
        self.queue.borrow_mut().pop_front()
    }

    /// Whether requests are queued.
    pub fn has_work(&self) -> bool {
        !self.queue.borrow().is_empty()
    }

    /// Marks a connection as able to take a request.
    pub fn mark_free(&self, connection: usize) {
        if !self.is_free[connection].replace(true) {
            self.free.borrow_mut().push(connection);
        }
    }

    /// Waits until the connection is woken for queued requests or the end of the run.
    pub async fn wait_for_work(&self, connection: usize) {
        self.wakeups[connection].notified().await;
    }

    /// Wakes up to one free connection for each queued request.
    pub fn wake_free_connections(&self) {
        let queued = self.queue.borrow().len();
        let mut free = self.free.borrow_mut();
        for _ in 0..queued.min(free.len()) {
            if let Some(connection) = free.pop() {
                self.is_free[connection].set(false);
                self.wakeups[connection].notify_one();
            }
        }
    }

    /// Records the final outcome of a request.
    pub fn finish(&self, pending: Pending, outcome: Outcome) {
        self.results.borrow_mut().record_outcome(outcome, pending.due, self.now());
        self.unfinished.set(self.unfinished.get() - 1);
        let counter =
            if outcome == Outcome::Completed { &self.progress.completed } else { &self.progress.other };
        Progress::increment(counter);
    }

    /// Schedules a retry after `retry_after` or an exponential backoff, or ends the request if its tries or its time
    /// are used up. A write is retried only if it was rejected, because otherwise it may have been executed.
    pub fn retry(&self, pending: Pending, outcome: Outcome, retry_after: Option<Duration>) {
        let is_write = self.spec.mix.classes[pending.request_spec.class].writes.is_some();
        let is_safe_to_retry = outcome == Outcome::Refused || !is_write;
        let backoff = INITIAL_BACKOFF * 2u32.saturating_pow(pending.tries.saturating_sub(1).min(16));
        let at = self.now() + retry_after.unwrap_or(backoff);
        if !is_safe_to_retry || pending.tries >= self.spec.tries || at >= pending.deadline {
            return self.finish(pending, outcome);
        }
        self.retries.borrow_mut().insert((at, pending.request), pending);
    }

    /// Queues the retries that are due; returns the time of the next one.
    pub fn queue_due_retries(&self, now: Duration) -> Option<Duration> {
        let mut retries = self.retries.borrow_mut();
        while let Some(first) = retries.first_entry().filter(|first| first.key().0 <= now) {
            self.queue.borrow_mut().push_back(first.remove());
        }
        retries.keys().next().map(|(at, _)| *at)
    }

    /// Ends the requests at the front of the queue whose clients have given up before a connection was free.
    pub fn end_expired(&self, now: Duration) {
        let mut queue = self.queue.borrow_mut();
        while let Some(pending) = queue.pop_front_if(|pending| pending.deadline <= now) {
            self.finish(pending, Outcome::Unsent);
        }
    }
}

//! Stores the events of a run in order, and lets tasks wait for an event.

use std::cell::{Cell, RefCell};
use std::io::{self, Write};
use std::rc::Rc;
use std::time::Duration;

use hallpin_simulation::time::Time;
use tokio::sync::Notify;
use tokio::time::{timeout_at, Instant};

use super::{Event, Record};

/// Maximum number of records that are kept. Further ones are only counted, and fail the run.
pub const MAX_RECORDS: usize = 2_000_000;

/// An expected event did not happen in time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("timed out after {bound:?} waiting for: {what}")]
pub struct WaitTimeout {
    /// The expected event.
    pub what: String,
    /// How long it was waited for.
    pub bound: Duration,
}

/// The trace of a run, and the run's clock.
#[derive(Debug)]
pub struct Recorder {
    started: Instant,
    records: RefCell<Vec<Record>>,
    dropped: Cell<u64>,
    recorded: Rc<Notify>,
}

impl Recorder {
    /// Starts the clock with an empty trace.
    pub fn new() -> Rc<Self> {
        Rc::new(Recorder {
            started: Instant::now(),
            records: RefCell::default(),
            dropped: Cell::new(0),
            recorded: Rc::default(),
        })
    }

    /// The current time by the harness's clock.
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// The instant that corresponds to a time on the harness's clock.
    pub fn instant(&self, at: Time) -> Instant {
        self.started + Duration::from_micros(at.0)
    }

    /// Appends an event with the current time.
    pub fn record(&self, event: Event) {
        let mut records = self.records.borrow_mut();
        if records.len() >= MAX_RECORDS {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        records.push(Record { at: self.now(), event });
        self.recorded.notify_waiters();
    }

    /// The number of records: the position from which a later wait may start.
    pub fn position(&self) -> usize {
        self.records.borrow().len()
    }

    /// Number of records that were dropped because the trace was full.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Calls `look` with each record from a position on.
    pub fn for_each(&self, from: usize, mut look: impl FnMut(&Record)) {
        self.records.borrow().iter().skip(from).for_each(&mut look);
    }

    /// A copy of all records.
    pub fn records(&self) -> Vec<Record> {
        self.records.borrow().clone()
    }

    /// Waits until a record from the given position on satisfies the predicate, and returns the position behind that
    /// record.
    ///
    /// # Errors
    /// Names the expected event if it does not happen within `bound`.
    pub async fn wait_for(
        &self,
        from: usize,
        bound: Duration,
        what: &str,
        mut is_match: impl FnMut(&Record) -> bool,
    ) -> Result<usize, WaitTimeout> {
        let (mut at, end) = (from, Instant::now() + bound);
        loop {
            let recorded = self.recorded.notified();
            tokio::pin!(recorded);
            // From here on, every notification wakes this task.
            recorded.as_mut().enable();
            {
                let records = self.records.borrow();
                let new_records = records.get(at..).unwrap_or_default();
                if let Some(found) = new_records.iter().position(&mut is_match) {
                    return Ok(at + found + 1);
                }
                at = at.max(records.len());
            }
            if timeout_at(end, recorded).await.is_err() {
                return Err(WaitTimeout { what: what.into(), bound });
            }
        }
    }

    /// Writes all records as JSON, one object a line.
    ///
    /// # Errors
    /// Fails if the records cannot be written.
    pub fn write(&self, to: &mut impl Write) -> io::Result<()> {
        for record in self.records.borrow().iter() {
            serde_json::to_writer(&mut *to, record)?;
            to.write_all(b"\n")?;
        }
        Ok(())
    }
}

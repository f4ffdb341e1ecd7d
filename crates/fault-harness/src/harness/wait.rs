//! Waits for events, always with a bound.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{sleep_until, timeout_at, Instant};

use super::{Harness, HarnessError};
use crate::relay::Site;
use crate::spec::When;
use crate::trace::{Event, Record, WaitTimeout};

/// Points of the run from which triggers count.
#[derive(Debug)]
pub(super) struct TriggerOrigins {
    /// Position in the trace and instant at which the load started.
    pub load: Cell<(usize, Instant)>,
    /// Position in the trace and instant at which the last fault was injected.
    pub fault: Cell<(usize, Instant)>,
}

impl TriggerOrigins {
    pub fn new() -> Self {
        let now = Instant::now();
        TriggerOrigins { load: Cell::new((0, now)), fault: Cell::new((0, now)) }
    }
}

impl Harness {
    /// Waits until the trigger's time has come or its event has happened.
    ///
    /// # Errors
    /// Names the event that did not happen within `bound`. Triggers that are points of time ignore the bound.
    pub async fn wait_trigger(&self, when: &When, bound: Duration) -> Result<(), HarnessError> {
        let ((load, load_started), (fault, fault_injected)) =
            (self.origins.load.get(), self.origins.fault.get());
        match when {
            When::At(at) => sleep_until(load_started + Duration::from_micros(at.0)).await,
            When::Later(after) => sleep_until(fault_injected + Duration::from_micros(after.0)).await,
            When::Attempts { of, count } => {
                let of = *of.as_ref();
                let attempt =
                    |r: &Record| matches!(r.event, Event::Attempt { of: b, .. } if Site::Box(b) == of);
                self.wait_count(load, bound, &format!("{count} commands at {of}"), *count, attempt).await?;
            }
            When::Told { node, revision } => {
                let (node, min_revision) = (*node.as_ref(), *revision);
                let is_notification = |r: &Record| matches!(r.event, Event::Told { node: n, revision, .. } if Site::Node(n) == node && revision >= min_revision);
                self.wait_count(
                    0,
                    bound,
                    &format!("{node} notified of list revision {min_revision}"),
                    1,
                    is_notification,
                )
                .await?;
            }
            When::Ready(nodes) => self.wait_ready(&indices(nodes), bound).await?,
            When::Ended(nodes) => self.wait_ended(&indices(nodes), bound).await?,
            When::Datagrams { from, count } => {
                let from = *from.as_ref();
                let is_datagram =
                    |r: &Record| matches!(r.event, Event::Datagram { from: f, .. } if f == from);
                self.wait_count(fault, bound, &format!("{count} datagrams from {from}"), *count, is_datagram)
                    .await?;
            }
        }
        Ok(())
    }

    /// Waits until `count` records from a position on satisfy the predicate.
    ///
    /// # Errors
    /// Fails if fewer than `count` records satisfy the predicate within `bound`.
    pub async fn wait_count(
        &self,
        from: usize,
        bound: Duration,
        what: &str,
        count: u64,
        mut is_match: impl FnMut(&Record) -> bool,
    ) -> Result<(), HarnessError> {
        let mut remaining = count;
        let is_last = |record: &Record| {
            remaining -= u64::from(remaining > 0 && is_match(record));
            remaining == 0
        };
        self.recorder.wait_for(from, bound, what, is_last).await?;
        Ok(())
    }

    /// Waits until the current process of each of these nodes accepts clients.
    ///
    /// # Errors
    /// Fails if one of the processes does not accept clients within `bound`, or has ended by itself.
    pub async fn wait_ready(&self, nodes: &[usize], bound: Duration) -> Result<(), HarnessError> {
        for node in nodes {
            let generation = self.hosts[*node].next_generation() - 1;
            let is_match = |r: &Record| match r.event {
                Event::NodeReady { node: n, life: l } | Event::NodeEnded { node: n, life: l, .. } => {
                    (n, l) == (*node, generation)
                }
                _ => false,
            };
            self.recorder.wait_for(0, bound, &format!("n{node} ready"), is_match).await?;
            if self.hosts[*node].ended_unexpectedly() {
                return Err(HarnessError::NodeEnded { node: *node, log: self.hosts[*node].log() });
            }
        }
        Ok(())
    }

    /// Waits until the processes of these nodes have ended.
    ///
    /// # Errors
    /// Fails if one of the processes has not ended within `bound`.
    pub async fn wait_ended(&self, nodes: &[usize], bound: Duration) -> Result<(), HarnessError> {
        let end = Instant::now() + bound;
        for node in nodes {
            let ended = timeout_at(end, self.hosts[*node].wait_ended()).await;
            ended.map_err(|_| WaitTimeout { what: format!("n{node} ended"), bound })?;
        }
        Ok(())
    }
}

/// The indices of nodes or boxes.
pub(super) fn indices(sites: &[toml::Spanned<Site>]) -> Vec<usize> {
    let index = |site: &toml::Spanned<Site>| match *site.as_ref() {
        Site::Node(index) | Site::Box(index) => Some(index),
        Site::List => None,
    };
    sites.iter().filter_map(index).collect()
}

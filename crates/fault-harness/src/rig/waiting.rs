//! Waits for events, always with a bound.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::{sleep_until, timeout_at, Instant};

use super::{Rig, RigError};
use crate::relay::Site;
use crate::spec::When;
use crate::trace::{Event, Record, TraceError};

/// Points of the run from which triggers count.
#[derive(Debug)]
pub(super) struct Marks {
    /// Position in the trace and instant at which the load started.
    pub load: Cell<(usize, Instant)>,
    /// Position in the trace and instant at which the last fault was injected.
    pub fault: Cell<(usize, Instant)>,
}

impl Marks {
    pub fn new() -> Self {
        let now = Instant::now();
        Marks { load: Cell::new((0, now)), fault: Cell::new((0, now)) }
    }
}

impl Rig {
    /// Waits until the trigger's time has come or its event has happened.
    ///
    /// # Errors
    /// Names the event that did not happen within `bound`. Triggers that are points of time ignore the bound.
    pub async fn until(&self, when: &When, bound: Duration) -> Result<(), RigError> {
        let ((load, began), (fault, done)) = (self.marks.load.get(), self.marks.fault.get());
        match when {
            When::At(at) => sleep_until(began + Duration::from_micros(at.0)).await,
            When::Later(after) => sleep_until(done + Duration::from_micros(after.0)).await,
            When::Attempts { of, count } => {
                let of = *of.as_ref();
                let attempt =
                    |r: &Record| matches!(r.event, Event::Attempt { of: b, .. } if Site::Box(b) == of);
                self.count(load, bound, &format!("{count} commands at {of}"), *count, attempt).await?;
            }
            When::Told { node, revision } => {
                let (node, least) = (*node.as_ref(), *revision);
                let told = |r: &Record| matches!(r.event, Event::Told { node: n, revision, .. } if Site::Node(n) == node && revision >= least);
                self.count(0, bound, &format!("{node} told revision {least}"), 1, told).await?;
            }
            When::Ready(nodes) => self.ready(&places(nodes), bound).await?,
            When::Ended(nodes) => self.ended(&places(nodes), bound).await?,
            When::Datagrams { from, count } => {
                let from = *from.as_ref();
                let sent = |r: &Record| matches!(r.event, Event::Datagram { from: f, .. } if f == from);
                self.count(fault, bound, &format!("{count} datagrams of {from}"), *count, sent).await?;
            }
        }
        Ok(())
    }

    /// Waits until `count` records from a position on satisfy the predicate.
    ///
    /// # Errors
    /// Fails if there are fewer within `bound`.
    pub async fn count(
        &self,
        from: usize,
        bound: Duration,
        what: &str,
        count: u64,
        mut is_it: impl FnMut(&Record) -> bool,
    ) -> Result<(), RigError> {
        let mut left = count;
        let all = |record: &Record| {
            left -= u64::from(left > 0 && is_it(record));
            left == 0
        };
        self.recorder.until(from, bound, what, all).await?;
        Ok(())
    }

    /// Waits until the current process of each of these nodes accepts clients.
    ///
    /// # Errors
    /// Fails if one does not within `bound`, or has ended by itself.
    pub async fn ready(&self, nodes: &[usize], bound: Duration) -> Result<(), RigError> {
        for node in nodes {
            let life = self.hosts[*node].next_life() - 1;
            let is_it = |r: &Record| match r.event {
                Event::NodeReady { node: n, life: l } | Event::NodeEnded { node: n, life: l, .. } => {
                    (n, l) == (*node, life)
                }
                _ => false,
            };
            self.recorder.until(0, bound, &format!("n{node} ready"), is_it).await?;
            if self.hosts[*node].fell() {
                return Err(RigError::Fell { node: *node, log: self.hosts[*node].log() });
            }
        }
        Ok(())
    }

    /// Waits until the processes of these nodes have ended.
    ///
    /// # Errors
    /// Fails if one has not within `bound`.
    pub async fn ended(&self, nodes: &[usize], bound: Duration) -> Result<(), RigError> {
        let end = Instant::now() + bound;
        for node in nodes {
            let ended = timeout_at(end, self.hosts[*node].ended()).await;
            ended.map_err(|_| TraceError { what: format!("n{node} ended"), bound })?;
        }
        Ok(())
    }
}

/// The indices of nodes or boxes.
pub(super) fn places(sites: &[toml::Spanned<Site>]) -> Vec<usize> {
    let place = |site: &toml::Spanned<Site>| match *site.as_ref() {
        Site::Node(place) | Site::Box(place) => Some(place),
        Site::List => None,
    };
    sites.iter().filter_map(place).collect()
}

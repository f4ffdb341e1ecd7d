//! The memory that clients, cache servers and the requests between them may make this process hold. It is divided into
//! uses with a limit each, so that one kind of traffic cannot take what the others need. Every reservation ends when it
//! is dropped.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::warn;

use crate::log::LogThrottle;
use crate::metrics::append_line;

/// What reserved memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// Requests in flight: the command's line, the state kept for it, and a small answer.
    Request,
    /// Input beyond a small command: large values of commands from their first byte to their answer, and read-ahead.
    Value,
    /// Answers that are not small, from their cache server's first byte until their client has taken them.
    Answer,
}

const USES: [(MemoryUse, &str); 3] =
    [(MemoryUse::Request, "request"), (MemoryUse::Value, "value"), (MemoryUse::Answer, "answer")];

impl MemoryUse {
    /// Eighths of the budget that this use may take.
    fn eighths(self) -> usize {
        match self {
            MemoryUse::Request | MemoryUse::Answer => 3,
            MemoryUse::Value => 2,
        }
    }
}

/// Limits and reservations of one process.
pub struct MemoryBudget {
    /// Bytes of all uses, in all processes that share the limits.
    bytes: usize,
    /// Number of processes that share the limits, this one included.
    processes: Cell<usize>,
    reserved: [Cell<usize>; USES.len()],
    /// Reservations that were refused, or had to wait.
    refused: [Cell<u64>; USES.len()],
    /// Notified whenever a reservation that was refused may succeed.
    freed: Notify,
    refusal_log: LogThrottle,
}

impl MemoryBudget {
    /// A budget of `bytes` for a process that serves its address alone.
    pub fn new(bytes: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            bytes,
            processes: Cell::new(1),
            reserved: Default::default(),
            refused: Default::default(),
            freed: Notify::new(),
            refusal_log: LogThrottle::default(),
        })
    }

    /// Sets the number of processes that share the limits.
    pub fn set_processes(&self, processes: usize) {
        self.processes.set(processes);
        self.freed.notify_waiters();
    }

    fn limit(&self, of: MemoryUse) -> usize {
        self.bytes / self.processes.get() / 8 * of.eighths()
    }

    /// Bytes reserved now.
    pub fn reserved(&self, of: MemoryUse) -> usize {
        self.reserved[of as usize].get()
    }

    /// Whether half of the limit is reserved. The other half is for those who hold none of it yet.
    pub fn is_scarce(&self, of: MemoryUse) -> bool {
        self.reserved(of) >= self.limit(of) / 2
    }

    /// Whether `bytes` more fit into `limit`. The first reservation always fits, as nothing would ever be served
    /// otherwise.
    fn fits(&self, of: MemoryUse, bytes: usize, limit: usize) -> bool {
        self.reserved(of) == 0 || self.reserved(of) + bytes <= limit
    }

    /// Reserves `bytes`, or returns `None` if they are not free.
    pub fn try_reserve(self: &Rc<Self>, of: MemoryUse, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty_reservation(of);
        reservation.try_grow(bytes).then_some(reservation)
    }

    /// Reserves `bytes` if as many as `kept_free` remain free, or returns `None`.
    pub fn try_reserve_beside(
        self: &Rc<Self>,
        of: MemoryUse,
        bytes: usize,
        kept_free: usize,
    ) -> Option<MemoryReservation> {
        let limit = self.limit(of).saturating_sub(kept_free);
        (self.reserved(of) + bytes <= limit).then(|| {
            let mut reservation = self.empty_reservation(of);
            reservation.set(bytes);
            reservation
        })
    }

    /// A reservation of no bytes.
    pub fn empty_reservation(self: &Rc<Self>, of: MemoryUse) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), of, bytes: 0 }
    }

    /// Reserves `bytes`, or returns `None` if they are not free. Without priority only half of the limit is used.
    pub fn try_reserve_for(
        self: &Rc<Self>,
        of: MemoryUse,
        bytes: usize,
        has_priority: bool,
    ) -> Option<MemoryReservation> {
        let limit = if has_priority { self.limit(of) } else { self.limit(of) / 2 };
        if !self.fits(of, bytes, limit) {
            self.record_refusal(of, bytes);
            return None;
        }
        let mut reservation = self.empty_reservation(of);
        reservation.set(bytes);
        Some(reservation)
    }

    /// Waits until `bytes` are free, as [`MemoryBudget::try_reserve_for`] tells, and reserves them.
    pub async fn reserve(
        self: &Rc<Self>,
        of: MemoryUse,
        bytes: usize,
        has_priority: impl Fn() -> bool,
    ) -> MemoryReservation {
        loop {
            let freed = self.freed.notified();
            if let Some(reservation) = self.try_reserve_for(of, bytes, has_priority()) {
                return reservation;
            }
            freed.await;
        }
    }

    /// Lets those who wait try again, as their priority may have changed.
    pub fn wake_waiting(&self) {
        self.freed.notify_waiters();
    }

    fn record_refusal(&self, of: MemoryUse, bytes: usize) {
        let refused = &self.refused[of as usize];
        refused.set(refused.get() + 1);
        if let Some(suppressed) = self.refusal_log.pass(Instant::now()) {
            let (reserved, limit) = (self.reserved(of), self.limit(of));
            warn!(suppressed, r#use = ?of, bytes, reserved, limit, "memory budget used up; refused, or waits");
        }
    }

    /// Appends the metrics: reserved bytes, limits and refusals.
    pub fn render(&self, output: &mut String) {
        for (of, name) in USES {
            let labels = format_args!("{{use=\"{name}\"}}");
            append_line(output, format_args!("app_memory_reserved_bytes{labels} {}", self.reserved(of)));
            append_line(output, format_args!("app_memory_limit_bytes{labels} {}", self.limit(of)));
            let refused = self.refused[of as usize].get();
            append_line(output, format_args!("app_memory_refused_total{labels} {refused}"));
        }
    }
}

/// Reserved memory, released on drop.
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    of: MemoryUse,
    bytes: usize,
}

impl std::fmt::Debug for MemoryReservation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} bytes of {:?}", self.bytes, self.of)
    }
}

impl MemoryReservation {
    /// Size of the reservation.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows the reservation to `bytes` if they are free.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        if !self.budget.fits(self.of, more, self.budget.limit(self.of)) {
            self.budget.record_refusal(self.of, more);
            return false;
        }
        self.set(self.bytes + more);
        true
    }

    /// Changes the size of the reservation, free or not.
    pub fn set(&mut self, bytes: usize) {
        let reserved = &self.budget.reserved[self.of as usize];
        reserved.set(reserved.get() + bytes - self.bytes);
        let is_smaller = bytes < self.bytes;
        self.bytes = bytes;
        if is_smaller {
            self.budget.freed.notify_waiters();
        }
    }

    /// Releases what exceeds `bytes`.
    pub fn shrink(&mut self, bytes: usize) {
        self.set(self.bytes.min(bytes));
    }

    /// Splits up to `bytes` off into a reservation of its own.
    pub fn split(&mut self, bytes: usize) -> MemoryReservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        MemoryReservation { budget: self.budget.clone(), of: self.of, bytes }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.set(0);
        }
    }
}

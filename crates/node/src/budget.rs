//! Divides the configured limits among client connections, server connections and buffers. While two processes serve
//! one address during a takeover, the limits apply to both together and each process has half.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

use crate::config::{Limits, RESERVED_DESCRIPTORS};

/// Socket and memory limits of this process, with the memory reserved so far.
pub struct Budget {
    sockets: usize,
    /// Bytes that commands and answers may occupy, in all processes that share the limits.
    memory_bytes: usize,
    /// Number of processes that share the limits, this one included.
    processes: Cell<usize>,
    reserved_bytes: Cell<usize>,
}

impl Budget {
    /// The limits for a process that serves its address alone.
    pub fn new(limits: &Limits) -> Rc<Self> {
        Rc::new(Budget {
            sockets: limits.sockets,
            // A quarter of the limit: buffers take more than is reserved for them, and the program and its tables need
            // memory.
            memory_bytes: (limits.memory_mb << 20) / 4,
            processes: Cell::new(1),
            reserved_bytes: Cell::default(),
        })
    }

    /// Records that another process serves this address too.
    pub fn add_process(&self) {
        self.processes.set(self.processes.get() + 1);
    }

    /// Records that the other process is gone.
    pub fn remove_process(&self) {
        self.processes.set(self.processes.get() - 1);
    }

    fn process_sockets(&self) -> usize {
        self.sockets / self.processes.get()
    }

    fn traffic_sockets(&self) -> usize {
        self.process_sockets().saturating_sub(RESERVED_DESCRIPTORS)
    }

    /// Most open connections to cache servers.
    pub fn max_server_connections(&self) -> usize {
        (self.traffic_sockets() / 3).max(1)
    }

    /// Most open client connections.
    pub fn max_client_connections(&self) -> usize {
        (self.traffic_sockets() - self.traffic_sockets() / 3).max(1)
    }

    /// Number of client connections from which on idle ones are closed for new ones: a quarter of this process's
    /// sockets, below the limit of client connections unless few descriptors remain, so that idle ones do not fill it.
    pub fn idle_close_threshold(&self) -> usize {
        (self.process_sockets() / 4).clamp(1, self.max_client_connections())
    }

    /// Reserves memory.
    pub fn reserve(&self, bytes: usize) {
        self.reserved_bytes.set(self.reserved_bytes.get() + bytes);
    }

    /// Releases reserved memory.
    pub fn release(&self, bytes: usize) {
        self.reserved_bytes.set(self.reserved_bytes.get() - bytes);
    }

    /// Whether more memory may be reserved.
    pub fn has_free_memory(&self) -> bool {
        self.reserved_bytes.get() < self.memory_bytes / self.processes.get()
    }
}

/// A memory reservation that ends when this is dropped.
pub struct MemoryReservation {
    budget: Rc<Budget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves `bytes`.
    pub fn new(budget: &Rc<Budget>, bytes: usize) -> Self {
        budget.reserve(bytes);
        MemoryReservation { budget: budget.clone(), bytes }
    }

    /// Changes the size of the reservation.
    pub fn set(&mut self, bytes: usize) {
        self.budget.reserve(bytes);
        self.budget.release(std::mem::replace(&mut self.bytes, bytes));
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

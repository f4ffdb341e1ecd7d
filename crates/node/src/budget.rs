//! Divides the configured limits among client connections, server connections and buffers. While two processes serve
//! one address during a takeover, the limits apply to both together and each process has half.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

use crate::config::{Limits, RESERVED_DESCRIPTORS};
use crate::memory::MemoryBudget;

/// Memory that one client connection takes besides its requests: its state and the start of a command.
const CONNECTION_BYTES: usize = 8 * 1024;

/// Receive buffers reserved for a connection, given back on drop.
pub struct ReceiveBufferReservation {
    reserved: Rc<Cell<usize>>,
    bytes: usize,
}

impl Drop for ReceiveBufferReservation {
    fn drop(&mut self) {
        self.reserved.set(self.reserved.get() - self.bytes);
    }
}

/// Socket and memory limits of this process.
pub struct Budget {
    sockets: usize,
    /// Bytes that client connections may occupy besides their requests, in all processes that share the limits.
    connection_bytes: usize,
    /// Memory for requests, their values and their answers.
    memory: Rc<MemoryBudget>,
    /// Bytes of receive buffers that the system may hold beyond its usual ones, in all processes that share the limits: as
    /// much again as the process.
    receive_buffer_bytes: usize,
    reserved_receive_buffers: Rc<Cell<usize>>,
    /// Number of processes that share the limits, this one included.
    processes: Cell<usize>,
}

impl Budget {
    /// The limits for a process that serves its address alone.
    pub fn new(limits: &Limits) -> Rc<Self> {
        Rc::new(Budget {
            sockets: limits.sockets,
            // A quarter of the limit each; the program and its tables need the rest.
            connection_bytes: (limits.memory_mb << 20) / 4,
            memory: MemoryBudget::new((limits.memory_mb << 20) / 4),
            receive_buffer_bytes: limits.memory_mb << 20,
            reserved_receive_buffers: Rc::default(),
            processes: Cell::new(1),
        })
    }

    /// Reserves `bytes` of enlarged receive buffers, or returns `None` if they are not free.
    pub fn try_reserve_receive_buffer(&self, bytes: usize) -> Option<ReceiveBufferReservation> {
        let reserved = &self.reserved_receive_buffers;
        let is_free = reserved.get() + bytes <= self.receive_buffer_bytes / self.processes.get();
        is_free.then(|| {
            reserved.set(reserved.get() + bytes);
            ReceiveBufferReservation { reserved: reserved.clone(), bytes }
        })
    }

    /// Records that another process serves this address too.
    pub fn add_process(&self) {
        self.set_processes(self.processes.get() + 1);
    }

    /// Records that the other process is gone.
    pub fn remove_process(&self) {
        self.set_processes(self.processes.get() - 1);
    }

    fn set_processes(&self, processes: usize) {
        self.processes.set(processes);
        self.memory.set_processes(processes);
    }

    /// Memory for requests, their values and their answers.
    pub fn memory(&self) -> &Rc<MemoryBudget> {
        &self.memory
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

    /// Most open client connections, by descriptors and by memory.
    pub fn max_client_connections(&self) -> usize {
        let by_memory = self.connection_bytes / self.processes.get() / CONNECTION_BYTES;
        (self.traffic_sockets() - self.traffic_sockets() / 3).min(by_memory).max(1)
    }

    /// Number of client connections from which on idle ones are closed for new ones: a quarter of this process's
    /// sockets, below the limit of client connections unless few descriptors remain, so that idle ones do not fill it.
    pub fn idle_close_threshold(&self) -> usize {
        (self.process_sockets() / 4).clamp(1, self.max_client_connections())
    }
}

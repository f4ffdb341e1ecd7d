//! How much of the configured limits each part may use. While two processes serve one address, at a takeover, the
//! limits hold for both together and each has half.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

use crate::config::{Limits, RESERVED};

pub struct Budget {
    sockets: usize,
    /// Bytes of commands and answers that may be held.
    memory: usize,
    processes: Cell<usize>,
    held: Cell<usize>,
}

impl Budget {
    pub fn new(limits: &Limits) -> Rc<Self> {
        Rc::new(Budget {
            sockets: limits.sockets,
            // Buffers hold more than they are asked to, and the program and its tables need some.
            memory: (limits.memory_mb << 20) / 4,
            processes: Cell::new(1),
            held: Cell::default(),
        })
    }

    /// Another process serves this address too.
    pub fn join(&self) {
        self.processes.set(self.processes.get() + 1);
    }

    /// It is gone.
    pub fn leave(&self) {
        self.processes.set(self.processes.get() - 1);
    }

    fn own_sockets(&self) -> usize {
        self.sockets / self.processes.get()
    }

    fn for_traffic(&self) -> usize {
        self.own_sockets().saturating_sub(RESERVED)
    }

    /// Connections to cache servers that may be open.
    pub fn servers(&self) -> usize {
        (self.for_traffic() / 3).max(1)
    }

    /// Client connections that may be open.
    pub fn clients(&self) -> usize {
        (self.for_traffic() - self.for_traffic() / 3).max(1)
    }

    /// Client connections from which on those between requests make room. Clients may hold a third of all at most
    /// for requests; less, so that they never hold it idle.
    pub fn clients_wanted(&self) -> usize {
        (self.own_sockets() / 4).clamp(1, self.clients())
    }

    pub fn hold(&self, bytes: usize) {
        self.held.set(self.held.get() + bytes);
    }

    pub fn release(&self, bytes: usize) {
        self.held.set(self.held.get() - bytes);
    }

    /// Whether more may be held.
    pub fn has_room(&self) -> bool {
        self.held.get() < self.memory / self.processes.get()
    }
}

/// Bytes that are held until this is dropped.
pub struct Held {
    budget: Rc<Budget>,
    bytes: usize,
}

impl Held {
    pub fn new(budget: &Rc<Budget>, bytes: usize) -> Self {
        budget.hold(bytes);
        Held { budget: budget.clone(), bytes }
    }

    pub fn set(&mut self, bytes: usize) {
        self.budget.hold(bytes);
        self.budget.release(std::mem::replace(&mut self.bytes, bytes));
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}

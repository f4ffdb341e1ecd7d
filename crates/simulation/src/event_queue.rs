//! Event queue, ordered by time and then by insertion.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

use crate::time::Time;

struct Scheduled<D> {
    at: Time,
    sequence: u64,
    item: D,
}

impl<D> PartialEq for Scheduled<D> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<D> Eq for Scheduled<D> {}

impl<D> PartialOrd for Scheduled<D> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<D> Ord for Scheduled<D> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// Priority queue of scheduled items.
pub struct EventQueue<D> {
    queue: BinaryHeap<Reverse<Scheduled<D>>>,
    /// Number of items inserted so far.
    inserted: u64,
}

impl<D> Default for EventQueue<D> {
    fn default() -> Self {
        EventQueue { queue: BinaryHeap::new(), inserted: 0 }
    }
}

impl<D> EventQueue<D> {
    /// Schedules an item; items with the same time are taken in insertion order.
    pub fn schedule(&mut self, at: Time, item: D) {
        self.inserted += 1;
        self.queue.push(Reverse(Scheduled { at, sequence: self.inserted, item }));
    }

    /// Time of the next item.
    pub fn next_time(&self) -> Option<Time> {
        self.queue.peek().map(|Reverse(item)| item.at)
    }

    /// Takes the next item if it is due at or before `until`.
    pub fn pop_until(&mut self, until: Time) -> Option<(Time, D)> {
        self.next_time().filter(|at| *at <= until)?;
        self.queue.pop().map(|Reverse(Scheduled { at, item, .. })| (at, item))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn items_are_taken_by_time_and_then_by_insertion_order() {
        let mut event_queue = EventQueue::default();
        for (at, item) in [(5, 'c'), (1, 'a'), (5, 'd'), (2, 'b'), (9, 'e')] {
            event_queue.schedule(Time(at), item);
        }
        assert_eq!(event_queue.next_time(), Some(Time(1)));
        let taken: Vec<char> =
            std::iter::from_fn(|| event_queue.pop_until(Time(5))).map(|(_, item)| item).collect();
        assert_eq!(taken, ['a', 'b', 'c', 'd']);
        assert_eq!((event_queue.next_time(), event_queue.pop_until(Time(8))), (Some(Time(9)), None));
    }
}

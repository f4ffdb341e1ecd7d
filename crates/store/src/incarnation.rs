//! Chooses the incarnation of a node's process, and how long the process stays silent before it uses it. No I/O.
//!
//! No incarnation may be used (sent to other nodes) by two processes, and none may be below one used before. With a
//! settled incarnation stored, the next one is above it and is written before the first message. Otherwise only the
//! wall clock tells incarnations apart, and the clock may have stepped back by up to `b`. So a process that does not
//! know its predecessor takes a number `b` ahead of its clock and sends nothing for `2b`: the lead passes what earlier
//! processes used, and the silence lets the clock of any later process pass this one.
//!
//! This is correct if the clock's error varies by at most `b` over all processes of the node together, if two
//! processes start at least 1 ms apart, and if nobody restores an older copy of the file. `tests/lives.rs` checks it
//! with a model checker.

use std::time::Duration;

use hallpin_membership::names::Incarnation;

/// What is known of the incarnations that earlier processes of a node used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Past {
    /// There is no stored state, or none that may be used.
    Unknown,
    /// An incarnation is stored whose process did not know its predecessor, and whose silence was not over at the last
    /// write.
    Unsettled(Incarnation),
    /// An incarnation is stored that the next one may follow directly.
    Settled(Incarnation),
}

/// The incarnation of a process, and the silence before it is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Start {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// How long nothing may be sent under this incarnation, on the monotonic clock, from its choice on.
    pub quiet: Duration,
}

impl Start {
    /// An incarnation that is written to the store before the first message. It follows a settled one without silence.
    pub fn written(past: Past, now_unix_ms: u64, step_back: Duration) -> Self {
        match past {
            Past::Settled(before) => {
                let follows = before.0.saturating_add(1);
                Start { incarnation: Incarnation(follows.max(now_unix_ms)), quiet: Duration::ZERO }
            }
            Past::Unknown | Past::Unsettled(_) => Start::unwritten(past, now_unix_ms, step_back),
        }
    }

    /// An incarnation that cannot be written, or whose predecessor is unknown. A node without a store starts with this
    /// and [`Past::Unknown`].
    pub fn unwritten(past: Past, now_unix_ms: u64, step_back: Duration) -> Self {
        let least = match past {
            Past::Unknown => 0,
            Past::Unsettled(before) | Past::Settled(before) => before.0.saturating_add(1),
        };
        let ahead = u64::try_from(step_back.as_millis()).unwrap_or(u64::MAX);
        let incarnation = Incarnation(now_unix_ms.saturating_add(ahead).max(least));
        Start { incarnation, quiet: step_back.saturating_mul(2) }
    }

    /// Whether the next process may follow this incarnation without silence once this one is written.
    pub fn is_settled(&self) -> bool {
        self.quiet.is_zero()
    }
}

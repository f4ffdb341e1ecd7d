//! Trace of a run as a sequence of events. Both the simulator and the emulator write it, and the invariant checker
//! reads nothing else.

mod ends;
mod event;

use serde::{Deserialize, Serialize};

use crate::time::Time;
pub use ends::{AttemptOutcome, TryOutcome};
pub use event::Event;

/// Identifies a client's request over all its tries.
pub type AskId = u64;
/// Identifies one try of a request, which a node accepts and answers.
pub type TryId = u64;

/// An event and its time: one line of a trace file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time of the event, in microseconds.
    pub at: Time,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// Receives events in order of time.
pub trait Sink {
    /// Records one event.
    fn record(&mut self, at: Time, event: &Event);
}

impl<F: FnMut(Time, &Event)> Sink for F {
    fn record(&mut self, at: Time, event: &Event) {
        self(at, event);
    }
}

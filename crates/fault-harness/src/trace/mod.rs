//! The trace of a run: events that the harness observed from outside, in order and by one clock. It is the only input
//! of the invariant checker.

mod event;
mod recorder;

pub use event::{BoxAnswer, ClientAnswer, End, Event, Record};
pub use recorder::{Recorder, WaitTimeout, MAX_RECORDS};

//! Connections to cache servers: the address of each server, whether it may be written to, and the cached connections
//! to it. A connection carries one attempt at a time, because an answer has to wait for the ones before it.

mod attempt;
mod body_stream;
mod call;
mod connection;
mod dial;
mod endpoints;
mod health_check;
mod keep_alive;
mod pool;
mod receive;
#[cfg(test)]
pub(crate) mod tests;

pub use attempt::{AttemptResult, ServedAnswer};
pub use body_stream::{BodyStream, BrokenBody, MAX_UNSENT_BODY_BYTES};
pub use call::{ExecutionTracker, UpstreamCall};
pub use pool::{Bounds, Upstream};
pub use receive::SMALL_ANSWER_BYTES;

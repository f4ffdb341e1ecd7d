//! Stand-ins for what a node meets: the platform that starts it, discovery, cache servers and clients. Everything runs
//! on loopback addresses and on the real clock, with the standard library alone.

pub mod client;
pub mod discovery;
pub mod platform;
pub mod record;
pub mod server;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

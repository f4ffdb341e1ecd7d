//! Encoding and decoding of the memcache meta commands as pure functions, without I/O.
//!
//! A node decodes clients' [`command`]s and converts cache servers' answers to the client's with [`reply`]; a cache
//! server decodes the same commands and encodes its answers with [`cache_server`]; a client encodes commands and
//! decodes answers with [`client`].

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod cache_server;
pub mod client;
pub mod command;
mod flags;
mod line;
mod partial;
pub mod reply;
#[cfg(test)]
mod tests;

pub use command::{key_of, next_input, Command, Input, Verb, INVALID_BLOCK};
pub use partial::{min_missing_bytes, next_input_without_value};
pub use reply::{
    busy, client_answer, is_client_error, min_missing_reply_bytes, next_health_check_answer, next_reply,
    Body, Malformed, Reply, FAILED, HEALTH_CHECK, ID_IN_USE, NOT_READY, READY, TOO_SLOW, UNKNOWN_CLASS,
};

/// Maximum length of an answer's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 4 << 20;
/// Maximum length of a value that is buffered completely, in bytes: the value of any command, and of an answer that is
/// verified to its end before it is forwarded. Longer values of answers are streamed.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 * 1024;
/// Maximum length of a line without its line end, in bytes.
pub const MAX_LINE_BYTES: usize = 2048;
/// Maximum length of a key in bytes, as defined by the memcache protocol.
const MAX_KEY_BYTES: usize = 250;
/// Maximum length of an opaque id in bytes.
const MAX_OPAQUE_BYTES: usize = 64;

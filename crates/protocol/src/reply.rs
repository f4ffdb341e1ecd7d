//! Answers: decoding those of cache servers and encoding those for clients.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hallpin_balancer::CacheNote;

use crate::command::{Command, Verb};
use crate::flags::{is_load_report, AnswerFlags};
use crate::line::{line_length, parse_digits};
use crate::{MAX_BUFFERED_VALUE_BYTES, MAX_VALUE_BYTES};

/// A cache server's answer.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The command with this id was executed.
    Served {
        /// The id as the command contained it.
        opaque: Bytes,
        /// The value or the receipt.
        body: Body,
        /// The result of a read's cache lookup, if the cache server reports it.
        cache_note: Option<CacheNote>,
    },
    /// The cache server rejected the command: it was not executed.
    Busy,
    /// The command failed: it may have been executed.
    Failed,
}

/// The value or the receipt of an answer.
#[derive(Debug, PartialEq)]
pub enum Body {
    /// A complete value.
    Value(Bytes),
    /// The length of a value of which only the line was removed from the buffer.
    Streamed(usize),
    /// The receipt of a write.
    Receipt(Bytes),
}

/// The bytes are not a valid answer; nothing that follows on the connection can be trusted.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// Removes the next complete answer from `buf`, or only its line if its value is longer than
/// [`MAX_BUFFERED_VALUE_BYTES`]; `None` while the answer, or that line, is incomplete.
pub fn next_reply(buf: &mut BytesMut) -> Result<Option<Reply>, Malformed> {
    let Some(end) = line_length(buf).map_err(|()| Malformed)? else { return Ok(None) };
    let line = buf[..end].strip_suffix(b"\r").ok_or(Malformed)?;
    let words: Vec<&[u8]> = line.split(|&b| b == b' ').collect();
    let (flags, length) = match words[..] {
        [b"VA", length, ref flags @ ..] => {
            let length = std::str::from_utf8(length).ok().and_then(parse_digits::<usize>);
            (flags, Some(length.filter(|&length| length <= MAX_VALUE_BYTES).ok_or(Malformed)?))
        }
        [b"HD", ref flags @ ..] => (flags, None),
        // This answer proves that the command was not executed, so only a load report may follow the exact words.
        [b"SERVER_ERROR", b"busy", ref rest @ ..] if is_empty_or_load_report(rest) => {
            buf.advance(end + 1);
            return Ok(Some(Reply::Busy));
        }
        [b"SERVER_ERROR", ..] => {
            buf.advance(end + 1);
            return Ok(Some(Reply::Failed));
        }
        _ => return Err(Malformed),
    };
    // Checked before the value has arrived, so that an invalid answer is rejected without waiting for it.
    let flags = AnswerFlags::parse(flags)?;
    let is_long = length.is_some_and(|length| length > MAX_BUFFERED_VALUE_BYTES);
    let block_length = length.filter(|_| !is_long).map_or(0, |length| length + 2);
    if buf.len() < end + 1 + block_length {
        return Ok(None);
    }
    let opaque = Bytes::copy_from_slice(flags.opaque);
    let receipt = flags.receipt.map(Bytes::copy_from_slice);
    let cache_note = flags.note;
    buf.advance(end + 1);
    let body = match length {
        Some(length) if is_long => Body::Streamed(length),
        Some(length) => {
            let mut value = buf.split_to(block_length).freeze();
            if &value[length..] != b"\r\n" {
                return Err(Malformed);
            }
            value.truncate(length);
            Body::Value(value)
        }
        None => Body::Receipt(receipt.ok_or(Malformed)?),
    };
    Ok(Some(Reply::Served { opaque, body, cache_note }))
}

/// A lower bound on the bytes still missing from the incomplete answer at the start of `buf`: 1 while its line is
/// incomplete, as the next byte may end it, and the exact number for a value that is buffered.
pub fn min_missing_reply_bytes(buf: &[u8]) -> usize {
    let Ok(Some(end)) = line_length(buf) else { return 1 };
    let mut words = buf[..end].strip_suffix(b"\r").unwrap_or_default().split(|&b| b == b' ');
    let is_value = words.next() == Some(b"VA");
    let length = words.next().and_then(|word| std::str::from_utf8(word).ok()).and_then(parse_digits::<usize>);
    let length = length.filter(|&length| is_value && length <= MAX_BUFFERED_VALUE_BYTES);
    (end + 1 + length.map_or(0, |length| length + 2)).saturating_sub(buf.len()).max(1)
}

/// Asks a cache server whether it is ready: the health check that is sent if the settings allow it.
pub const HEALTH_CHECK: &[u8] = b"mn\r\n";

/// Removes the answer to a health check from `buf` and returns whether the server is ready; `None` while it is
/// incomplete.
pub fn next_health_check_answer(buf: &mut BytesMut) -> Result<Option<bool>, Malformed> {
    let Some(end) = line_length(buf).map_err(|()| Malformed)? else { return Ok(None) };
    let line = buf.split_to(end + 1);
    let line = line[..end].strip_suffix(b"\r").ok_or(Malformed)?;
    let words: Vec<&[u8]> = line.split(|&b| b == b' ').collect();
    match words[..] {
        [b"MN", ref rest @ ..] if is_empty_or_load_report(rest) => Ok(Some(true)),
        [b"SERVER_ERROR", ..] => Ok(Some(false)),
        _ => Err(Malformed),
    }
}

/// Whether the words after an answer's fixed part are none, or a single load report.
fn is_empty_or_load_report(rest: &[&[u8]]) -> bool {
    match rest {
        [] => true,
        [word] => is_load_report(word),
        _ => false,
    }
}

/// Converts a cache server's answer to the client's; of a long value only the line. Returns `None` if it is not an
/// answer to this command: forwarding it would give one client the answer to another.
pub fn client_answer(command: &Command, opaque: &[u8], body: &Body) -> Option<Bytes> {
    let mut answer = Vec::new();
    match (command.verb, body) {
        _ if opaque != command.opaque() => return None,
        (Verb::Get, Body::Streamed(length)) => {
            answer.extend_from_slice(format!("VA {length} O").as_bytes());
            answer.extend_from_slice(opaque);
        }
        (Verb::Get, Body::Value(value)) => {
            answer.extend_from_slice(format!("VA {} O", value.len()).as_bytes());
            answer.extend_from_slice(opaque);
            answer.extend_from_slice(b"\r\n");
            answer.extend_from_slice(value);
        }
        (Verb::Set, Body::Receipt(receipt)) => {
            answer.extend_from_slice(b"HD O");
            answer.extend_from_slice(opaque);
            answer.extend_from_slice(b" c");
            answer.extend_from_slice(receipt);
        }
        _ => return None,
    }
    answer.extend_from_slice(b"\r\n");
    Some(answer.into())
}

/// Encodes a rejection, with the time after which the client may retry, rounded up to milliseconds.
pub fn busy(retry_after: Option<Duration>) -> Bytes {
    match retry_after {
        Some(after) => format!("SERVER_ERROR busy {}\r\n", after.as_micros().div_ceil(1000)).into(),
        None => Bytes::from_static(b"SERVER_ERROR busy\r\n"),
    }
}

/// Answer to a command whose class is not in the settings.
pub const UNKNOWN_CLASS: Bytes = Bytes::from_static(b"CLIENT_ERROR unknown class\r\n");
/// Answer to a command whose id another open command uses.
pub const ID_IN_USE: Bytes = Bytes::from_static(b"CLIENT_ERROR id in use\r\n");
/// Answer to a command that was not received completely in time.
pub const TOO_SLOW: Bytes = Bytes::from_static(b"CLIENT_ERROR command not whole in time\r\n");
/// Answer to a failed command, which may have been executed or not.
pub const FAILED: Bytes = Bytes::from_static(b"SERVER_ERROR failed\r\n");
/// Answer to `mn`: the node accepts clients.
pub const READY: Bytes = Bytes::from_static(b"MN\r\n");
/// Answer to `mn`: the node does not accept clients.
pub const NOT_READY: Bytes = Bytes::from_static(b"SERVER_ERROR not ready\r\n");

/// Whether an answer says that the client's command is invalid.
pub fn is_client_error(answer: &[u8]) -> bool {
    answer.starts_with(b"CLIENT_ERROR") || answer.starts_with(b"ERROR")
}

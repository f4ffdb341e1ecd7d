//! Commands that clients send: decoding in a node and forwarding to a cache server.

use std::hash::Hasher;
use std::ops::Range;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hallpin_balancer::Key;

use crate::line::{line_length, parse_digits};
use crate::{MAX_BUFFERED_VALUE_BYTES, MAX_KEY_BYTES, MAX_OPAQUE_BYTES};

/// The kind of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verb {
    /// `mg`: a read.
    Get,
    /// `ms`: a write.
    Set,
}

/// A complete, well-formed command of a client. Its text is kept, because it is forwarded unchanged except for `d`.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// Whether the command reads or writes.
    pub verb: Verb,
    /// The hash of the command's key.
    pub key: Key,
    /// The name of the request class.
    pub class: String,
    /// The name of the tenant, if any.
    pub tenant: Option<String>,
    /// How long the client waits for the answer, from sending the command on.
    pub wait: Duration,
    /// The client's estimate of the work that the command needs.
    pub work_hint: Option<Duration>,
    /// The command's line without its line end.
    line: Bytes,
    /// Position of the opaque id in the line.
    opaque: Range<usize>,
    /// Position of the digits of `d` in the line.
    wait_digits: Range<usize>,
    /// The value of a write; empty for a read.
    value: Bytes,
}

/// What a node received from a client.
#[derive(Debug, PartialEq)]
pub enum Input {
    /// A read or a write.
    Command(Box<Command>),
    /// `mn`: asks whether the node is ready.
    HealthCheck,
    /// Not a valid command.
    Invalid {
        /// The answer line.
        answer: &'static str,
        /// The framing is lost, so the connection must be closed.
        close: bool,
    },
}

pub(crate) const INVALID_LINE: Input =
    Input::Invalid { answer: "CLIENT_ERROR bad command line format\r\n", close: false };
pub(crate) const UNKNOWN_COMMAND: Input = Input::Invalid { answer: "ERROR\r\n", close: false };
pub(crate) const LINE_TOO_LONG: Input =
    Input::Invalid { answer: "CLIENT_ERROR line too long\r\n", close: true };
pub(crate) const VALUE_TOO_LARGE: Input =
    Input::Invalid { answer: "CLIENT_ERROR value too large\r\n", close: true };
/// A write whose value does not end where its line says.
pub const INVALID_BLOCK: Input = Input::Invalid { answer: "CLIENT_ERROR bad data chunk\r\n", close: true };

/// Removes the next complete command from `buf`; `None` while it is incomplete. After an invalid one with `close`, the
/// bytes left in `buf` cannot be read as commands.
pub fn next_input(buf: &mut BytesMut) -> Option<Input> {
    let end = match line_length(buf) {
        Ok(end) => end?,
        Err(()) => return Some(LINE_TOO_LONG),
    };
    // Cache servers close a connection on bytes that they cannot read, although other requests wait on it, so such
    // bytes must not be forwarded.
    let is_printable = |line: &&[u8]| line.iter().all(|b| matches!(b, b' '..=b'~'));
    let text =
        buf[..end].strip_suffix(b"\r").filter(is_printable).and_then(|line| std::str::from_utf8(line).ok());
    let Some(text) = text else {
        let is_framed = !buf.starts_with(b"ms");
        buf.advance(end + 1);
        return Some(if is_framed { INVALID_LINE } else { INVALID_BLOCK });
    };
    // Not collected: a line may have a thousand words.
    let mut words = text.split(' ');
    let (verb, key, length) = (words.next(), words.next(), words.next());
    let length = match (verb.unwrap_or_default(), length) {
        ("ms", Some(length)) => match parse_digits::<usize>(length) {
            Some(length) if length <= MAX_BUFFERED_VALUE_BYTES => Some(length),
            Some(_) => return Some(VALUE_TOO_LARGE),
            None => return Some(INVALID_BLOCK),
        },
        ("ms", None) => return Some(INVALID_BLOCK),
        ("mg", _) => None,
        ("mn", None) if key.is_none() => {
            buf.advance(end + 1);
            return Some(Input::HealthCheck);
        }
        _ => {
            buf.advance(end + 1);
            return Some(UNKNOWN_COMMAND);
        }
    };
    let block_length = length.map_or(0, |length| length + 2);
    if buf.len() < end + 1 + block_length {
        return None;
    }
    // Copied, because a slice of the read buffer would keep the whole buffer in memory.
    let line = Bytes::copy_from_slice(&buf[..end.saturating_sub(1)]);
    let value = Bytes::copy_from_slice(&buf[end + 1..][..length.unwrap_or(0)]);
    let has_line_end = length.is_none_or(|length| buf[end + 1 + length..].starts_with(b"\r\n"));
    buf.advance(end + 1 + block_length);
    if !has_line_end {
        return Some(INVALID_BLOCK);
    }
    Some(parse_command(line, value).map_or(INVALID_LINE, |command| Input::Command(Box::new(command))))
}

/// Parses a command from its line and the value behind it; `None` if a word, flag or parameter is missing, repeated or
/// invalid. Unknown parameters are ignored.
pub(crate) fn parse_command(line: Bytes, value: Bytes) -> Option<Command> {
    let text = std::str::from_utf8(&line).ok()?;
    // The range of the line that `part`, a slice of it, occupies.
    let range_of = |part: &str| {
        let start = part.as_ptr() as usize - text.as_ptr() as usize;
        start..start + part.len()
    };
    let mut words = text.split(' ');
    let verb = match words.next()? {
        "mg" => Verb::Get,
        "ms" => Verb::Set,
        _ => return None,
    };
    let key = words.next().filter(|key| !key.is_empty() && key.len() <= MAX_KEY_BYTES)?;
    if verb == Verb::Set {
        words.next()?;
    }
    let (mut wants_value, mut opaque, mut params) = (false, None, None);
    for flag in words {
        let first = flag.chars().next()?;
        let token = &flag[first.len_utf8()..];
        match first {
            'v' if token.is_empty() && !wants_value => wants_value = true,
            'O' if opaque.is_none() && (1..=MAX_OPAQUE_BYTES).contains(&token.len()) => opaque = Some(token),
            'P' if params.is_none() => params = Some(token),
            _ => return None,
        }
    }
    if wants_value != (verb == Verb::Get) {
        return None;
    }
    let (mut class, mut tenant, mut wait, mut work_hint, mut idempotency_key) =
        (None, None, None, None, None);
    for pair in params?.split(',') {
        let (name, value) = pair.split_once('=')?;
        let slot = match name {
            "c" => &mut class,
            "t" => &mut tenant,
            "d" => &mut wait,
            "h" => &mut work_hint,
            "k" => &mut idempotency_key,
            _ => continue,
        };
        // Rejected, because the cache server might use the other one of two values.
        if slot.replace(value).is_some() {
            return None;
        }
    }
    let wait_text = wait?;
    let wait = parse_digits::<u32>(wait_text)?;
    let work_hint = match work_hint {
        Some(text) => Some(Duration::from_micros(parse_digits::<u32>(text)?.into())),
        None => None,
    };
    Some(Command {
        verb,
        key: key_of(key),
        class: class?.into(),
        tenant: tenant.map(Into::into),
        wait: Duration::from_millis(wait.into()),
        work_hint,
        opaque: range_of(opaque?),
        wait_digits: range_of(wait_text),
        line: line.clone(),
        value,
    })
}

/// The FNV-1a hash of a key. All nodes and all restarts must use the same function; otherwise a key would have several
/// owners.
pub fn key_of(text: &str) -> Key {
    let mut hash = fnv::FnvHasher::default();
    hash.write(text.as_bytes());
    Key(hash.finish())
}

impl Command {
    /// The request's id as its client sent it.
    pub fn opaque(&self) -> Bytes {
        self.line.slice(self.opaque.clone())
    }

    /// Approximate size of the command in memory, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.line.len() + self.value.len()
    }

    /// Encodes the command's line for a cache server: unchanged except for how long the answer is waited for. A write's
    /// value follows it as [`Command::block`] gives it.
    pub fn line_for_server(&self, wait: Duration) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.line.len() + 16);
        bytes.extend_from_slice(&self.line[..self.wait_digits.start]);
        bytes.extend_from_slice(wait.as_millis().to_string().as_bytes());
        bytes.extend_from_slice(&self.line[self.wait_digits.end..]);
        bytes.extend_from_slice(b"\r\n");
        bytes
    }

    /// What follows the line: the value of a write and its terminator, both empty for a read.
    pub fn block(&self) -> [&[u8]; 2] {
        match self.verb {
            Verb::Get => [b"", b""],
            Verb::Set => [&self.value, b"\r\n"],
        }
    }

    /// Encodes the whole command for a cache server.
    pub fn encode_for_server(&self, wait: Duration) -> Vec<u8> {
        [&self.line_for_server(wait)[..], &self.block().concat()].concat()
    }
}

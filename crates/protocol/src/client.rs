//! The client's side of a connection: encoding commands and decoding the answers.

use std::fmt::Write;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};

use crate::line::{line_length, parse_digits};
use crate::{Malformed, MAX_VALUE_BYTES};

/// A client's command. No string may contain a space, and class, tenant and idempotency key no comma either, because
/// the line is split at spaces and its parameters at commas.
#[derive(Clone, Copy, Debug)]
pub struct ClientCommand<'a> {
    /// The key.
    pub key: &'a str,
    /// The value to write; `None` for a read.
    pub value: Option<&'a [u8]>,
    /// The id of this attempt.
    pub opaque: &'a str,
    /// The name of the request class.
    pub class: &'a str,
    /// The name of the tenant, if any.
    pub tenant: Option<&'a str>,
    /// How long the client waits for the answer, from sending the command on.
    pub wait: Duration,
    /// The client's estimate of the work that the command needs.
    pub work_hint: Option<Duration>,
    /// The idempotency key of a write that is deduplicated by key.
    pub idempotency_key: Option<&'a str>,
    /// Whether this attempt is a retry, for clients that mark retries.
    pub retry: bool,
}

impl ClientCommand<'_> {
    /// Encodes the command.
    pub fn to_bytes(&self) -> Vec<u8> {
        let ClientCommand { key, opaque, class, .. } = self;
        let mut line = match self.value {
            Some(value) => format!("ms {key} {} O{opaque} Pc={class}", value.len()),
            None => format!("mg {key} v O{opaque} Pc={class}"),
        };
        let mut add_parameter = |name: &str, value: &dyn std::fmt::Display| {
            // Writing to a `String` cannot fail.
            let _ = write!(line, ",{name}={value}");
        };
        self.tenant.iter().for_each(|tenant| add_parameter("t", tenant));
        add_parameter("d", &self.wait.as_millis());
        self.work_hint.iter().for_each(|hint| add_parameter("h", &hint.as_micros()));
        self.idempotency_key.iter().for_each(|key| add_parameter("k", key));
        if self.retry {
            add_parameter("r", &1);
        }
        let mut bytes = line.into_bytes();
        bytes.extend_from_slice(b"\r\n");
        if let Some(value) = self.value {
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes
    }
}

/// The answer to an attempt, as decoded by its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// A value, and the id of the attempt that it answers.
    Value(Bytes, Bytes),
    /// The receipt of a write, and the id of the attempt that it answers.
    Receipt(Bytes, Bytes),
    /// Rejected without execution: a retry is safe, after this time if the answer names one.
    Busy(Option<Duration>),
    /// Any other line.
    Failed(Bytes),
}

/// Removes the next complete answer from `buf`; `None` while it is incomplete.
///
/// # Errors
/// [`Malformed`] if the bytes cannot be an answer; nothing that follows on the connection can be trusted then.
pub fn next_answer(buf: &mut BytesMut) -> Result<Option<Answer>, Malformed> {
    let Some(end) = line_length(buf).map_err(|()| Malformed)? else { return Ok(None) };
    let line = buf[..end].strip_suffix(b"\r").ok_or(Malformed)?;
    let words: Vec<&[u8]> = line.split(|&b| b == b' ').collect();
    let flag = |letter: u8| {
        let word = words.iter().skip(1).find(|word| word.first() == Some(&letter)).ok_or(Malformed)?;
        Ok(Bytes::copy_from_slice(&word[1..]))
    };
    let number = |word: &[u8]| std::str::from_utf8(word).ok().and_then(parse_digits::<usize>);
    let answer = match words[..] {
        [b"VA", length, ..] => {
            let length = number(length).filter(|&length| length <= MAX_VALUE_BYTES).ok_or(Malformed)?;
            if buf.len() < end + 1 + length + 2 {
                return Ok(None);
            }
            let opaque = flag(b'O')?;
            if &buf[end + 1 + length..end + 3 + length] != b"\r\n" {
                return Err(Malformed);
            }
            buf.advance(end + 1);
            let value = buf.split_to(length).freeze();
            buf.advance(2);
            return Ok(Some(Answer::Value(value, opaque)));
        }
        [b"HD", ..] => Answer::Receipt(flag(b'c')?, flag(b'O')?),
        [b"SERVER_ERROR", b"busy"] => Answer::Busy(None),
        [b"SERVER_ERROR", b"busy", after] => {
            Answer::Busy(number(after).map(|ms| Duration::from_millis(ms as u64)))
        }
        _ => Answer::Failed(Bytes::copy_from_slice(line)),
    };
    buf.advance(end + 1);
    Ok(Some(answer))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{busy, next_input, Input, Verb, FAILED};

    const READ_COMMAND: ClientCommand = ClientCommand {
        key: "7f3a",
        value: None,
        opaque: "9b1f",
        class: "read",
        tenant: Some("acme"),
        wait: Duration::from_millis(480),
        work_hint: Some(Duration::from_micros(1500)),
        idempotency_key: None,
        retry: true,
    };

    #[test]
    fn a_node_decodes_what_a_client_encodes() {
        let write = ClientCommand {
            value: Some(b"he\r\nlo"),
            idempotency_key: Some("5c0f"),
            retry: false,
            ..READ_COMMAND
        };
        for (sent, verb) in [(READ_COMMAND, Verb::Get), (write, Verb::Set)] {
            let mut buf = BytesMut::from(&sent.to_bytes()[..]);
            let Some(Input::Command(command)) = next_input(&mut buf) else { panic!("a command") };
            assert!(buf.is_empty());
            assert_eq!((command.verb, command.wait, command.work_hint), (verb, sent.wait, sent.work_hint));
            assert_eq!((&command.class[..], command.tenant.as_deref()), ("read", Some("acme")));
            assert_eq!(command.opaque(), "9b1f");
        }
    }

    #[test]
    fn answers_are_decoded_at_any_split() {
        let mut text = b"VA 4 O9b1f\r\na\r\nb\r\nHD O9b1f c77\r\n".to_vec();
        text.extend(busy(Some(Duration::from_millis(250))));
        text.extend(busy(None));
        text.extend(FAILED);
        let id = || Bytes::from_static(b"9b1f");
        let expected = [
            Answer::Value(Bytes::from_static(b"a\r\nb"), id()),
            Answer::Receipt(Bytes::from_static(b"77"), id()),
            Answer::Busy(Some(Duration::from_millis(250))),
            Answer::Busy(None),
            Answer::Failed(Bytes::from_static(b"SERVER_ERROR failed")),
        ];
        for cut in 0..text.len() {
            let mut buf = BytesMut::from(&text[..cut]);
            let mut got = Vec::new();
            while let Some(answer) = next_answer(&mut buf).unwrap() {
                got.push(answer);
            }
            buf.extend_from_slice(&text[cut..]);
            while let Some(answer) = next_answer(&mut buf).unwrap() {
                got.push(answer);
            }
            assert_eq!(got, expected, "cut at {cut}");
        }
    }

    #[test]
    fn invalid_answers_are_malformed() {
        for text in ["VA x Oa\r\n", "VA 1\r\na\r\n", "VA 1 Oa\r\nabc", "HD Oa\r\n", "HD c1\r\n", "MN\n"] {
            assert_eq!(next_answer(&mut BytesMut::from(text)), Err(Malformed), "{text}");
        }
    }
}

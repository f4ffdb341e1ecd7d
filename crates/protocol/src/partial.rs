//! What the beginning of a command tells before all of it has arrived.

use bytes::Bytes;

use crate::command::{parse_command, Input, INVALID_LINE};
use crate::line::{line_length, parse_digits};
use crate::MAX_BUFFERED_VALUE_BYTES;

/// A lower bound on the bytes still missing from the incomplete command at the start of `buf`: 1 while its line is
/// incomplete, as the next byte may end it, and the exact number for a data block.
pub fn min_missing_bytes(buf: &[u8]) -> usize {
    let Ok(Some(end)) = line_length(buf) else { return 1 };
    let mut words = buf[..end].strip_suffix(b"\r").unwrap_or_default().split(|&b| b == b' ');
    let verb = words.next();
    let length = words.nth(1).and_then(|word| std::str::from_utf8(word).ok()).and_then(parse_digits::<usize>);
    let length = length.filter(|&length| verb == Some(b"ms") && length <= MAX_BUFFERED_VALUE_BYTES);
    (end + 1 + length.map_or(0, |length| length + 2)).saturating_sub(buf.len()).max(1)
}

/// Parses the line of a command whose value is not kept. Returns `None` while the line is incomplete.
pub fn next_input_without_value(buf: &[u8]) -> Option<Input> {
    let end = line_length(buf).ok()??;
    let line = Bytes::copy_from_slice(buf[..end].strip_suffix(b"\r")?);
    let command = parse_command(line, Bytes::new());
    Some(command.map_or(INVALID_LINE, |command| Input::Command(Box::new(command))))
}

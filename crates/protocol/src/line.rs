//! Line framing and number parsing for both sides of a connection.

use std::str::FromStr;

use crate::MAX_LINE_BYTES;

/// Length of the line at the start of `buf`, without its line feed; `Ok(None)` while it is incomplete, `Err` if it is
/// longer than [`MAX_LINE_BYTES`].
pub(crate) fn line_length(buf: &[u8]) -> Result<Option<usize>, ()> {
    match buf.iter().take(MAX_LINE_BYTES + 2).position(|&b| b == b'\n') {
        Some(at) => Ok(Some(at)),
        None if buf.len() >= MAX_LINE_BYTES + 2 => Err(()),
        None => Ok(None),
    }
}

/// Parses a number of digits only; unlike `str::parse`, rejects a sign.
pub(crate) fn parse_digits<T: FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

//! Why a call to discovery failed, as it is logged.

use http_body_util::LengthLimitError;

/// Longest text of a failure that is logged and kept: errors quote what they could not read.
const MAX_FAILURE_BYTES: usize = 256;
/// Why a call failed.
pub(super) type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Adds the limit to the body reader's error about a list over its size limit.
pub(super) fn describe_body_error(error: Failure, max_bytes: usize) -> Failure {
    match error.downcast::<LengthLimitError>() {
        Ok(_) => format!("the list is longer than {max_bytes} bytes").into(),
        Err(error) => error,
    }
}

/// The beginning of a text.
pub(super) fn shorten(mut text: String) -> String {
    if text.len() > MAX_FAILURE_BYTES {
        let end = (0..=MAX_FAILURE_BYTES).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        text.truncate(end);
        text.shrink_to_fit();
        text.push_str("...");
    }
    text
}

/// A call that took too long.
pub(super) fn timed_out(_: tokio::time::error::Elapsed) -> Failure {
    "no answer in time".into()
}

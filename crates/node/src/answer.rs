//! The answer to one client command.

use bytes::Bytes;

use crate::metrics::{RequestGuard, RequestOutcome};
use crate::upstream::{BodyStream, ServedAnswer};

/// The answer to a command, and the request that it ends.
pub struct Answer {
    pub text: Bytes,
    /// The remainder of a long value, which follows `text`.
    pub body: Option<BodyStream>,
    /// The request that ends once the last byte is written, for a command that started one.
    pub request_end: Option<(RequestGuard, RequestOutcome)>,
}

impl Answer {
    /// The final answer of a request.
    pub fn final_answer(
        request_guard: RequestGuard,
        ServedAnswer { text, body }: ServedAnswer,
        end: RequestOutcome,
    ) -> Self {
        Answer { text, body, request_end: Some((request_guard, end)) }
    }

    /// The answer to a command that starts no request, or that is rejected.
    pub fn without_request(text: Bytes) -> Self {
        Answer { text, body: None, request_end: None }
    }
}

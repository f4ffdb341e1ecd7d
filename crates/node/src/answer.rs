//! The answer to one client command.

use bytes::Bytes;

use crate::memory::MemoryReservation;
use crate::metrics::{RequestGuard, RequestOutcome};
use crate::upstream::{BodyStream, ServedAnswer};

/// The answer to a command, and the request that it ends.
pub struct Answer {
    pub text: Bytes,
    /// The remainder of a long value, which follows `text`.
    pub body: Option<BodyStream>,
    /// The request that ends once the last byte is written, for a command that started one.
    pub request_end: Option<(RequestGuard, RequestOutcome)>,
    /// Memory that the text holds, if it is not small.
    pub memory: Option<MemoryReservation>,
    /// No memory was left for the answer that this one stands for.
    pub lacked_memory: bool,
}

impl Answer {
    /// The final answer of a request.
    pub fn final_answer(request_guard: RequestGuard, answer: ServedAnswer, end: RequestOutcome) -> Self {
        let ServedAnswer { text, body, memory, lacked_memory } = answer;
        Answer { text, body, request_end: Some((request_guard, end)), memory, lacked_memory }
    }

    /// The answer to a command that starts no request, or that is rejected.
    pub fn without_request(text: Bytes) -> Self {
        Answer { text, body: None, request_end: None, memory: None, lacked_memory: false }
    }
}

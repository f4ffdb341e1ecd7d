//! What a client gets for a command.

use bytes::Bytes;

use crate::figures::{End, Ticket};
use crate::upstream::{Rest, Served};

pub struct Answer {
    pub text: Bytes,
    /// What follows, where the value is long.
    pub rest: Option<Rest>,
    /// The request that ends with the last byte, where one was taken.
    pub ends: Option<(Ticket, End)>,
}

impl Answer {
    /// The final answer of a request.
    pub fn of(ticket: Ticket, Served { text, rest }: Served, end: End) -> Self {
        Answer { text, rest, ends: Some((ticket, end)) }
    }

    /// To a command that asks for no request, or is turned away.
    pub fn untaken(text: Bytes) -> Self {
        Answer { text, rest: None, ends: None }
    }
}

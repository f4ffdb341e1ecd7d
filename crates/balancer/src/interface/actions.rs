//! Actions that a balancer requests of its host.

use super::identifiers::{AttemptId, RequestId, Seconds, ServerId, TimerToken};

/// An action for the host. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the request's next attempt.
    Send {
        /// The request to send.
        request: RequestId,
        /// The server to send the attempt to.
        server: ServerId,
        /// Time after which to abandon the attempt; `None`: when the client stops waiting.
        timeout: Option<Seconds>,
    },
    /// Cancel an attempt in flight.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Final answer: not served, and a retry by the client is harmless.
    Reject {
        /// The rejected request.
        request: RequestId,
        /// Time that the client should wait before a retry.
        retry_after: Option<Seconds>,
    },
    /// Final answer: failed, with no statement on whether the request ran.
    Fail(RequestId),
    /// Set a timer, which fires as [`Event::Timer`](crate::Event::Timer).
    SetTimer {
        /// Token that the timer event returns.
        token: TimerToken,
        /// Delay from now.
        after: Seconds,
    },
    /// Send a health check to a server.
    HealthCheck(ServerId),
    /// Broadcast a message to all other nodes.
    Broadcast(Vec<u8>),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Write a line to the operators' log.
    Log(String),
}

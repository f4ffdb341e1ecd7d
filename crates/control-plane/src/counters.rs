//! Datagram counters of the plane. An incoming datagram counts as received and, if it is dropped, under the cause as
//! well; an outgoing one counts as exactly one of sent, held back and unsendable.

use std::collections::BTreeMap;

use hallpin_membership::envelope::Rejection;

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams received from any sender; those not refused were handled by their state machine.
    pub received: u64,
    /// Datagrams handed over for sending.
    pub sent: u64,
    /// Outgoing datagrams dropped because the rate limit was reached.
    pub held_back: u64,
    /// Payloads dropped because they exceed a datagram or are not for another configured node, which is a bug in a
    /// state machine.
    pub unsendable: u64,
    /// Incoming datagrams dropped, by cause.
    refused: BTreeMap<Rejection, u64>,
}

impl Counters {
    /// Each cause seen so far, with the number of datagrams refused for it.
    pub fn refused(&self) -> impl Iterator<Item = (Rejection, u64)> + '_ {
        self.refused.iter().map(|(cause, count)| (*cause, *count))
    }

    /// Number of datagrams refused for a cause.
    pub fn refused_for(&self, cause: Rejection) -> u64 {
        self.refused.get(&cause).copied().unwrap_or(0)
    }

    pub(crate) fn record_refusal(&mut self, cause: Rejection) {
        *self.refused.entry(cause).or_default() += 1;
    }
}

/// The name of a cause in metrics.
pub fn cause_name(cause: Rejection) -> &'static str {
    match cause {
        Rejection::TooLong => "too_long",
        Rejection::Truncated => "short",
        Rejection::Foreign => "foreign",
        Rejection::Version => "version",
        Rejection::Kind => "kind",
        Rejection::Corrupt => "garbled",
        Rejection::Realm => "realm",
        Rejection::UnknownPeer => "stranger",
        Rejection::Payload => "payload",
    }
}

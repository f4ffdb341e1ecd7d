//! Payloads of the quota protocol: demand reports, grants, redirects to the grantor, and the grantor's leader lease.

use hallpin_leader_lease::LeaseMessage;
use hallpin_membership::envelope::{Rejection, MAX_PAYLOAD};
use hallpin_membership::names::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::quota_page::QuotaPage;

/// Bytes left for a page beside the other fields of the longest message: variant, incarnation, epoch, and three 32-bit
/// numbers.
pub(crate) const MAX_PAGE_BYTES: usize = MAX_PAYLOAD - 1 - 2 * 10 - 3 * 5;
/// Longest row accepted: the most tenants that contracts can have.
const MAX_ROW_LENGTH: usize = crate::contracts::MAX_TENANTS + 1;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Leader lease of the grantor.
    Lease(LeaseMessage),
    /// A node's demand, its safe minimums included: a request for grants in the page's range.
    Wants {
        /// Identifies the request among those of its sender.
        #[serde(rename = "question")]
        request_id: u32,
        /// Digest of the contracts that the rows are ordered by.
        contracts: u32,
        #[serde(rename = "sheet")]
        page: QuotaPage,
    },
    /// Redirect: `node` is the grantor, not the node that was asked.
    Elsewhere { node: NodeId },
    /// What a node is granted beyond its safe minimums.
    Grant {
        /// Incarnation that sent the request.
        life: Incarnation,
        /// The request that this grant answers.
        #[serde(rename = "question")]
        request_id: u32,
        /// Epoch of the grantor's leader lease.
        epoch: u64,
        contracts: u32,
        /// Duration from the sending of the request, in true time.
        length_ms: u32,
        #[serde(rename = "sheet")]
        page: QuotaPage,
    },
}

impl Message {
    /// Encodes the payload. Pages are built to fit; `None` for a message that does not, which would be a bug.
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        postcard::to_stdvec(self).ok().filter(|bytes| bytes.len() <= MAX_PAYLOAD)
    }

    /// Decodes a payload; rejects a row longer than `MAX_ROW_LENGTH` and bytes after the message.
    pub(crate) fn decode(payload: &[u8]) -> Result<Self, Rejection> {
        let (message, rest) = postcard::take_from_bytes(payload).map_err(|_| Rejection::Payload)?;
        let fits = match &message {
            Message::Lease(_) | Message::Elsewhere { .. } => true,
            Message::Wants { page, .. } | Message::Grant { page, .. } => page.longest_row() <= MAX_ROW_LENGTH,
        };
        (rest.is_empty() && fits).then_some(message).ok_or(Rejection::Payload)
    }
}

//! Validates incoming datagrams: intact, of this realm, addressed to this node, and from the configured address of the
//! node that they name as sender. Wraps outgoing payloads.

use hallpin_membership::envelope::{Envelope, Rejection};
use hallpin_membership::names::{NodeId, NodeIncarnation};

/// The identity that datagrams are checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DatagramFilter {
    /// The federation's realm number.
    pub realm: u32,
    /// This node and its incarnation.
    pub this: NodeIncarnation,
    /// Number of nodes in the configuration; all node numbers are below it.
    pub configured: u16,
}

impl DatagramFilter {
    /// Decodes and validates a datagram. `sender` is the node whose configured address it came from.
    ///
    /// # Errors
    /// Returns why the datagram must be dropped: it does not decode, is of another realm, comes from no
    /// configured peer, or is addressed to another node.
    pub fn accept(&self, sender: Option<NodeId>, datagram: &[u8]) -> Result<Envelope, Rejection> {
        let envelope = Envelope::decode(datagram)?;
        if envelope.realm != self.realm {
            return Err(Rejection::Realm);
        }
        let from = envelope.from.node;
        let is_from_peer = from.0 < self.configured && from != self.this.node && sender == Some(from);
        if !is_from_peer || envelope.to != self.this.node {
            return Err(Rejection::UnknownPeer);
        }
        Ok(envelope)
    }

    /// Wraps a payload in a datagram. `None` where the payload is too long or `to` is not another configured node.
    pub(crate) fn encapsulate(
        &self,
        kind: hallpin_membership::envelope::Kind,
        to: NodeId,
        payload: Vec<u8>,
    ) -> Option<Vec<u8>> {
        if to == self.this.node || to.0 >= self.configured {
            return None;
        }
        Envelope { realm: self.realm, kind, from: self.this, to, payload }.encode().ok()
    }
}

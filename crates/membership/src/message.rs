//! Payload format: the sender, the purpose, and as many items as fit. No lengths are read from the wire: items continue
//! to the end of the payload, so no sender can make a receiver allocate memory for a claimed length.

use serde::{Deserialize, Serialize};

use crate::envelope::{Rejection, MAX_PAYLOAD};
use crate::names::{Incarnation, NodeId, ZoneId};

/// A decoded payload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Message {
    pub sender: SenderInfo,
    pub purpose: Purpose,
    pub items: Vec<Item>,
}

/// What a sender states about itself in each datagram; its incarnation is in the envelope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SenderInfo {
    pub zone: ZoneId,
    /// How often this incarnation has refuted claims against it.
    pub refutations: u32,
    pub leaving: bool,
    /// Fingerprint of the incarnations that it considers alive or suspected; a difference triggers a pull.
    #[serde(rename = "print")]
    pub fingerprint: [u8; 4],
}

/// Purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Purpose {
    /// Requests an `Ack` with the same number.
    Ping { seq: u32 },
    /// Answers the `Ping` with the same number.
    Ack { seq: u32 },
    /// Requests a ping of another node and a report of the result (SWIM ping-req).
    #[serde(rename = "PingFor")]
    PingRequest { seq: u32, target: NodeId },
    /// Answers a `PingRequest`: the target answered.
    Relayed { seq: u32 },
    /// Answers a `PingRequest`: the target has not answered, but the node that was asked is up (Lifeguard).
    Nack { seq: u32 },
    /// Requests a page of the membership table from this node number on.
    #[serde(rename = "Ask")]
    PullRequest { from: u16 },
    /// Answers with the claims that fit; the next page starts at `next`, or there is none.
    Page { from: u16, next: Option<u16> },
    /// Carries items only.
    #[serde(rename = "Note")]
    Gossip,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Item {
    Member(Claim),
    Box(Report),
}

/// What the sender claims about a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) struct Claim {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub refutations: u32,
    pub zone: ZoneId,
    #[serde(rename = "saying")]
    pub state: ClaimedState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub(crate) enum ClaimedState {
    Alive,
    /// The node `by` found it silent; `by` need not be the sender.
    Suspect {
        by: NodeId,
    },
    Dead,
    Left,
}

/// What the sender itself recently observed of a box.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Report {
    /// Id of the box, in fixed length: a hash would be longer as a varint.
    pub id: [u8; 8],
    pub started_unix_ms: u64,
    /// Grows with each observation of the sender, over all boxes.
    pub seq: u64,
    /// Recent attempts that were answered.
    pub answered: u16,
    /// Recent attempts that were not answered in time.
    pub silent: u16,
    /// Attempts in flight at the last observation.
    pub in_flight: u16,
    /// Age of the last observation in milliseconds.
    pub age_ms: u16,
}

impl Message {
    /// Decodes a payload from any sender. A payload that cannot be read to its end, or that names nodes that are not
    /// configured, is rejected as a whole.
    pub fn decode(payload: &[u8], configured: u16) -> Result<Message, Rejection> {
        if payload.len() > MAX_PAYLOAD {
            return Err(Rejection::Payload);
        }
        let read = |_| Rejection::Payload;
        let (sender, rest) = postcard::take_from_bytes::<SenderInfo>(payload).map_err(read)?;
        let (purpose, mut rest) = postcard::take_from_bytes::<Purpose>(rest).map_err(read)?;
        let mut items = Vec::new();
        while !rest.is_empty() {
            let (item, after) = postcard::take_from_bytes::<Item>(rest).map_err(read)?;
            items.push(item);
            rest = after;
        }
        let message = Message { sender, purpose, items };
        let listed = message.nodes().all(|node| node.0 < configured);
        listed.then_some(message).ok_or(Rejection::Payload)
    }

    fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        let target = match self.purpose {
            Purpose::PingRequest { target, .. } => Some(target),
            _ => None,
        };
        let named = self.items.iter().flat_map(|item| match item {
            Item::Member(Claim { node, state: ClaimedState::Suspect { by }, .. }) => [Some(*node), Some(*by)],
            Item::Member(claim) => [Some(claim.node), None],
            Item::Box(_) => [None, None],
        });
        target.into_iter().chain(named.flatten())
    }
}

/// Encodes a payload of at most `MAX_PAYLOAD` bytes.
pub(crate) struct Writer {
    bytes: Vec<u8>,
}

impl Writer {
    pub fn new(sender: &SenderInfo, purpose: &Purpose) -> Self {
        let mut writer = Writer { bytes: Vec::with_capacity(MAX_PAYLOAD) };
        writer.append(sender, MAX_PAYLOAD);
        writer.append(purpose, MAX_PAYLOAD);
        writer
    }

    /// Appends an item if it fits with `spare` bytes left free, and returns whether it did.
    pub fn push(&mut self, item: &Item, spare: usize) -> bool {
        self.append(item, MAX_PAYLOAD.saturating_sub(spare))
    }

    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }

    fn append<T: Serialize>(&mut self, value: &T, limit: usize) -> bool {
        let mut buffer = [0; MAX_PAYLOAD];
        let Ok(written) = postcard::to_slice(value, &mut buffer) else { return false };
        let fits = self.bytes.len() + written.len() <= limit;
        if fits {
            self.bytes.extend_from_slice(written);
        }
        fits
    }
}

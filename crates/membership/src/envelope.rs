//! The datagram format between nodes: its header, its greatest length, and the checks that reject a datagram.
//!
//! 28 bytes of header, big-endian: magic `HP` (2), version (1), kind (1), realm (4), sender (2), receiver (2), the
//! sender's incarnation (8), payload length (2), reserved 0 (2), CRC-32 of all else (4). A payload follows.

use crate::names::{Incarnation, NodeId, NodeIncarnation};

/// Greatest length of a datagram in bytes, header included; the deployment's protocol forbids longer ones.
pub const MAX_DATAGRAM: usize = 256;
/// Length of the header in bytes.
pub const HEADER: usize = 28;
/// Greatest length of a payload in bytes.
pub const MAX_PAYLOAD: usize = MAX_DATAGRAM - HEADER;
/// Version of the format that this program writes, and the newest that it reads.
pub const VERSION: u8 = 1;

const MAGIC: [u8; 2] = *b"HP";
const CRC_AT: usize = HEADER - 4;

/// The state machine that a payload is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[repr(u8)]
pub enum Kind {
    /// Membership and digests: this crate.
    Peers = 1,
    /// Placement tables: `hallpin-placement`.
    Placement = 2,
    /// Leases of quotas: `hallpin-quota`.
    Quota = 3,
}

/// A decoded datagram. The sender is not authenticated: all fields are claims of whoever sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The federation, as a hash of its name.
    pub realm: u32,
    /// The state machine that the payload is for.
    pub kind: Kind,
    /// The sending node and its incarnation.
    pub from: NodeIncarnation,
    /// The node that the datagram is addressed to.
    pub to: NodeId,
    /// Payload in the format of that state machine; at most [`MAX_PAYLOAD`] bytes.
    pub payload: Vec<u8>,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, thiserror::Error)]
pub enum Rejection {
    /// It is longer than [`MAX_DATAGRAM`].
    #[error("longer than {MAX_DATAGRAM} bytes")]
    TooLong,
    /// It is shorter than a header, or its payload has another length than the header states.
    #[error("cut short")]
    Truncated,
    /// It does not start with this protocol's magic bytes.
    #[error("not a datagram of this program")]
    Foreign,
    /// It has a version that this program does not read.
    #[error("of another version")]
    Version,
    /// It has a kind that this version does not know.
    #[error("of an unknown kind")]
    Kind,
    /// The checksum does not match, or the reserved bytes are not 0.
    #[error("garbled")]
    Corrupt,
    /// It is for another federation.
    #[error("of another realm")]
    Realm,
    /// It is not for this node, or not from a node of the federation.
    #[error("from or for no peer")]
    UnknownPeer,
    /// The payload cannot be decoded as its kind.
    #[error("with a payload that does not read")]
    Payload,
}

/// A payload is too long for a datagram, in bytes; this is a bug in the program that wrote it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a payload of {0} bytes, at most {MAX_PAYLOAD} expected")]
pub struct TooLong(pub usize);

impl Envelope {
    /// Encodes the datagram.
    ///
    /// # Errors
    /// The payload is longer than [`MAX_PAYLOAD`].
    pub fn encode(&self) -> Result<Vec<u8>, TooLong> {
        let length = self.payload.len();
        if length > MAX_PAYLOAD {
            return Err(TooLong(length));
        }
        let mut out = Vec::with_capacity(HEADER + length);
        out.extend_from_slice(&MAGIC);
        out.extend_from_slice(&[VERSION, self.kind as u8]);
        out.extend_from_slice(&self.realm.to_be_bytes());
        out.extend_from_slice(&self.from.node.0.to_be_bytes());
        out.extend_from_slice(&self.to.0.to_be_bytes());
        out.extend_from_slice(&self.from.incarnation.0.to_be_bytes());
        out.extend_from_slice(&(length as u16).to_be_bytes());
        out.extend_from_slice(&[0; 2]);
        out.extend_from_slice(&[0; 4]);
        out.extend_from_slice(&self.payload);
        let sum = checksum(&out);
        out[CRC_AT..HEADER].copy_from_slice(&sum.to_be_bytes());
        Ok(out)
    }

    /// Decodes a datagram from any sender.
    ///
    /// # Errors
    /// Returns why the datagram must be dropped. Nothing of a rejected datagram may be used.
    pub fn decode(datagram: &[u8]) -> Result<Self, Rejection> {
        if datagram.len() > MAX_DATAGRAM {
            return Err(Rejection::TooLong);
        }
        let (header, payload) = datagram.split_at_checked(HEADER).ok_or(Rejection::Truncated)?;
        if header[..2] != MAGIC {
            return Err(Rejection::Foreign);
        }
        if header[2] != VERSION {
            return Err(Rejection::Version);
        }
        if checksum(datagram) != u32::from_be_bytes(take(header, CRC_AT)) || header[22..24] != [0; 2] {
            return Err(Rejection::Corrupt);
        }
        if usize::from(u16::from_be_bytes(take(header, 20))) != payload.len() {
            return Err(Rejection::Truncated);
        }
        let kind = match header[3] {
            1 => Kind::Peers,
            2 => Kind::Placement,
            3 => Kind::Quota,
            _ => return Err(Rejection::Kind),
        };
        Ok(Envelope {
            realm: u32::from_be_bytes(take(header, 4)),
            kind,
            from: NodeIncarnation {
                node: NodeId(u16::from_be_bytes(take(header, 8))),
                incarnation: Incarnation(u64::from_be_bytes(take(header, 12))),
            },
            to: NodeId(u16::from_be_bytes(take(header, 10))),
            payload: payload.to_vec(),
        })
    }
}

fn take<const N: usize>(header: &[u8], at: usize) -> [u8; N] {
    let mut out = [0; N];
    out.copy_from_slice(&header[at..at + N]);
    out
}

fn checksum(datagram: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&datagram[..CRC_AT]);
    hasher.update(&datagram[HEADER..]);
    hasher.finalize()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn envelope(payload: Vec<u8>) -> Envelope {
        let from = NodeIncarnation { node: NodeId(7), incarnation: Incarnation(1 << 40) };
        Envelope { realm: 0xfeed, kind: Kind::Placement, from, to: NodeId(2), payload }
    }

    #[test]
    fn datagrams_round_trip_up_to_the_greatest_length() {
        for length in [0, 1, MAX_PAYLOAD] {
            let original = envelope(vec![0xa5; length]);
            let bytes = original.encode().unwrap();
            assert!(bytes.len() <= MAX_DATAGRAM);
            assert_eq!(Envelope::decode(&bytes).unwrap(), original);
        }
        assert_eq!(envelope(vec![0; MAX_PAYLOAD + 1]).encode(), Err(TooLong(MAX_PAYLOAD + 1)));
    }

    #[test]
    fn every_flipped_bit_and_every_truncation_is_rejected() {
        let bytes = envelope(b"some payload".to_vec()).encode().unwrap();
        for bit in 0..bytes.len() * 8 {
            let mut corrupt = bytes.clone();
            corrupt[bit / 8] ^= 1 << (bit % 8);
            assert!(Envelope::decode(&corrupt).is_err(), "bit {bit}");
        }
        for length in 0..bytes.len() {
            assert!(Envelope::decode(&bytes[..length]).is_err(), "{length} bytes");
        }
        assert_eq!(Envelope::decode(&[0; MAX_DATAGRAM + 1]), Err(Rejection::TooLong));
    }
}

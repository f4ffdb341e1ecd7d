//! What has come of a client's commands and was not taken yet, and when it came. It is read ahead, within bounds,
//! as the client's hanging up stands behind it.

use std::collections::VecDeque;

use bytes::buf::Limit;
use bytes::{BufMut, BytesMut};
use hallpin_protocol::{self as protocol, Input, MAX_LINE, MAX_WHOLE};
use tokio::time::Instant;

/// Read so far, however long commands wait for their turn: the longest command there is has room.
pub(super) const READ_AHEAD: usize = MAX_LINE + 2 + MAX_WHOLE + 2;
/// The same where there is no memory left for commands.
pub(super) const LEAST_AHEAD: usize = MAX_LINE;
/// Bytes that a read may bring, so that one busy client does not hold the core.
const READ_CHUNK: usize = 16 * 1024;
/// Reads that are told apart while commands wait; what comes by later ones counts as come by the last of these.
const MAX_READS: usize = 32;

pub(super) struct Arrived {
    bytes: BytesMut,
    /// How many of the bytes came when.
    reads: VecDeque<(usize, Instant)>,
    /// Whether whole commands may be among the bytes. Otherwise they are a part of one.
    untried: bool,
}

impl Arrived {
    pub(super) fn new() -> Self {
        Arrived { bytes: BytesMut::new(), reads: VecDeque::new(), untried: false }
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether whole commands may wait for their turn.
    pub(super) fn waits(&self) -> bool {
        self.untried && !self.bytes.is_empty()
    }

    /// Room for a read of up to `most` bytes. Not held while nothing comes.
    pub(super) fn room(&mut self, most: usize) -> Limit<&mut BytesMut> {
        let most = most.min(READ_CHUNK);
        self.bytes.reserve(most);
        (&mut self.bytes).limit(most)
    }

    pub(super) fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// So many bytes have been read just now.
    pub(super) fn came(&mut self, read: usize) {
        let now = Instant::now();
        if !std::mem::replace(&mut self.untried, true) {
            // A part of one command, if anything, and that counts from its last byte.
            self.reads = VecDeque::from([(self.bytes.len(), now)]);
            return;
        }
        let full = self.reads.len() >= MAX_READS;
        match self.reads.back_mut().filter(|_| full) {
            Some((bytes, _)) => *bytes += read,
            None => self.reads.push_back((read, now)),
        }
    }

    /// The next command and when its last byte came, or `None` until it is whole.
    pub(super) fn take(&mut self) -> Option<(Input, Instant)> {
        let before = self.bytes.len();
        let Some(input) = protocol::next_input(&mut self.bytes) else {
            self.untried = false;
            return None;
        };
        let mut taken = before - self.bytes.len();
        let mut at = None;
        while let Some((bytes, read)) = self.reads.front_mut() {
            at = Some(*read);
            if taken < *bytes {
                *bytes -= taken;
                break;
            }
            taken -= *bytes;
            self.reads.pop_front();
            if taken == 0 {
                break;
            }
        }
        Some((input, at.unwrap_or_else(Instant::now)))
    }

    /// Bytes that surely belong to the command that has come in part.
    pub(super) fn missing(&self) -> usize {
        protocol::missing(&self.bytes)
    }

    /// Drops what has come. A buffer keeps the size of the largest command that it held.
    pub(super) fn clear(&mut self) {
        *self = Arrived::new();
    }
}

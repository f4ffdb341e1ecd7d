//! Buffered input of a client whose commands have not been started, and when it arrived. Input is read ahead, within
//! limits, because the client's disconnect shows only after it.

use std::collections::VecDeque;

use bytes::buf::Limit;
use bytes::{BufMut, Bytes, BytesMut};
use hallpin_protocol::{self as protocol, Input, MAX_BUFFERED_VALUE_BYTES, MAX_LINE_BYTES};
use tokio::time::Instant;

/// Input is read this far ahead, however long commands wait: the longest possible command fits.
pub(super) const MAX_READ_AHEAD_BYTES: usize = MAX_LINE_BYTES + 2 + MAX_BUFFERED_VALUE_BYTES + 2;
/// Input is read this far ahead while no memory is left for commands.
pub(super) const MIN_READ_AHEAD_BYTES: usize = MAX_LINE_BYTES;
/// Bytes per read, so that one busy client does not occupy the core.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Most reads whose times are tracked separately while commands wait; bytes of later reads count as received with the
/// last of these.
const MAX_TRACKED_READS: usize = 32;

/// The bytes of one read that are still buffered, and when they arrived.
struct ReadSpan {
    length: usize,
    at: Instant,
}

/// Input that was read and not taken as commands yet.
pub(super) struct InputBuffer {
    bytes: BytesMut,
    /// Which bytes were received when, the oldest first; their lengths add up to that of `bytes`.
    reads: VecDeque<ReadSpan>,
    /// Whether `bytes` may contain a complete command. Otherwise it is the start of one.
    may_hold_command: bool,
    /// Since when bytes are known to wait in the kernel that are not read for now.
    unread_since: Option<Instant>,
}

impl InputBuffer {
    pub(super) fn new() -> Self {
        InputBuffer {
            bytes: BytesMut::new(),
            reads: VecDeque::new(),
            may_hold_command: false,
            unread_since: None,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether complete commands may be waiting.
    pub(super) fn has_waiting_commands(&self) -> bool {
        self.may_hold_command && !self.bytes.is_empty()
    }

    /// Reserves buffer space for a read of up to `most` bytes, limited to one chunk. Called only once input is
    /// readable, so that idle connections hold no space.
    pub(super) fn reserve(&mut self, most: usize) -> Limit<&mut BytesMut> {
        let most = most.min(READ_CHUNK_BYTES);
        self.bytes.reserve(most);
        (&mut self.bytes).limit(most)
    }

    pub(super) fn extend(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Records that input is available that is not read for now.
    pub(super) fn note_unread(&mut self) {
        self.unread_since.get_or_insert_with(Instant::now);
    }

    /// Records `read` bytes just read. If input was seen waiting since the last read, all count from then.
    pub(super) fn record_read(&mut self, read: usize) {
        if !std::mem::replace(&mut self.may_hold_command, true) {
            self.merge_reads(self.bytes.len() - read);
        }
        let at = self.unread_since.take().unwrap_or_else(Instant::now);
        let at_limit = self.reads.len() >= MAX_TRACKED_READS;
        match self.reads.back_mut().filter(|_| at_limit) {
            Some(last) => last.length += read,
            None => self.reads.push_back(ReadSpan { length: read, at }),
        }
    }

    /// Merges the reads of the `length` buffered bytes into the first one: the bytes are the start of one command,
    /// whose arrival time is that of its first byte.
    fn merge_reads(&mut self, length: usize) {
        self.reads.truncate(1);
        if let Some(first) = self.reads.front_mut() {
            first.length = length;
        }
    }

    /// The next command and when its first byte arrived, or `None` until it is complete.
    pub(super) fn take_command(&mut self) -> Option<(Input, Instant)> {
        let before = self.bytes.len();
        let Some(input) = protocol::next_input(&mut self.bytes) else {
            self.may_hold_command = false;
            return None;
        };
        let at = self.first_byte_at();
        self.forget_first_bytes(before - self.bytes.len());
        Some((input, at))
    }

    /// Forgets the first `taken` bytes, which left the buffer.
    fn forget_first_bytes(&mut self, mut taken: usize) {
        while let Some(read) = self.reads.front_mut() {
            if taken < read.length {
                read.length -= taken;
                return;
            }
            taken -= read.length;
            self.reads.pop_front();
        }
    }

    /// When the first buffered byte arrived, or now if the buffer is empty.
    pub(super) fn first_byte_at(&self) -> Instant {
        self.reads.front().map_or_else(Instant::now, |read| read.at)
    }

    /// Since when bytes are known to wait in the kernel, if any are.
    pub(super) fn unread_since(&self) -> Option<Instant> {
        self.unread_since
    }

    /// Opaque ids of the buffered commands.
    pub(super) fn command_ids(&self) -> Vec<Bytes> {
        command_ids(&self.bytes)
    }

    /// Discards the input. The buffer is replaced, as it keeps the size of the largest command that it held.
    pub(super) fn clear(&mut self) {
        *self = InputBuffer { unread_since: self.unread_since, ..InputBuffer::new() };
    }
}

/// Opaque ids of the commands in these bytes: of the complete ones, and of the last if it is partial, as far as
/// received.
pub(super) fn command_ids(bytes: &[u8]) -> Vec<Bytes> {
    let mut remaining = BytesMut::from(bytes);
    let mut opaque_ids = Vec::new();
    while let Some(input) = protocol::next_input(&mut remaining) {
        match input {
            Input::Command(command) => opaque_ids.push(command.opaque()),
            // From here on no command's end can be found.
            Input::Invalid { close: true, .. } => break,
            Input::Invalid { .. } | Input::HealthCheck => {}
        }
    }
    if !remaining.is_empty() {
        opaque_ids.push(opaque_token(&remaining));
    }
    opaque_ids
}

/// The opaque id in the first line of these bytes; empty if it has not arrived.
fn opaque_token(bytes: &[u8]) -> Bytes {
    let line = bytes.split(|byte| matches!(byte, b'\r' | b'\n')).next().unwrap_or_default();
    // Skips the verb and the key.
    let mut tokens = line.split(|byte| *byte == b' ').skip(2);
    let opaque = tokens.find_map(|token| token.strip_prefix(b"O"));
    Bytes::copy_from_slice(opaque.unwrap_or_default())
}

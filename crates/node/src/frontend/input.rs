//! Buffered input of a client whose commands have not been started, and when it arrived. Input is read ahead, within
//! limits, because the client's disconnect shows only after it.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use hallpin_protocol::{self as protocol, Input, MAX_BUFFERED_VALUE_BYTES, MAX_LINE_BYTES};
use tokio::time::Instant;

use super::skipped_command::SkippedCommand;
use crate::buffer::append_exact;

/// Input is read this far ahead, however long commands wait: the longest possible command fits.
pub(super) const MAX_READ_AHEAD_BYTES: usize = MAX_LINE_BYTES + 2 + MAX_BUFFERED_VALUE_BYTES + 2;
/// Input up to this size is part of the memory of its connection: a line and a small value.
pub(super) const UNRESERVED_INPUT_BYTES: usize = 4 * 1024;
/// Bytes per read, so that one busy client does not occupy the core.
pub(super) const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Most reads whose times are tracked separately while commands wait; bytes of later reads count as received with the
/// last of these.
const MAX_TRACKED_READS: usize = 32;

/// The bytes of one read that are still buffered, and when they arrived.
struct ReadSpan {
    length: usize,
    at: Instant,
}

/// The buffer grows by this much while the length of the command is not known.
const ALLOCATION_STEP_BYTES: usize = 1024;

/// Input that was read and not taken as commands yet.
pub(super) struct InputBuffer {
    bytes: BytesMut,
    /// Which bytes were received when, the oldest first; their lengths add up to that of `bytes`.
    reads: VecDeque<ReadSpan>,
    /// Whether `bytes` may contain a complete command. Otherwise it is the start of one.
    may_hold_command: bool,
    /// Since when bytes are known to wait in the kernel that are not read for now.
    unread_since: Option<Instant>,
    /// Space of `bytes` since it was last allocated.
    allocated: usize,
    /// Length of the incomplete command that `bytes` starts with, once its line is complete.
    command_length: Option<usize>,
    skipped: Option<SkippedCommand>,
}

impl InputBuffer {
    pub(super) fn new() -> Self {
        InputBuffer {
            bytes: BytesMut::new(),
            reads: VecDeque::new(),
            may_hold_command: false,
            unread_since: None,
            allocated: 0,
            command_length: None,
            skipped: None,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.bytes.is_empty() && self.skipped.is_none()
    }

    /// Space that the buffer takes.
    pub(super) fn allocated(&self) -> usize {
        self.allocated
    }

    /// Whether complete commands may be waiting.
    pub(super) fn has_waiting_commands(&self) -> bool {
        self.may_hold_command && !self.bytes.is_empty()
    }

    /// Takes bytes just read: appends them, apart from those of a value that is not kept.
    pub(super) fn receive(&mut self, bytes: &[u8]) {
        let skipped = self.skipped.as_mut().map_or(0, |skipped| skipped.receive(bytes));
        let kept = &bytes[skipped..];
        if kept.is_empty() {
            return;
        }
        let needed = self.bytes.len() + kept.len();
        let goal = (needed + 1).next_multiple_of(ALLOCATION_STEP_BYTES).max(self.command_length.unwrap_or(0));
        append_exact(&mut self.bytes, kept, goal);
        self.allocated = self.allocated.max(self.bytes.capacity());
        self.record_read(kept.len());
    }

    /// Length of the incomplete command at the start of the buffer, once its line is complete.
    pub(super) fn incomplete_command_length(&mut self) -> Option<usize> {
        if self.may_hold_command || self.bytes.is_empty() {
            return None;
        }
        if self.command_length.is_none() {
            let missing = protocol::min_missing_bytes(&self.bytes);
            self.command_length = (missing > 1).then(|| self.bytes.len() + missing);
        }
        self.command_length
    }

    /// Stops keeping the value of the incomplete command at the start of the buffer. The command can be taken once all
    /// of it has arrived.
    pub(super) fn skip_value(&mut self) {
        let Some(length) = self.incomplete_command_length() else { return };
        let Some(input) = protocol::next_input_without_value(&self.bytes) else { return };
        let mut skipped = SkippedCommand::new(input, self.first_byte_at(), length);
        skipped.receive(&self.bytes);
        *self = InputBuffer { skipped: Some(skipped), ..InputBuffer::new() };
    }

    /// Whether the value of a command is read without being kept.
    pub(super) fn is_skipping(&self) -> bool {
        self.skipped.is_some()
    }

    /// The command whose value was not kept, once all of it has arrived, and when its first byte arrived.
    pub(super) fn take_skipped(&mut self) -> Option<(Input, Instant)> {
        self.skipped.take_if(|skipped| skipped.is_complete()).map(SkippedCommand::into_input)
    }

    /// Frees space that the buffer does not need for what it holds.
    pub(super) fn shrink(&mut self) {
        let is_large = self.allocated > UNRESERVED_INPUT_BYTES || self.bytes.is_empty();
        if is_large && self.command_length.is_none() && self.allocated > 2 * self.bytes.len() {
            let mut shrunk = BytesMut::with_capacity(self.bytes.len());
            shrunk.extend_from_slice(&self.bytes);
            self.allocated = shrunk.capacity();
            self.bytes = shrunk;
        }
    }

    /// Records that input is available that is not read for now.
    pub(super) fn note_unread(&mut self) {
        self.unread_since.get_or_insert_with(Instant::now);
    }

    /// Records `read` bytes just read. If input was seen waiting since the last read, all count from then.
    fn record_read(&mut self, read: usize) {
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
        self.command_length = None;
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
        let skipped = self.skipped.as_ref().and_then(SkippedCommand::opaque);
        skipped.into_iter().chain(command_ids(&self.bytes)).collect()
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

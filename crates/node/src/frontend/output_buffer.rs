//! Output to a client that has not been sent, with the memory reserved for it.

use std::collections::VecDeque;

use bytes::{Buf, Bytes, BytesMut};

use crate::memory::MemoryReservation;

/// Pieces below this size are copied into shared blocks, as each would hold more memory than its bytes.
const MIN_OWN_BLOCK_BYTES: usize = 1024;
/// Size of a shared block.
const SHARED_BLOCK_BYTES: usize = 4 * 1024;

/// Part of the output, and the memory that is released once it is sent.
struct Block {
    bytes: BlockBytes,
    reservations: Vec<MemoryReservation>,
}

enum BlockBytes {
    Own(Bytes),
    Shared(BytesMut),
}

impl Block {
    fn shared() -> Self {
        let bytes = BlockBytes::Shared(BytesMut::with_capacity(SHARED_BLOCK_BYTES));
        Block { bytes, reservations: Vec::new() }
    }

    fn unsent(&self) -> &[u8] {
        match &self.bytes {
            BlockBytes::Own(bytes) => bytes,
            BlockBytes::Shared(bytes) => bytes,
        }
    }

    fn advance(&mut self, count: usize) {
        match &mut self.bytes {
            BlockBytes::Own(bytes) => bytes.advance(count),
            BlockBytes::Shared(bytes) => bytes.advance(count),
        }
    }

    /// Appends as many of the bytes as fit and returns their number.
    fn fill(&mut self, bytes: &[u8]) -> usize {
        let BlockBytes::Shared(block) = &mut self.bytes else { return 0 };
        let length = bytes.len().min(block.capacity() - block.len());
        block.extend_from_slice(&bytes[..length]);
        length
    }
}

/// Unsent output, the oldest first.
#[derive(Default)]
pub(super) struct OutputBuffer {
    blocks: VecDeque<Block>,
    length: usize,
}

impl OutputBuffer {
    pub(super) fn len(&self) -> usize {
        self.length
    }

    pub(super) fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Appends bytes without a copy if they are many.
    pub(super) fn push(&mut self, bytes: Bytes) {
        if bytes.len() < MIN_OWN_BLOCK_BYTES {
            return self.push_copy(&bytes);
        }
        self.length += bytes.len();
        self.blocks.push_back(Block { bytes: BlockBytes::Own(bytes), reservations: Vec::new() });
    }

    /// Appends a copy of the bytes, which frees the buffer that they are part of.
    pub(super) fn push_copy(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let filled = self.blocks.back_mut().map_or(0, |block| block.fill(bytes));
            bytes = &bytes[filled..];
            if !bytes.is_empty() {
                self.blocks.push_back(Block::shared());
            }
        }
    }

    /// Keeps a reservation until all output so far is sent.
    pub(super) fn hold(&mut self, reservation: MemoryReservation) {
        if let Some(last) = self.blocks.back_mut() {
            last.reservations.push(reservation);
        }
    }

    /// The next bytes to send; empty if there are none.
    pub(super) fn next_bytes(&self) -> &[u8] {
        self.blocks.front().map_or(&[], Block::unsent)
    }

    /// Removes the first `count` bytes, which are sent.
    pub(super) fn advance(&mut self, mut count: usize) {
        self.length -= count;
        while let Some(first) = self.blocks.front_mut() {
            let taken = count.min(first.unsent().len());
            first.advance(taken);
            count -= taken;
            if !first.unsent().is_empty() {
                return;
            }
            self.blocks.pop_front();
        }
    }
}

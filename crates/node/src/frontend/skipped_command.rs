//! A command whose value is read without being kept, as no memory is left for it.

use bytes::Bytes;
use hallpin_protocol::{self as protocol, Input};
use tokio::time::Instant;

/// What ends the value of a command.
const TERMINATOR: [u8; 2] = *b"\r\n";
/// A command whose value is not kept, as no memory is left for it.
pub(super) struct SkippedCommand {
    /// The command without its value, or what is wrong with its line.
    input: Input,
    /// When its first byte arrived.
    at: Instant,
    /// Bytes that have not arrived.
    remaining: usize,
    /// The last bytes that have arrived.
    end: [u8; TERMINATOR.len()],
}

impl SkippedCommand {
    /// A command of `length` bytes, none of which has been received.
    pub(super) fn new(input: Input, at: Instant, length: usize) -> Self {
        SkippedCommand { input, at, remaining: length, end: [0; TERMINATOR.len()] }
    }

    /// Whether all of the command has arrived.
    pub(super) fn is_complete(&self) -> bool {
        self.remaining == 0
    }

    /// The command without its value, and when its first byte arrived.
    pub(super) fn into_input(self) -> (Input, Instant) {
        let input = if self.end == TERMINATOR { self.input } else { protocol::INVALID_BLOCK };
        (input, self.at)
    }

    /// The command's opaque id, if its line is valid.
    pub(super) fn opaque(&self) -> Option<Bytes> {
        match &self.input {
            Input::Command(command) => Some(command.opaque()),
            Input::Invalid { .. } | Input::HealthCheck => None,
        }
    }

    /// Takes the bytes that belong to the command and returns their number.
    pub(super) fn receive(&mut self, bytes: &[u8]) -> usize {
        let taken = self.remaining.min(bytes.len());
        for byte in &bytes[taken.saturating_sub(self.end.len())..taken] {
            self.end.rotate_left(1);
            self.end[TERMINATOR.len() - 1] = *byte;
        }
        self.remaining -= taken;
        taken
    }
}

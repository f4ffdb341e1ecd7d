//! The connection between the two processes of a takeover, after the socket was handed over: signals, and the opaque ids in
//! use at either process. Readers skip bytes that they do not know.

use std::io;
use std::rc::{Rc, Weak};

use bytes::{Buf, BytesMut};
use tokio::net::UnixStream;

use crate::opaque_ids::{IdChange, OpaqueHash, SharedOpaqueIds};

/// Sent by the new process once it serves.
const SERVING: u8 = b's';
/// Sent by the old process once it accepts no more.
const CLOSED: u8 = b'c';
/// Sent by the new process if it reads ids. An earlier version takes any byte for [`CLOSED`].
const READS_IDS: u8 = b'i';
/// Followed by a hash in 16 hexadecimal digits and milliseconds in 8. The digits are no signals.
const ID_IN_USE: u8 = b'+';
/// Followed by a hash.
const ID_FREE: u8 = b'-';
const HASH_DIGITS: usize = 16;
const MILLISECOND_DIGITS: usize = 8;

/// What the other process reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Signal {
    Serving,
    Closed,
    ReadsIds,
}

impl Signal {
    fn byte(self) -> u8 {
        match self {
            Signal::Serving => SERVING,
            Signal::Closed => CLOSED,
            Signal::ReadsIds => READS_IDS,
        }
    }
}

/// One end of the connection.
pub(super) struct Link {
    stream: Rc<UnixStream>,
    received: BytesMut,
}

impl Link {
    pub(super) fn new(stream: UnixStream) -> Self {
        Link { stream: Rc::new(stream), received: BytesMut::new() }
    }

    /// Sends a signal. Fails only if the other process has exited, and then it needs none.
    pub(super) async fn send(&self, signal: Signal) {
        while self.stream.writable().await.is_ok() {
            match self.stream.try_write(&[signal.byte()]) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                _ => return,
            }
        }
    }

    /// Reports the ids in use here to the other process, for as long as this end is open.
    pub(super) fn share_ids(&self, ids: &SharedOpaqueIds) {
        let stream: Weak<UnixStream> = Rc::downgrade(&self.stream);
        ids.report_to(move |change| match stream.upgrade() {
            // A change that does not fit is lost: then the other process has not read for long.
            Some(stream) => {
                let _ = stream.try_write(&encode(change));
                true
            }
            None => false,
        });
    }

    /// Waits for the next signal and applies changes of ids until then; `None` once the other process has exited. Dropping
    /// the future loses nothing.
    pub(super) async fn next(&mut self, ids: &SharedOpaqueIds) -> Option<Signal> {
        loop {
            while let Some(message) = take_message(&mut self.received) {
                match message {
                    Message::Signal(signal) => return Some(signal),
                    Message::Change(change) => ids.apply(change),
                }
            }
            self.stream.readable().await.ok()?;
            let mut chunk = [0; 1024];
            match self.stream.try_read(&mut chunk) {
                Ok(read) if read > 0 => self.received.extend_from_slice(&chunk[..read]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                _ => return None,
            }
        }
    }
}

enum Message {
    Signal(Signal),
    Change(IdChange),
}

fn encode(change: IdChange) -> Vec<u8> {
    match change {
        IdChange::InUse(OpaqueHash(hash), milliseconds) => {
            format!("{}{hash:016X}{milliseconds:08X}", char::from(ID_IN_USE)).into()
        }
        IdChange::Free(OpaqueHash(hash)) => format!("{}{hash:016X}", char::from(ID_FREE)).into(),
    }
}

/// Removes the next message; `None` while it is incomplete.
fn take_message(received: &mut BytesMut) -> Option<Message> {
    loop {
        let (length, signal) = match *received.first()? {
            SERVING => (1, Some(Signal::Serving)),
            CLOSED => (1, Some(Signal::Closed)),
            READS_IDS => (1, Some(Signal::ReadsIds)),
            ID_IN_USE => (1 + HASH_DIGITS + MILLISECOND_DIGITS, None),
            ID_FREE => (1 + HASH_DIGITS, None),
            _ => {
                received.advance(1);
                continue;
            }
        };
        if received.iter().take(length).skip(1).any(|byte| !byte.is_ascii_hexdigit()) {
            received.advance(1);
            continue;
        }
        if received.len() < length {
            return None;
        }
        if let Some(signal) = signal {
            received.advance(length);
            return Some(Message::Signal(signal));
        }
        let change = decode_change(&received[..length]);
        received.advance(if change.is_some() { length } else { 1 });
        if let Some(change) = change {
            return Some(Message::Change(change));
        }
    }
}

fn decode_change(frame: &[u8]) -> Option<IdChange> {
    let digits = std::str::from_utf8(frame.get(1..)?).ok()?;
    let hash = OpaqueHash(u64::from_str_radix(digits.get(..HASH_DIGITS)?, 16).ok()?);
    match digits.get(HASH_DIGITS..)? {
        "" => Some(IdChange::Free(hash)),
        milliseconds => Some(IdChange::InUse(hash, u32::from_str_radix(milliseconds, 16).ok()?)),
    }
}

#[cfg(test)]
#[path = "link_tests.rs"]
mod tests;

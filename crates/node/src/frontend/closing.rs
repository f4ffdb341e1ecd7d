//! When and how a client connection ends: writing is shut down first, and input that crosses with that is read and
//! discarded. Closing with unread input would reset the connection, and the reset may overtake the last answer.

use std::io::{self, ErrorKind, Read};
use std::mem::MaybeUninit;
use std::time::Duration;

use hallpin_protocol as protocol;
use socket2::SockRef;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::client::{AbandonReason, Client, PendingAnswer};
use super::shared::{EvictionEntry, Rank};
use crate::lifecycle::Phase;
use crate::stop::LAST_LINGER;
use crate::transfer::STALL_TIMEOUT;

/// How long, and how many bytes of, input is read and discarded after the last answer.
pub(super) const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a client must have sent nothing after the last answer before its connection is closed.
const LINGER_QUIET_TIME: Duration = Duration::from_millis(500);
pub(super) const MAX_LINGER_BYTES: usize = 1 << 20;
/// Bytes per read when checking for input a last time, and when discarding it.
const FINAL_READ_BYTES: usize = 4096;

/// What reading from a connection that has ended has brought.
enum Discarded {
    Some,
    /// Nothing has arrived.
    Nothing,
    /// The client has disconnected, or no more is discarded.
    Ended,
}

impl Client {
    /// Whether a partial command is abandoned when the connection ends. A client without a valid request has
    /// no claim to the time, and after the process's last answer none can be given.
    pub(super) fn abandons_partial_command(&self, phase: &Phase, now: Instant) -> bool {
        (self.ending && !self.is_trusted) || phase.answer_deadline.is_some_and(|at| at <= now)
    }

    /// Answers an abandoned partial command: the client may have sent the remainder, and a request that was read in
    /// part must be answered.
    pub(super) fn reject_partial_command(&mut self) {
        self.close_input(self.end_reason());
        self.pending.push_back(PendingAnswer::Ready(protocol::busy(None)));
    }

    /// Why commands are given up on a connection that ends.
    pub(super) fn end_reason(&self) -> AbandonReason {
        if self.making_room {
            AbandonReason::MadeRoom
        } else {
            AbandonReason::Stopping
        }
    }

    /// Reads what has arrived and the runtime may not have reported yet, since a command must not cross with a close
    /// that this end chooses; returns whether anything had arrived. Reads as much as is read ahead.
    pub(super) fn read_last_input(&mut self) -> bool {
        let (mut chunk, mut total) = ([0; FINAL_READ_BYTES], 0);
        loop {
            let most = self.read_limit().min(chunk.len());
            let read = (&*SockRef::from(&self.stream)).read(&mut chunk[..most]).unwrap_or(0);
            self.append_input(&chunk[..read]);
            total += read;
            if read < chunk.len() {
                return total > 0;
            }
        }
    }

    /// Closes the connection between requests. If descriptors are short, by the budget or because the system has no
    /// more, it does not linger.
    pub(super) async fn close_between_requests(&mut self) {
        if self.making_room || self.frontend.open.get() > self.frontend.budget.idle_close_threshold() {
            self.close_now().await;
        } else {
            self.linger().await;
        }
    }

    /// Closes the connection after the answers to what arrived before its input was closed.
    pub(super) async fn close_after_answers(&mut self) {
        if self.making_room {
            self.close_now().await;
        } else {
            self.linger().await;
        }
    }

    /// Shuts down writing and discards the available input without waiting. Even the shortest timer would be too
    /// long: a crowd that reconnects at once would take more descriptors meanwhile than are left for cache servers.
    async fn close_now(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let mut discarded = 0;
        while let Discarded::Some = self.discard_available(&mut discarded) {}
    }

    /// Reads and discards what has arrived, up to the limit of all that is discarded at the end.
    fn discard_available(&self, discarded: &mut usize) -> Discarded {
        if *discarded >= MAX_LINGER_BYTES {
            return Discarded::Ended;
        }
        let mut chunk = [0; FINAL_READ_BYTES];
        match self.stream.try_read(&mut chunk) {
            Ok(read) if read > 0 => {
                if *discarded == 0 {
                    self.log_read_after_end(&chunk[..read]);
                }
                *discarded += read;
                Discarded::Some
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Discarded::Nothing,
            _ => Discarded::Ended,
        }
    }

    /// Until when a connection that ends at `now` lingers if its client sends nothing more: in a stop no longer than the
    /// process needs.
    fn linger_until(&self, now: Instant) -> Instant {
        let last_linger = self.phases.borrow().answer_deadline.map(|at| at + LAST_LINGER);
        last_linger.filter(|at| *at > now).map_or(now + LINGER_TIMEOUT, |at| at.min(now + LINGER_TIMEOUT))
    }

    /// Lingering close: shuts down writing and discards for a while what the client still sends. None of it is
    /// forwarded.
    pub(super) async fn linger(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let frontend = self.frontend.clone();
        let ended_at = Instant::now();
        let mut quiet_until = self.linger_until(ended_at);
        let close = self.close.clone();
        let _entry = EvictionEntry::take(&frontend, (Rank::Closing, self.sequence), self.idle_since, &close);
        let drain = async {
            let mut discarded = 0;
            // No buffer is kept while the client is waited for.
            while let Ok(Ok(())) = timeout_at(quiet_until, self.stream.readable()).await {
                match self.discard_available(&mut discarded) {
                    Discarded::Some => {}
                    Discarded::Nothing => continue,
                    Discarded::Ended => return,
                }
                // A client that still sends has not read up to the end: a close would reset the connection
                // and cut off the answers that are on their way.
                quiet_until = quiet_until.max(Instant::now() + LINGER_QUIET_TIME);
                quiet_until = quiet_until.min(ended_at + STALL_TIMEOUT);
            }
        };
        tokio::select! {
            () = drain => {}
            () = close.notified() => {}
        }
    }
}

/// Number of bytes available to read, at most one, without reading them.
pub(super) fn peek(stream: &TcpStream) -> io::Result<usize> {
    stream.try_io(Interest::READABLE, || SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]))
}

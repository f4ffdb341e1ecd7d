//! One client connection: what it has asked for, what it is owed, and when it may end.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use hallpin_decisions::RequestId;
use hallpin_protocol::{self as protocol, Input, MAX_WHOLE};
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch, Notify};
use tokio::time::Instant;
use tracing::warn;

use super::shared::{Frontend, Rank};
use crate::answer::Answer;
use crate::budget::Held;
use crate::figures::{End, Ticket};
use crate::lifecycle::{Phase, State};
use crate::message::{Gone, Message};
use crate::upstream::{Broken, Rest};

/// Commands of one connection that may be open at once; more of them wait unread.
pub(super) const MAX_PIPELINE: usize = 64;
/// Nothing is read from a client for so long after an answer that turned it away: it would ask again at once.
const PENANCE: Duration = Duration::from_millis(100);

pub(super) enum Pending {
    Ready(Bytes),
    Waiting { id: RequestId, weight: usize, answer: oneshot::Receiver<Answer> },
}

pub(super) struct Client {
    pub(super) frontend: Rc<Frontend>,
    pub(super) stream: TcpStream,
    /// Its age among the connections that may be closed: since when it is between requests.
    pub(super) number: u64,
    pub(super) since: Instant,
    pub(super) close: Rc<Notify>,
    /// What of the input is counted as held.
    pub(super) input_held: Held,
    pub(super) phases: watch::Receiver<Phase>,
    pub(super) opened: Instant,
    /// When the last answer was given.
    pub(super) answered: Option<Instant>,
    pub(super) input: BytesMut,
    /// When the last of the input was read.
    pub(super) read_at: Instant,
    /// From when the command that is coming counts: its first byte, or the connection's start for the first.
    pub(super) command_since: Option<Instant>,
    /// Nothing is read until then.
    pub(super) paused: Instant,
    pub(super) output: BytesMut,
    /// Bytes written so far, and the requests that end once so many are.
    pub(super) written: u64,
    pub(super) unfinished: VecDeque<(u64, Ticket, End)>,
    /// What has yet to come of a long value, which is at its end in the output. Later answers wait.
    pub(super) rest: Option<(Rest, Option<(Ticket, End)>)>,
    pub(super) pending: VecDeque<Pending>,
    /// Told once nobody waits for what is pending.
    pub(super) gone: Gone,
    /// The framing is lost: what is pending is answered, then the connection ends.
    pub(super) lost: bool,
    /// Asked to make room for others.
    pub(super) leaving: bool,
    /// A request of it was answered otherwise than with an error of its own.
    pub(super) trusted: bool,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.withdraw();
        let frontend = &self.frontend;
        frontend.budget.release(self.output.len());
        frontend.closable.borrow_mut().remove(&(Rank::Doubtful, self.number));
        frontend.open.set(frontend.open.get() - 1);
        frontend.closed.notify_one();
    }
}

impl Client {
    pub(super) fn new(
        frontend: Rc<Frontend>,
        stream: TcpStream,
        number: u64,
        since: Instant,
        close: Rc<Notify>,
    ) -> Self {
        Client {
            phases: frontend.lifecycle.follow(),
            input_held: Held::new(&frontend.budget, 0),
            frontend,
            stream,
            number,
            since,
            opened: since,
            answered: None,
            close,
            input: BytesMut::new(),
            read_at: since,
            command_since: Some(since),
            paused: since,
            output: BytesMut::new(),
            written: 0,
            unfinished: VecDeque::new(),
            rest: None,
            pending: VecDeque::new(),
            gone: Gone::default(),
            lost: false,
            leaving: false,
            trusted: false,
        }
    }

    pub(super) fn owes(&self) -> bool {
        !self.pending.is_empty() || !self.output.is_empty() || self.rest.is_some()
    }

    /// Nothing is owed and no part of a command has come.
    pub(super) fn between_requests(&self) -> bool {
        !self.owes() && self.input.is_empty()
    }

    /// Nobody waits for what is pending any more.
    pub(super) fn withdraw(&mut self) {
        self.gone.tell();
        for pending in self.pending.drain(..) {
            if let Pending::Waiting { id, weight, .. } = pending {
                self.frontend.budget.release(weight);
                let _ = self.frontend.driver.send(Message::Withdrawn(id));
            }
        }
    }

    /// Counts what has come of commands. Where too much is held, those go first that have asked for nothing yet.
    pub(super) fn count_input(&mut self) {
        self.input_held.set(self.input.len());
        if !self.input.is_empty() && !self.frontend.budget.has_room() {
            self.frontend.make_room();
        }
    }

    /// When a connection between requests is closed, where clients are sent away. Until then it is used as ever; one
    /// that is opened later has its first answer, unless nobody will be here to give it.
    pub(super) fn parts_at(&self, phase: &Phase) -> Option<Instant> {
        let (away, part) = (phase.sent_away()?, phase.parts()?);
        if phase.relieved {
            // Where another process takes the client at once, a close behind an answer crosses with no request.
            return Some(self.answered.filter(|at| *at >= away).unwrap_or(part));
        }
        let newcomer = self.opened >= part && phase.state == State::Draining && self.answered.is_none();
        (!newcomer).then_some(part)
    }

    /// Takes the answer to the oldest command, whose last byte ends its request.
    pub(super) fn queue(&mut self, answer: Answer) {
        self.answered = Some(Instant::now());
        if protocol::turns_away(&answer.text) {
            self.paused = Instant::now() + PENANCE;
        } else {
            self.trusted = true;
        }
        self.put(&answer.text);
        match answer.rest {
            Some(rest) => self.rest = Some((rest, answer.ends)),
            None => self.finish(answer.ends),
        }
    }

    pub(super) fn put(&mut self, bytes: &[u8]) {
        self.frontend.budget.hold(bytes.len());
        self.output.extend_from_slice(bytes);
    }

    /// An answer stands whole in the output, and its request ends when that is written.
    pub(super) fn finish(&mut self, ends: Option<(Ticket, End)>) {
        let at = self.written + self.output.len() as u64;
        self.unfinished.extend(ends.map(|(ticket, end)| (at, ticket, end)));
    }

    /// Goes on with a long value. One that is broken ends the connection: by that its client can tell.
    pub(super) fn go_on(&mut self, piece: Result<Option<Bytes>, Broken>) {
        match piece {
            Ok(Some(bytes)) => self.put(&bytes),
            Ok(None) => {
                self.put(b"\r\n");
                if let Some((rest, ends)) = self.rest.take() {
                    rest.finish();
                    self.finish(ends);
                }
            }
            Err(Broken) => {
                if let Some(suppressed) = self.frontend.broken.pass(Instant::now()) {
                    warn!(suppressed, "a value broke off on its way to its client");
                }
                self.rest = None;
                self.withdraw();
                self.lost = true;
            }
        }
    }

    pub(super) fn wrote(&mut self, bytes: usize) {
        self.output.advance(bytes);
        self.frontend.budget.release(bytes);
        self.written += bytes as u64;
        while self.unfinished.front().is_some_and(|(at, ..)| *at <= self.written) {
            if let Some((_, ticket, end)) = self.unfinished.pop_front() {
                ticket.end(end);
            }
        }
    }

    /// Reads what has come just now. A command must not cross with a close that this end chooses.
    pub(super) fn nothing_came(&mut self) -> bool {
        match self.stream.try_read_buf(&mut self.input) {
            Ok(read) => {
                self.read_at = Instant::now();
                read == 0
            }
            Err(_) => true,
        }
    }

    /// Hands on the commands that have come whole, while the budget has room; the rest wait in the buffer until an
    /// answer of this connection's makes room, as those unread wait in the kernel.
    pub(super) fn take_commands(&mut self) {
        let room = |this: &Self| this.frontend.budget.has_room() || this.pending.is_empty();
        while !self.lost && self.pending.len() < MAX_PIPELINE && room(self) {
            let Some(input) = protocol::next_input(&mut self.input) else { return };
            // What is left began with the last read.
            self.command_since = (!self.input.is_empty()).then_some(self.read_at);
            let frontend = &self.frontend;
            self.pending.push_back(match input {
                Input::Command(command) => {
                    let (reply, answer) = oneshot::channel();
                    let id = RequestId(frontend.number());
                    let weight = command.weight() + MAX_WHOLE;
                    frontend.budget.hold(weight);
                    let (command, at, gone) = (*command, self.read_at, self.gone.clone());
                    // The driver is gone only when the program ends.
                    let _ = frontend.driver.send(Message::Request { id, command, at, reply, gone });
                    Pending::Waiting { id, weight, answer }
                }
                Input::Ready if frontend.lifecycle.state() == State::Ready => Pending::Ready(protocol::READY),
                Input::Ready => Pending::Ready(protocol::NOT_READY),
                Input::Bad { answer, close } => {
                    self.lost = close;
                    Pending::Ready(Bytes::from_static(answer.as_bytes()))
                }
            });
        }
    }
}

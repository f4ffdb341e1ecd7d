//! The operators' listener: one line per connection, one answer. A few descriptors are reserved for its callers, and
//! when all are in use the oldest caller gives way to the newest, so a slow or silent one blocks nobody.

#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::config::{config_error, NodeConfigError};
use crate::lifecycle::{AlreadyStopping, Lifecycle, LifecycleState};
use crate::message::Message;
use crate::metrics::{MemberCounts, Metrics};
use crate::port::{self, Accept};
use crate::system_error::{AcceptRetry, NextAccept, Operation, ACCEPT_PAUSE};

/// Callers served at once, each with a reserved descriptor. One more replaces the oldest.
pub const MAX_CALLERS: usize = 8;
/// Longest call, without its line end.
const MAX_CALL_BYTES: usize = 128;
/// From connecting to the end of the call; the caller has as long again to receive the answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// An operator's call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Call {
    Ready,
    ShowStat,
    Drain,
    Resume,
}

/// Why a call is not executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    Unknown,
    Malformed,
    TooLong,
    Incomplete,
    TooSlow,
    NotReady(LifecycleState),
    Stopping,
}

impl Refusal {
    fn reason(self) -> &'static str {
        match self {
            Refusal::Unknown => "unknown call",
            Refusal::Malformed => "malformed call",
            Refusal::TooLong => "call too long",
            Refusal::Incomplete => "incomplete call",
            Refusal::TooSlow => "call not whole in time",
            Refusal::NotReady(state) => state.name(),
            Refusal::Stopping => "already stopping",
        }
    }
}

impl From<AlreadyStopping> for Refusal {
    fn from(_: AlreadyStopping) -> Self {
        Refusal::Stopping
    }
}

/// Parses the call in `input`; `None` until its line is complete.
fn parse(input: &[u8]) -> Option<Result<Call, Refusal>> {
    let Some(end) = input.iter().take(MAX_CALL_BYTES + 2).position(|&b| b == b'\n') else {
        return (input.len() >= MAX_CALL_BYTES + 2).then_some(Err(Refusal::TooLong));
    };
    let line = &input[..end];
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    Some(match line {
        b"ready" => Ok(Call::Ready),
        b"show-stat" => Ok(Call::ShowStat),
        b"drain" => Ok(Call::Drain),
        b"resume" => Ok(Call::Resume),
        _ if line.is_empty() || !line.iter().all(u8::is_ascii_graphic) => Err(Refusal::Malformed),
        _ => Err(Refusal::Unknown),
    })
}

/// The first line of the answer.
fn render(outcome: Result<&str, Refusal>) -> String {
    match outcome {
        Ok(state) => format!("ok {state}\n"),
        Err(refusal) => format!("fail {}\n", refusal.reason()),
    }
}

/// The operators' listener and what its calls act on.
pub struct Operator {
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    driver: UnboundedSender<Message>,
    callers: RefCell<VecDeque<AbortHandle>>,
}

impl Operator {
    pub fn new(lifecycle: Rc<Lifecycle>, metrics: Rc<Metrics>, driver: UnboundedSender<Message>) -> Rc<Self> {
        Rc::new(Operator { lifecycle, metrics, driver, callers: RefCell::default() })
    }

    /// Binds the operators' address. Returns `None` if an earlier process still holds it, as it does until it has
    /// ended, or if the machine is short of a resource.
    ///
    /// # Errors
    /// Names the address if it can never be bound.
    pub fn bind(address: SocketAddr) -> Result<Option<TcpListener>, NodeConfigError> {
        Self::listener_from(address, port::bind(address, false))
    }

    fn listener_from(
        address: SocketAddr,
        bound: io::Result<TcpListener>,
    ) -> Result<Option<TcpListener>, NodeConfigError> {
        match bound {
            Ok(listener) => Ok(Some(listener)),
            Err(error) if port::is_retryable_bind_error(&error) => Ok(None),
            Err(error) => Err(config_error(&format!("operator {address}"))(error)),
        }
    }

    /// Serves callers forever, starting as soon as the address is free.
    pub async fn run(self: Rc<Self>, address: SocketAddr, mut bound: Option<TcpListener>) {
        loop {
            let listener = match bound.take() {
                Some(listener) => listener,
                None => self.listen(address).await,
            };
            if let Ok(address) = listener.local_addr() {
                info!("operators call at {address}");
            }
            self.accept(&listener).await;
            // The listener no longer accepts. The address is free for a new one as soon as this one is closed.
            drop(listener);
            sleep(CALL_TIMEOUT).await;
        }
    }

    async fn listen(&self, address: SocketAddr) -> TcpListener {
        loop {
            match port::bind_when_free(address, false).await {
                Ok(listener) => return listener,
                Err(error) => {
                    warn!("operators' listener at {address}: {error}; binding again");
                    sleep(CALL_TIMEOUT).await;
                }
            }
        }
    }

    /// Serves callers until the listener no longer accepts.
    async fn accept(self: &Rc<Self>, listener: &impl Accept<Stream = TcpStream>) {
        let mut retry = AcceptRetry::new(Operation::AcceptOperator);
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    retry.accepted();
                    self.admit(stream);
                }
                Err(error) => match retry.failed(&error) {
                    NextAccept::Immediately => {}
                    // The callers have reserved descriptors, so a shortage passes.
                    NextAccept::AfterPause | NextAccept::AfterFreeingDescriptors => sleep(ACCEPT_PAUSE).await,
                    NextAccept::Never => return,
                },
            }
            // Lets the callers accepted so far run before accepting more.
            tokio::task::yield_now().await;
        }
    }

    /// Serves a caller in a task of its own, in place of the oldest if all slots are in use.
    fn admit(self: &Rc<Self>, stream: TcpStream) {
        let mut callers = self.callers.borrow_mut();
        callers.retain(|caller| !caller.is_finished());
        if callers.len() >= MAX_CALLERS {
            if let Some(oldest) = callers.pop_front() {
                oldest.abort();
            }
        }
        let operator = self.clone();
        let caller = tokio::task::spawn_local(async move {
            // A caller that disconnects needs no answer.
            let _ = operator.serve_caller(stream).await;
        });
        callers.push_back(caller.abort_handle());
    }

    /// Reads one call, executes it and sends the answer.
    async fn serve_caller(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let call = match timeout(CALL_TIMEOUT, read_call(&mut stream)).await {
            Ok(call) => call?,
            Err(_) => Err(Refusal::TooSlow),
        };
        let answer = match call {
            Ok(call) => self.execute(call).await,
            Err(refusal) => render(Err(refusal)),
        };
        let send_answer = async {
            stream.write_all(answer.as_bytes()).await?;
            stream.shutdown().await?;
            // Closing with unread input would reset the connection, and the caller might lose the answer.
            let mut discarded = [0; 512];
            while stream.read(&mut discarded).await? > 0 {}
            Ok(())
        };
        timeout(CALL_TIMEOUT, send_answer).await.unwrap_or(Ok(()))
    }

    /// Executes a call and returns its answer.
    async fn execute(&self, call: Call) -> String {
        let outcome = match call {
            Call::ShowStat => return self.show_stat().await,
            Call::Ready => match self.lifecycle.state() {
                LifecycleState::Ready => Ok("ready"),
                state => Err(Refusal::NotReady(state)),
            },
            Call::Drain => self.lifecycle.drain().map(|()| "draining").map_err(Refusal::from),
            Call::Resume => match self.lifecycle.resume() {
                Ok(()) => Ok(self.lifecycle.state().name()),
                Err(stopping) => Err(stopping.into()),
            },
        };
        if matches!(call, Call::Drain | Call::Resume) {
            info!(?call, answer = render(outcome).trim_end(), "called");
        }
        render(outcome)
    }

    async fn show_stat(&self) -> String {
        let (reply, members) = oneshot::channel();
        // The driver ends only with the process.
        let _ = self.driver.send(Message::Members(reply));
        let members: MemberCounts = members.await.unwrap_or_default();
        self.metrics.render(members) + "eof\n"
    }
}

async fn read_call(stream: &mut (impl AsyncRead + Unpin)) -> io::Result<Result<Call, Refusal>> {
    let mut input = Vec::with_capacity(MAX_CALL_BYTES + 2);
    loop {
        if let Some(call) = parse(&input) {
            return Ok(call);
        }
        let room = (MAX_CALL_BYTES + 2 - input.len()) as u64;
        match (&mut *stream).take(room).read_buf(&mut input).await {
            Ok(0) => return Ok(Err(Refusal::Incomplete)),
            Ok(_) => {}
            // Nothing was read.
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

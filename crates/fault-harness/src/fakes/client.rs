//! A client's connection to a node: sends one try at a time and classifies the answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use hallpin_protocol::client::{next_answer, Answer, Ask};
use hallpin_simulation::time::Time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use crate::trace::{ClientAnswer, Event, Recorder};

/// A request, the same in all its tries.
#[derive(Clone, Debug)]
pub(super) struct Request {
    /// Id of the request in the trace.
    pub ask: u64,
    pub tenant: usize,
    pub name: String,
    pub key: String,
    pub write: bool,
    pub deadline: Duration,
}

/// A connection to a node on which no answer is outstanding.
pub(super) struct Connection {
    stream: TcpStream,
    input: BytesMut,
    node: usize,
    /// Whether a try has ended on this connection.
    used: bool,
}

/// The try reached no node: the connection was not established, or broke before the last byte was written.
pub(super) struct NodeUnreached;

impl Connection {
    pub async fn open(node: usize, at: SocketAddr, within: Duration) -> Result<Self, NodeUnreached> {
        let stream = tokio::time::timeout(within, TcpStream::connect(at)).await;
        let stream = stream.map_err(|_| NodeUnreached)?.map_err(|_| NodeUnreached)?;
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, input: BytesMut::new(), node, used: false })
    }

    /// Whether the connection may be reused: the node has neither closed it nor sent unsolicited bytes, which are
    /// recorded.
    pub fn is_reusable(&mut self, recorder: &Recorder) -> bool {
        let read = self.stream.try_read_buf(&mut self.input);
        if !self.input.is_empty() {
            recorder.record(Event::Stray { node: self.node });
        }
        self.input.is_empty() && matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends one try, and returns the connection if it can be reused.
    ///
    /// The client reads until the deadline plus `leeway`, which tells a late answer from a lost one.
    pub async fn send_try(
        mut self,
        request: &Request,
        id: u64,
        leeway: Duration,
        recorder: &Recorder,
    ) -> Result<(ClientAnswer, Option<Self>), NodeUnreached> {
        let opaque = format!("{id:x}");
        let text = Ask {
            key: &request.key,
            value: request.write.then_some(b"reported".as_slice()),
            opaque: &opaque,
            class: if request.write { "write" } else { "read" },
            tenant: Some(&request.name),
            wait: request.deadline,
            work: None,
            effect_key: request.write.then_some(opaque.as_str()),
            retry: false,
        };
        self.stream.write_all(&text.to_bytes()).await.map_err(|_| NodeUnreached)?;
        let written = Instant::now();
        let now = recorder.now();
        let until = Time(now.0 + u64::try_from(request.deadline.as_micros()).unwrap_or(u64::MAX / 2));
        let Request { ask, tenant, .. } = *request;
        recorder.record(Event::Taken { id, ask, node: self.node, tenant, until });
        let (how, reusable) = self.answer(&opaque, written + request.deadline + leeway).await;
        recorder.record(Event::Ended { id, how });
        self.used = true;
        Ok((how, reusable.then_some(self)))
    }

    /// How the try was answered, and whether the connection may be reused.
    async fn answer(&mut self, opaque: &str, give_up_at: Instant) -> (ClientAnswer, bool) {
        loop {
            match timeout_at(give_up_at, self.stream.read_buf(&mut self.input)).await {
                Err(_) => return (ClientAnswer::Nothing, false),
                Ok(Ok(read)) if read > 0 => {}
                Ok(_) if self.used && self.input.is_empty() => {
                    return (ClientAnswer::Crossed, false);
                }
                Ok(_) => return (ClientAnswer::Broken, false),
            }
            let how = match next_answer(&mut self.input) {
                Ok(None) => continue,
                Ok(Some(Answer::Value(_, of) | Answer::Receipt(_, of))) if of != opaque => {
                    ClientAnswer::Foreign
                }
                Ok(Some(Answer::Value(..) | Answer::Receipt(..))) => ClientAnswer::Served,
                Ok(Some(Answer::Busy(_))) => ClientAnswer::Busy,
                Ok(Some(Answer::Failed(_))) => ClientAnswer::Failed,
                Err(_) => ClientAnswer::Foreign,
            };
            return (how, how != ClientAnswer::Foreign);
        }
    }
}

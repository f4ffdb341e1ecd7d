//! TCP connections from a node to a box or to its discovery agent: forwarded both ways, stalled while a direction is
//! cut, reset on command.
//!
//! Data that a cut holds back is delivered when the cut heals, as TCP retransmission would.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use hallpin_emulator::loopback;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, Instant};

use super::network::LinkDirection;
use super::{Network, Site};
use crate::trace::{Event, Recorder};

/// Maximum number of chunks in flight in one direction; beyond it the sender waits.
const MAX_CHUNKS_IN_FLIGHT: usize = 64;
/// Maximum length of a chunk, in bytes.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Delay before the next accept after one that failed.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);

/// One link and the addresses of its ends.
#[derive(Clone, Debug)]
pub struct TcpLink {
    /// The end that opens connections.
    pub from: Site,
    /// The end that accepts connections.
    pub to: Site,
    /// Address at which the opener reaches the other end.
    pub listen: SocketAddr,
    /// Actual address of the other end.
    pub target: SocketAddr,
    /// Source address of connections to the other end, which identifies the opener there.
    pub source: Ipv4Addr,
    /// Whether a process listens at the other end; if none does, connections are refused.
    pub up: watch::Receiver<bool>,
    /// Records when data that a cut held back is delivered.
    pub recorder: Rc<Recorder>,
}

/// How the link treats new connections: it forwards them, refuses them as no process listens at the other end, or
/// leaves them without an answer as a direction is cut.
#[derive(Clone, Copy, PartialEq)]
enum ListenMode {
    Open,
    Refused,
    Silent,
}

impl TcpLink {
    /// Forwards connections until the future is dropped.
    pub async fn run(mut self, network: Rc<Network>) {
        let (mut out, mut back) =
            (network.direction(self.from, self.to, 0), network.direction(self.to, self.from, 0));
        loop {
            let mode = match (out.is_cut() || back.is_cut(), *self.up.borrow_and_update()) {
                (true, _) => ListenMode::Silent,
                (false, false) => ListenMode::Refused,
                (false, true) => ListenMode::Open,
            };
            let serve_mode = async {
                match mode {
                    ListenMode::Open => self.accept(&network).await,
                    ListenMode::Refused => std::future::pending().await,
                    ListenMode::Silent => loopback::swallow(self.listen).await,
                }
            };
            let mut up = self.up.clone();
            tokio::select! {
                () = serve_mode => {}
                () = out.changed() => {}
                () = back.changed() => {}
                up_changed = up.changed() => if up_changed.is_err() { return },
            }
        }
    }

    async fn accept(&self, network: &Rc<Network>) {
        let listener = loopback::listen(self.listen).await;
        for carrier in 1.. {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            tokio::task::spawn_local(self.clone().connection(stream, network.clone(), carrier));
        }
    }

    async fn connection(self, mut near: TcpStream, network: Rc<Network>, carrier: u64) {
        let mut resets = network.resets(self.from, self.to);
        let Ok(mut far) = self.connect().await else { return loopback::reset(&near) };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let broken = {
            let (near_in, near_out) = near.split();
            let (far_in, far_out) = far.split();
            let recorder = &*self.recorder;
            let record_held = |from, to| move || recorder.record(Event::Held { from, to });
            let (from, to) = (self.from, self.to);
            let out = forward(near_in, far_out, network.direction(from, to, carrier), record_held(from, to));
            let back = forward(far_in, near_out, network.direction(to, from, carrier), record_held(to, from));
            tokio::select! {
                ended = async { tokio::try_join!(out, back) } => ended.is_err(),
                _ = resets.changed() => true,
            }
        };
        if broken {
            loopback::reset(&near);
            loopback::reset(&far);
        }
    }

    async fn connect(&self) -> std::io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind((self.source, 0).into())?;
        socket.connect(self.target).await
    }
}

/// The connection was broken at one of its ends.
struct BrokenConnection;

/// Forwards one direction until its sender has closed it and everything is delivered, or the connection breaks.
async fn forward(
    mut from: tokio::net::tcp::ReadHalf<'_>,
    mut to: tokio::net::tcp::WriteHalf<'_>,
    mut direction: LinkDirection,
    record_held: impl Fn(),
) -> Result<(), BrokenConnection> {
    let (queue, mut queued) = mpsc::channel::<(Instant, Option<Bytes>)>(MAX_CHUNKS_IN_FLIGHT);
    let mut delays = direction.clone();
    let read = async move {
        let mut last = Instant::now();
        loop {
            let mut chunk = BytesMut::with_capacity(MAX_CHUNK_BYTES);
            let read = from.read_buf(&mut chunk).await;
            // Keeps the order: no chunk is delivered before an earlier one.
            last = last.max(Instant::now() + delays.draw_delay());
            let (chunk, ends) = match read {
                Ok(0) => (Some(Bytes::new()), true),
                Ok(_) => (Some(chunk.freeze()), false),
                Err(_) => (None, true),
            };
            if queue.send((last, chunk)).await.is_err() || ends {
                return;
            }
        }
    };
    let write = async move {
        while let Some((at, chunk)) = queued.recv().await {
            sleep_until(at).await;
            if direction.is_cut() {
                direction.wait_open().await;
                record_held();
            }
            let chunk = chunk.ok_or(BrokenConnection)?;
            let sent = if chunk.is_empty() { to.shutdown().await } else { to.write_all(&chunk).await };
            sent.map_err(|_| BrokenConnection)?;
        }
        Ok(())
    };
    tokio::pin!(write);
    tokio::select! {
        sent = &mut write => sent,
        () = read => write.await,
    }
}

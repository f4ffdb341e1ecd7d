//! In-process fake cache server that answers at once or misbehaves as configured: for tests, and to measure the
//! generator's own limits.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use hallpin_balancer::CacheNote;
use hallpin_protocol::cache_server::{self, AnswerMetadata, Call};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Behaviour of a fake server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behavior {
    /// Answers each request at once.
    #[default]
    Immediate,
    /// Accepts connections and requests but never answers.
    Silent,
    /// Answers every n-th request with a wrong request id.
    WrongId(u64),
    /// Rejects every other request, with this retry-after hint.
    RejectAlternate(Duration),
    /// Closes each connection after this many answers, in the middle of the next one.
    CloseAfter(u64),
    /// Stalls all connections once, for this long, after this many requests.
    StallAfter(u64, Duration),
}

/// A fake server on its own thread; dropping it stops the thread.
pub struct FakeServer {
    /// Listening address.
    pub address: SocketAddr,
    /// Dropped to stop the thread.
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl FakeServer {
    /// Starts a server at this address, or at a free port of the loopback address.
    ///
    /// # Errors
    /// If the socket or the runtime cannot be created.
    pub fn start(behavior: Behavior, at: Option<SocketAddr>) -> std::io::Result<Self> {
        let listener = std::net::TcpListener::bind(at.unwrap_or((Ipv4Addr::LOCALHOST, 0).into()))?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let served = runtime.block_on(async {
                let listener = TcpListener::from_std(listener)?;
                tokio::select! {
                    _ = stopped => {}
                    () = accept(listener, behavior) => {}
                }
                Ok::<(), std::io::Error>(())
            });
            // If the listener fails, clients notice because their connections are refused.
            drop(served);
        });
        Ok(FakeServer { address, stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for FakeServer {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            // The thread fails only by a panic, whose message is already printed.
            let _ = thread.join();
        }
    }
}

/// Accepts and serves connections without end.
async fn accept(listener: TcpListener, behavior: Behavior) {
    let received = Arc::new(AtomicU64::new(0));
    let stall_lock = Arc::new(tokio::sync::RwLock::new(()));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let connection =
                    FakeConnection { behavior, received: received.clone(), stall_lock: stall_lock.clone() };
                tokio::spawn(async move { drop(connection.serve(stream).await) });
            }
            Err(_) => sleep(Duration::from_millis(20)).await,
        }
    }
}

/// One connection of a fake server.
struct FakeConnection {
    behavior: Behavior,
    /// Requests received so far, over all connections.
    received: Arc<AtomicU64>,
    /// Write-locked by the connection that stalls all others.
    stall_lock: Arc<tokio::sync::RwLock<()>>,
}

/// Value of every answer.
const VALUE: &[u8; 100] = &[b'v'; 100];

impl FakeConnection {
    /// Answers requests as `behavior` says, until either side closes the connection.
    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut input, mut output) = (BytesMut::with_capacity(64 * 1024), Vec::new());
        let mut answered = 0;
        while stream.read_buf(&mut input).await? > 0 {
            while let Some(call) = cache_server::next_call(&mut input) {
                let command = match call {
                    Call::Command(command) => command,
                    Call::HealthCheck => {
                        output.extend_from_slice(b"MN\r\n");
                        continue;
                    }
                    Call::LoadReport => {
                        output.extend_from_slice(&cache_server::load(&[]));
                        continue;
                    }
                    Call::Invalid { answer, close } => {
                        output.extend_from_slice(answer.as_bytes());
                        if close {
                            return stream.write_all(&output).await;
                        }
                        continue;
                    }
                };
                let opaque = command.opaque();
                let opaque = String::from_utf8_lossy(&opaque);
                let received = self.received.fetch_add(1, Ordering::Relaxed);
                match self.behavior {
                    Behavior::Silent => continue,
                    Behavior::StallAfter(after, duration) if received == after => {
                        let _exclusive = self.stall_lock.write().await;
                        sleep(duration).await;
                    }
                    Behavior::CloseAfter(after) if answered == after => {
                        stream.write_all(&output).await?;
                        return stream.write_all(b"VA 100 O").await;
                    }
                    Behavior::RejectAlternate(retry_after) if received.is_multiple_of(2) => {
                        let line = format!("SERVER_ERROR busy {}\r\n", retry_after.as_millis());
                        output.extend_from_slice(line.as_bytes());
                        continue;
                    }
                    _ => {}
                }
                let has_wrong_id = matches!(
                    self.behavior, Behavior::WrongId(interval) if received % interval == interval - 1
                );
                let opaque = if has_wrong_id { "beef" } else { &opaque };
                let metadata = AnswerMetadata { cache_note: Some(CacheNote::Hit), load: Vec::new() };
                output.extend_from_slice(&cache_server::value(opaque, VALUE, &metadata));
                answered += 1;
            }
            let _unless_stalled = self.stall_lock.read().await;
            stream.write_all(&output).await?;
            output.clear();
        }
        Ok(())
    }
}

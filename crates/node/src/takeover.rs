//! Takeover of the listening socket by a new process from the one that serves at the same address. Both processes then
//! accept from one queue, so no connection is lost when the old one closes the socket.
//!
//! The running process offers the socket (SCM_RIGHTS) at a Unix socket in `$TMPDIR`. The connection over which it is
//! passed stays open: each process detects by its end that the other has exited, and the new process reports on it that
//! it serves.

mod greeting;
mod link;
#[cfg(test)]
mod tests;

use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::Duration;

use socket2::{Protocol, SockRef, Type};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout_at, Instant};
use tracing::{info, warn};

use greeting::{is_transient, receive, send, SHORTAGE_RETRY_DELAY};
use link::{Link, Signal};

use crate::budget::Budget;
use crate::opaque_ids::SharedOpaqueIds;
use crate::port::{is_retryable_bind_error, Accept};
use crate::system_error::{report, AcceptRetry, NextAccept, Operation, SystemCall, ACCEPT_PAUSE};

/// Longest time for a claim. A running process hands the socket over at once.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before the socket is offered again after a failure.
const OFFER_RETRY_DELAY: Duration = Duration::from_millis(100);
/// State of the process that takes over from this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    /// There is no successor.
    None,
    /// The successor has the socket and does not accept yet.
    Starting,
    /// The successor accepts, so this process need not.
    Serving,
}

/// Path of the Unix socket at which the listener of this address is offered; `None` if `TMPDIR` is not set.
pub fn socket_path(address: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(Path::new(&folder).join(format!("hallpin-{address}.takeover")))
}

/// The process that served before this one.
pub struct Predecessor {
    link: Link,
    ids: Rc<SharedOpaqueIds>,
}

impl Predecessor {
    fn new(stream: UnixStream) -> Self {
        Predecessor { link: Link::new(stream), ids: Rc::default() }
    }

    /// Shares the opaque ids in use from now on: a request with one of the predecessor's does not run here too.
    pub async fn share_ids(&mut self, ids: Rc<SharedOpaqueIds>) {
        self.link.send(Signal::ReadsIds).await;
        self.link.share_ids(&ids);
        self.ids = ids;
    }

    /// Notifies the predecessor that this process accepts.
    pub async fn notify_serving(&mut self) {
        self.link.send(Signal::Serving).await;
    }

    /// Waits until the predecessor accepts no more or has exited.
    pub async fn wait_until_closed(&mut self) {
        while self.link.next(&self.ids).await.is_some_and(|signal| signal != Signal::Closed) {}
    }

    /// Waits until the predecessor has exited.
    pub async fn wait_for_exit(&mut self) {
        while self.link.next(&self.ids).await.is_some() {}
    }
}

/// Takes over the listening socket that a running process offers at `path`.
///
/// # Errors
/// Says why there is no takeover: no process of the same user offers a listener of the address at the path, or the
/// claim takes too long. The caller must start all the same.
pub async fn claim(path: &Path, address: SocketAddr) -> io::Result<(TcpListener, Predecessor)> {
    retry_claim(async || claim_once(path, address).await).await
}

/// Retries a claim that fails for a shortage on this machine, for [`CLAIM_TIMEOUT`] in all.
async fn retry_claim<T>(mut claim: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    let until = Instant::now() + CLAIM_TIMEOUT;
    loop {
        let error = match timeout_at(until, claim()).await? {
            Ok(claimed) => return Ok(claimed),
            Err(error) => error,
        };
        if !is_transient(SystemCall::Connect, &error) || Instant::now() + SHORTAGE_RETRY_DELAY >= until {
            return Err(error);
        }
        report(Operation::ClaimListener, &error, "retrying to claim the listening socket");
        sleep(SHORTAGE_RETRY_DELAY).await;
    }
}

async fn claim_once(path: &Path, address: SocketAddr) -> io::Result<(TcpListener, Predecessor)> {
    let stream = UnixStream::connect(path).await?;
    check_same_user(&stream)?;
    let socket = receive(&stream).await?;
    Ok((listener(socket, address)?, Predecessor::new(stream)))
}

/// Checks that the process at the other end runs as the same user: no other may give or take the socket.
fn check_same_user(stream: &UnixStream) -> io::Result<()> {
    let own = std::fs::metadata("/proc/self")?.uid();
    match stream.peer_cred()?.uid() == own {
        true => Ok(()),
        false => Err(io::Error::other("the process at the other end runs as another user")),
    }
}

/// Converts the received socket, after checking that it is a TCP listener at the address.
fn listener(socket: OwnedFd, address: SocketAddr) -> io::Result<TcpListener> {
    let socket_ref = SockRef::from(&socket);
    let is_tcp = socket_ref.r#type()? == Type::STREAM && socket_ref.protocol()? == Some(Protocol::TCP);
    if !is_tcp || !socket_ref.is_listener()? || socket_ref.local_addr()?.as_socket() != Some(address) {
        return Err(io::Error::other("the received socket does not listen at the expected address"));
    }
    socket_ref.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

/// Binds a Unix socket at the path, in place of whatever was there.
fn publish(path: &Path) -> io::Result<UnixListener> {
    let temporary = path.with_extension(format!("{}.new", std::process::id()));
    // An earlier process with the same id may have left the file.
    match std::fs::remove_file(&temporary) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let unix_listener = UnixListener::bind(&temporary)?;
    std::fs::set_permissions(&temporary, std::fs::Permissions::from_mode(0o600))?;
    // The rename is atomic, so the path always has a socket; it replaces a link and not the link's target.
    std::fs::rename(&temporary, path).inspect_err(|_| drop(std::fs::remove_file(&temporary)))?;
    Ok(unix_listener)
}

/// Accepts the next process that connects; `None` if the Unix socket fails for good.
async fn accept_successor(unix_listener: &impl Accept<Stream = UnixStream>) -> Option<UnixStream> {
    let mut retry = AcceptRetry::new(Operation::AcceptSuccessor);
    loop {
        match unix_listener.accept().await {
            Ok(stream) => return Some(stream),
            Err(error) => match retry.failed(&error) {
                NextAccept::Immediately => tokio::task::yield_now().await,
                NextAccept::AfterPause | NextAccept::AfterFreeingDescriptors => sleep(ACCEPT_PAUSE).await,
                NextAccept::Never => return None,
            },
        }
    }
}

/// Offers the listening socket to one successor after another, for as long as the caller keeps it open.
pub struct Offer {
    pub path: PathBuf,
    pub socket: Weak<TcpListener>,
    pub budget: Rc<Budget>,
    /// Opaque ids in use, which both processes share.
    pub ids: Rc<SharedOpaqueIds>,
    pub successor: watch::Sender<Successor>,
    /// Notified when this process accepts no more.
    pub closed: Rc<Notify>,
}

impl Offer {
    /// Offers the socket until it is closed.
    pub async fn run(self) {
        self.run_with(publish).await;
    }

    async fn run_with<D: Accept<Stream = UnixStream>>(self, mut publish: impl FnMut(&Path) -> io::Result<D>) {
        let mut gone = false;
        // A process that stops must not bind the path, as it would replace the socket of the process after it.
        while self.socket.strong_count() > 0 {
            let unix_listener = match publish(&self.path) {
                Ok(unix_listener) => unix_listener,
                Err(error) if is_retryable_bind_error(&error) => {
                    report(Operation::OfferListener, &error, "retrying to offer the listening socket");
                    sleep(OFFER_RETRY_DELAY).await;
                    continue;
                }
                Err(error) => {
                    return warn!(path = %self.path.display(), %error, "the listening socket is not offered");
                }
            };
            // Logged only now that the next successor can find this process.
            if std::mem::take(&mut gone) {
                info!("the successor is gone");
            }
            match accept_successor(&unix_listener).await {
                Some(stream) => match self.hand_over(stream).await {
                    Ok(handed_over) => gone = handed_over,
                    Err(error) => warn!(%error, "handing the listening socket over failed"),
                },
                None => sleep(OFFER_RETRY_DELAY).await,
            }
            // The path is bound again: a successor that has exited had bound its own socket there.
        }
    }

    /// Hands the socket over and waits until the successor has exited; `false` if the socket is closed already.
    async fn hand_over(&self, stream: UnixStream) -> io::Result<bool> {
        check_same_user(&stream)?;
        let Some(socket) = self.socket.upgrade() else { return Ok(false) };
        send(&stream, socket.as_fd()).await?;
        drop(socket);
        info!("the socket is handed over");
        self.budget.add_process();
        self.successor.send_replace(Successor::Starting);
        let mut link = Link::new(stream);
        loop {
            tokio::select! {
                signal = link.next(&self.ids) => match signal {
                    Some(Signal::Serving) => {
                        info!("the successor serves");
                        self.successor.send_replace(Successor::Serving);
                    }
                    Some(Signal::ReadsIds) => link.share_ids(&self.ids),
                    Some(Signal::Closed) => {}
                    None => break,
                },
                // A successor that is not ready yet must accept all the same, as nobody else does now.
                () = self.closed.notified() => link.send(Signal::Closed).await,
            }
        }
        self.budget.remove_process();
        self.successor.send_replace(Successor::None);
        Ok(true)
    }
}

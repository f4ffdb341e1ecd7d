//! A new process beside a running one, at the same address: the running one hands over its listening socket, so
//! that both take connections from one queue and none is lost with the process that closes its end first.
//!
//! The running process offers the socket at a name in `$TMPDIR`. The connection over which it went stays open:
//! each process learns from its end that the other has gone, and the new one says on it when it serves.

#[cfg(test)]
mod tests;

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::{Rc, Weak};
use std::time::Duration;

use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use socket2::{Protocol, SockRef, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, UnixListener, UnixStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};
use tracing::{info, warn};

use crate::budget::Budget;

/// What comes along with the socket.
const GREETING: &[u8] = b"hallpin takeover 1\n";
/// What the new process says once it serves.
const SERVING: u8 = b's';
/// What the old process says once it accepts no more.
const CLOSED: u8 = b'c';
/// Whoever is at the name hands the socket over at once, or there is nobody.
const PATIENCE: Duration = Duration::from_secs(1);
/// Wait before looking for a successor again after a failure.
const PAUSE: Duration = Duration::from_millis(100);

/// The process that takes over from this one, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Successor {
    None,
    Starting,
    /// It accepts, and this process need not.
    Serving,
}

/// Where a socket for this address is offered: in the node's own folder, or nowhere.
pub fn name(address: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(Path::new(&folder).join(format!("hallpin-{address}.takeover")))
}

/// The process that served before this one.
pub struct Predecessor {
    stream: UnixStream,
}

impl Predecessor {
    /// Tells it that this process accepts.
    pub async fn relieve(&mut self) {
        // One that is gone needs no word.
        let _ = self.stream.write_all(&[SERVING]).await;
    }

    /// Waits until it accepts no more; its end tells that too.
    pub async fn closed(&mut self) {
        let _ = self.stream.read(&mut [0]).await;
    }

    /// Waits until it has ended.
    pub async fn gone(&mut self) {
        while self.stream.read(&mut [0]).await.is_ok_and(|read| read > 0) {}
    }
}

/// Takes over the socket that a running process offers. Anything else at the name is an error, which tells why
/// there is no takeover and must not stop a start.
pub async fn claim(path: &Path, address: SocketAddr) -> io::Result<(TcpListener, Predecessor)> {
    let claimed = async {
        let stream = UnixStream::connect(path).await?;
        expect_own(&stream)?;
        let socket = receive(&stream).await?;
        Ok((listener(socket, address)?, Predecessor { stream }))
    };
    timeout(PATIENCE, claimed).await?
}

/// Only this node's own user may give or take the socket.
fn expect_own(stream: &UnixStream) -> io::Result<()> {
    let own = std::fs::metadata("/proc/self")?.uid();
    match stream.peer_cred()?.uid() == own {
        true => Ok(()),
        false => Err(io::Error::other("the other end is another user's")),
    }
}

fn send(stream: &UnixStream, socket: BorrowedFd) -> rustix::io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets = [socket];
    control.push(SendAncillaryMessage::ScmRights(&sockets));
    sendmsg(stream, &[IoSlice::new(GREETING)], &mut control, SendFlags::NOSIGNAL).map(drop)
}

async fn receive(stream: &UnixStream) -> io::Result<OwnedFd> {
    stream
        .async_io(Interest::READABLE, || {
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let mut text = [0; GREETING.len()];
            let into = &mut [IoSliceMut::new(&mut text)];
            let came = recvmsg(stream, into, &mut control, RecvFlags::CMSG_CLOEXEC)?;
            let socket = control.drain().find_map(|message| match message {
                RecvAncillaryMessage::ScmRights(mut sockets) => sockets.next(),
                _ => None,
            });
            match socket {
                Some(socket) if text[..came.bytes] == *GREETING => Ok(socket),
                _ => Err(io::Error::other("what came is no socket handed over")),
            }
        })
        .await
}

/// The listener, if that is what the socket is.
fn listener(socket: OwnedFd, address: SocketAddr) -> io::Result<TcpListener> {
    let about = SockRef::from(&socket);
    let tcp = about.r#type()? == Type::STREAM && about.protocol()? == Some(Protocol::TCP);
    if !tcp || !about.is_listener()? || about.local_addr()?.as_socket() != Some(address) {
        return Err(io::Error::other("the socket handed over does not listen at this address"));
    }
    about.set_nonblocking(true)?;
    TcpListener::from_std(socket.into())
}

/// Puts a door at the name, in place of whatever was there.
fn publish(path: &Path) -> io::Result<UnixListener> {
    let fresh = path.with_extension(format!("{}.new", std::process::id()));
    // Of an earlier process with the same id.
    match std::fs::remove_file(&fresh) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(error),
        _ => {}
    }
    let door = UnixListener::bind(&fresh)?;
    std::fs::set_permissions(&fresh, std::fs::Permissions::from_mode(0o600))?;
    // The name is never without a door, and what a link there leads to is left alone.
    std::fs::rename(&fresh, path).inspect_err(|_| drop(std::fs::remove_file(&fresh)))?;
    Ok(door)
}

/// Offers the socket to one successor after another. The socket is the caller's: once it is closed there is nothing
/// to hand over.
pub struct Offer {
    pub path: PathBuf,
    pub socket: Weak<TcpListener>,
    pub budget: Rc<Budget>,
    pub successor: watch::Sender<Successor>,
    /// Told when this process accepts no more.
    pub closed: Rc<Notify>,
}

impl Offer {
    pub async fn run(self) {
        let mut gone = false;
        // A door of a process that stops would hide that of the process that comes after it.
        while self.socket.strong_count() > 0 {
            let door = match publish(&self.path) {
                Ok(door) => door,
                Err(error) => {
                    return warn!(path = %self.path.display(), %error, "none is offered");
                }
            };
            // Said when the next one finds this process again.
            if std::mem::take(&mut gone) {
                info!("the successor is gone");
            }
            match door.accept().await {
                Ok((stream, _)) => match self.hand_over(stream).await {
                    Ok(handed) => gone = handed,
                    Err(error) => warn!(%error, "not handed over"),
                },
                Err(_) => sleep(PAUSE).await,
            }
            // A successor that came to nothing had put its own door at the name.
        }
    }

    /// Hands the socket over, if there is one left, and stays until the successor is gone.
    async fn hand_over(&self, mut stream: UnixStream) -> io::Result<bool> {
        expect_own(&stream)?;
        let Some(socket) = self.socket.upgrade() else { return Ok(false) };
        send(&stream, socket.as_fd())?;
        drop(socket);
        info!("the socket is handed over");
        self.budget.join();
        self.successor.send_replace(Successor::Starting);
        let mut word = [0];
        loop {
            tokio::select! {
                read = stream.read(&mut word) => match read {
                    Ok(1) if word[0] == SERVING => {
                        info!("the successor serves");
                        self.successor.send_replace(Successor::Serving);
                    }
                    Ok(1) => {}
                    _ => break,
                },
                // One that does not serve yet has to accept all the same: nobody else does.
                () = self.closed.notified() => drop(stream.write_all(&[CLOSED]).await),
            }
        }
        self.budget.leave();
        self.successor.send_replace(Successor::None);
        Ok(true)
    }
}

//! The greeting that carries the listening socket (SCM_RIGHTS) from the old process to the new one.

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::time::Duration;

use rustix::io::Errno;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, ReturnFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use tokio::io::Interest;
use tokio::net::UnixStream;
use tokio::time::sleep;

use crate::system_error::{classify, report, ErrorClass, Operation, SystemCall};

/// Message that carries the socket.
pub(super) const GREETING: &[u8] = b"hallpin takeover 1\n";
/// Delay before a call is retried that failed for a shortage on this machine.
pub(super) const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Most retries of sending the greeting after such failures: the new process waits for [`CLAIM_TIMEOUT`](super::CLAIM_TIMEOUT) in all.
pub(super) const MAX_SEND_RETRIES: u32 = 10;

/// Whether the same call may succeed soon: it was interrupted or failed for a shortage on this machine.
pub(super) fn is_transient(call: SystemCall, error: &io::Error) -> bool {
    matches!(classify(call, error), ErrorClass::RetryNow | ErrorClass::LocalShortage)
}

/// Sends the greeting with the socket.
pub(super) async fn send(stream: &UnixStream, socket: BorrowedFd<'_>) -> io::Result<()> {
    send_greeting(stream, |part, first| send_part(stream, part, first.then_some(socket))).await
}

/// Sends the greeting in as many writes as it takes. The socket goes with the first part.
pub(super) async fn send_greeting(
    stream: &UnixStream,
    mut send_part: impl FnMut(&[u8], bool) -> io::Result<usize>,
) -> io::Result<()> {
    let (mut sent, mut retries) = (0, 0);
    while sent < GREETING.len() {
        match stream.async_io(Interest::WRITABLE, || send_part(&GREETING[sent..], sent == 0)).await {
            Ok(length) => sent += length,
            Err(error) if retries < MAX_SEND_RETRIES && is_transient(SystemCall::Transfer, &error) => {
                report(Operation::OfferListener, &error, "retrying to send the listening socket");
                retries += 1;
                sleep(SHORTAGE_RETRY_DELAY).await;
            }
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

pub(super) fn send_part(stream: &UnixStream, part: &[u8], socket: Option<BorrowedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets = socket.as_slice();
    if !sockets.is_empty() {
        control.push(SendAncillaryMessage::ScmRights(sockets));
    }
    Ok(sendmsg(stream, &[IoSlice::new(part)], &mut control, SendFlags::NOSIGNAL)?)
}

/// Receives the greeting, in as many parts as it comes, and the socket that comes with one of them.
pub(super) async fn receive(stream: &UnixStream) -> io::Result<OwnedFd> {
    let mut text = [0; GREETING.len()];
    let (mut received, mut socket) = (0, None);
    while received < GREETING.len() {
        let part = &mut text[received..];
        let length = stream.async_io(Interest::READABLE, || receive_part(stream, part, &mut socket)).await?;
        received += length;
        if length == 0 || !GREETING.starts_with(&text[..received]) {
            return Err(io::Error::other("unexpected data in place of the takeover greeting"));
        }
    }
    socket.ok_or_else(|| io::Error::other("the takeover greeting came without a socket"))
}

fn receive_part(stream: &UnixStream, part: &mut [u8], socket: &mut Option<OwnedFd>) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let buffers = &mut [IoSliceMut::new(part)];
    let received =
        rustix::io::retry_on_intr(|| recvmsg(stream, buffers, &mut control, RecvFlags::CMSG_CLOEXEC))?;
    let sockets = control.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut sockets) => sockets.next(),
        _ => None,
    });
    if sockets.is_none() && received.flags.contains(ReturnFlags::CTRUNC) {
        // The kernel had no free descriptor for the socket and closed it (MSG_CTRUNC).
        return Err(Errno::MFILE.into());
    }
    if sockets.is_some() {
        *socket = sockets;
    }
    Ok(received.bytes)
}

//! Events between the decision to send an attempt and the write of its last byte: the repeat window closes, the
//! client disconnects, or the attempt is cancelled. Small buffers and a server that does not read block the write.

use std::future::{poll_fn, Future};
use std::pin::Pin;
use std::task::Poll;

use hallpin_balancer::{ServerId, Status};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{advance, timeout};

use super::super::connection::IdleConnection;
use super::super::pool::SETTLE_TIME;
use super::super::AttemptResult;
use super::*;

pub(super) const WINDOW: Duration = Duration::from_millis(300);
/// A large part of what a connection buffers at once.
const LARGE: usize = 60_000;

pub(super) fn server() -> ServerId {
    ServerId("s".into())
}

/// The second attempt of a request. It may be written until `WINDOW` after the last byte of the first was written.
fn second_attempt(text: &str) -> UpstreamCall {
    UpstreamCall { attempt: AttemptId(1), repeat_window: Some(WINDOW), ..test_call(text) }
}

pub(super) fn write_command() -> String {
    format!("ms k {LARGE} Oa Pc=put,d=60000\r\n{}\r\n", "v".repeat(LARGE))
}

/// Polls the attempt once; it must not end.
pub(super) async fn poll_once(attempt: &mut Pin<&mut impl Future<Output = AttemptResult>>) {
    tokio::select! {
        biased;
        ended = attempt => panic!("ended as {ended:?}"),
        () = std::future::ready(()) => {}
    }
}

/// Everything that the server receives until the connection ends.
async fn received(mut stream: TcpStream) -> Vec<u8> {
    let mut seen = Vec::new();
    // A reset ends the connection too.
    let _ = stream.read_to_end(&mut seen).await;
    seen
}

/// An upstream with one cached connection, the server's end of it, and the number of bytes in flight. The buffers are
/// too small for a large command to go out completely before the server reads.
pub(super) async fn blocked_upstream() -> (Rc<Upstream>, TcpStream, usize) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(16 * 1024).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let upstream = upstream(LONG, 9);
    upstream.update_endpoints(&roster(&listener, "ready"));
    let now = Instant::now();
    let connection = upstream.connect(&server(), now + LONG).await.ok().unwrap();
    let peer = listener.accept().await.unwrap().0;
    socket2::SockRef::from(&connection.stream).set_send_buffer_size(8 * 1024).unwrap();
    let mut filled = 0;
    connection.stream.writable().await.unwrap();
    while let Ok(written) = connection.stream.try_write(&[b'x'; 4096]) {
        filled += written;
    }
    let idle = IdleConnection { connection, since: now - 2 * SETTLE_TIME };
    upstream.endpoints.borrow_mut().get_mut(&server()).unwrap().idle.push(idle);
    (upstream, peer, filled)
}

/// Starts connecting, then runs `event`, then lets the connection come up; returns how the attempt ends.
async fn attempt_with_event_while_connecting(call: &UpstreamCall, event: impl AsyncFnOnce()) -> Status {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 9);
    upstream.update_endpoints(&roster(&listener, "ready"));
    let at = server();
    let mut attempt = std::pin::pin!(upstream.attempt(&at, call));
    poll_once(&mut attempt).await;
    event().await;
    let peer = async {
        let mut byte = [0];
        let stream = timeout(LONG / 2, listener.accept()).await;
        let read = match stream {
            Ok(stream) => stream.unwrap().0.read(&mut byte).await,
            Err(_) => Ok(0),
        };
        assert!(!matches!(read, Ok(1..)), "a byte was written");
    };
    let ended = async {
        let ended = attempt.await;
        upstream.endpoints.borrow_mut().clear();
        ended
    };
    tokio::join!(ended, peer).0.status
}

/// A connection that comes up after the repeat window has closed is not written to. The window starts with the first
/// attempt that was written, even if that one was started later.
#[tokio::test(start_paused = true)]
async fn a_late_connection_is_not_written_to_beyond_the_window() {
    let retry = second_attempt(READ);
    retry.executions.record_written(AttemptId(0), Instant::now());
    let status = attempt_with_event_while_connecting(&retry, async || advance(WINDOW).await).await;
    assert!(!status.may_have_run() && !retry.written.get(), "{status:?}");

    let first = UpstreamCall { attempt: AttemptId(0), ..second_attempt(READ) };
    let overtake = async || {
        first.executions.record_written(AttemptId(1), Instant::now());
        advance(WINDOW).await;
    };
    assert_eq!(attempt_with_event_while_connecting(&first, overtake).await, Status::Void);
    assert!(!first.written.get());
}

/// A command that must not run twice is not written for an attempt whose connection comes up after another
/// attempt of the request was written, even if that one was started later.
#[tokio::test(start_paused = true)]
async fn of_two_attempts_that_must_not_both_run_one_is_written() {
    let call = UpstreamCall { repeat_window: Some(Duration::ZERO), ..test_call(READ) };
    let overtake = async || call.executions.record_written(AttemptId(1), Instant::now());
    assert_eq!(attempt_with_event_while_connecting(&call, overtake).await, Status::Void);
}

/// If the client disconnects while its attempt is connecting, nothing is written for it.
#[tokio::test(start_paused = true)]
async fn nothing_is_written_for_a_client_that_has_gone() {
    let call = test_call(READ);
    assert_eq!(attempt_with_event_while_connecting(&call, async || call.gone.set()).await, Status::Void);
    assert!(!call.written.get());
}

/// A rejected attempt did not run and starts no repeat window.
#[tokio::test]
async fn a_window_runs_from_attempts_that_may_have_run() {
    let call = second_attempt(READ);
    let now = Instant::now();
    call.executions.record_written(AttemptId(0), now);
    assert_eq!(call.write_deadline(), now + WINDOW);
    call.executions.record_never_ran(AttemptId(0));
    assert_eq!(call.write_deadline(), call.until);
}

/// A blocked write is given up when the repeat window closes, and its last byte does not go out later.
#[tokio::test(start_paused = true)]
async fn a_write_that_blocks_ends_with_the_window() {
    let (upstream, peer, filled) = blocked_upstream().await;
    let (call, now) = (second_attempt(&write_command()), Instant::now());
    call.executions.record_written(AttemptId(0), now);
    let ended = upstream.attempt(&server(), &call).await;
    assert_eq!((ended.status, call.written.get()), (Status::Unreachable, false));
    assert_eq!(now.elapsed(), WINDOW);
    assert!(received(peer).await.len() < filled + LARGE);
}

/// If the client disconnects while its command is blocked, the last byte is not written.
#[tokio::test]
async fn a_blocked_command_ends_with_its_client() {
    let (upstream, peer, filled) = blocked_upstream().await;
    let (at, call) = (server(), test_call(&write_command()));
    let mut attempt = std::pin::pin!(upstream.attempt(&at, &call));
    poll_once(&mut attempt).await;
    call.gone.set();
    let (ended, seen) = timeout(LONG, async { tokio::join!(attempt, received(peer)) }).await.unwrap();
    assert_eq!((ended.status, call.written.get()), (Status::Void, false));
    assert!(seen.len() < filled + LARGE);
}

/// Whenever an attempt is cancelled, its command has arrived completely if and only if it is recorded as written.
#[tokio::test]
async fn a_command_is_known_as_written_exactly_if_its_last_byte_went_out() {
    let length = write_command().len();
    let mut recorded = false;
    for polls in 1.. {
        if std::mem::take(&mut recorded) {
            return;
        }
        let (upstream, peer, filled) = blocked_upstream().await;
        let (at, call) = (server(), test_call(&write_command()));
        let mut attempt = Box::pin(upstream.attempt(&at, &call));
        let mut reader = std::pin::pin!(received(peer));
        let mut remaining_polls = polls;
        let run = poll_fn(|context| {
            if remaining_polls == 0 || call.written.get() {
                return Poll::Ready(());
            }
            remaining_polls -= 1;
            assert!(attempt.as_mut().poll(context).is_pending(), "the server does not answer");
            assert!(reader.as_mut().poll(context).is_pending(), "the connection is open");
            Poll::Pending
        });
        timeout(LONG, run).await.unwrap();
        drop(attempt);
        recorded = call.written.get();
        let received_bytes = timeout(LONG, reader).await.unwrap().len() - filled;
        assert_eq!(
            recorded,
            received_bytes == length,
            "{received_bytes} of {length} bytes arrived in {polls} polls"
        );
    }
}

//! The time that a command forwards, and what its failure says about the server, if its connection or its first byte
//! is delayed.

use hallpin_balancer::Status;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};

use super::super::attempt::FORWARDED_TIME_SLACK;
use super::last_byte::{blocked_upstream, poll_once, server, write_command, WINDOW};
use super::*;

/// A server address at which connections never come up, because its accept queue is full.
async fn listener_with_full_queue() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(0).unwrap();
    let first = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    (listener, vec![first])
}

/// A connection that the repeat window leaves less time than the dial timeout says nothing about its server. One that
/// the node gives up waiting for does.
#[tokio::test(start_paused = true)]
async fn a_connection_cut_off_by_the_repeat_window_is_not_blamed_on_its_server() {
    let (listener, _queue) = listener_with_full_queue().await;
    let upstream = upstream(LONG, 9);
    upstream.update_endpoints(&roster(&listener, "ready"));
    let start = Instant::now();
    let retry = UpstreamCall { attempt: AttemptId(1), repeat_window: Some(WINDOW), ..test_call(READ) };
    retry.executions.record_written(AttemptId(0), start);
    assert_eq!(upstream.attempt(&server(), &retry).await.status, Status::Void);
    assert_eq!(start.elapsed(), WINDOW);
    let short_call = UpstreamCall { until: Instant::now() + WINDOW, ..test_call(READ) };
    assert_eq!(upstream.attempt(&server(), &short_call).await.status, Status::Unreachable);
}

/// The forwarded time is what is left when the first byte goes out, not when it was first blocked.
#[tokio::test(start_paused = true)]
async fn a_blocked_command_forwards_the_remaining_time() {
    let (upstream, mut peer, filled) = blocked_upstream().await;
    let (at, call) = (server(), test_call(READ));
    let mut attempt = std::pin::pin!(upstream.attempt(&at, &call));
    poll_once(&mut attempt).await;
    advance(LONG / 2).await;
    let mut seen = vec![0; filled];
    let line = async {
        peer.read_exact(&mut seen).await.unwrap();
        let mut line = [0; 256];
        let read = peer.read(&mut line).await.unwrap();
        String::from_utf8(line[..read].to_vec()).unwrap()
    };
    let line = tokio::select! {
        ended = attempt => panic!("ended as {ended:?}"),
        line = line => line,
    };
    let forwarded_ms: u64 = line.split("d=").nth(1).and_then(|d| d.trim_end().parse().ok()).unwrap();
    assert!(u128::from(forwarded_ms) <= (LONG / 2).as_millis(), "{line}");
}

/// The forwarded time is not updated while the remainder of a command is blocked. The command is given up once the
/// client's remaining time is shorter by more than the allowed slack, and its server, which reads no more, never
/// starts it.
#[tokio::test(start_paused = true)]
async fn a_partly_written_command_that_blocks_is_given_up() {
    let (upstream, mut peer, filled) = blocked_upstream().await;
    let (at, call) = (server(), test_call(&write_command()));
    let mut attempt = std::pin::pin!(upstream.attempt(&at, &call));
    poll_once(&mut attempt).await;
    let mut seen = vec![0; filled + 1];
    let begun = async {
        peer.read_exact(&mut seen).await.unwrap();
        Instant::now()
    };
    let (ended, begun) = tokio::join!(attempt, begun);
    assert_eq!((ended.status, call.written.get()), (Status::Unreachable, false));
    assert_eq!(begun.elapsed(), FORWARDED_TIME_SLACK);
    assert_eq!(upstream.open_connections.get(), 0);
}

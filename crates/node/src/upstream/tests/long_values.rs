//! How long the node waits for a cache server, on the paused clock.

use hallpin_balancer::{ServerId, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

use super::super::body_stream::BrokenBody;
use super::*;
use crate::transfer::STALL_TIMEOUT;

/// A server that sends `piece` bytes of a long value at each `every`, on the paused clock. Returns how many bytes
/// arrived, and whether the value ended broken.
async fn receive_long_value(piece: usize, every: Duration) -> (usize, bool) {
    const LENGTH: usize = 1 << 20;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 9);
    upstream.update_endpoints(&roster(&listener, "ready"));
    let peer = tokio::task::spawn_local(async move {
        let mut stream = listener.accept().await.unwrap().0;
        let (mut seen, mut byte) = (Vec::new(), [0]);
        while !seen.ends_with(b"\n") && matches!(stream.read(&mut byte).await, Ok(1)) {
            seen.push(byte[0]);
        }
        stream.write_all(format!("VA {LENGTH} Oa\r\n").as_bytes()).await.unwrap();
        let value = vec![b'v'; LENGTH];
        for chunk in value.chunks(piece) {
            tokio::time::sleep(every).await;
            if stream.write_all(chunk).await.is_err() {
                return;
            }
        }
        let _ = stream.write_all(b"\r\n").await;
    });
    let ended = upstream.attempt(&ServerId("s".into()), &test_call(READ)).await;
    let mut body = ended.answer.and_then(|served| served.body).expect("a long value");
    let mut received = 0;
    let broken = loop {
        match body.next().await {
            Ok(Some(piece)) => received += piece.len(),
            Ok(None) => break false,
            Err(BrokenBody::ServerTooSlow) => break true,
            Err(other) => panic!("{other}"),
        }
    };
    drop(body);
    peer.abort();
    (received, broken)
}

/// Guards against a server that sends one byte just within each stall timeout and so kept the value open forever
/// (finding 12 of the hardening review). A slow but steady server, above the minimum rate, delivers the whole value.
#[tokio::test(start_paused = true)]
async fn a_trickled_value_is_given_up_and_a_steady_one_is_not() {
    let local = tokio::task::LocalSet::new();
    let (trickled, steady) = local
        .run_until(async {
            let trickled = receive_long_value(1, STALL_TIMEOUT - Duration::from_secs(1)).await;
            let steady = receive_long_value(32 * 1024, Duration::from_secs(1)).await;
            (trickled, steady)
        })
        .await;
    assert_eq!(trickled, (1, true), "a byte in each 9 s: the second would come past the first 10 s");
    assert_eq!(steady, (1 << 20, false), "a steady server at twice the least rate");
}

/// A health check of a server that accepts the connection and sends nothing lasts two dial timeouts, on the paused
/// clock, and ends as timed out.
#[tokio::test(start_paused = true)]
async fn a_probe_of_a_silent_server_lasts_two_dial_times() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 9);
    upstream.update_endpoints(&roster(&listener, "ready"));
    let (server, start) = (ServerId("s".into()), Instant::now());
    let (status, _silent) = tokio::join!(upstream.check_health(&server), listener.accept());
    assert_eq!((status, start.elapsed()), (Status::TimedOut, LONG * 2));
}

//! New clients when every slot is taken by a connection that waits for an answer.

use std::time::Duration;

use hallpin_protocol as protocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::{settle, with_client, with_clock_held};
use crate::answer::Answer;
use crate::config::{Limits, RESERVED_DESCRIPTORS};
use crate::frontend::shared::STALL_EVICTION_DELAY;
use crate::message::Message;

const READ: &[u8] = b"mg k v Oa Pc=read,d=9000\r\n";
/// More than the kernel buffers of both ends hold.
const LONG_ANSWER_BYTES: usize = 64 << 20;

async fn receive_request(inbox: &mut UnboundedReceiver<Message>) -> oneshot::Sender<Answer> {
    let Some(Message::Request { reply, .. }) = with_clock_held(inbox.recv()).await else {
        panic!("a request")
    };
    reply
}

async fn send_request(
    client: &mut TcpStream,
    inbox: &mut UnboundedReceiver<Message>,
) -> oneshot::Sender<Answer> {
    client.write_all(READ).await.unwrap();
    receive_request(inbox).await
}

async fn connect_another(client: &TcpStream) -> TcpStream {
    TcpStream::connect(client.peer_addr().unwrap()).await.unwrap()
}

async fn expect_close(client: &mut TcpStream) {
    // If the node has left the client's input unread, the close is a reset.
    let read = with_clock_held(client.read(&mut [0])).await;
    assert_eq!(read.unwrap_or(0), 0, "closed");
}

async fn expect_answer(client: &mut TcpStream, inbox: &mut UnboundedReceiver<Message>) {
    let reply = send_request(client, inbox).await;
    assert!(reply.send(Answer::without_request(protocol::FAILED)).is_ok());
    let mut answer = vec![0; protocol::FAILED.len()];
    with_clock_held(client.read_exact(&mut answer)).await.unwrap();
    assert_eq!(answer, protocol::FAILED);
}

/// Limits with this many client slots.
fn limits_for(clients: usize) -> Limits {
    Limits { sockets: RESERVED_DESCRIPTORS + clients + clients / 2, ..Limits::default() }
}

/// Descriptors that are not for clients are for cache servers: with all connections in use a new one is closed at
/// once, and the others are unaffected.
#[tokio::test(start_paused = true)]
async fn with_all_connections_in_use_a_new_one_is_closed() {
    with_client(&limits_for(1), |mut first, _, mut inbox| async move {
        let reply = send_request(&mut first, &mut inbox).await;
        expect_close(&mut connect_another(&first).await).await;
        assert!(reply.send(Answer::without_request(protocol::FAILED)).is_ok());
        let mut answer = vec![0; protocol::FAILED.len()];
        with_clock_held(first.read_exact(&mut answer)).await.unwrap();
        assert_eq!(answer, protocol::FAILED);
    })
    .await;
}

/// Unread answers keep new clients out no longer than the stall eviction delay. A client that reads its answer gets
/// all of it, however slowly, and so does one that waits for its answer.
#[tokio::test(start_paused = true)]
async fn only_a_client_that_reads_nothing_makes_room() {
    let tenth = Duration::from_millis(100);
    with_client(&limits_for(4), |mut idle, _, mut inbox| async move {
        let [mut waiting, mut reading, mut stalled] =
            [connect_another(&idle).await, connect_another(&idle).await, connect_another(&idle).await];
        expect_answer(&mut idle, &mut inbox).await;
        let answer = send_request(&mut waiting, &mut inbox).await;
        for client in [&mut reading, &mut stalled] {
            let reply = send_request(client, &mut inbox).await;
            assert!(reply.send(Answer::without_request(vec![b'v'; LONG_ANSWER_BYTES].into())).is_ok());
            settle().await;
        }
        // The idle client makes room for the first new one, which then has a request in flight.
        let mut newcomer = connect_another(&idle).await;
        let _reply = send_request(&mut newcomer, &mut inbox).await;
        expect_close(&mut idle).await;
        let (mut piece, pause) = (vec![0; LONG_ANSWER_BYTES / 4], (STALL_EVICTION_DELAY - tenth) / 2);
        for _ in 0..2 {
            sleep(pause).await;
            with_clock_held(reading.read_exact(&mut piece)).await.unwrap();
            settle().await;
            expect_close(&mut connect_another(&waiting).await).await;
        }
        sleep(2 * tenth).await;
        expect_answer(&mut connect_another(&waiting).await, &mut inbox).await;
        let mut some = Vec::new();
        let _ = with_clock_held(stalled.read_to_end(&mut some)).await;
        assert!(some.len() < LONG_ANSWER_BYTES, "the whole answer arrived");
        for _ in 0..2 {
            with_clock_held(reading.read_exact(&mut piece)).await.unwrap();
        }
        assert!(answer.send(Answer::without_request(protocol::FAILED)).is_ok());
        let mut answer_text = vec![0; protocol::FAILED.len()];
        with_clock_held(waiting.read_exact(&mut answer_text)).await.unwrap();
        assert_eq!(answer_text, protocol::FAILED);
    })
    .await;
}

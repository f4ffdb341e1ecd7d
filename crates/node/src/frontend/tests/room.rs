//! Newcomers where every place is taken by a connection that is owed an answer.

use std::time::Duration;

use hallpin_protocol as protocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::{held, settle, with_client};
use crate::answer::Answer;
use crate::config::{Limits, RESERVED};
use crate::frontend::shared::UNTAKEN;
use crate::message::Message;

const READ: &[u8] = b"mg k v Oa Pc=read,d=9000\r\n";
/// More than both kernels hold.
const LONG: usize = 64 << 20;

async fn asked(inbox: &mut UnboundedReceiver<Message>) -> oneshot::Sender<Answer> {
    let Some(Message::Request { reply, .. }) = held(inbox.recv()).await else { panic!("a request") };
    reply
}

async fn asks(client: &mut TcpStream, inbox: &mut UnboundedReceiver<Message>) -> oneshot::Sender<Answer> {
    client.write_all(READ).await.unwrap();
    asked(inbox).await
}

async fn beside(client: &TcpStream) -> TcpStream {
    TcpStream::connect(client.peer_addr().unwrap()).await.unwrap()
}

async fn is_closed(client: &mut TcpStream) {
    // With what it sent unread the close is a reset.
    let read = held(client.read(&mut [0])).await;
    assert_eq!(read.unwrap_or(0), 0, "closed");
}

async fn is_answered(client: &mut TcpStream, inbox: &mut UnboundedReceiver<Message>) {
    let reply = asks(client, inbox).await;
    assert!(reply.send(Answer::untaken(protocol::FAILED)).is_ok());
    let mut answer = vec![0; protocol::FAILED.len()];
    held(client.read_exact(&mut answer)).await.unwrap();
    assert_eq!(answer, protocol::FAILED);
}

/// Places for so many clients.
fn places(clients: usize) -> Limits {
    Limits { sockets: RESERVED + clients + clients / 2, ..Limits::default() }
}

/// The descriptors that are not for clients are for cache servers: with all connections at work a newcomer is closed at
/// once, and the others are none the worse.
#[tokio::test(start_paused = true)]
async fn with_all_connections_at_work_a_newcomer_is_closed() {
    with_client(&places(1), |mut first, _, mut inbox| async move {
        let reply = asks(&mut first, &mut inbox).await;
        is_closed(&mut beside(&first).await).await;
        assert!(reply.send(Answer::untaken(protocol::FAILED)).is_ok());
        let mut answer = vec![0; protocol::FAILED.len()];
        held(first.read_exact(&mut answer)).await.unwrap();
        assert_eq!(answer, protocol::FAILED);
    })
    .await;
}

/// Answers that nobody takes keep newcomers out no longer than a client may rest over them. Who takes his answer has all of
/// it, however slowly, and so has who waits for one.
#[tokio::test(start_paused = true)]
async fn the_client_that_takes_nothing_makes_room_and_nobody_else() {
    let tenth = Duration::from_millis(100);
    with_client(&places(4), |mut idle, _, mut inbox| async move {
        let [mut waiting, mut taking, mut stuck] =
            [beside(&idle).await, beside(&idle).await, beside(&idle).await];
        is_answered(&mut idle, &mut inbox).await;
        let answer = asks(&mut waiting, &mut inbox).await;
        for client in [&mut taking, &mut stuck] {
            let reply = asks(client, &mut inbox).await;
            assert!(reply.send(Answer::untaken(vec![b'v'; LONG].into())).is_ok());
            settle().await;
        }
        // The idle one makes room for the first newcomer, who is at work then.
        let mut newcomer = beside(&idle).await;
        let _reply = asks(&mut newcomer, &mut inbox).await;
        is_closed(&mut idle).await;
        let (mut piece, pause) = (vec![0; LONG / 4], (UNTAKEN - tenth) / 2);
        for _ in 0..2 {
            sleep(pause).await;
            held(taking.read_exact(&mut piece)).await.unwrap();
            settle().await;
            is_closed(&mut beside(&waiting).await).await;
        }
        sleep(2 * tenth).await;
        is_answered(&mut beside(&waiting).await, &mut inbox).await;
        let mut some = Vec::new();
        let _ = held(stuck.read_to_end(&mut some)).await;
        assert!(some.len() < LONG, "all of it");
        for _ in 0..2 {
            held(taking.read_exact(&mut piece)).await.unwrap();
        }
        assert!(answer.send(Answer::untaken(protocol::FAILED)).is_ok());
        let mut came = vec![0; protocol::FAILED.len()];
        held(waiting.read_exact(&mut came)).await.unwrap();
        assert_eq!(came, protocol::FAILED);
    })
    .await;
}

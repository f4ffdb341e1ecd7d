//! A client that has gone is seen at once, whatever keeps its commands waiting and whatever it left unread.

use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::{held, settle, with_client};
use crate::answer::Answer;
use crate::config::Limits;
use crate::frontend::input::READ_AHEAD;
use crate::message::Message;

const SECOND: Duration = Duration::from_secs(1);
const READ: &[u8] = b"mg k v Oa Pc=read,d=9000\r\n";

type Inbox = UnboundedReceiver<Message>;

/// So many requests, and no more of them while the system brings all that was sent.
async fn requests(inbox: &mut Inbox, count: usize) -> Vec<oneshot::Sender<Answer>> {
    let mut replies = Vec::new();
    while replies.len() < count {
        let Some(Message::Request { reply, .. }) = held(inbox.recv()).await else { panic!("a request") };
        replies.push(reply);
    }
    settle().await;
    assert!(inbox.try_recv().is_err(), "more than {count}");
    replies
}

/// The next thing told is that the client has gone, and nothing has to be waited for until then.
async fn gone(inbox: &mut Inbox) {
    assert!(matches!(held(inbox.recv()).await, Some(Message::Withdrawn(_))));
}

/// With as many commands open as may be, and more behind them, as far as is read ahead and further.
#[tokio::test(start_paused = true)]
async fn behind_more_commands_than_may_be_open() {
    for commands in [65, 1000, READ_AHEAD / READ.len() + 1500] {
        with_client(&Limits::default(), |mut client, _, mut inbox| async move {
            let text = READ.repeat(commands);
            let (sent, _replies) = tokio::join!(client.write_all(&text), requests(&mut inbox, 64));
            sent.unwrap();
            drop(client);
            gone(&mut inbox).await;
        })
        .await;
    }
}

/// Where the memory for commands is used up.
#[tokio::test(start_paused = true)]
async fn without_room_for_commands() {
    with_client(&Limits { memory_mb: 1, ..Limits::default() }, |mut client, _, mut inbox| async move {
        for _ in 0..10 {
            client.write_all(READ).await.unwrap();
        }
        let _replies = requests(&mut inbox, 4).await;
        drop(client);
        gone(&mut inbox).await;
    })
    .await;
}

/// During the pause after an answer that turned it away.
#[tokio::test(start_paused = true)]
async fn during_its_penance() {
    with_client(&Limits::default(), |mut client, _, mut inbox| async move {
        client.write_all(&[b"get k\r\n", READ].concat()).await.unwrap();
        let mut error = [0; 7];
        held(client.read_exact(&mut error)).await.unwrap();
        assert_eq!(&error, b"ERROR\r\n");
        let _replies = requests(&mut inbox, 1).await;
        drop(client);
        gone(&mut inbox).await;
    })
    .await;
}

/// With its answers unread; it has only ended sending, as its kernel would reset the connection otherwise.
#[tokio::test(start_paused = true)]
async fn with_its_answers_unread() {
    with_client(&Limits::default(), |mut client, _, mut inbox| async move {
        client.write_all(&READ.repeat(2)).await.unwrap();
        let mut replies = requests(&mut inbox, 2).await;
        let long = Bytes::from(vec![b'v'; 64 << 20]);
        assert!(replies.remove(0).send(Answer::untaken(long)).is_ok());
        // The node fills what the kernel takes, and is left with the rest.
        settle().await;
        client.shutdown().await.unwrap();
        gone(&mut inbox).await;
    })
    .await;
}

/// In a stop, when no further command is begun, with its request in hand.
#[tokio::test(start_paused = true)]
async fn in_a_stop() {
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        client.write_all(READ).await.unwrap();
        let _replies = requests(&mut inbox, 1).await;
        frontend.lifecycle.stop(false, crate::stop::Stop::of(SECOND));
        sleep(SECOND).await;
        drop(client);
        gone(&mut inbox).await;
    })
    .await;
}

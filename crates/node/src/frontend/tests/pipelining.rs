//! Commands sent behind open ones on a connection that is to end.

use std::time::Duration;

use hallpin_protocol as protocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::{settle, with_client, with_clock_held};
use crate::answer::Answer;
use crate::config::Limits;
use crate::message::{Admission, Message};
use crate::stop::ShutdownTimes;

/// What makes a connection end.
#[derive(Clone, Copy, Debug)]
enum EndCause {
    Stop,
    StopWithSuccessor,
    Drain,
    MakingRoom,
}

/// Guards against the loss of requests in a restart (`docs/incidents`): commands that a client sends behind an open one
/// are answered, though their connection is to end; they were left unread, and the connection closed over them.
#[tokio::test(start_paused = true)]
async fn commands_sent_behind_an_open_one_are_answered_before_the_end() {
    for cause in [EndCause::Stop, EndCause::StopWithSuccessor, EndCause::Drain, EndCause::MakingRoom] {
        with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
            let command = |id: &str| format!("mg k v O{id} Pc=read,d=9000\r\n").into_bytes();
            if matches!(cause, EndCause::MakingRoom) {
                settle().await;
            }
            client.write_all(&command("first")).await.unwrap();
            match cause {
                EndCause::Stop => frontend.lifecycle.stop(false, ShutdownTimes::of(Duration::from_secs(2))),
                EndCause::StopWithSuccessor => {
                    frontend.lifecycle.stop(true, ShutdownTimes::of(Duration::from_secs(2)));
                }
                EndCause::Drain => frontend.lifecycle.drain().unwrap(),
                EndCause::MakingRoom => assert!(frontend.make_room()),
            }
            let mut replies = vec![next_reply(&mut inbox).await];
            sleep(Duration::from_millis(1600)).await;
            for id in ["second", "third"] {
                client.write_all(&command(id)).await.unwrap();
                replies.push(next_reply(&mut inbox).await);
                sleep(Duration::from_millis(100)).await;
            }
            for reply in replies {
                assert!(reply.send(Answer::without_request(protocol::FAILED)).is_ok(), "{cause:?}");
            }
            let mut answers = Vec::new();
            with_clock_held(client.read_to_end(&mut answers)).await.unwrap();
            assert_eq!(answers, protocol::FAILED.repeat(3), "{cause:?}");
        })
        .await;
    }
}

/// A client in use may send any amount behind an open command, though its connection was asked to make room.
#[tokio::test(start_paused = true)]
async fn a_client_in_use_that_makes_room_may_send_without_pause() {
    const COUNT: usize = 24;
    let value = "v".repeat(60 * 1024);
    let write = format!("ms k {} Oa Pc=read,d=9000\r\n{value}\r\n", value.len());
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        client.write_all(write.as_bytes()).await.unwrap();
        let first = next_reply(&mut inbox).await;
        assert!(first.send(Answer::without_request(protocol::FAILED)).is_ok());
        settle().await;
        client.write_all(write.as_bytes()).await.unwrap();
        assert!(frontend.make_room());
        let mut open = next_reply(&mut inbox).await;
        for _ in 2..COUNT {
            client.write_all(write.as_bytes()).await.unwrap();
            let next = next_reply(&mut inbox).await;
            assert!(std::mem::replace(&mut open, next)
                .send(Answer::without_request(protocol::FAILED))
                .is_ok());
        }
        assert!(open.send(Answer::without_request(protocol::FAILED)).is_ok());
        let mut answers = Vec::new();
        with_clock_held(client.read_to_end(&mut answers)).await.unwrap();
        assert_eq!(answers.len(), protocol::FAILED.len() * COUNT);
    })
    .await;
}

/// The reply to the next request, which has to arrive soon and is to be served.
async fn next_reply(inbox: &mut UnboundedReceiver<Message>) -> oneshot::Sender<Answer> {
    match with_clock_held(inbox.recv()).await {
        Some(Message::Request { admission: Admission::Admit, reply, .. }) => reply,
        _ => panic!("a request to serve"),
    }
}

/// Once no time is left, commands on a connection that is still in use are rejected: in a stop before the kill, in a
/// drain in time for the platform to find no recent request on it.
#[tokio::test(start_paused = true)]
async fn without_time_left_commands_behind_an_open_one_are_rejected() {
    for (is_stop, served_after) in [(true, 2500), (false, 1800)] {
        with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
            client.write_all(b"mg k v Oa Pc=read,d=9000\r\n").await.unwrap();
            let _first = next_reply(&mut inbox).await;
            if is_stop {
                frontend.lifecycle.stop(false, ShutdownTimes::of(Duration::from_secs(2)));
            } else {
                frontend.lifecycle.drain().unwrap();
            }
            sleep(Duration::from_millis(served_after)).await;
            client.write_all(b"mg k v Ob Pc=read,d=9000\r\n").await.unwrap();
            let _second = next_reply(&mut inbox).await;
            sleep(Duration::from_millis(150)).await;
            client.write_all(b"mg k v Oc Pc=read,d=9000\r\n").await.unwrap();
            let third = with_clock_held(inbox.recv()).await;
            assert!(
                matches!(third, Some(Message::Request { admission: Admission::Reject, .. })),
                "{is_stop}"
            );
        })
        .await;
    }
}

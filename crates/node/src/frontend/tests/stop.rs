//! Requests accepted while the process ends.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use hallpin_protocol as protocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, Instant};

use super::{frontend, settle, with_client};
use crate::answer::Answer;
use crate::config::Limits;
use crate::message::{Admission, Message};
use crate::stop::ShutdownTimes;

/// How long after a stop the last request was accepted from a client that sends again `pause` after each answer, on
/// one connection for as long as it is open, if answers take `answer_time`; on the paused clock.
async fn last_accepted_after_a_stop(pause: Duration, answer_time: Duration) -> Duration {
    let (messages, mut inbox) = unbounded_channel();
    let frontend = frontend(&Limits::default(), messages);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = async {
        let mut client = TcpStream::connect(address).await.unwrap();
        let mut answer = vec![0; protocol::FAILED.len()];
        while client.write_all(b"mg k v Oa Pc=read,d=9000\r\n").await.is_ok() {
            if client.read_exact(&mut answer).await.is_err() {
                return;
            }
            sleep(pause).await;
        }
    };
    let accepted = Rc::new(Cell::new(Instant::now()));
    let serve = async {
        while let Some(Message::Request { reply, .. }) = inbox.recv().await {
            accepted.set(Instant::now());
            sleep(answer_time).await;
            let _ = reply.send(Answer::without_request(protocol::FAILED));
        }
    };
    let run = async {
        sleep(Duration::from_secs(1)).await;
        let stopped = Instant::now();
        frontend.lifecycle.stop(false, ShutdownTimes::of(Duration::from_secs(2)));
        // The test ends by itself: by then the kill would have come.
        sleep(Duration::from_secs(3)).await;
        accepted.get().saturating_duration_since(stopped)
    };
    let all = async {
        tokio::select! {
            after = run => after,
            () = frontend.clone().accept(&listener) => unreachable!("the frontend accepts forever"),
            () = async { tokio::join!(client, serve); std::future::pending().await } => unreachable!(),
        }
    };
    LocalSet::new().run_until(all).await
}

/// Clients send on every connection that stays open: each request accepted by a stopping node has its whole deadline
/// left before the kill, whether the connection is busy or idle at its close time.
#[tokio::test(start_paused = true)]
async fn after_a_stop_no_request_is_accepted_that_the_kill_would_cut_off() {
    let ms = Duration::from_millis;
    let close_time = ShutdownTimes::of(ms(2000)).close_idle_after;
    for (pause, answer_time) in [(ms(0), ms(70)), (ms(50), ms(1)), (ms(250), ms(40)), (ms(5), ms(900))] {
        let last = last_accepted_after_a_stop(pause, answer_time).await;
        assert!(
            last <= close_time,
            "requests {pause:?} after answers that took {answer_time:?}: last accepted at {last:?}"
        );
    }
}

/// A client that sends without pause is never between requests. Everything that it sends is answered up to the end,
/// nothing is served once no time is left, and the connection ends before the kill.
#[tokio::test(start_paused = true)]
async fn after_a_stop_a_client_that_sends_without_pause_is_answered_up_to_its_disconnection() {
    let ms = Duration::from_millis;
    const COMMAND: &[u8] = b"mg k v Oa Pc=read,d=9000\r\n";
    with_client(&Limits::default(), |client, frontend, mut inbox| async move {
        let (mut reader, mut writer) = client.into_split();
        let written = Rc::new(Cell::new(0));
        let write_count = written.clone();
        tokio::task::spawn_local(async move {
            while writer.write_all(COMMAND).await.is_ok() {
                write_count.set(write_count.get() + 1);
                settle().await;
                sleep(ms(20)).await;
            }
        });
        let last_served = Rc::new(Cell::new(Instant::now()));
        let serve_time = last_served.clone();
        tokio::task::spawn_local(async move {
            while let Some(Message::Request { admission, reply, .. }) = inbox.recv().await {
                if admission == Admission::Reject {
                    let _ = reply.send(Answer::without_request(protocol::busy(None)));
                    continue;
                }
                serve_time.set(Instant::now());
                tokio::task::spawn_local(async move {
                    sleep(ms(70)).await;
                    let _ = reply.send(Answer::without_request(protocol::FAILED));
                });
            }
        });
        sleep(ms(1000)).await;
        let (stopped, times) = (Instant::now(), ShutdownTimes::of(ms(2000)));
        frontend.lifecycle.stop(false, times);
        let mut answers = Vec::new();
        let ended = timeout(times.finish_after + ms(90), reader.read_to_end(&mut answers)).await;
        assert!(matches!(ended, Ok(Ok(_))), "{ended:?}");
        let last_served = last_served.get() - stopped;
        assert!(last_served > times.close_idle_after, "served until {last_served:?} only");
        assert!(last_served <= times.finish_after, "served until {last_served:?}");
        let answered = String::from_utf8(answers).unwrap().lines().count();
        // One command may cross with the end.
        assert!(answered + 1 >= written.get(), "{answered} of {} are answered", written.get());
    })
    .await;
}

/// A client whose input never ceases does not keep its connection open when no time is left to serve it.
#[tokio::test(start_paused = true)]
async fn input_without_end_does_not_keep_a_connection_open_after_a_stop() {
    const MOST_BYTES: usize = 64 << 20;
    with_client(&Limits::default(), |client, frontend, _inbox| async move {
        let times = ShutdownTimes::of(Duration::from_millis(200));
        frontend.lifecycle.stop(false, times);
        let (mut reader, mut writer) = client.into_split();
        // Half a command keeps the connection open until no time is left.
        writer.write_all(b"m").await.unwrap();
        sleep(times.finish_after - Duration::from_millis(1)).await;
        let sending = async {
            writer.write_all(b"n\r\n").await.unwrap();
            let (piece, mut sent) = (b"mn\r\n".repeat(16 * 1024), 0);
            while sent < MOST_BYTES && writer.write_all(&piece).await.is_ok() {
                sent += piece.len();
                sleep(Duration::from_micros(100)).await;
            }
            sent
        };
        let reading = async {
            let mut answers = vec![0; 64 * 1024];
            while reader.read(&mut answers).await.is_ok_and(|read| read > 0) {}
        };
        let (sent, ()) = tokio::join!(sending, reading);
        assert!(sent < MOST_BYTES, "{sent} bytes sent, and the connection is still open");
    })
    .await;
}

//! Requests that cross with a close chosen by the node are either started and answered, or left to the client, and
//! never lost in between.

use std::time::Duration;

use hallpin_protocol as protocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::task::LocalSet;
use tokio::time::{advance, sleep, timeout};

use super::{frontend, settle, with_client, with_clock_held};
use crate::answer::Answer;
use crate::config::Limits;
use crate::message::Message;
use crate::stop::ShutdownTimes;

const SECOND: Duration = Duration::from_secs(1);
const READ: &[u8] = b"mg k v Oa Pc=read,d=9000\r\n";

/// Answers the next request, which has to arrive soon.
async fn answer_next_request(inbox: &mut UnboundedReceiver<Message>) {
    let Some(Message::Request { reply, .. }) = with_clock_held(inbox.recv()).await else {
        panic!("a request")
    };
    assert!(reply.send(Answer::without_request(protocol::FAILED)).is_ok());
}

async fn expect_answer(client: &mut TcpStream) {
    let mut answer = vec![0; protocol::FAILED.len()];
    with_clock_held(client.read_exact(&mut answer)).await.unwrap();
    assert_eq!(answer, protocol::FAILED);
}

async fn expect_busy(client: &mut TcpStream) {
    let mut answer = vec![0; protocol::busy(None).len()];
    with_clock_held(client.read_exact(&mut answer)).await.unwrap();
    assert_eq!(answer, protocol::busy(None));
}

async fn expect_close(client: &mut TcpStream) {
    let read = with_clock_held(client.read(&mut [0])).await;
    assert!(matches!(read, Ok(0)), "{read:?}");
}

/// Lets the system deliver what was sent while the node does not run.
fn deliver_without_running_the_node() {
    std::thread::sleep(Duration::from_millis(100));
}

/// A complete request that arrives just as its connection is asked to make room is started and answered, though the
/// runtime has not been notified of it.
#[tokio::test(start_paused = true)]
async fn a_request_that_came_before_the_close_is_answered() {
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        client.write_all(READ).await.unwrap();
        answer_next_request(&mut inbox).await;
        expect_answer(&mut client).await;
        settle().await;
        assert_eq!(client.try_write(READ).unwrap(), READ.len());
        deliver_without_running_the_node();
        assert!(frontend.make_room());
        answer_next_request(&mut inbox).await;
        expect_answer(&mut client).await;
        expect_close(&mut client).await;
    })
    .await;
}

/// A request of which half had been read, from a client without an earlier request, is answered if the other half
/// arrives just as the connection is asked to make room.
#[tokio::test(start_paused = true)]
async fn a_first_request_whose_end_came_before_the_close_is_answered() {
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        let (first, second) = READ.split_at(10);
        client.write_all(first).await.unwrap();
        settle().await;
        assert_eq!(client.try_write(second).unwrap(), second.len());
        deliver_without_running_the_node();
        assert!(frontend.make_room());
        answer_next_request(&mut inbox).await;
        expect_answer(&mut client).await;
        expect_close(&mut client).await;
    })
    .await;
}

/// A request that waits for its client's error delay to end is answered if the connection is asked to make room, as it
/// has been read.
#[tokio::test(start_paused = true)]
async fn a_request_that_waits_for_the_error_delay_is_answered_before_the_close() {
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        client.write_all(b"get k\r\n").await.unwrap();
        with_clock_held(client.read_exact(&mut [0; 7])).await.unwrap();
        client.write_all(READ).await.unwrap();
        settle().await;
        assert!(inbox.try_recv().is_err() && frontend.make_room());
        answer_next_request(&mut inbox).await;
        expect_answer(&mut client).await;
        expect_close(&mut client).await;
    })
    .await;
}

/// Input after writing was shut down is read and discarded, since closing with it unread would reset the connection,
/// and it is not forwarded.
#[tokio::test(start_paused = true)]
async fn input_after_the_close_is_neither_forwarded_nor_reset() {
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        client.write_all(READ).await.unwrap();
        answer_next_request(&mut inbox).await;
        expect_answer(&mut client).await;
        settle().await;
        // Past the idle timeout.
        sleep(10 * SECOND + SECOND / 2).await;
        expect_close(&mut client).await;
        client.write_all(READ).await.unwrap();
        settle().await;
        assert!(client.take_error().unwrap().is_none(), "reset");
        assert!(timeout(2 * SECOND, inbox.recv()).await.is_err(), "forwarded");
        assert_eq!(frontend.open.get(), 0, "closed in the end, though its client does not close");
    })
    .await;
}

/// A connection that has to make room is closed at once, even if its client does not close: no other client could
/// connect meanwhile.
#[tokio::test(start_paused = true)]
async fn a_connection_that_makes_room_does_not_linger() {
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        client.write_all(READ).await.unwrap();
        answer_next_request(&mut inbox).await;
        expect_answer(&mut client).await;
        settle().await;
        assert!(frontend.make_room());
        with_clock_held(async {
            while frontend.open.get() > 0 {
                frontend.closed.notified().await;
            }
        })
        .await;
    })
    .await;
}

/// If more of a partial request arrives just as the connection is asked to make room than one read takes, all of it is
/// read.
#[tokio::test(start_paused = true)]
async fn a_long_first_request_whose_end_came_before_the_close_is_answered() {
    let value = "v".repeat(60 * 1024);
    let write = format!("ms k {} Oa Pc=read,d=9000\r\n{value}\r\n", value.len());
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        let (first, second) = write.as_bytes().split_at(10);
        client.write_all(first).await.unwrap();
        settle().await;
        assert_eq!(client.try_write(second).unwrap(), second.len());
        deliver_without_running_the_node();
        assert!(frontend.make_room());
        answer_next_request(&mut inbox).await;
        expect_answer(&mut client).await;
        expect_close(&mut client).await;
    })
    .await;
}

/// A request written before its connection's task first ran, when the connection had been asked to make room by then,
/// is answered.
#[tokio::test(start_paused = true)]
async fn a_first_request_that_came_before_the_first_poll_is_answered() {
    let (messages, mut inbox) = unbounded_channel();
    let frontend = frontend(&Limits::default(), messages);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    assert_eq!(client.try_write(READ).unwrap(), READ.len());
    let scenario = async {
        while frontend.open.get() == 0 {
            tokio::task::yield_now().await;
        }
        assert!(inbox.try_recv().is_err() && frontend.make_room());
        answer_next_request(&mut inbox).await;
        expect_answer(&mut client).await;
        expect_close(&mut client).await;
    };
    let run = async {
        tokio::select! {
            // The test body runs between the accept and the first poll of the accepted connection's task.
            biased;
            () = frontend.clone().accept(&listener) => unreachable!("the frontend accepts forever"),
            () = scenario => {}
        }
    };
    LocalSet::new().run_until(run).await;
}

/// A partial first request that was read is answered before the close, and at once: its remainder may be on its way.
#[tokio::test(start_paused = true)]
async fn half_a_first_request_is_rejected_before_its_connection_makes_room() {
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        let (first, second) = READ.split_at(10);
        client.write_all(first).await.unwrap();
        settle().await;
        assert!(frontend.make_room());
        expect_busy(&mut client).await;
        expect_close(&mut client).await;
        assert_eq!(frontend.open.get(), 0, "it does not linger");
        let _ = client.write_all(second).await;
        assert!(timeout(2 * SECOND, inbox.recv()).await.is_err(), "forwarded after the close");
    })
    .await;
}

/// A connection without a request until its close time in a stop, with a request at that very moment, is answered.
#[tokio::test(start_paused = true)]
async fn a_first_request_in_the_instant_of_a_stops_close_is_answered() {
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        settle().await;
        let times = ShutdownTimes::of(SECOND);
        frontend.lifecycle.stop(false, times);
        settle().await;
        advance(times.close_idle_after).await;
        assert_eq!(client.try_write(READ).unwrap(), READ.len());
        deliver_without_running_the_node();
        answer_next_request(&mut inbox).await;
        expect_answer(&mut client).await;
        expect_close(&mut client).await;
    })
    .await;
}

/// A partial command may be completed during a stop and is answered then. At the time of the last answer it is
/// rejected, as it has been read, and the kill finds no connection open on which a request could be sent.
#[tokio::test(start_paused = true)]
async fn half_a_command_is_awaited_until_the_time_of_the_last_answer() {
    for (resumes_after, completed_in_time) in [(700, true), (850, false)]
        .map(|(ms, completed_in_time)| (Duration::from_millis(ms), completed_in_time))
    {
        with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
            client.write_all(READ).await.unwrap();
            answer_next_request(&mut inbox).await;
            expect_answer(&mut client).await;
            let (first, second) = READ.split_at(10);
            // With so short a deadline the kill comes 0.9 s after SIGTERM.
            frontend.lifecycle.stop(false, ShutdownTimes::of(Duration::from_millis(200)));
            client.write_all(first).await.unwrap();
            settle().await;
            sleep(resumes_after).await;
            settle().await;
            if completed_in_time {
                client.write_all(second).await.unwrap();
                answer_next_request(&mut inbox).await;
                expect_answer(&mut client).await;
                return expect_close(&mut client).await;
            }
            let mut answer = vec![0; protocol::busy(None).len() + 1];
            let read = client.try_read(&mut answer).map(|read| &answer[..read]);
            assert_eq!(read.unwrap(), protocol::busy(None));
            let closed = client.try_read(&mut [0]);
            assert!(matches!(closed, Ok(0)), "{closed:?}");
            client.write_all(second).await.unwrap();
            assert!(timeout(2 * SECOND, inbox.recv()).await.is_err(), "forwarded after the close");
        })
        .await;
    }
}

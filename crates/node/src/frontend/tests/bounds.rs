//! Connections, commands and times are held within their bounds.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hallpin_protocol as protocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::Notify;
use tokio::task::LocalSet;
use tokio::time::{sleep, timeout, Instant};

use super::{frontend, held, settle};
use crate::answer::Answer;
use crate::config::Limits;
use crate::frontend::closing::{LINGER, LINGER_BYTES};
use crate::frontend::shared::{Place, Rank, LONG_IDLE};
use crate::frontend::STALLED;
use crate::message::Message;

/// What a client is given of an answer of `length` bytes that it takes nothing of for `waits`, and then all it
/// can; on the paused clock, so the kernel's buffers fill and the wait is the node's alone. While bytes move the
/// clock stands: where both ends wait for the system it would go on to the next of the node's times.
async fn taken_after(waits: Duration, length: usize) -> usize {
    let (messages, mut inbox) = unbounded_channel();
    let frontend = frontend(&Limits::default(), messages);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = async {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(b"mg k v Oa Pc=read,d=9000\r\n").await.unwrap();
        let Some(Message::Request { reply, .. }) = held(inbox.recv()).await else { panic!("a request") };
        assert!(reply.send(Answer::untaken(Bytes::from(vec![b'v'; length]))).is_ok());
        settle().await;
        sleep(waits).await;
        let mut taken = Vec::new();
        // Cut off, it may end in a reset.
        let _ = held(client.take(length as u64).read_to_end(&mut taken)).await;
        taken.len()
    };
    let run = async {
        tokio::select! {
            () = frontend.accept(&listener) => unreachable!("the frontend accepts for ever"),
            taken = client => taken,
        }
    };
    LocalSet::new().run_until(run).await
}

/// The bound of the review's table: a client that takes nothing of its answer for `STALLED` is closed, and one
/// that comes a second before is given all of it.
#[tokio::test(start_paused = true)]
async fn a_client_that_takes_nothing_for_the_stall_time_is_closed() {
    const LENGTH: usize = 64 << 20;
    let second = Duration::from_secs(1);
    assert_eq!(taken_after(STALLED - second, LENGTH).await, LENGTH, "within the stall time");
    let cut = taken_after(STALLED + second, LENGTH).await;
    assert!(cut < LENGTH, "past the stall time {cut} bytes of {LENGTH} came");
}

/// The bound of the review's table: commands are held within the memory budget, though one read brings
/// more; the rest are taken as answers make room.
#[tokio::test(start_paused = true)]
async fn commands_that_came_in_one_read_are_held_within_the_budget() {
    let second = Duration::from_secs(1);
    let (messages, mut inbox) = unbounded_channel();
    // A quarter of a MiB for commands, each counted with room for its answer: four at once.
    let frontend = frontend(&Limits { memory_mb: 1, ..Limits::default() }, messages);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = async {
        let mut client = TcpStream::connect(address).await.unwrap();
        let commands: String = (0..10).map(|n| format!("mg k{n} v Ok{n} Pc=read,d=9000\r\n")).collect();
        client.write_all(commands.as_bytes()).await.unwrap();
        let mut replies = Vec::new();
        while replies.len() < 4 {
            let Some(Message::Request { reply, .. }) = held(inbox.recv()).await else { panic!("a request") };
            replies.push(reply);
        }
        settle().await;
        assert!(timeout(second, inbox.recv()).await.is_err(), "more than four commands held of ten");
        assert!(replies.remove(0).send(Answer::untaken(protocol::FAILED)).is_ok());
        let Some(Message::Request { .. }) = held(inbox.recv()).await else {
            panic!("the next command once an answer made room")
        };
    };
    let run = async {
        tokio::select! {
            () = frontend.accept(&listener) => unreachable!("the frontend accepts for ever"),
            () = client => {}
        }
    };
    LocalSet::new().run_until(run).await;
}

/// A client whose command closes its connection, and that then sends `more` bytes after `waits`: how much of
/// that the node took before the client could send no more, on the paused clock.
async fn taken_while_closing(waits: Duration, more: usize) -> usize {
    let frontend = frontend(&Limits::default(), unbounded_channel().0);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = async {
        let mut client = TcpStream::connect(address).await.unwrap();
        // Its value is too long to be read past: the connection cannot go on.
        client.write_all(b"ms k 300000 Oa Pc=open,d=9000\r\n").await.unwrap();
        let mut answer = Vec::new();
        held(client.read_to_end(&mut answer)).await.unwrap();
        assert!(answer.starts_with(b"CLIENT_ERROR "), "{:?}", String::from_utf8_lossy(&answer));
        sleep(waits).await;
        let sending = async {
            let (piece, mut sent) = (vec![b'x'; 64 * 1024], 0);
            while sent < more && client.write_all(&piece).await.is_ok() {
                sent += piece.len();
                tokio::task::yield_now().await;
            }
            sent
        };
        held(sending).await
    };
    let run = async {
        tokio::select! {
            () = frontend.accept(&listener) => unreachable!("the frontend accepts for ever"),
            sent = client => sent,
        }
    };
    LocalSet::new().run_until(run).await
}

/// The bounds of the review's table: a connection that closes takes what its client still sends for `LINGER`
/// and up to `LINGER_BYTES`, then no more.
#[tokio::test(start_paused = true)]
async fn a_closing_connection_takes_what_comes_for_a_second_and_a_mebibyte() {
    const MORE: usize = 64 << 20;
    let tenth = Duration::from_millis(100);
    assert_eq!(taken_while_closing(LINGER - tenth, LINGER_BYTES / 2).await, LINGER_BYTES / 2, "within both");
    assert!(taken_while_closing(LINGER + tenth, MORE).await < LINGER_BYTES, "past the second");
    let sent = taken_while_closing(Duration::ZERO, MORE).await;
    assert!((LINGER_BYTES..MORE).contains(&sent), "{sent} bytes sent within the second");
}

/// A connection that was long between requests makes room before a half-open one does; a fresh one does not.
#[tokio::test]
async fn the_long_idle_make_room_before_the_half_open() {
    let frontend = frontend(&Limits::default(), unbounded_channel().0);
    let (now, close) = (Instant::now(), Rc::new(Notify::new()));
    let half_open = Place::take(&frontend, (Rank::Doubtful, 1), now - Duration::from_secs(1), &close);
    let _long_idle = Place::take(&frontend, (Rank::Idle, 2), now - LONG_IDLE, &close);
    let _idle = Place::take(&frontend, (Rank::Idle, 3), now, &close);
    let left = || frontend.closable.borrow().keys().map(|(_, number)| *number).collect::<Vec<_>>();
    assert!(frontend.make_room());
    assert_eq!(left(), [1, 3]);
    assert!(frontend.make_room());
    assert_eq!(left(), [3]);
    drop(half_open);
}

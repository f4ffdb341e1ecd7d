//! Clients that write their commands slowly: from when those count, and what happens to those that arrive too late.

use std::io::ErrorKind;
use std::time::Duration;

use hallpin_protocol as protocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep, timeout, Instant};

use super::node::Node;
use super::{settle, with_client, with_clock_held};
use crate::answer::Answer;
use crate::config::Limits;
use crate::frontend::input::MAX_READ_AHEAD_BYTES;
use crate::message::Message;

const MS: Duration = Duration::from_millis(1);
const READ: &[u8] = b"mg k v Oa Pc=read,d=9000\r\n";
/// Length of the first part of a split command.
const SPLIT_AT: usize = 10;

/// Sends these bytes and waits until the node has read them.
async fn send(client: &mut TcpStream, bytes: &[u8]) {
    client.write_all(bytes).await.unwrap();
    settle().await;
}

/// When the next request counts as sent, according to the message to the driver.
async fn sent_at(inbox: &mut UnboundedReceiver<Message>) -> Instant {
    let Some(Message::Request { at, reply, .. }) = with_clock_held(inbox.recv()).await else {
        panic!("a request")
    };
    assert!(reply.send(Answer::without_request(protocol::FAILED)).is_ok());
    at
}

/// One read may contain the end of a command and the start of the next, each of which counts from its own first byte.
#[tokio::test(start_paused = true)]
async fn a_command_counts_from_its_first_byte_through_pipelined_ones() {
    with_client(&Limits::default(), |mut client, _, mut inbox| async move {
        let (start, end) = READ.split_at(SPLIT_AT);
        let from = Instant::now();
        send(&mut client, start).await;
        sleep(300 * MS).await;
        send(&mut client, &[end, start].concat()).await;
        assert_eq!(sent_at(&mut inbox).await - from, Duration::ZERO);
        sleep(200 * MS).await;
        send(&mut client, &[end, READ, start].concat()).await;
        assert_eq!(sent_at(&mut inbox).await - from, 300 * MS);
        assert_eq!(sent_at(&mut inbox).await - from, 500 * MS);
        sleep(1000 * MS).await;
        send(&mut client, end).await;
        assert_eq!(sent_at(&mut inbox).await - from, 500 * MS);
    })
    .await;
}

/// A command of which pieces arrive during its client's error delay counts from its own first byte, too.
#[tokio::test(start_paused = true)]
async fn a_command_that_began_in_an_error_delay_counts_from_its_first_byte() {
    for pause in [20, 300] {
        with_client(&Limits::default(), |mut client, _, mut inbox| async move {
            let (start, end) = READ.split_at(SPLIT_AT);
            let from = Instant::now();
            send(&mut client, &[b"get k\r\n", start].concat()).await;
            with_clock_held(client.read_exact(&mut [0; 7])).await.unwrap();
            sleep(pause * MS).await;
            send(&mut client, end).await;
            sleep(100 * MS).await;
            assert_eq!(sent_at(&mut inbox).await - from, Duration::ZERO, "pieces {pause} ms apart");
        })
        .await;
    }
}

/// Commands that the node leaves in the kernel beyond its read-ahead limit count from when it saw them there.
#[tokio::test(start_paused = true)]
async fn a_command_that_was_left_unread_counts_from_when_it_was_seen() {
    with_client(&Limits::default(), |mut client, _, mut inbox| async move {
        let commands = MAX_READ_AHEAD_BYTES / READ.len() + 200;
        let from = Instant::now();
        send(&mut client, &READ.repeat(commands)).await;
        settle().await;
        sleep(400 * MS).await;
        for _ in 0..commands {
            assert_eq!(sent_at(&mut inbox).await - from, Duration::ZERO);
        }
    })
    .await;
}

/// However slowly a command arrives, its client gets an error or a close in time, also after an error delay.
#[tokio::test(start_paused = true)]
async fn half_a_command_gets_its_error_within_three_seconds() {
    for ahead in [&b""[..], b"get k\r\n"] {
        with_client(&Limits::default(), |mut client, _, _inbox| async move {
            let from = Instant::now();
            send(&mut client, &[ahead, &READ[..SPLIT_AT]].concat()).await;
            let mut answers = vec![0; ahead.len() + protocol::TOO_SLOW.len()];
            timeout(3000 * MS, client.read_exact(&mut answers)).await.unwrap().unwrap();
            assert!(answers.ends_with(&protocol::TOO_SLOW));
            assert!(from.elapsed() >= 2300 * MS, "after {:?}", from.elapsed());
        })
        .await;
    }
}

/// A command whose deadline has passed when its last byte arrives is rejected at once and not forwarded; the client's
/// next command and those of others have all of their time.
#[tokio::test(start_paused = true)]
async fn a_command_that_comes_too_late_is_rejected_at_once_and_never_forwarded() {
    let node = Node::start().await;
    let scenario = async {
        let (mut slow, mut other) = (node.client().await, node.client().await);
        let (start, end) = b"mg k v Oslow Pc=read,d=500\r\n".split_at(SPLIT_AT);
        send(&mut slow, start).await;
        sleep(501 * MS).await;
        slow.write_all(end).await.unwrap();
        let since = Instant::now();
        let mut answer = vec![0; protocol::busy(None).len()];
        with_clock_held(slow.read_exact(&mut answer)).await.unwrap();
        assert_eq!((answer, since.elapsed()), (protocol::busy(None).to_vec(), Duration::ZERO));
        assert!(!node.has_unread_line(), "forwarded");
        send(&mut other, b"mg other v Oother Pc=read,d=300\r\n").await;
        let line = node.next_line().await;
        assert!(line.contains("Oother"), "{line}");
        let wait: u64 = line.trim().rsplit_once("d=").unwrap().1.parse().unwrap();
        assert!((250..300).contains(&wait), "forwarded a deadline of {wait} ms of 300");
        send(&mut slow, b"mg next v Onext Pc=read,d=300\r\n").await;
        assert!(node.next_line().await.contains("Onext"));
        let read = slow.try_read(&mut [0]).map_err(|error| error.kind());
        assert_eq!(read, Err(ErrorKind::WouldBlock), "its next request is in flight");
    };
    node.run(scenario).await;
}

/// A command that is complete just in time is forwarded with the time that is left.
#[tokio::test(start_paused = true)]
async fn a_slowly_written_command_is_forwarded_with_the_time_that_is_left() {
    let node = Node::start().await;
    let scenario = async {
        let mut slow = node.client().await;
        let (start, end) = b"mg k v Oslow Pc=read,d=1000\r\n".split_at(SPLIT_AT);
        send(&mut slow, start).await;
        sleep(600 * MS).await;
        send(&mut slow, end).await;
        let line = node.next_line().await;
        let wait: u64 = line.trim().rsplit_once("d=").unwrap().1.parse().unwrap();
        assert!(wait <= 400, "forwarded a deadline of {wait} ms of 400");
    };
    node.run(scenario).await;
}

//! Clients that are slow in both directions, and clients that read nothing.

use std::time::Duration;

use bytes::Bytes;
use hallpin_protocol as protocol;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::{sleep, Instant};

use super::{frontend, settle, with_client, with_clock_held};
use crate::answer::Answer;
use crate::config::Limits;
use crate::message::{Admission, Message};
use crate::stop::ShutdownTimes;
use crate::transfer::STALL_TIMEOUT;

/// A request that its client waits 9 s for.
const READ: &[u8] = b"mg k v Oa Pc=read,d=9000\r\n";
const SECOND: Duration = Duration::from_secs(1);
const KIB: usize = 1024;

/// How long a client keeps its connection if it waits for an answer of `length` bytes, sends a command each second and
/// reads `piece_length` bytes of the answer every `interval`. The kernel buffers in between are small.
async fn connection_lifetime(length: usize, piece_length: usize, interval: Duration) -> Duration {
    let (messages, mut inbox) = unbounded_channel();
    let frontend = frontend(&Limits::default(), messages);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    SockRef::from(&listener).set_send_buffer_size(4096).unwrap();
    let address = listener.local_addr().unwrap();
    let client = async {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let (mut reader, mut writer) = socket.connect(address).await.unwrap().into_split();
        writer.write_all(b"mg k v Oa Pc=read,d=9000\r\n").await.unwrap();
        let Some(Message::Request { reply, .. }) = with_clock_held(inbox.recv()).await else {
            panic!("a request")
        };
        assert!(reply.send(Answer::without_request(Bytes::from(vec![b'v'; length]))).is_ok());
        let owed_since = Instant::now();
        let reading = tokio::task::spawn_local(async move {
            let mut piece = vec![0; piece_length];
            loop {
                sleep(interval).await;
                if reader.read_exact(&mut piece).await.is_err() {
                    return;
                }
            }
        });
        for command in std::iter::repeat_n(b"mn\r\n", 100) {
            sleep(SECOND).await;
            settle().await;
            if frontend.open.get() == 0 || writer.write_all(command).await.is_err() {
                break;
            }
        }
        reading.abort();
        owed_since.elapsed()
    };
    let run = async {
        tokio::select! {
            () = frontend.clone().accept(&listener) => unreachable!("the frontend accepts forever"),
            lifetime = client => lifetime,
        }
    };
    LocalSet::new().run_until(run).await
}

/// Input from a client is no sign that it reads its answers. The client leaves less of them unread here than would make
/// its commands wait.
#[tokio::test(start_paused = true)]
async fn a_client_that_only_sends_does_not_keep_its_connection() {
    let lifetime = connection_lifetime(100 * KIB, 1, Duration::from_secs(3600)).await;
    assert!(lifetime <= STALL_TIMEOUT + 3 * SECOND, "closed after {lifetime:?}");
}

/// A few bytes read now and then are no sign that a client reads its answers.
#[tokio::test(start_paused = true)]
async fn a_client_that_reads_its_answer_in_drips_does_not_keep_its_connection() {
    let lifetime = connection_lifetime(KIB * KIB, 16 * KIB, 3 * SECOND).await;
    assert!(lifetime <= 3 * STALL_TIMEOUT, "closed after {lifetime:?}");
}

/// A client that reads its answer steadily, above the minimum rate, keeps its connection, though the kernel could
/// hold much more for it than it reads within the stall timeout.
#[tokio::test(start_paused = true)]
async fn a_client_that_reads_its_answer_steadily_keeps_its_connection() {
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        client.write_all(b"mg k v Oa Pc=read,d=9000\r\n").await.unwrap();
        let Some(Message::Request { reply, .. }) = with_clock_held(inbox.recv()).await else {
            panic!("a request")
        };
        assert!(reply.send(Answer::without_request(Bytes::from(vec![b'v'; 16 * KIB * KIB]))).is_ok());
        settle().await;
        let mut piece = vec![0; 64 * KIB];
        for _ in 0..40 {
            sleep(SECOND).await;
            with_clock_held(client.read_exact(&mut piece)).await.unwrap();
            settle().await;
            assert_eq!(frontend.open.get(), 1, "closed");
        }
    })
    .await;
}

/// A client that reads its last answer slowly gets all of it, though it keeps sending: its connection does not end
/// while the kernel has much of the answer still to send, as input after the end would reset it. What it sends is
/// rejected behind that answer.
#[tokio::test(start_paused = true)]
async fn a_last_answer_that_is_read_slowly_is_not_cut_off_by_input() {
    const LENGTH: usize = 1 << 20;
    with_client(&Limits::default(), |mut client, frontend, mut inbox| async move {
        client.write_all(READ).await.unwrap();
        let Some(Message::Request { reply, .. }) = with_clock_held(inbox.recv()).await else {
            panic!("a request")
        };
        assert!(reply.send(Answer::without_request(vec![b'v'; LENGTH].into())).is_ok());
        settle().await;
        frontend.lifecycle.stop(false, ShutdownTimes::of(SECOND));
        sleep(3 * SECOND).await;
        client.write_all(READ).await.unwrap();
        settle().await;
        let mut answers = Vec::new();
        let reject = async {
            let Some(Message::Request { admission: Admission::Reject, reply, .. }) = inbox.recv().await
            else {
                panic!("a request that is not to be forwarded")
            };
            assert!(reply.send(Answer::without_request(protocol::busy(None))).is_ok());
        };
        let (ended, ()) =
            with_clock_held(async { tokio::join!(client.read_to_end(&mut answers), reject) }).await;
        ended.unwrap();
        assert_eq!(answers.len(), LENGTH + protocol::busy(None).len());
        assert!(answers.ends_with(&protocol::busy(None)));
        assert!(inbox.try_recv().is_err(), "forwarded");
    })
    .await;
}

/// Guards against answers cut in a restart (`docs/incidents`): a client that reads its last answer slowly and sends on
/// gets all of it, also what the kernel still holds when the connection ends.
#[tokio::test(start_paused = true)]
async fn an_answer_that_the_kernel_still_sends_is_not_cut_off_by_input() {
    const LENGTH: usize = 60 * 1024;
    const RECEIVE_BUFFER_BYTES: u32 = 16 * 1024;
    let (messages, mut inbox) = unbounded_channel();
    let frontend = frontend(&Limits::default(), messages);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    let address = listener.local_addr().unwrap();
    let scenario = async {
        let mut client = socket.connect(address).await.unwrap();
        client.write_all(READ).await.unwrap();
        let Some(Message::Request { reply, .. }) = with_clock_held(inbox.recv()).await else {
            panic!("a request")
        };
        assert!(reply.send(Answer::without_request(vec![b'v'; LENGTH].into())).is_ok());
        settle().await;
        let times = ShutdownTimes::of(SECOND);
        frontend.lifecycle.stop(false, times);
        sleep(times.close_idle_after).await;
        for _ in 0..8 {
            settle().await;
            sleep(SECOND * 2 / 5).await;
            client.write_all(READ).await.unwrap();
            settle().await;
        }
        let mut answer = Vec::new();
        let ended = with_clock_held(client.read_to_end(&mut answer)).await;
        assert_eq!((ended.ok(), answer.len()), (Some(LENGTH), LENGTH));
        assert!(inbox.try_recv().is_err(), "forwarded");
    };
    let serving = async {
        tokio::select! {
            () = frontend.clone().accept(&listener) => unreachable!("it accepts forever"),
            () = scenario => {}
        }
    };
    LocalSet::new().run_until(serving).await;
}

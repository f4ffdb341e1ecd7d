//! Failures of `accept`: during service, with all clients idle, and as the process ends.

use std::rc::Rc;
use std::time::Duration;

use hallpin_balancer::{ServerId, Status};
use hallpin_protocol as protocol;
use rustix::io::Errno;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::{timeout, Instant};

use super::{frontend, settle, with_clock_held, LONG};
use crate::clock::Clock;
use crate::config::{Limits, RESERVED_DESCRIPTORS};
use crate::frontend::Frontend;
use crate::port::tests::FailingListener;
use crate::roster::Roster;

/// Errors that concern a single connection, according to accept(2).
const CONNECTION_ERRORS: [Errno; 10] = [
    Errno::CONNABORTED,
    Errno::INTR,
    Errno::NETDOWN,
    Errno::PROTO,
    Errno::NOPROTOOPT,
    Errno::HOSTDOWN,
    Errno::NONET,
    Errno::HOSTUNREACH,
    Errno::OPNOTSUPP,
    Errno::NETUNREACH,
];
const SHORTAGES: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
/// Client slots, all of which may be taken before room is made.
const CLIENT_SLOTS: usize = 4;

/// A frontend, its listener, and clients that are connected and send nothing.
struct Harness {
    frontend: Rc<Frontend>,
    listener: Rc<TcpListener>,
    clients: Vec<TcpStream>,
}

impl Harness {
    async fn with_idle_clients(count: usize) -> Self {
        let limits =
            Limits { sockets: RESERVED_DESCRIPTORS + CLIENT_SLOTS + CLIENT_SLOTS / 2, ..Limits::default() };
        let frontend = frontend(&limits, unbounded_channel().0);
        let listener = Rc::new(TcpListener::bind("127.0.0.1:0").await.unwrap());
        let mut harness = Harness { frontend, listener, clients: Vec::new() };
        for _ in 0..count {
            harness.connect().await;
        }
        harness.frontend.clone().accept_until(&harness.listener, Some(Instant::now())).await;
        assert_eq!(harness.frontend.open.get(), count);
        harness
    }

    /// Connects one more client, which waits to be accepted.
    async fn connect(&mut self) {
        let client = with_clock_held(TcpStream::connect(self.listener.local_addr().unwrap())).await.unwrap();
        self.clients.push(client);
    }

    fn failing_once(&self, failures: impl IntoIterator<Item = Errno>) -> FailingListener<Rc<TcpListener>> {
        FailingListener::once_each(failures, self.listener.clone())
    }

    fn failing_always(&self, errno: Errno) -> FailingListener<Rc<TcpListener>> {
        FailingListener::always(errno, self.listener.clone())
    }

    /// Accepts from this listener for `accepting`, then whatever is queued. Returns the time taken.
    async fn accept_for(&self, listener: &FailingListener<Rc<TcpListener>>, accepting: Duration) -> Duration {
        let since = Instant::now();
        self.frontend.clone().accept_until(listener, Some(since + accepting)).await;
        since.elapsed()
    }

    /// Caches a connection to a cache server, as after an answer.
    async fn cache_upstream_connection(&self) -> TcpStream {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let list = format!(
            r#"{{"revision":1,"complete":false,"members":[{{"id":"s","host_port":"{address}","phase":"ready"}}]}}"#
        );
        let upstream = &self.frontend.upstream;
        upstream.update_endpoints(&Roster::from_json(list.as_bytes(), &Clock::start()).unwrap());
        let server = async {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.read_exact(&mut [0; protocol::PROBE.len()]).await.unwrap();
            stream.write_all(b"MN\r\n").await.unwrap();
            stream
        };
        let server_id = ServerId("s".into());
        let (status, stream) =
            with_clock_held(async { tokio::join!(upstream.check_health(&server_id), server) }).await;
        assert_eq!(status, Status::Success);
        stream
    }
}

/// A client that disconnected before it was accepted costs nobody a connection and no time, even if every slot is
/// taken by an idle client.
#[tokio::test(start_paused = true)]
async fn an_error_of_one_connection_closes_no_other_and_is_retried_at_once() {
    LocalSet::new()
        .run_until(async {
            let harness = Harness::with_idle_clients(CLIENT_SLOTS).await;
            let _server = harness.cache_upstream_connection().await;
            for errno in CONNECTION_ERRORS {
                let elapsed = harness.accept_for(&harness.failing_once([errno]), Duration::ZERO).await;
                settle().await;
                assert!(elapsed < Duration::from_millis(2), "{errno:?} took {elapsed:?}");
                assert_eq!(harness.frontend.open.get(), CLIENT_SLOTS, "{errno:?}");
            }
            assert!(
                harness.frontend.upstream.close_oldest(),
                "the connection to the cache server is still there"
            );
        })
        .await;
}

/// If the machine is short of a resource, an idle client's connection and an idle connection to a cache server are
/// closed, and the next client is served.
#[tokio::test(start_paused = true)]
async fn a_shortage_makes_room_while_all_clients_are_idle() {
    for errno in SHORTAGES {
        LocalSet::new()
            .run_until(async {
                let mut harness = Harness::with_idle_clients(2).await;
                let _server = harness.cache_upstream_connection().await;
                harness.connect().await;
                let elapsed = harness.accept_for(&harness.failing_once([errno]), Duration::ZERO).await;
                settle().await;
                assert_eq!(harness.frontend.open.get(), 2, "{errno:?}: one closed and one accepted");
                assert!(!harness.frontend.upstream.close_oldest(), "{errno:?}");
                assert!(elapsed >= Duration::from_millis(5), "{errno:?} was retried without a pause");
                let mut newest = harness.clients.pop().unwrap();
                newest.write_all(b"mn\r\n").await.unwrap();
                let mut answer = [0; 2];
                with_clock_held(newest.read_exact(&mut answer)).await.unwrap();
            })
            .await;
    }
}

/// An `accept` that always fails neither occupies the core nor closes connections nor delays the end of the process.
#[tokio::test(start_paused = true)]
async fn a_persistent_error_of_one_connection_is_retried_with_pauses() {
    LocalSet::new()
        .run_until(async {
            let harness = Harness::with_idle_clients(CLIENT_SLOTS).await;
            let listener = harness.failing_always(Errno::CONNABORTED);
            let elapsed = harness.accept_for(&listener, Duration::from_secs(1)).await;
            assert!(elapsed <= Duration::from_millis(1250), "{elapsed:?}");
            assert!(listener.calls() < 5000, "{} calls", listener.calls());
            settle().await;
            assert_eq!(harness.frontend.open.get(), CLIENT_SLOTS);
        })
        .await;
}

/// At SIGTERM, a lasting shortage must not keep an ending process from closing its listener.
#[tokio::test(start_paused = true)]
async fn a_lasting_shortage_does_not_delay_the_end() {
    for errno in SHORTAGES {
        LocalSet::new()
            .run_until(async {
                let harness = Harness::with_idle_clients(CLIENT_SLOTS).await;
                let listener = harness.failing_always(errno);
                let elapsed = harness.accept_for(&listener, Duration::from_millis(500)).await;
                assert!(elapsed <= Duration::from_millis(750), "{errno:?} took {elapsed:?}");
                assert!(listener.calls() < 200, "{errno:?}: {} calls", listener.calls());
            })
            .await;
    }
}

/// At SIGTERM, connections queued behind errors are accepted all the same.
#[tokio::test(start_paused = true)]
async fn connections_queued_behind_errors_are_accepted_at_the_end() {
    LocalSet::new()
        .run_until(async {
            let mut harness = Harness::with_idle_clients(0).await;
            for _ in 0..3 {
                harness.connect().await;
            }
            let failures = CONNECTION_ERRORS.into_iter().chain(SHORTAGES);
            harness.accept_for(&harness.failing_once(failures), Duration::ZERO).await;
            assert_eq!(harness.frontend.open.get(), 3);
        })
        .await;
}

/// If the listener no longer works, accepting ends, and with it the node, instead of looping.
#[tokio::test(start_paused = true)]
async fn accepting_ends_when_the_listener_fails_for_good() {
    for errno in [Errno::BADF, Errno::INVAL, Errno::NOTSOCK] {
        LocalSet::new()
            .run_until(async {
                let harness = Harness::with_idle_clients(CLIENT_SLOTS).await;
                let listener = harness.failing_always(errno);
                timeout(LONG, harness.frontend.clone().accept(&listener)).await.expect("accepting ends");
                harness.accept_for(&listener, LONG).await;
                assert_eq!(listener.calls(), 2, "{errno:?}: one before SIGTERM and one after");
                settle().await;
                assert_eq!(harness.frontend.open.get(), CLIENT_SLOTS, "{errno:?}");
            })
            .await;
    }
}

/// Accepting ends also with the system's own error, for a listener shut down by another process that shares the socket.
#[tokio::test]
async fn accepting_ends_when_the_listener_was_shut_down() {
    LocalSet::new()
        .run_until(async {
            let harness = Harness::with_idle_clients(0).await;
            SockRef::from(&*harness.listener).shutdown(std::net::Shutdown::Both).unwrap();
            timeout(LONG, harness.frontend.clone().accept(&harness.listener)).await.expect("accepting ends");
        })
        .await;
}

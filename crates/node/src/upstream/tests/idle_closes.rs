//! What a server's closes of cached connections show, and from when on a connection counts as idle.

use hallpin_balancer::{ServerId, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::advance;

use super::super::connection::{Connection, PeerState};
use super::super::pool::SETTLE_TIME;
use super::*;

struct Harness {
    listener: TcpListener,
    upstream: Rc<Upstream>,
    server: ServerId,
}

impl Harness {
    async fn new() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = upstream(LONG, 99);
        upstream.update_endpoints(&roster(&listener, "ready"));
        Harness { listener, upstream, server: ServerId("s".into()) }
    }

    /// Makes an attempt on a new connection that is answered with `answer`; returns its status and the server's end.
    async fn attempt(&self, call: &UpstreamCall, answer: &str) -> (Status, TcpStream) {
        let peer = async {
            let mut stream = self.listener.accept().await.unwrap().0;
            assert!(stream.read(&mut [0; 256]).await.unwrap() > 0);
            stream.write_all(answer.as_bytes()).await.unwrap();
            stream
        };
        let (ended, stream) = tokio::join!(self.upstream.attempt(&self.server, call), peer);
        (ended.status, stream)
    }

    /// A cached connection that has been idle for `age`; returns the server's end.
    async fn cache_idle(&self, age: Duration) -> TcpStream {
        let connection = self.upstream.connect(&self.server, Instant::now() + LONG).await.ok().unwrap();
        let stream = self.listener.accept().await.unwrap().0;
        self.upstream.cache_connection(&self.server, connection);
        self.with_last_cached(|connection| connection.last_used -= age);
        stream
    }

    fn with_last_cached<T>(&self, inspect: impl FnOnce(&mut Connection) -> T) -> T {
        let mut endpoints = self.upstream.endpoints.borrow_mut();
        inspect(&mut endpoints.get_mut(&self.server).unwrap().idle.last_mut().unwrap().connection)
    }

    fn clear(&self) {
        self.upstream.endpoints.borrow_mut().values_mut().for_each(|endpoint| endpoint.idle.clear());
    }

    fn cached_connections(&self) -> usize {
        self.upstream.endpoints.borrow().values().map(|endpoint| endpoint.idle.len()).sum()
    }

    /// The server closes the connection cached last, and the node sweeps its cache.
    async fn close_and_sweep(&self, mut stream: TcpStream) {
        stream.shutdown().await.unwrap();
        while self.with_last_cached(|connection| connection.peek()) != PeerState::Closed {
            tokio::task::yield_now().await;
        }
        self.upstream.sweep();
    }

    /// Whether a connection that has been idle for `age` stays cached.
    async fn stays_cached(&self, age: Duration) -> bool {
        self.clear();
        let _stream = self.cache_idle(age).await;
        self.upstream.sweep();
        self.cached_connections() == 1
    }
}

const LONG_IDLE: Duration = Duration::from_secs(16);

/// A connection to a server that closes after half of the configured idle time is not used after that long.
#[tokio::test]
async fn an_earlier_idle_close_than_configured_is_learnt() {
    let harness = Harness::new().await;
    assert!(harness.stays_cached(LONG_IDLE).await);
    harness.clear();
    let stream = harness.cache_idle(LONG / 2).await;
    harness.close_and_sweep(stream).await;
    assert!(!harness.stays_cached(LONG * 9 / 20).await, "the server may close it at any moment");
    assert!(harness.stays_cached(LONG / 3).await);
    // The limit grows back with new connections, in case the close had another reason.
    (0..100).for_each(|_| harness.upstream.record_accepted_connection(&harness.server));
    assert!(harness.stays_cached(LONG_IDLE).await);
}

/// Neither a close right after an answer nor one of a connection used more recently than another indicates an idle
/// timeout.
#[tokio::test]
async fn other_closes_do_not_change_the_idle_limit() {
    let harness = Harness::new().await;
    let stream = harness.cache_idle(Duration::ZERO).await;
    harness.close_and_sweep(stream).await;
    assert!(harness.stays_cached(LONG_IDLE).await);
    let harness = Harness::new().await;
    let _older = harness.cache_idle(LONG * 2 / 3).await;
    let stream = harness.cache_idle(LONG / 2).await;
    harness.close_and_sweep(stream).await;
    assert_eq!(harness.cached_connections(), 1);
    assert!(harness.stays_cached(LONG_IDLE).await);
}

/// If a new connection is closed a moment after its `busy`, the server had no capacity for it, as if the
/// close had come with the `busy`.
#[tokio::test]
async fn a_close_shortly_after_a_busy_means_no_capacity() {
    let harness = Harness::new().await;
    let (status, stream) = harness.attempt(&test_call(READ), "SERVER_ERROR busy\r\n").await;
    assert_eq!(
        (status, harness.cached_connections()),
        (Status::Overloaded, 1),
        "the connection has not ended yet"
    );
    harness.close_and_sweep(stream).await;
    assert!(!harness.stays_cached(LONG * 2 / 3).await);
}

/// A connection that is taken and returned unused has been idle all the time.
#[tokio::test]
async fn a_connection_put_back_unused_is_as_old_as_it_was() {
    let harness = Harness::new().await;
    let _stream = harness.cache_idle(LONG_IDLE).await;
    let used = harness.with_last_cached(|connection| connection.last_used);
    let call = test_call(READ);
    call.gone.set();
    assert_eq!(harness.upstream.attempt(&harness.server, &call).await.status, Status::Void);
    assert_eq!(harness.with_last_cached(|connection| connection.last_used), used);
}

/// The server may have finished sending a long value long before a slow client has read it.
#[tokio::test(start_paused = true)]
async fn a_connection_is_idle_from_when_its_server_may_have_sent_all() {
    let harness = Harness::new().await;
    let call = test_call(READ);
    let peer = async {
        let mut stream = harness.listener.accept().await.unwrap().0;
        assert!(stream.read(&mut [0; 256]).await.unwrap() > 0);
        let value = format!("VA 70000 Oa\r\n{}\r\n", "v".repeat(70_000));
        stream.write_all(value.as_bytes()).await.unwrap();
        stream
    };
    let (ended, mut stream) = tokio::join!(harness.upstream.attempt(&harness.server, &call), peer);
    let mut body = ended.answer.and_then(|served| served.body).expect("a long value");
    advance(LONG * 19 / 20).await;
    while body.next().await.unwrap().is_some() {}
    body.finish();
    advance(SETTLE_TIME).await;
    assert!(
        harness.upstream.cached_connection(&harness.server, true).await.is_none(),
        "its server may close it now"
    );
    assert_eq!(stream.read(&mut [0]).await.unwrap(), 0);
}

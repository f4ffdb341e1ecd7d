//! How long connections stay cached when cache servers lack capacity for new ones.

use hallpin_balancer::{ServerId, Status};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::*;

/// What the server does with a new connection once the command has arrived.
#[derive(Clone, Copy)]
enum Behaviour {
    Serve,
    /// It accepts the connection but its request queue is full.
    QueueFull,
    /// It has no capacity for the connection: it rejects the command and closes.
    NoCapacity,
}

/// Makes an attempt on a new connection that the server treats as `behaviour` says; returns its status and the server's
/// end.
async fn attempt(
    upstream: &Rc<Upstream>,
    listener: &TcpListener,
    behaviour: Behaviour,
) -> (Status, TcpStream) {
    let (server, call) = (ServerId("s".into()), test_call(READ));
    let peer = async {
        let mut stream = listener.accept().await.unwrap().0;
        stream.read_exact(&mut [0; 8]).await.unwrap();
        let text = match behaviour {
            Behaviour::Serve => "VA 2 Oa h1\r\nhi\r\n",
            _ => "SERVER_ERROR busy\r\n",
        };
        stream.write_all(text.as_bytes()).await.unwrap();
        if matches!(behaviour, Behaviour::NoCapacity) {
            stream.shutdown().await.unwrap();
        }
        stream
    };
    let (ended, stream) = tokio::join!(upstream.attempt(&server, &call), peer);
    (ended.status, stream)
}

fn cached_connections(upstream: &Upstream) -> usize {
    upstream.endpoints.borrow().values().map(|endpoint| endpoint.idle.len()).sum()
}

/// Whether a connection that has been idle for a third of the servers' idle timeout is still cached after `behaviours`.
async fn stays_cached_after(behaviours: &[Behaviour]) -> bool {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 99);
    upstream.update_endpoints(&roster(&listener, "ready"));
    for behaviour in behaviours {
        upstream.endpoints.borrow_mut().values_mut().for_each(|endpoint| endpoint.idle.clear());
        let _ = attempt(&upstream, &listener, *behaviour).await;
    }
    upstream.endpoints.borrow_mut().values_mut().for_each(|endpoint| endpoint.idle.clear());
    let (served, _stream) = attempt(&upstream, &listener, Behaviour::Serve).await;
    assert_eq!(served, Status::Success);
    assert_eq!(cached_connections(&upstream), 1);
    let third = LONG / 3;
    upstream.endpoints.borrow_mut().values_mut().for_each(|endpoint| {
        endpoint.idle.iter_mut().for_each(|idle| idle.connection.last_used -= third);
    });
    upstream.sweep();
    cached_connections(&upstream) == 1
}

#[tokio::test]
async fn idle_connections_are_closed_when_servers_lack_capacity() {
    assert!(stays_cached_after(&[]).await);
    assert!(!stays_cached_after(&[Behaviour::NoCapacity; 2]).await);
    // A full request queue says nothing about connection capacity.
    assert!(stays_cached_after(&[Behaviour::QueueFull; 2]).await);
}

/// Connections idle for longer than the reduced limit are closed when the new one is rejected, not at the next sweep.
#[tokio::test]
async fn connections_beyond_the_reduced_limit_are_closed_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let upstream = upstream(LONG, 99);
    upstream.update_endpoints(&roster(&listener, "ready"));
    let (served, _stream) = attempt(&upstream, &listener, Behaviour::Serve).await;
    assert_eq!(served, Status::Success);
    upstream.endpoints.borrow_mut().values_mut().for_each(|endpoint| {
        endpoint.idle.iter_mut().for_each(|idle| idle.connection.last_used -= LONG / 2);
    });
    upstream.record_rejected_connection();
    assert_eq!(cached_connections(&upstream), 0);
}

/// Capacity that becomes free is used again: the idle limit grows back with each new connection that is served.
#[test]
fn the_idle_limit_grows_with_connections_that_are_served() {
    let keep_alive = KeepAlive::new(LONG);
    let full = keep_alive.idle_limit();
    (0..3).for_each(|_| keep_alive.shrink());
    assert_eq!(keep_alive.idle_limit(), full / 8);
    (0..1000).for_each(|_| keep_alive.grow());
    assert_eq!(keep_alive.idle_limit(), full);
}

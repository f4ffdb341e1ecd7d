//! Which process accepts during a takeover, and when accepting ends.

use std::time::Duration;

use rustix::io::Errno;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::*;
use crate::config::Limits;
use crate::metrics::Metrics;
use crate::port;
use crate::port::tests::FailingListener;
use crate::upstream::{Bounds, Upstream};

fn frontend() -> Rc<Frontend> {
    let second = Duration::from_secs(1);
    let bounds = Bounds { dial_timeout: second, idle_timeout: second, grace: second };
    let budget = Budget::new(&Limits::default());
    let upstream = Rc::new(Upstream::new(bounds, budget.clone(), Metrics::new([])));
    Frontend::new(unbounded_channel().0, upstream, Lifecycle::new(), budget, second)
}

/// Accepts only what is queued now, with a successor in this state.
async fn accept_queued(listener: &TcpListener, successor: Successor) {
    let (_sender, successor) = watch::channel(successor);
    let frontend = frontend();
    LocalSet::new().run_until(accept(&frontend, listener, successor, Some(Instant::now()))).await;
}

/// A process that shuts down closes its listener even if new connections never stop coming.
#[tokio::test]
async fn a_flood_of_connections_does_not_delay_the_end_of_accepting() {
    let listener = port::bind("127.0.0.1:0".parse().unwrap(), false).unwrap();
    let address = listener.local_addr().unwrap();
    let connect = move || drop(std::net::TcpStream::connect(address).unwrap());
    (0..5).for_each(|_| connect());
    let all = async {
        // One new connection comes for each turn of the accept loop.
        tokio::task::spawn_local(async move {
            loop {
                connect();
                tokio::task::yield_now().await;
            }
        });
        let (_sender, successor) = watch::channel(Successor::None);
        accept(&frontend(), &listener, successor, Some(Instant::now())).await;
    };
    let ended = timeout(Duration::from_secs(20), LocalSet::new().run_until(all)).await;
    assert!(ended.is_ok(), "accepting ends");
}

/// Connections in the accept queue are left to a successor that serves; until then this process accepts them.
#[tokio::test]
async fn queued_connections_are_left_to_a_successor_that_serves() {
    let listener = port::bind("127.0.0.1:0".parse().unwrap(), false).unwrap();
    let address = listener.local_addr().unwrap();
    for (successor, is_left) in
        [(Successor::Serving, true), (Successor::Starting, false), (Successor::None, false)]
    {
        let _waiting = std::net::TcpStream::connect(address).unwrap();
        accept_queued(&listener, successor).await;
        let accepted = timeout(Duration::from_millis(200), listener.accept()).await;
        assert_eq!(accepted.is_ok(), is_left, "{successor:?}");
    }
}

/// Failures of `accept` do not change which process accepts during a takeover. A listener that fails for good ends
/// accepting even if the successor does not serve yet.
#[tokio::test]
async fn accept_errors_do_not_change_which_process_accepts() {
    let listener = Rc::new(port::bind("127.0.0.1:0".parse().unwrap(), false).unwrap());
    let address = listener.local_addr().unwrap();
    for (successor, is_left) in [(Successor::Serving, true), (Successor::Starting, false)] {
        let _waiting = std::net::TcpStream::connect(address).unwrap();
        let failures = [Errno::CONNABORTED, Errno::MFILE, Errno::NOMEM];
        let failing = FailingListener::once_each(failures, listener.clone());
        let (_sender, successor_updates) = watch::channel(successor);
        LocalSet::new()
            .run_until(accept(&frontend(), &failing, successor_updates, Some(Instant::now())))
            .await;
        let accepted = timeout(Duration::from_millis(200), listener.accept()).await;
        assert_eq!(accepted.is_ok(), is_left, "{successor:?}");
        assert_eq!(failing.calls() == 0, is_left, "{successor:?}");
    }
    let (_sender, successor_updates) = watch::channel(Successor::Starting);
    let failed_listener = FailingListener::always(Errno::INVAL, listener);
    let frontend = frontend();
    let ends = timeout(Duration::from_secs(20), accept(&frontend, &failed_listener, successor_updates, None));
    assert!(ends.await.is_ok() && failed_listener.calls() == 1);
}

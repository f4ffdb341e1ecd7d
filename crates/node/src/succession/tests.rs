//! Whose turn it is to accept, and when accepting ends.

use std::time::Duration;

use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::*;
use crate::config::Limits;
use crate::figures::Figures;
use crate::port;
use crate::upstream::{Bounds, Upstream};

fn frontend() -> Rc<Frontend> {
    let second = Duration::from_secs(1);
    let bounds = Bounds { dial: second, idle: second, grace: second };
    let budget = Budget::new(&Limits::default());
    let upstream = Rc::new(Upstream::new(bounds, budget.clone(), Figures::new([])));
    Frontend::new(unbounded_channel().0, upstream, Lifecycle::new(), budget, second)
}

/// Accepts for no time at all, beside this state of a successor.
async fn accept_what_waits(listener: &TcpListener, successor: Successor) {
    let (_told, successor) = watch::channel(successor);
    let frontend = frontend();
    LocalSet::new().run_until(accept(&frontend, listener, successor, Some(Instant::now()))).await;
}

/// Connections that never stop coming must not keep a process that ends from closing its listener.
#[tokio::test]
async fn a_flood_does_not_put_off_the_end_of_accepting() {
    let listener = port::bind("127.0.0.1:0".parse().unwrap(), false).unwrap();
    let address = listener.local_addr().unwrap();
    let connect = move || drop(std::net::TcpStream::connect(address).unwrap());
    (0..5).for_each(|_| connect());
    let all = async {
        // As many come in each turn as are taken.
        tokio::task::spawn_local(async move {
            loop {
                connect();
                tokio::task::yield_now().await;
            }
        });
        let (_told, successor) = watch::channel(Successor::None);
        accept(&frontend(), &listener, successor, Some(Instant::now())).await;
    };
    let ended = timeout(Duration::from_secs(20), LocalSet::new().run_until(all)).await;
    assert!(ended.is_ok(), "accepting ends");
}

/// What waits in the queue is the successor's once that serves, and this process's until then.
#[tokio::test]
async fn what_waits_is_left_to_a_successor_that_serves() {
    let listener = port::bind("127.0.0.1:0".parse().unwrap(), false).unwrap();
    let address = listener.local_addr().unwrap();
    for (successor, left) in
        [(Successor::Serving, true), (Successor::Starting, false), (Successor::None, false)]
    {
        let _waiting = std::net::TcpStream::connect(address).unwrap();
        accept_what_waits(&listener, successor).await;
        let accepted = timeout(Duration::from_millis(200), listener.accept()).await;
        assert_eq!(accepted.is_ok(), left, "{successor:?}");
    }
}

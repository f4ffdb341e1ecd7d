//! Client connections: their limits, as listed in the hardening review, and what crosses with their end.

mod accept;
mod bounds;
mod closing;
mod disconnects;
mod eviction;
mod final_answers;
mod input;
mod logs;
mod node;
mod pipelining;
mod slow_readers;
mod slow_writers;
mod stop;

use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::LocalSet;

use super::{error_delay, Frontend};
use crate::budget::Budget;
use crate::config::Limits;
use crate::lifecycle::Lifecycle;
use crate::message::Message;
use crate::metrics::Metrics;
use crate::upstream::{Bounds, Upstream};

/// A frontend within these limits that sends its requests to `messages`, with one second for every configurable time,
/// and deadlines of some seconds.
fn frontend(limits: &Limits, messages: UnboundedSender<Message>) -> Rc<Frontend> {
    frontend_for(limits, messages, LONG)
}

/// A frontend as [`frontend`] makes it, but for a node whose shortest request deadline is `shortest`.
fn frontend_for(limits: &Limits, messages: UnboundedSender<Message>, shortest: Duration) -> Rc<Frontend> {
    let second = Duration::from_secs(1);
    let bounds = Bounds { dial_timeout: second, idle_timeout: second, grace: second };
    let budget = Budget::new(limits);
    let upstream = Rc::new(Upstream::new(bounds, budget.clone(), Metrics::new([])));
    Frontend::new(messages, upstream, Lifecycle::new(), budget, error_delay(shortest))
}

/// Longer than anything takes on a busy machine; only a failing test waits this long.
const LONG: Duration = Duration::from_secs(20);

/// Awaits socket I/O with the paused clock held: the system takes real time to deliver.
async fn with_clock_held<T>(operation: impl Future<Output = T>) -> T {
    let (release, hold) = std::sync::mpsc::channel::<()>();
    let held = tokio::task::spawn_blocking(move || hold.recv_timeout(LONG));
    let done = tokio::select! {
        done = operation => done,
        _ = held => panic!("nothing arrived in time"),
    };
    drop(release);
    done
}

/// Gives the system real time to deliver what was sent, and the node to read it, on the paused clock.
async fn settle() {
    let wait = || std::thread::sleep(Duration::from_millis(20));
    tokio::task::spawn_blocking(wait).await.unwrap();
}

/// Runs `scenario` with one client of a frontend within these limits, and with the messages to the driver.
async fn with_client<F: Future<Output = ()>>(
    limits: &Limits,
    scenario: impl FnOnce(TcpStream, Rc<Frontend>, UnboundedReceiver<Message>) -> F,
) {
    with_client_for(limits, LONG, scenario).await;
}

/// Runs `scenario` as [`with_client`] does, for a node whose shortest request deadline is `shortest`.
async fn with_client_for<F: Future<Output = ()>>(
    limits: &Limits,
    shortest: Duration,
    scenario: impl FnOnce(TcpStream, Rc<Frontend>, UnboundedReceiver<Message>) -> F,
) {
    let (messages, inbox) = unbounded_channel();
    let frontend = frontend_for(limits, messages, shortest);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client = async {
        let client = TcpStream::connect(address).await.unwrap();
        scenario(client, frontend.clone(), inbox).await;
    };
    let serving = async {
        tokio::select! {
            () = frontend.clone().accept(&listener) => unreachable!("the frontend accepts forever"),
            () = client => {}
        }
    };
    LocalSet::new().run_until(serving).await;
}

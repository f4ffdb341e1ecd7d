//! Every request that was read gets its final answer in time: no fault of a cache server and no limit of the node
//! exempts one.

use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{advance, timeout, Instant};

use super::node::{Node, ServerBehaviour};
use super::{settle, with_clock_held, LONG};
use crate::config::Limits;

const MS: Duration = Duration::from_millis(1);
const SERVER_BEHAVIOURS: [ServerBehaviour; 4] =
    [ServerBehaviour::Silent, ServerBehaviour::Closes, ServerBehaviour::Resets, ServerBehaviour::Malformed];

/// `count` commands whose ids begin with `ids`.
fn reads(ids: &str, wait: u64, count: usize) -> String {
    (0..count).map(|n| format!("mg k{n} v O{ids}-{n} Pc=read,d={wait}\r\n")).collect()
}

/// Lets this much time pass, in steps between which the system delivers what was sent.
async fn advance_by(time: Duration) {
    const STEP: Duration = Duration::from_millis(50);
    let end = Instant::now() + time;
    settle().await;
    while Instant::now() < end {
        advance(STEP.min(end - Instant::now())).await;
        settle().await;
    }
}

/// Checks that `count` answers are available, each one line, and that none is an error of the client's own.
async fn expect_answers(client: TcpStream, count: usize) {
    let mut lines = BufReader::new(client).lines();
    for n in 0..count {
        let line = timeout(LONG, lines.next_line()).await;
        let line = line.unwrap_or_else(|_| panic!("{n} answers of {count}")).unwrap();
        assert!(line.as_ref().is_some_and(|line| line.starts_with("SERVER_ERROR ")), "{line:?}");
    }
}

/// Checks, without time passing, what [`expect_answers`] checks.
async fn expect_answers_now(client: TcpStream, count: usize, context: &str) {
    let now = Instant::now();
    with_clock_held(expect_answers(client, count)).await;
    assert_eq!(now.elapsed(), Duration::ZERO, "{context}");
}

/// A client that sends many commands at once gets an answer to each by the end of their deadline, whatever
/// its cache server does with them.
#[tokio::test(start_paused = true)]
async fn every_request_is_answered_whatever_its_cache_server_does() {
    for server in SERVER_BEHAVIOURS {
        let node = Node::start_with(server, &Limits::default()).await;
        let scenario = async {
            let mut client = node.client().await;
            client.write_all(reads("a", 300, 40).as_bytes()).await.unwrap();
            advance_by(300 * MS).await;
            expect_answers_now(client, 40, &format!("{server:?}")).await;
        };
        node.run(scenario).await;
    }
}

/// The memory for commands holds only a few of them: the others wait, and are answered in order.
#[tokio::test(start_paused = true)]
async fn every_request_is_answered_with_little_memory() {
    let limits = Limits { memory_mb: 1, ..Limits::default() };
    for server in SERVER_BEHAVIOURS {
        let node = Node::start_with(server, &limits).await;
        let scenario = async {
            let mut clients = [node.client().await, node.client().await, node.client().await];
            for (ids, client) in ["a", "b", "c"].into_iter().zip(&mut clients) {
                client.write_all(reads(ids, 300, 40).as_bytes()).await.unwrap();
            }
            for client in clients {
                expect_answers(client, 40).await;
            }
        };
        node.run(scenario).await;
    }
}

/// A request with so little time left that it may not even be sent on is answered by its deadline.
#[tokio::test(start_paused = true)]
async fn a_request_with_little_time_left_is_answered_within_it() {
    for wait in 0..=20 {
        for server in SERVER_BEHAVIOURS {
            let node = Node::start_with(server, &Limits::default()).await;
            let scenario = async {
                let mut client = node.client().await;
                client.write_all(reads("a", wait, 1).as_bytes()).await.unwrap();
                advance_by(wait as u32 * MS).await;
                expect_answers_now(client, 1, &format!("{server:?}, {wait} ms")).await;
            };
            node.run(scenario).await;
        }
    }
}

/// A request whose deadline passes while the node does not run, between reading it and the answer, is answered as soon
/// as the node runs again.
#[tokio::test(start_paused = true)]
async fn a_request_that_expires_while_the_node_is_paused_is_answered_at_once() {
    for wait in [1, 5, 20, 100] {
        for yields in 0..6 {
            let node = Node::start().await;
            let scenario = async {
                let mut client = node.client().await;
                client.write_all(reads("a", wait, 1).as_bytes()).await.unwrap();
                for _ in 0..yields {
                    tokio::task::yield_now().await;
                }
                advance(150 * MS).await;
                expect_answers_now(client, 1, &format!("{wait} ms, paused after {yields} yields")).await;
            };
            node.run(scenario).await;
        }
    }
}

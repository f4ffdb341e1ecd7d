//! The connections of all nodes to a box stay within the box's capacity.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hallpin_balancer::{ServerId, Status};
use hallpin_quota::Contracts;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;
use tokio::time::{advance, pause, sleep, timeout};

use super::{addresses, Node, TEST_TIMEOUT};
use crate::budget::Budget;
use crate::plane::{CountedConnection, QuotaUse};
use crate::upstream::tests::{test_call, READ};
use crate::upstream::{Bounds, Upstream};

/// Connections that the box accepts.
const CAPACITY: u32 = 40;

fn start(peers: &[SocketAddr], number: u16) -> Node {
    let file = "version = 1\nrealm = \"test\"\n[budgets]\ncontracts = \"c\"\nconnections_per_box = 40\nlease = \"400ms\"\n";
    let contracts = "version = 1\nrevision = 1\n[others]\nshare = 1\n[[tenants]]\nname = \"a\"\nshare = 3\n";
    Node::start_with(peers, number, file, Some(("c".into(), Contracts::parse(contracts).unwrap())))
}

/// Five nodes open all connections that they may to one box, and the busiest dies with its leases: the total never
/// exceeds what the box accepts, and the nodes with demand get nearly all of it.
#[tokio::test]
async fn connections_of_five_nodes_never_exceed_the_capacity_and_use_nearly_all_of_it() {
    let local = LocalSet::new();
    let test = async {
        let peers = addresses(5);
        let text = "version = 1\nrealm = \"test\"\n[budgets]\ncontracts = \"c\"\nconnections_per_box = 40\nlease = \"400ms\"\n";
        let contracts =
            "version = 1\nrevision = 1\n[others]\nshare = 1\n[[tenants]]\nname = \"a\"\nshare = 3\n";
        let contracts = Some(("c".into(), Contracts::parse(contracts).unwrap()));
        let start = |n| Node::start_with(&peers, n, text, contracts.clone());
        let mut nodes: Vec<Node> = (0..5).map(start).collect();
        nodes.iter().for_each(|node| node.list(1, 1));
        let server = ServerId("s-0".into());
        let mut connections: Vec<Vec<CountedConnection>> = nodes.iter().map(|_| Vec::new()).collect();
        let mut highest = 0;
        // Until nearly all is in use, and then again without the busiest node.
        for wanted in [CAPACITY * 9 / 10, CAPACITY * 9 / 10] {
            let spend = async {
                loop {
                    for (node, connections) in nodes.iter().zip(&mut connections) {
                        connections.retain(CountedConnection::is_within_quota);
                        // Requests make up the demand. Connections are opened beyond the uses, as with values that are
                        // still being forwarded.
                        let begin = |_| node.plane_runtime.begin_use(&server, Some("a")).ok().flatten();
                        let used: Vec<QuotaUse> = (0..CAPACITY).filter_map(begin).collect();
                        connections
                            .extend(std::iter::from_fn(|| node.plane_runtime.open_connection(&server)));
                        used.into_iter().for_each(|used| node.plane_runtime.end_use(used));
                    }
                    let open = connections.iter().map(|connections| connections.len() as u32).sum::<u32>();
                    assert!(open <= CAPACITY, "{open} open at a box that accepts {CAPACITY}");
                    highest = highest.max(open);
                    if open >= wanted {
                        return;
                    }
                    sleep(Duration::from_millis(2)).await;
                }
            };
            timeout(TEST_TIMEOUT, spend)
                .await
                .unwrap_or_else(|_| panic!("at most {highest} of {CAPACITY} were opened"));
            let busiest = (0..nodes.len()).max_by_key(|n| connections[*n].len()).unwrap();
            nodes.remove(busiest).task.abort();
            connections.remove(busiest);
        }
    };
    local.run_until(test).await;
}

/// The node's plane stops, as in a pause of the process, until its lease is over (hard case 5). Requests are then
/// limited to the safe minimum, and connections beyond it are closed before anything is written.
#[tokio::test]
async fn a_node_paused_past_the_end_of_its_lease_checks_the_clock_before_it_writes() {
    const SAFE_MINIMUM: usize = 10;
    let test = async {
        let node = start(&addresses(1), 0);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        node.list_at(1, 1, listener.local_addr().unwrap());
        let bounds =
            Bounds { dial_timeout: TEST_TIMEOUT, idle_timeout: TEST_TIMEOUT * 100, grace: TEST_TIMEOUT };
        let upstream = Rc::new(Upstream::new(bounds, Budget::new(&Default::default()), node.metrics.clone()));
        upstream.apply_quotas(node.plane_runtime.clone());
        upstream.update_endpoints(&node.roster(1, 1, listener.local_addr().unwrap()));
        tokio::task::spawn_local(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                tokio::task::spawn_local(async move {
                    let mut buf = [0; 256];
                    while stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
                        sleep(Duration::from_millis(50)).await;
                        let _ = stream.write_all(b"VA 1 Oa\r\nv\r\n").await;
                    }
                });
            }
        });
        let server = ServerId("s-0".into());
        let attempt = || async {
            let Ok(used) = node.plane_runtime.begin_use(&server, Some("a")) else { return None };
            let ended = upstream.attempt(&server, &test_call(READ)).await;
            used.into_iter().for_each(|used| node.plane_runtime.end_use(used));
            Some(ended.status)
        };
        let attempt_concurrently = |count: usize| {
            let attempts = (0..count).map(|_| tokio::task::unconstrained(attempt()));
            join_all(attempts.collect::<Vec<_>>())
        };
        // With its lease, the node has more than the safe minimum open.
        let open_connections = async {
            while node.metric("app_budget_open") <= 2 * SAFE_MINIMUM as u64 {
                attempt_concurrently(30).await;
            }
        };
        timeout(TEST_TIMEOUT, open_connections).await.expect("a lease");
        node.task.abort();
        pause();
        advance(Duration::from_secs(1)).await;
        let statuses = attempt_concurrently(30).await;
        let served = statuses.iter().filter(|status| **status == Some(Status::Success)).count();
        let rejected = statuses.iter().filter(|status| status.is_none()).count();
        assert!((1..=SAFE_MINIMUM).contains(&served) && served + rejected == 30, "{statuses:?}");
        assert!(node.metric("app_budget_open") <= SAFE_MINIMUM as u64);
    };
    LocalSet::new().run_until(test).await;
}

async fn join_all<F: std::future::Future>(futures: Vec<F>) -> Vec<F::Output> {
    let mut waiting: Vec<_> = futures.into_iter().map(|future| (Box::pin(future), None)).collect();
    std::future::poll_fn(|context| {
        for (future, done) in &mut waiting {
            if done.is_none() {
                if let std::task::Poll::Ready(output) = future.as_mut().poll(context) {
                    *done = Some(output);
                }
            }
        }
        match waiting.iter().all(|(_, done)| done.is_some()) {
            true => std::task::Poll::Ready(()),
            false => std::task::Poll::Pending,
        }
    })
    .await;
    waiting.into_iter().filter_map(|(_, done)| done).collect()
}

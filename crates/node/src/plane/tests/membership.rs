//! Nodes detect each other, and nodes that leave or die.

use std::time::Duration;

use tokio::task::LocalSet;
use tokio::time::{sleep, timeout};

use super::{addresses, Node, TEST_TIMEOUT};

/// Waits until each node counts `alive` nodes as alive.
async fn wait_until_alive(nodes: &[Node], alive: u64) {
    let all = async {
        while !nodes.iter().all(|node| node.metric("app_peers_alive") == alive) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    let counts = || nodes.iter().map(|node| node.metric("app_peers_alive")).collect::<Vec<_>>();
    timeout(TEST_TIMEOUT, all).await.unwrap_or_else(|_| panic!("{alive} expected, got {:?}", counts()));
}

async fn nodes_detect_each_other_and_departures(count: usize) {
    let peers = addresses(count);
    let mut nodes: Vec<Node> = (0..count as u16).map(|n| Node::start(&peers, n)).collect();
    wait_until_alive(&nodes, count as u64).await;
    for node in &nodes {
        assert_eq!(node.metric("app_plane_refused_total{why=\"stranger\"}"), 0);
        assert!(node.metric("app_plane_datagrams_total{way=\"out\"}") > 0);
    }
    // One node announces that it leaves. If more than two remain, another is killed and then restarted.
    let leaver = nodes.remove(0);
    leaver.plane_runtime.leave();
    wait_until_alive(&nodes, count as u64 - 1).await;
    leaver.task.abort();
    if let Some(ended) = (nodes.len() > 2).then(|| nodes.remove(0)) {
        ended.task.abort();
        wait_until_alive(&nodes, count as u64 - 2).await;
        drop(ended);
        nodes.push(Node::start(&peers, 1));
        wait_until_alive(&nodes, count as u64 - 1).await;
    }
}

#[tokio::test]
async fn two_nodes_detect_each_other_and_departures() {
    LocalSet::new().run_until(nodes_detect_each_other_and_departures(2)).await;
}

#[tokio::test]
async fn five_nodes_detect_each_other_and_departures() {
    LocalSet::new().run_until(nodes_detect_each_other_and_departures(5)).await;
}

/// A process that is ending may still hold the address; its successor waits until it can bind it.
#[tokio::test]
async fn a_node_waits_for_its_address() {
    let local = LocalSet::new();
    let test = async {
        let peers = addresses(2);
        let occupied = tokio::net::UdpSocket::bind(peers[0]).await.unwrap();
        let nodes = [Node::start(&peers, 0), Node::start(&peers, 1)];
        sleep(Duration::from_millis(1)).await;
        assert_eq!(nodes[0].metric("app_plane_datagrams_total{way=\"in\"}"), 0);
        drop(occupied);
        wait_until_alive(&nodes, 2).await;
    };
    local.run_until(test).await;
}

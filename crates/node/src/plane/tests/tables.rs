//! Balancers are notified of tables that all nodes have, and of evidence from peers.

use hallpin_balancer::{FleetUpdate, ServerId, Status};
use tokio::task::LocalSet;
use tokio::time::timeout;

use super::{addresses, Node, TEST_TIMEOUT};
use crate::message::Message;

/// Lists that arrive late at some nodes never lead to different tables under one version: all nodes use the first
/// table, and then the next, for which a single node with the new list would suffice; here three have it.
#[tokio::test]
async fn five_nodes_use_the_same_tables_whatever_list_each_has() {
    let test = async {
        let peers = addresses(5);
        let mut nodes: Vec<Node> = (0..5).map(|n| Node::start(&peers, n)).collect();
        nodes.iter().for_each(|node| node.list(1, 3));
        let mut tables = Vec::new();
        for node in &mut nodes {
            tables.push(node.table().await);
        }
        assert!(tables.iter().all(|table| *table == tables[0] && table.2 == 3), "{tables:?}");
        nodes.iter().take(3).for_each(|node| node.list(2, 4));
        for node in &mut nodes {
            let next = node.table().await;
            assert!(next > tables[0] && next.2 == 4, "{next:?} after {tables:?}");
            tables.push(next);
        }
        assert!(tables[5..].iter().all(|table| *table == tables[5]), "{tables:?}");
        for node in &nodes {
            assert_eq!(node.metric("app_table_version"), tables[5].1);
            assert_eq!(node.metric("app_table_state{state=\"out\"}"), 0);
        }
        assert_eq!(nodes.iter().map(|node| node.metric("app_table_coordinator")).sum::<u64>(), 1);
    };
    LocalSet::new().run_until(test).await;
}

/// One node's observation of a box's current incarnation reaches the other's balancer, as evidence of one peer.
#[tokio::test]
async fn observations_of_a_box_reach_the_balancers_of_the_peers() {
    let test = async {
        let peers = addresses(2);
        let [observer, mut other] = [0, 1].map(|n| Node::start(&peers, n));
        observer.list(1, 2);
        other.list(1, 2);
        let server = ServerId("s-1".into());
        let sent = observer.plane_runtime.record_attempt(&server).expect("a box of the list");
        observer.plane_runtime.record_outcome(&sent, Status::TimedOut);
        let evidence = loop {
            let message =
                timeout(TEST_TIMEOUT, other.messages.recv()).await.expect("evidence").expect("a message");
            if let Message::Fleet(FleetUpdate::Servers(evidence)) = message {
                break evidence;
            }
        };
        let evidence: Vec<_> = evidence
            .into_iter()
            .map(|each| (each.server, each.silent, each.answering, each.in_flight))
            .collect();
        assert_eq!(evidence, [(server, 1, 0, 0)]);
    };
    LocalSet::new().run_until(test).await;
}

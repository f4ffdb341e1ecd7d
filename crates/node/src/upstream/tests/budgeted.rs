//! Choice of a connection when the node's quota of a cache server's connections allows no other.

use hallpin_balancer::{ServerId, Settings, Status};
use hallpin_control_plane::FleetFile;
use hallpin_membership::names::{NodeId, ZoneId};
use hallpin_quota::Contracts;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc::unbounded_channel;

use super::*;
use crate::plane::{CountedConnection, PlaneRuntime, Setup};

/// A single node without a lease, which uses the quota that is safe without one.
fn plane_runtime() -> Rc<PlaneRuntime> {
    let file = "version = 1\nrealm = \"test\"\n[budgets]\ncontracts = \"c\"\nconnections_per_box = 40\n\
                lease = \"400ms\"\n";
    let contracts = "version = 1\nrevision = 1\n[others]\nshare = 1\n[[tenants]]\nname = \"a\"\nshare = 3\n";
    let listen = "127.0.0.1:9".parse().unwrap();
    let setup = Setup {
        file: FleetFile::parse(file).unwrap(),
        contracts: Some(("c".into(), Contracts::parse(contracts).unwrap())),
        state: None,
        listen,
        peers: vec![listen],
        this: NodeId(0),
        zone: ZoneId(0),
        zones: 1,
    };
    PlaneRuntime::new(setup, &Settings::default(), 0, &Metrics::new([]), unbounded_channel().0).unwrap()
}

/// The only connection was answered a moment ago. A command that must not run twice uses it, but a `busy` there does
/// not count as proof that it never ran.
#[tokio::test]
async fn without_another_connection_a_busy_proves_nothing() {
    for (answer, status) in [("HD Oz c1\r\n", Status::Success), ("SERVER_ERROR busy\r\n", Status::Unknown)] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (upstream, plane_runtime, server) = (upstream(LONG, 9), plane_runtime(), ServerId("s".into()));
        let list = roster(&listener, "ready");
        plane_runtime.apply_roster(&list);
        upstream.apply_quotas(plane_runtime.clone());
        upstream.update_endpoints(&list);
        let mut connection = upstream.connect(&server, Instant::now() + LONG).await.ok().unwrap();
        let mut peer = listener.accept().await.unwrap().0;
        connection.answered(true);
        upstream.cache_connection(&server, connection);
        let _others: Vec<CountedConnection> =
            std::iter::from_fn(|| plane_runtime.open_connection(&server)).collect();
        let once = UpstreamCall {
            repeat_window: Some(Duration::ZERO),
            ..test_call("ms k 1 Oz Pc=put,d=60000\r\nv\r\n")
        };
        let answering = async {
            assert!(peer.read(&mut [0; 256]).await.unwrap() > 0);
            peer.write_all(answer.as_bytes()).await.unwrap();
        };
        let attempt = async {
            let ended = upstream.attempt(&server, &once).await;
            upstream.endpoints.borrow_mut().clear();
            ended
        };
        tokio::select! {
            (ended, ()) = async { tokio::join!(attempt, answering) } => assert_eq!(ended.status, status),
            _ = listener.accept() => panic!("another connection"),
        }
    }
}

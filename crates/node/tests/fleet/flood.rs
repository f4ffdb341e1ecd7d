//! Hard case 12: a flood of invalid datagrams from a peer's address and from an unknown one, 10,000 per second.

use std::net::{TcpStream, UdpSocket};
use std::time::{Duration, Instant};

use crate::harness::{
    member, read_command, served_answer, write_config, Client, FakeCacheServer, FakeDiscovery, ServerAction,
};
use crate::node::{config, fleet_file, sum, Node, MINIMAL_FLEET_FILE};

/// Datagrams that are no valid message of a peer of this version; each must be dropped for a different reason.
fn invalid_datagrams() -> Vec<Vec<u8>> {
    let newer = [&b"HP\x02\x01"[..], &[0; 40]].concat();
    let garbled = [&b"HP\x01\x01"[..], &[7; 40]].concat();
    vec![vec![0; 300], vec![1; 5], vec![2; 100], newer, garbled]
}

/// Hard case 12: the datagrams are dropped and counted, logged once per second at most, and requests are served as
/// before.
#[test]
fn a_flood_of_invalid_datagrams_does_not_affect_requests() {
    let server = FakeCacheServer::start(|_| ServerAction::Serve);
    let known = member("s-1", server.address, "ready");
    let (_list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    // Half of the datagrams come from the address of a peer, half from an unknown address.
    let (peer, unknown_sender) =
        (UdpSocket::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap());
    let node_address = UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let text = config(discovery, known, node_address, &[node_address, peer.local_addr().unwrap()]);
    let node = Node::start(&write_config(&text), &fleet_file("flood", MINIMAL_FLEET_FILE));
    let start = Instant::now();
    let flood = std::thread::spawn(move || {
        let datagrams = invalid_datagrams();
        let mut sent = 0u64;
        // 10,000 datagrams per second for two seconds.
        for tick in 0..200 {
            for n in 0..100 {
                let from = if n % 2 == 0 { &peer } else { &unknown_sender };
                sent += u64::from(from.send_to(&datagrams[n / 2 % datagrams.len()], node_address).is_ok());
            }
            let next = start + Duration::from_millis(10) * (tick + 1);
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
        (sent, peer)
    });
    let mut client = Client::new(TcpStream::connect(node.address).unwrap());
    let mut requests = 0;
    while !flood.is_finished() || requests == 0 {
        let id = format!("a{requests}");
        assert_eq!(client.request(&read_command("k", &id, 20_000)), served_answer(&id));
        requests += 1;
    }
    let (sent, _peer) = flood.join().unwrap();
    let metrics = node.metrics();
    let seconds = start.elapsed().as_secs();
    assert_eq!(sum(&metrics, "app_completed_total"), requests);
    assert_eq!(sum(&metrics, "app_failed_total") + sum(&metrics, "app_rejected_total"), 0);
    let (received, dropped) =
        (sum(&metrics, "app_plane_datagrams_total{way=\"in\"}"), sum(&metrics, "app_plane_refused_total"));
    // Datagrams that don't fit the socket buffer are dropped by the kernel and not counted by the node.
    assert!(
        received <= sent && dropped == received && received > sent / 2,
        "{sent} sent, {received} received, {dropped} dropped"
    );
    for reason in ["too_long", "short", "foreign", "version", "garbled"] {
        assert!(
            sum(&metrics, &format!("app_plane_refused_total{{why=\"{reason}\"}}")) > 0,
            "{reason}: {metrics:?}"
        );
    }
    assert_eq!(sum(&metrics, "app_peers_alive"), 1);
    let lines = node.log.try_iter().filter(|line| line.contains("datagrams dropped")).count() as u64;
    assert!((1..=seconds + 1).contains(&lines), "{lines} log lines in {seconds} s");
}

//! A cache server (box) that accepts four connections, and clients that demand more than that.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::harness::{
    member, read_command, served_answer, write_config, Client, FakeCacheServer, FakeDiscovery, ServerAction,
    ServerEvent, TEST_TIMEOUT,
};
use crate::node::{config, fleet_file, sum, Node, MINIMAL_FLEET_FILE};

/// Connections that the box accepts.
const BOX_CONNECTIONS: u64 = 4;
const CONTRACTS: &str =
    "version = 1\nrevision = 1\n[others]\nshare = 1\n[[tenants]]\nname = \"acme\"\nshare = 3\n";

/// The highest number of connections that the box had open at once, by its own count.
fn peak_open_connections(server: &FakeCacheServer) -> u64 {
    let (mut open, mut peak) = (0, 0);
    for event in server.events.try_iter() {
        match event {
            ServerEvent::Opened(_) => open += 1,
            ServerEvent::Closed(_) => open -= 1,
            ServerEvent::Command(..) => {}
        }
        peak = peak.max(open);
    }
    peak
}

/// Starts a single node, which may allot the box's full capacity to its tenants.
fn start_node_with_budgets(server: &FakeCacheServer) -> (Node, FakeDiscovery) {
    let known = member("s-1", server.address, "ready");
    let (list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    let own_address: SocketAddr = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let number = own_address.port();
    let contracts = fleet_file(&format!("contracts-{number}"), CONTRACTS);
    let name = contracts.file_name().unwrap().to_str().unwrap();
    let budgets = format!(
        "[budgets]\ncontracts = \"{name}\"\nconnections_per_box = {BOX_CONNECTIONS}\nlease = \"400ms\"\n"
    );
    let fleet = fleet_file(&format!("budgets-{number}"), &format!("{MINIMAL_FLEET_FILE}{budgets}"));
    (Node::start(&write_config(&config(discovery, known, own_address, &[own_address])), &fleet), list)
}

/// Repeats the request until it is served; returns how often it was rejected.
fn request_until_served(client: &mut Client, line: &str, id: &str) -> u64 {
    let mut rejected = 0;
    loop {
        let answer = client.request(line);
        if answer == served_answer(id) {
            return rejected;
        }
        assert!(answer.starts_with("SERVER_ERROR busy"), "{answer}");
        rejected += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Requests beyond the tenant's quota are rejected at once, while the box still withholds the answers to the
/// requests within the quota. In the end each client is served, and the box never had more connections open
/// than it accepts.
#[test]
fn requests_beyond_the_quota_are_rejected_at_once_and_the_box_limit_is_kept() {
    let gate = Arc::new((Mutex::new(false), Condvar::new()));
    let handler_gate = gate.clone();
    let server = FakeCacheServer::start(move |_| {
        let open =
            handler_gate.1.wait_timeout_while(handler_gate.0.lock().unwrap(), TEST_TIMEOUT, |open| !*open);
        drop(open.unwrap());
        ServerAction::Serve
    });
    let (node, _list) = start_node_with_budgets(&server);
    let address = node.address;
    let clients: Vec<_> = (0..12)
        .map(|n| {
            std::thread::spawn(move || {
                let mut client = Client::new(TcpStream::connect(address).unwrap());
                let id = format!("a{n}");
                request_until_served(&mut client, &read_command(&format!("k{n}"), &id, 20_000), &id)
            })
        })
        .collect();
    // The full capacity is in use, and the other requests were rejected, before the box has answered any.
    let start = Instant::now();
    loop {
        let metrics = node.metrics();
        let (used, rejected) = (sum(&metrics, "app_budget_in_use"), sum(&metrics, "app_rejected_total"));
        if used == BOX_CONNECTIONS && rejected >= 12 - BOX_CONNECTIONS {
            assert_eq!(sum(&metrics, "app_completed_total"), 0);
            break;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "{used} of {BOX_CONNECTIONS} used, {rejected} rejected");
    }
    *gate.0.lock().unwrap() = true;
    gate.1.notify_all();
    let rejected: u64 = clients.into_iter().map(|client| client.join().unwrap()).sum();
    let metrics = node.metrics();
    assert_eq!((sum(&metrics, "app_completed_total"), sum(&metrics, "app_failed_total")), (12, 0));
    assert_eq!(sum(&metrics, "app_rejected_total"), rejected);
    assert!(sum(&metrics, "app_budget_refused_total{tenant=\"acme\"}") > 0, "{metrics:?}");
    assert_eq!(peak_open_connections(&server), BOX_CONNECTIONS);
}

/// Twelve clients of one tenant send without pause; a client of another tenant, which stays within its share, is
/// rarely rejected once its quota has been returned.
#[test]
fn a_tenant_over_its_share_takes_nothing_from_one_within_its_share() {
    let server = FakeCacheServer::start(|_| {
        std::thread::sleep(Duration::from_millis(20));
        ServerAction::Serve
    });
    let (node, _list) = start_node_with_budgets(&server);
    let (address, stop) = (node.address, Arc::new(AtomicBool::new(false)));
    let heavy_clients: Vec<_> = (0..12)
        .map(|n| {
            let stop = stop.clone();
            std::thread::spawn(move || {
                let mut client = Client::new(TcpStream::connect(address).unwrap());
                let id = format!("a{n}");
                let mut rejected = 0;
                while !stop.load(Ordering::Relaxed) {
                    rejected +=
                        request_until_served(&mut client, &read_command(&format!("k{n}"), &id, 20_000), &id);
                }
                rejected
            })
        })
        .collect();
    let mut client = Client::new(TcpStream::connect(address).unwrap());
    let line = read_command("other", "b", 20_000).replace("t=acme", "t=nobody");
    let mut rejections =
        |count: usize| (0..count).map(|_| request_until_served(&mut client, &line, "b")).sum::<u64>();
    let (before, after) = (rejections(20), rejections(60));
    stop.store(true, Ordering::Relaxed);
    let heavy_client_rejections: u64 = heavy_clients.into_iter().map(|client| client.join().unwrap()).sum();
    assert!(after <= 20, "rejected {after} times in 60 requests, {before} times in the 20 before");
    assert!(heavy_client_rejections > 60, "heavy clients rejected only {heavy_client_rejections} times");
    assert!(peak_open_connections(&server) <= BOX_CONNECTIONS);
}

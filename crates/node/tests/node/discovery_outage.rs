//! Idle clients occupy all file descriptors while discovery is down; when it returns, the node still reaches it and
//! the servers.

use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

use crate::harness::*;

/// Clients that send nothing, hold their connection for as long as it is open, and reconnect when it is closed.
struct IdleClients {
    stop: Arc<AtomicBool>,
    clients: JoinHandle<()>,
}

impl IdleClients {
    const CLIENTS: usize = 300;

    fn connect_to(node: &Node) -> Self {
        let (stop, address) = (Arc::new(AtomicBool::new(false)), node.address);
        let stopped = stop.clone();
        let clients = std::thread::spawn(move || {
            let connect = || {
                let stream = TcpStream::connect(address).unwrap();
                stream.set_nonblocking(true).unwrap();
                stream
            };
            let mut connections: Vec<TcpStream> = (0..Self::CLIENTS).map(|_| connect()).collect();
            while !stopped.load(Ordering::SeqCst) {
                for client in &mut connections {
                    if client.peek(&mut [0]).is_ok_and(|read| read == 0) {
                        *client = connect();
                    }
                }
                std::thread::sleep(std::time::Duration::from_millis(1));
            }
        });
        IdleClients { stop, clients }
    }

    fn leave(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.clients.join().unwrap();
    }
}

/// Pairs of the configured `sockets` and of the system's descriptor limit, equal or below it.
const SOCKET_LIMITS: [(usize, usize); 2] = [(92, 92), (1024, 64)];

/// At its start the node has no endpoint list and holds as many clients as it can.
#[test]
fn a_node_full_of_idle_clients_reaches_discovery_and_servers_at_its_start() {
    for (sockets, ulimit) in SOCKET_LIMITS {
        let server = FakeCacheServer::start(|_| ServerAction::Serve);
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = silent.local_addr().unwrap();
        let node = Setup { sockets, ulimit: Some(ulimit), ..Setup::default() }.start(discovery);
        let idle_clients = IdleClients::connect_to(&node);
        assert_eq!(node.operator_call("ready\n"), "fail starting\n");
        let (list, _) = FakeDiscovery::start_on(silent, &[member("s-1", server.address, "ready")]);
        list.wait_until_read();
        assert_eq!(node.operator_call("ready\n"), "ok ready\n");
        let answer = node.connect().request(&read_command("k", "o1", 9000));
        assert_eq!(answer, served_answer("o1"), "{sockets} sockets configured, ulimit of {ulimit}");
        idle_clients.leave();
    }
}

/// While the node runs, discovery goes silent and returns with another server, which the node reaches.
#[test]
fn a_node_full_of_idle_clients_reaches_discovery_and_servers_after_an_outage() {
    for (sockets, ulimit) in SOCKET_LIMITS {
        let (first, second) = (
            FakeCacheServer::start(|_| ServerAction::Serve),
            FakeCacheServer::start(|_| ServerAction::Serve),
        );
        let known = member("s-1", first.address, "ready");
        let (list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
        let node = Setup { known, sockets, ulimit: Some(ulimit), ..Setup::default() }.start(discovery);
        list.wait_until_read();
        let idle_clients = IdleClients::connect_to(&node);
        list.inject_faults(&[Fault::NoAnswer, Fault::Reset, Fault::NoAnswer]);
        list.update_and_wait(&[member("s-2", second.address, "ready")]);
        assert_eq!(node.operator_call("ready\n"), "ok ready\n");
        let answer = node.connect().request(&read_command("k", "o2", 9000));
        assert_eq!(answer, served_answer("o2"), "{sockets} sockets configured, ulimit of {ulimit}");
        assert_eq!((first.take_commands().len(), second.take_commands().len()), (0, 1));
        idle_clients.leave();
    }
}

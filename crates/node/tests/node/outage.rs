//! Descriptors full of idle clients while discovery is down: what the node needs at its return is still reached.

use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;

use crate::rig::*;

/// Clients that ask once, if at all, hold what they have for as long as it is open, and come again when it is not.
struct Crowd {
    over: Arc<AtomicBool>,
    clients: JoinHandle<()>,
}

impl Crowd {
    const CLIENTS: usize = 300;

    fn at(node: &Node) -> Self {
        let (over, address) = (Arc::new(AtomicBool::new(false)), node.address);
        let end = over.clone();
        let clients = std::thread::spawn(move || {
            let connect = || {
                let stream = TcpStream::connect(address).unwrap();
                stream.set_nonblocking(true).unwrap();
                stream
            };
            let mut held: Vec<TcpStream> = (0..Self::CLIENTS).map(|_| connect()).collect();
            while !end.load(Ordering::SeqCst) {
                for client in &mut held {
                    if client.peek(&mut [0]).is_ok_and(|read| read == 0) {
                        *client = connect();
                    }
                }
                std::thread::sleep(std::time::Duration::from_millis(1));
            }
        });
        Crowd { over, clients }
    }

    fn goes(self) {
        self.over.store(true, Ordering::SeqCst);
        self.clients.join().unwrap();
    }
}

/// Limits as the configuration has them, and a system that allows less.
const ALLOWED: [(usize, usize); 2] = [(92, 92), (1024, 64)];

/// At the start: the node has no list, and holds all the clients that it can.
#[test]
fn a_node_full_of_idle_clients_finds_discovery_and_servers_at_its_start() {
    for (sockets, ulimit) in ALLOWED {
        let server = CacheServer::start(|_| Act::Serve);
        let silent = TcpListener::bind("127.0.0.1:0").unwrap();
        let discovery = silent.local_addr().unwrap();
        let node = Setup { sockets, ulimit: Some(ulimit), ..Setup::default() }.start(discovery);
        let crowd = Crowd::at(&node);
        assert_eq!(node.call("ready\n"), "fail starting\n");
        let (list, _) = List::on(silent, &[member("s-1", server.address, "ready")]);
        list.wait();
        assert_eq!(node.call("ready\n"), "ok ready\n");
        let answer = node.connect().ask(&read("k", "o1", 9000));
        assert_eq!(answer, served("o1"), "{sockets} sockets, {ulimit} allowed");
        crowd.goes();
    }
}

/// In mid-run: discovery goes silent, comes back with another server, and that is reached.
#[test]
fn a_node_full_of_idle_clients_finds_discovery_and_servers_again() {
    for (sockets, ulimit) in ALLOWED {
        let (first, second) = (CacheServer::start(|_| Act::Serve), CacheServer::start(|_| Act::Serve));
        let known = member("s-1", first.address, "ready");
        let (list, discovery) = List::start(std::slice::from_ref(&known));
        let node = Setup { known, sockets, ulimit: Some(ulimit), ..Setup::default() }.start(discovery);
        list.wait();
        let crowd = Crowd::at(&node);
        list.fail(&[Fault::Silence, Fault::Reset, Fault::Silence]);
        list.set(&[member("s-2", second.address, "ready")]);
        assert_eq!(node.call("ready\n"), "ok ready\n");
        let answer = node.connect().ask(&read("k", "o2", 9000));
        assert_eq!(answer, served("o2"), "{sockets} sockets, {ulimit} allowed");
        assert_eq!((first.commands().len(), second.commands().len()), (0, 1));
        crowd.goes();
    }
}

//! The socket that is handed over, what else may stand at its name, and who is told of what.

use std::os::unix::fs::symlink;

use super::*;
use crate::port::bind;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("hallpin-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn offer(path: &Path, socket: &Rc<TcpListener>) -> (Offer, watch::Receiver<Successor>) {
    let budget = Budget::new(&Default::default());
    let (successor, told) = watch::channel(Successor::None);
    let (socket, closed) = (Rc::downgrade(socket), Rc::default());
    (Offer { path: path.into(), socket, budget, successor, closed }, told)
}

/// A connection that waits in the queue when the old process closes its end is the new one's; the old one is
/// told of the new one's service and of its end.
#[tokio::test]
async fn what_waits_in_the_queue_outlives_the_process_that_listened() {
    let folder = Folder::new("queue");
    let path = folder.0.join("door");
    let socket = Rc::new(bind("127.0.0.1:0".parse().unwrap(), true).unwrap());
    let address = socket.local_addr().unwrap();
    let (offer, mut told) = offer(&path, &socket);
    let claims = async {
        while !path.exists() {
            tokio::task::yield_now().await;
        }
        let (taken, mut predecessor) = claim(&path, address).await.unwrap();
        let mut queued = tokio::net::TcpStream::connect(address).await.unwrap();
        drop(socket);
        predecessor.relieve().await;
        told.wait_for(|successor| *successor == Successor::Serving).await.unwrap();
        let (mut accepted, _) = taken.accept().await.unwrap();
        accepted.write_all(b"!").await.unwrap();
        assert_eq!(queued.read_u8().await.unwrap(), b'!');
        drop(predecessor);
        told.wait_for(|successor| *successor == Successor::None).await.unwrap();
        assert!(claim(&path, address).await.is_err(), "nothing is left to hand over");
    };
    // An offer ends with its socket.
    tokio::join!(offer.run(), claims);
}

/// Whatever is at the name, a claim ends soon and without a socket, and a door can be put there.
#[tokio::test]
async fn leftovers_at_the_name_are_no_takeover() {
    let folder = Folder::new("leftovers");
    let here = "127.0.0.1:9".parse().unwrap();
    let path = |name: &str| folder.0.join(name);
    std::fs::write(path("file"), "x").unwrap();
    symlink(path("file"), path("link")).unwrap();
    symlink(path("nowhere"), path("dangling")).unwrap();
    drop(UnixListener::bind(path("stale")).unwrap());
    for name in ["nothing", "file", "link", "dangling", "stale"] {
        assert!(claim(&path(name), here).await.is_err(), "{name}");
        publish(&path(name)).unwrap();
    }
    assert_eq!(std::fs::read(path("file")).ok(), None, "a door is there now");
    std::fs::create_dir(path("folder")).unwrap();
    assert!(claim(&path("folder"), here).await.is_err() && publish(&path("folder")).is_err());
    assert_eq!(std::fs::read_dir(path("folder")).unwrap().count(), 0);
}

/// Somebody answers at the name, but not with the socket of this address.
#[tokio::test]
async fn only_a_listener_at_the_address_is_taken() {
    let folder = Folder::new("hostile");
    let path = folder.0.join("door");
    let door = UnixListener::bind(&path).unwrap();
    let other = bind("127.0.0.1:0".parse().unwrap(), true).unwrap();
    let address = other.local_addr().unwrap();
    let connected = std::net::TcpStream::connect(address).unwrap();
    let file = std::fs::File::open("/dev/null").unwrap();
    let elsewhere = bind("127.0.0.1:0".parse().unwrap(), true).unwrap();
    for socket in [None, Some(connected.as_fd()), Some(file.as_fd()), Some(elsewhere.as_fd())] {
        let (claimed, ()) = tokio::join!(claim(&path, address), async {
            let (mut stream, _) = door.accept().await.unwrap();
            match socket {
                Some(socket) => send(&stream, socket).unwrap(),
                None => stream.write_all(GREETING).await.unwrap(),
            }
        });
        assert!(claimed.is_err(), "{socket:?}");
    }
    // Nobody answers.
    assert!(claim(&path, address).await.is_err());
}

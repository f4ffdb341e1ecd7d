//! Tests of the relay between real sockets: the effect of each link condition, and that everything else is delivered
//! unchanged.

use std::future::Future;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;

use hallpin_emulator::loopback;
use hallpin_fault_harness::relay::{Conditions, DatagramMesh, Fate, Network, Site, TcpLink};
use hallpin_fault_harness::trace::{Event, Recorder};
use hallpin_simulation::random::RandomStream;
use hallpin_simulation::time::Span;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;
use tokio::time::timeout;

/// Timeout that only a failing test reaches.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a test waits for something that must not happen.
const ABSENCE_WAIT: Duration = Duration::from_millis(60);

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test)
}

async fn within_timeout<T>(what: impl Future<Output = T>) -> T {
    timeout(FAILURE_TIMEOUT, what).await.expect("within the timeout")
}

#[test]
fn the_fate_of_datagrams_follows_from_the_seed_alone() {
    let conditions = Conditions { drop: 0.3, duplicate: 0.2, reorder: 0.2, ..Conditions::default() };
    let draw = |seed| {
        let mut rng = RandomStream::new(seed, "link");
        (0..2000).map(|_| conditions.draw_fate(&mut rng)).collect::<Vec<_>>()
    };
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
    let share = |fate| draw(7).iter().filter(|(f, _)| *f == fate).count() as f64 / 2000.0;
    for (fate, expected) in [(Fate::Lost, 0.3), (Fate::Doubled, 0.14), (Fate::Held, 0.112)] {
        assert!((share(fate) - expected).abs() < 0.03, "{fate:?}: {}", share(fate));
    }
    let cut = Conditions { cut: true, ..Conditions::default() };
    assert_eq!(cut.draw_fate(&mut RandomStream::new(7, "link")), (Fate::Lost, vec![]));
}

/// The sockets of two nodes with the relay between them.
async fn two_nodes(network: &Network, recorder: &Rc<Recorder>) -> (Rc<DatagramMesh>, UdpSocket, UdpSocket) {
    let ips = [Ipv4Addr::new(127, 60, 1, 1), Ipv4Addr::new(127, 60, 1, 2)];
    let mesh = Rc::new(DatagramMesh::bind(&ips).await.unwrap());
    mesh.run(network, recorder);
    let a = UdpSocket::bind(mesh.listen(0)).await.unwrap();
    let b = UdpSocket::bind(mesh.listen(1)).await.unwrap();
    (mesh, a, b)
}

#[test]
fn datagrams_come_from_the_senders_relay_address_and_a_cut_stops_one_direction_only() {
    run(async {
        let (network, recorder) = (Network::new(1), Recorder::new());
        let (mesh, a, b) = two_nodes(&network, &recorder).await;
        let (sees_b, sees_a) = (mesh.peers(0).unwrap()[1], mesh.peers(1).unwrap()[0]);
        let mut buffer = [0; 300];
        a.send_to(b"hello", sees_b).await.unwrap();
        assert_eq!(within_timeout(b.recv_from(&mut buffer)).await.unwrap(), (5, sees_a));

        network.change(Site::Node(0), Site::Node(1), |c| c.cut = true);
        let position = recorder.position();
        a.send_to(b"lost", sees_b).await.unwrap();
        let lost = |r: &hallpin_fault_harness::trace::Record| {
            matches!(r.event, Event::Datagram { from: Site::Node(0), fate: Fate::Lost, bytes: 4, .. })
        };
        recorder.wait_for(position, FAILURE_TIMEOUT, "a lost datagram", lost).await.unwrap();
        b.send_to(b"back", sees_a).await.unwrap();
        assert_eq!(within_timeout(a.recv_from(&mut buffer)).await.unwrap(), (4, sees_b));

        network.change(Site::Node(0), Site::Node(1), |c| {
            *c = Conditions { duplicate: 1.0, ..Conditions::default() }
        });
        a.send_to(b"twice!", sees_b).await.unwrap();
        for _ in 0..2 {
            assert_eq!(
                within_timeout(b.recv_from(&mut buffer)).await.unwrap(),
                (6, sees_a),
                "the lost datagram is never delivered"
            );
        }
        network.change(Site::Node(0), Site::Node(1), |c| {
            *c = Conditions { reorder: 1.0, ..Conditions::default() }
        });
        a.send_to(b"1", sees_b).await.unwrap();
        recorder
            .wait_for(position, FAILURE_TIMEOUT, "a held datagram", |r| {
                matches!(r.event, Event::Datagram { fate: Fate::Held, .. })
            })
            .await
            .unwrap();
        network.change(Site::Node(0), Site::Node(1), |c| *c = Conditions::default());
        a.send_to(b"second", sees_b).await.unwrap();
        let sizes = [
            within_timeout(b.recv_from(&mut buffer)).await.unwrap().0,
            within_timeout(b.recv_from(&mut buffer)).await.unwrap().0,
        ];
        assert_eq!(sizes, [6, 1]);
        mesh.forge(0, 1, b"forged").await.unwrap();
        assert_eq!(within_timeout(b.recv_from(&mut buffer)).await.unwrap(), (6, sees_a));
    });
}

/// A link to a listener, with the listener behind it.
struct LinkUnderTest {
    network: Rc<Network>,
    far: TcpListener,
    link: TcpLink,
    up: watch::Sender<bool>,
}

async fn linked() -> LinkUnderTest {
    let source = Ipv4Addr::new(127, 60, 2, 1);
    let far = TcpListener::bind("127.60.2.250:0").await.unwrap();
    let (up, is_up) = watch::channel(true);
    let link = TcpLink {
        from: Site::Node(0),
        to: Site::Box(0),
        listen: loopback::reserve_ports(source, 1).unwrap()[0],
        target: far.local_addr().unwrap(),
        source,
        up: is_up,
        recorder: Recorder::new(),
    };
    let network = Rc::new(Network::new(1));
    tokio::task::spawn_local(link.clone().run(network.clone()));
    LinkUnderTest { network, far, link, up }
}

impl LinkUnderTest {
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let near = within_timeout(async {
            loop {
                if let Ok(Ok(stream)) = timeout(ABSENCE_WAIT, TcpStream::connect(self.link.listen)).await {
                    return stream;
                }
                tokio::task::yield_now().await;
            }
        });
        let near = near.await;
        let (far, from) = within_timeout(self.far.accept()).await.unwrap();
        assert_eq!(
            from.ip(),
            std::net::IpAddr::V4(self.link.source),
            "the source address identifies the opener"
        );
        (near, far)
    }

    fn out(&self, change: impl FnOnce(&mut Conditions)) {
        self.network.change(Site::Node(0), Site::Box(0), change);
    }
}

async fn read(stream: &mut TcpStream, text: &[u8]) {
    let mut got = vec![0; text.len()];
    within_timeout(stream.read_exact(&mut got)).await.expect("bytes");
    assert_eq!(got, text);
}

#[test]
fn a_cut_stalls_a_stream_and_held_data_is_delivered_when_it_heals() {
    run(async {
        let linked = linked().await;
        let (mut near, mut far) = linked.connect().await;
        near.write_all(b"one").await.unwrap();
        read(&mut far, b"one").await;
        linked.out(|c| c.cut = true);
        near.write_all(b"two").await.unwrap();
        far.write_all(b"back").await.unwrap();
        read(&mut near, b"back").await;
        let mut byte = [0];
        assert!(timeout(ABSENCE_WAIT, far.read(&mut byte)).await.is_err(), "nothing is delivered over a cut");
        assert!(
            timeout(ABSENCE_WAIT, TcpStream::connect(linked.link.listen)).await.is_err(),
            "no connection is established"
        );
        linked.out(|c| c.cut = false);
        read(&mut far, b"two").await;
        let _ = linked.connect().await;
        // Closing one direction leaves the other open, and everything sent before the close is delivered.
        linked.out(|c| (c.delay, c.jitter) = (Span::from_millis(5), Span::from_millis(5)));
        for _ in 0..200 {
            near.write_all(&[7; 1000]).await.unwrap();
        }
        near.shutdown().await.unwrap();
        let mut all = Vec::new();
        within_timeout(far.read_to_end(&mut all)).await.unwrap();
        assert_eq!(all, vec![7; 200_000]);
        far.write_all(b"still").await.unwrap();
        read(&mut near, b"still").await;
    });
}

#[test]
fn a_reset_breaks_both_ends_and_a_link_that_is_down_refuses_connections() {
    run(async {
        let linked = linked().await;
        let (mut near, mut far) = linked.connect().await;
        linked.network.reset(Site::Box(0), Site::Node(0));
        let mut byte = [0];
        for end in [&mut near, &mut far] {
            let broken = within_timeout(end.read(&mut byte)).await.map_err(|e| e.kind());
            assert_eq!(broken, Err(std::io::ErrorKind::ConnectionReset));
        }
        // A process that dies resets its connections; the relay passes the reset on to the other end.
        let (mut near, far) = linked.connect().await;
        loopback::reset_on_close(&far);
        drop(far);
        let broken = within_timeout(near.read(&mut byte)).await.map_err(|e| e.kind());
        assert_eq!(broken, Err(std::io::ErrorKind::ConnectionReset));
        linked.up.send_replace(false);
        // A connection that was established just before is reset.
        let refused = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
        within_timeout(async {
            while !TcpStream::connect(linked.link.listen).await.is_err_and(refused) {
                tokio::task::yield_now().await;
            }
        })
        .await;
        linked.up.send_replace(true);
        let _ = linked.connect().await;
    });
}

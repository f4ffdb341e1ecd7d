//! SIGKILL at the end of a stop, while clients still read long values: what the system holds by then reaches them.

use std::net::SocketAddr;
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use crate::harness::*;
use crate::takeover::start_offering;

/// The longest value.
const VALUE_LENGTH: usize = 4 << 20;
/// Deadline of the classes; the kill comes 0.7 s later than that after SIGTERM.
const DEADLINE_S: f64 = 1.0;
const KILL_AFTER: Duration = Duration::from_millis(1700);
/// Time after SIGTERM at which a client sends a write behind its value. What comes more than 0.7 s after SIGTERM has to
/// be answered by the kill.
const WRITE_AFTER: Duration = Duration::from_millis(900);
/// How often a client reads up to the kill.
const READ_INTERVAL: Duration = Duration::from_millis(50);

fn write_command(key: &str, id: &str) -> String {
    format!("ms {key} 3 O{id} Pc=save,t=acme,d=1000,k=i{id}\r\nnew\r\n")
}

/// Serves keys that contain `long` with a long value, all of it at once.
fn start_server() -> FakeCacheServer {
    FakeCacheServer::start(|line| match line.starts_with("mg long") {
        true => {
            let value = "v".repeat(VALUE_LENGTH);
            ServerAction::Reply(format!("VA {VALUE_LENGTH} O{}\r\n{value}\r\n", opaque_id(line)).into())
        }
        false => ServerAction::Serve,
    })
}

/// What a client of a stopping node has received in the end: the value's length, and the answer behind it.
type Received = (usize, String);

/// Asks for a long value and reads it at this rate up to the kill, then as fast as it comes. Sends a write behind it.
fn start_reader(address: SocketAddr, name: &str, rate: usize, sigterm_at: Instant) -> JoinHandle<Received> {
    use std::io::Read;
    let (value, write) = (
        read_command(&format!("long{name}"), &format!("v{name}"), 1000),
        write_command(name, &format!("w{name}")),
    );
    let mut client = Client::new(std::net::TcpStream::connect(address).unwrap());
    client.send(&value);
    spawn(move || {
        let mut received = Vec::new();
        let mut piece = vec![0; (rate as f64 * READ_INTERVAL.as_secs_f64()) as usize];
        let mut write = Some(write);
        while sigterm_at.elapsed() < KILL_AFTER + READ_INTERVAL || Instant::now() < sigterm_at {
            client
                .stream
                .read_exact(&mut piece)
                .unwrap_or_else(|error| panic!("at {rate} B/s after {} bytes: {error}", received.len()));
            received.extend_from_slice(&piece);
            sleep(READ_INTERVAL);
            if Instant::now() >= sigterm_at + WRITE_AFTER {
                write.take().iter().for_each(|write| client.send(write));
            }
        }
        // A reset ends what can be read.
        let _ = client.stream.read_to_end(&mut received);
        let text = String::from_utf8_lossy(&received);
        let (_, rest) = text.split_once("\r\n").unwrap();
        let (value, answer) = rest.split_once("\r\n").unwrap_or((rest, ""));
        (value.len(), answer.to_string())
    })
}

/// Stops a node with such clients, kills it when the time is over, and checks that each has its value and the answer
/// behind it.
fn check_readers(rates: &[usize], has_successor: bool) {
    let server = start_server();
    let known = member("s-1", server.address, "ready");
    let (_list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    let temp_dir = TempDir::new();
    let mut setup =
        Setup { known, deadline_s: DEADLINE_S, temp_dir: Some(temp_dir.0.clone()), ..Setup::default() };
    let mut node = start_offering(&setup, discovery);
    setup.listen = node.address.to_string();
    let sigterm_at = Instant::now() + Duration::from_millis(500);
    let readers: Vec<_> = rates
        .iter()
        .zip('a'..)
        .map(|(rate, name)| start_reader(node.address, &name.to_string(), *rate, sigterm_at))
        .collect();
    let successor = has_successor.then(|| {
        rates.iter().for_each(|_| drop(server.next_command()));
        let successor = setup.start(discovery);
        node.wait_for_log("the successor serves");
        successor
    });
    sleep(sigterm_at.saturating_duration_since(Instant::now()));
    node.signal("-TERM");
    sleep((sigterm_at + KILL_AFTER).saturating_duration_since(Instant::now()));
    node.kill();
    for ((rate, name), reader) in rates.iter().zip('a'..).zip(readers) {
        let received = reader.join().unwrap();
        assert_eq!(received, (VALUE_LENGTH, format!("HD Ow{name} c42\r\n")), "at {rate} B/s");
    }
    drop(successor);
}

/// Guards against values and answers cut by the kill (`docs/incidents`): what a cache server has given long before goes to
/// the system in time, with the answers behind it, however slowly its client reads.
#[test]
fn long_values_and_the_writes_behind_them_are_answered_past_the_kill() {
    check_readers(&[16 << 10, 200 << 10, 800 << 10], false);
}

/// The same for the old process of an upgrade.
#[test]
fn long_values_and_the_writes_behind_them_outlast_the_old_process_of_an_upgrade() {
    check_readers(&[16 << 10, 800 << 10], true);
}

/// Guards against a write that is applied and never answered (`docs/incidents`): behind a value that its cache server still
/// gives nothing is forwarded in a stop, as the kill may find the value on its way.
#[test]
fn a_write_behind_a_value_that_comes_slowly_in_a_stop_is_not_forwarded() {
    const SLOW_LENGTH: usize = 200_000;
    let server = FakeCacheServer::start(|line| match line.starts_with("mg long") {
        true => ServerAction::ReplyInPieces {
            first: format!("VA {SLOW_LENGTH} O{}\r\n", opaque_id(line)).into(),
            rest: ("v".repeat(SLOW_LENGTH) + "\r\n").into(),
            piece: SLOW_LENGTH / 50,
            pause: Duration::from_millis(50),
        },
        false => ServerAction::Serve,
    });
    let known = member("s-1", server.address, "ready");
    let (_list, discovery) = FakeDiscovery::start(std::slice::from_ref(&known));
    let node = Setup { known, deadline_s: DEADLINE_S, ..Setup::default() }.start(discovery);
    let mut client = node.connect();
    client.send(&read_command("long", "v", 1000));
    server.next_command();
    node.signal("-TERM");
    node.wait_for_log("stopping");
    sleep(WRITE_AFTER);
    client.send(&write_command("k", "w"));
    assert_eq!(client.read_answer().len(), SLOW_LENGTH + format!("VA {SLOW_LENGTH} Ov\r\n\r\n").len());
    assert_eq!(client.read_answer(), "SERVER_ERROR busy\r\n");
    assert_eq!(server.take_commands(), Vec::<String>::new());
    assert_eq!(node.wait().code(), Some(0));
}

//! What stands in for cache servers and for discovery's agent.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::client::{value_for, Client, End};
use crate::platform::{not_run, Record};

/// How a cache server gives its values: keys that begin with `long` have `length` bytes, in pieces with a pause ahead
/// of each but the first; all others have 12 bytes at once.
#[derive(Clone, Copy)]
pub struct Values {
    pub length: usize,
    pub piece: usize,
    pub pause: Duration,
    /// How long a short value takes, and how long one whose key begins with `slow`.
    pub short_takes: Duration,
    pub slow_takes: Duration,
    /// How long a write takes.
    pub write_takes: Duration,
    /// After how many bytes of a long value the connection ends, if it does.
    pub breaks_after: Option<usize>,
}

impl Default for Values {
    fn default() -> Self {
        let takes = Duration::from_millis(5);
        Values {
            length: 12,
            piece: 12,
            pause: Duration::ZERO,
            short_takes: takes,
            slow_takes: takes,
            write_takes: Duration::ZERO,
            breaks_after: None,
        }
    }
}

/// A command that came whole to a cache server.
#[derive(Clone)]
pub struct Received {
    pub id: String,
    /// Seconds since the start of the record.
    pub at: f64,
}

/// A cache server.
#[derive(Clone)]
pub struct CacheServer {
    pub name: String,
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<Received>>>,
    draining: Arc<AtomicBool>,
}

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    let address = listener.local_addr().unwrap_or_else(|error| not_run(&error.to_string()));
    (listener, address)
}

impl CacheServer {
    pub fn start(name: &str, record: &Record, values: Values) -> Self {
        let (listener, address) = listen();
        let server =
            CacheServer { name: name.into(), address, received: Arc::default(), draining: Arc::default() };
        let (served, record) = (server.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (served, record) = (served.clone(), record.clone());
                std::thread::spawn(move || served.serve(stream, &record, values));
            }
        });
        server
    }

    /// From now on new commands are turned away.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Commands received so far.
    pub fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream, record: &Record, values: Values) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let words: Vec<&str> = line.trim_end().split(' ').collect();
            let id = words.iter().find_map(|word| word.strip_prefix('O')).unwrap_or("-").to_owned();
            let answered = match words[0] {
                "mn" => writer.write_all(b"MN\r\n"),
                "mg" => {
                    let at = record.seconds();
                    record.line(&format!("{}: received {}", self.name, line.trim_end()));
                    self.received.lock().unwrap().push(Received { id: id.clone(), at });
                    if self.draining.load(Ordering::SeqCst) {
                        writer.write_all(b"SERVER_ERROR busy\r\n")
                    } else {
                        self.give(&mut writer, record, words.get(1).unwrap_or(&""), &id, values)
                    }
                }
                "ms" => {
                    let length = words.get(2).and_then(|length| length.parse::<usize>().ok()).unwrap_or(0);
                    let mut value = vec![0; length + 2];
                    if reader.read_exact(&mut value).is_err() {
                        return;
                    }
                    let at = record.seconds();
                    record.line(&format!("{}: received {}", self.name, line.trim_end()));
                    self.received.lock().unwrap().push(Received { id: id.clone(), at });
                    std::thread::sleep(values.write_takes);
                    writer.write_all(format!("HD O{id} c{id}\r\n").as_bytes())
                }
                _ => writer.write_all(b"ERROR\r\n"),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    /// Gives a value, in pieces if it is a long one.
    fn give(
        &self,
        writer: &mut TcpStream,
        record: &Record,
        key: &str,
        id: &str,
        values: Values,
    ) -> std::io::Result<()> {
        if !key.starts_with("long") {
            std::thread::sleep(if key.starts_with("slow") { values.slow_takes } else { values.short_takes });
            let mut answer = format!("VA 12 O{id} h1\r\n").into_bytes();
            answer.extend(value_for(id, 12));
            answer.extend(b"\r\n");
            return writer.write_all(&answer);
        }
        let mut answer = format!("VA {} O{id} h1\r\n", values.length).into_bytes();
        let value = value_for(id, values.length);
        let mut given = 0;
        for piece in value.chunks(values.piece) {
            if given > 0 {
                std::thread::sleep(values.pause);
            }
            answer.extend_from_slice(piece);
            if let Err(error) = writer.write_all(&answer) {
                record.line(&format!(
                    "{}: {id}: cannot give on after {given} of {} bytes: {error}",
                    self.name, values.length
                ));
                return Err(error);
            }
            given += piece.len();
            record.line(&format!("{}: {id}: given {given} of {} bytes", self.name, values.length));
            answer.clear();
            if values.breaks_after.is_some_and(|most| given >= most) {
                record.line(&format!("{}: {id}: the connection ends here", self.name));
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        writer.write_all(b"\r\n")
    }
}

struct Listed {
    revision: u64,
    /// Each server's id, address, phase, and the revision of its last change.
    members: Vec<(String, SocketAddr, &'static str, u64)>,
}

/// Discovery's agent on the node's machine. It gives each answer `delay` after the call, or after the change that ends a
/// watch.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Listed>, Condvar)>,
    delay: Arc<Mutex<Duration>>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, servers: &[CacheServer]) -> Self {
        let (listener, address) = listen();
        let members = servers.iter().map(|s| (s.name.clone(), s.address, "ready", 1)).collect();
        let state = Arc::new((Mutex::new(Listed { revision: 1, members }), Condvar::new()));
        let discovery = Discovery { address, state, delay: Arc::default(), record: record.clone() };
        let served = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    /// Changes how long each answer takes from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.record.line(&format!("discovery: each answer now takes {:.3} s", delay.as_secs_f64()));
        *self.delay.lock().unwrap() = delay;
    }

    /// Changes the phase of one server.
    pub fn set_phase(&self, server: &str, phase: &'static str) {
        let (listed, changed) = &*self.state;
        let mut listed = listed.lock().unwrap();
        listed.revision += 1;
        let revision = listed.revision;
        for member in listed.members.iter_mut().filter(|member| member.0 == server) {
            (member.2, member.3) = (phase, revision);
        }
        self.record.line(&format!("discovery: revision {revision}: {server} is {phase}"));
        changed.notify_all();
    }

    /// The whole list now, in discovery's form.
    pub fn list(&self) -> String {
        render(&self.state.0.lock().unwrap(), 0)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut request = String::new();
            if reader.read_line(&mut request).unwrap_or(0) == 0 {
                return;
            }
            loop {
                let mut header = String::new();
                if reader.read_line(&mut header).unwrap_or(0) == 0 {
                    return;
                }
                if header == "\r\n" {
                    break;
                }
            }
            let path = request.split(' ').nth(1).unwrap_or("").to_owned();
            let parameter = |name: &str| -> Option<u64> {
                let (_, query) = path.split_once('?')?;
                query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
            };
            let body = match parameter("index") {
                Some(after) => {
                    self.watch(after, Duration::from_millis(parameter("wait").unwrap_or(0).min(60_000)))
                }
                None => self.list(),
            };
            std::thread::sleep(*self.delay.lock().unwrap());
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            match writer.write_all(answer.as_bytes()) {
                Ok(()) => self.record.line(&format!("discovery: answered {path}: {body}")),
                Err(error) => {
                    self.record.line(&format!("discovery: {path}: {error}"));
                    return;
                }
            }
        }
    }

    /// Waits for a change after `after`; returns what changed since.
    fn watch(&self, after: u64, wait: Duration) -> String {
        let (listed, changed) = &*self.state;
        let until = Instant::now() + wait;
        let mut listed = listed.lock().unwrap();
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if listed.revision > after || left.is_zero() {
                return render(&listed, after);
            }
            listed = changed.wait_timeout(listed, left).unwrap().0;
        }
    }
}

/// The list, or with `after` over 0 the entries that changed after that revision.
fn render(listed: &Listed, after: u64) -> String {
    let entries: Vec<String> = listed
        .members
        .iter()
        .filter(|(.., changed)| *changed > after)
        .filter(|(_, _, phase, _)| after > 0 || *phase != "gone")
        .map(|(id, address, phase, _)| {
            format!(
                r#"{{"id":"{id}","host_port":"{address}","locality":"derby","flavor":"full-box","cell":1,"phase":"{phase}","size":1.0,"up_since_ms":0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"revision":{},"complete":{},"members":[{}]}}"#,
        listed.revision,
        after == 0,
        entries.join(",")
    )
}

/// One read on a connection of its own: how it ended, and when. The client waits 1.5 s for the first byte, and 30 s in
/// all.
pub fn read_whole(node: SocketAddr, record: &Record, key: &str, id: &str) -> (End, f64) {
    let Ok(mut client) = Client::connect(node) else { return (End::Closed, record.seconds()) };
    if client.send_read(key, id, 1500).is_err() {
        return (End::Closed, record.seconds());
    }
    record.line(&format!("client: sent {key} O{id} d=1500"));
    let end = client.answer(id, Duration::from_secs(30), |line| {
        record.line(&format!("client: O{id}: first line: {line}"))
    });
    let at = record.seconds();
    record.line(&format!("client: O{id}: {end:?}"));
    (end, at)
}

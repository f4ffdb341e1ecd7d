//! Clients that send requests for as long as their connection is open, and record the outcome of each.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

use super::{open_command, read_command, TEST_TIMEOUT};

/// SplitMix64 pseudo-random number generator; the same seed gives the same sequence.
pub struct SplitMix64(u64);

impl SplitMix64 {
    /// Generator with this seed.
    pub fn new(seed: u64) -> Self {
        SplitMix64(seed)
    }

    /// Next number in `0..bound`.
    pub fn next_below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        (mixed ^ (mixed >> 31)) % bound
    }
}

/// When a client sends its next request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SendMode {
    /// Closed loop: waits for the answers, then sends again after a random pause of up to `max_pause`.
    ClosedLoop { max_pause: Duration },
    /// Open loop: sends at this interval, whether answers have come or not.
    OpenLoop { interval: Duration },
}

/// Record of a sent request and of its answer, if one came.
#[derive(Clone, Debug)]
pub struct SentRequest {
    pub id: String,
    /// When the connection it was sent on was opened.
    pub connected_at: Instant,
    pub sent_at: Instant,
    pub answer: Option<(String, Instant)>,
}

/// Client on a thread of its own. When its connection ends it opens another, until connecting fails or it is stopped.
pub struct TrafficClient {
    stopped: Arc<AtomicBool>,
    thread: JoinHandle<Vec<SentRequest>>,
}

/// Settings of a traffic client.
#[derive(Clone)]
pub struct TrafficSettings {
    pub name: String,
    pub seed: u64,
    pub mode: SendMode,
    /// Deadline in the requests (`d=`), in milliseconds.
    pub deadline_ms: u32,
}

impl TrafficClient {
    /// Starts sending to a node.
    pub fn start(address: SocketAddr, settings: TrafficSettings) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let stop = stopped.clone();
        let thread = spawn(move || settings.run(address, &stop));
        TrafficClient { stopped, thread }
    }

    /// Makes the client stop, without waiting for it.
    pub fn request_stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }

    /// Stops the client and returns its requests, in the order sent.
    pub fn finish(self) -> Vec<SentRequest> {
        self.request_stop();
        self.thread.join().unwrap()
    }
}

impl TrafficSettings {
    fn run(self, address: SocketAddr, stopped: &AtomicBool) -> Vec<SentRequest> {
        let mut rng = SplitMix64::new(self.seed);
        let mut requests = Vec::new();
        while !stopped.load(Ordering::SeqCst) {
            let Ok(stream) = TcpStream::connect(address) else { break };
            stream.set_nodelay(true).unwrap();
            stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
            let connection = Connection { stream, connected_at: Instant::now() };
            match self.mode {
                SendMode::ClosedLoop { max_pause } => {
                    self.run_closed_loop(&connection, max_pause, &mut rng, &mut requests, stopped)
                }
                SendMode::OpenLoop { interval } => {
                    self.run_open_loop(&connection, interval, &mut rng, &mut requests, stopped)
                }
            }
        }
        requests
    }

    /// Repeatedly sends one to three requests, reads their answers, and pauses.
    fn run_closed_loop(
        &self,
        connection: &Connection,
        max_pause: Duration,
        rng: &mut SplitMix64,
        requests: &mut Vec<SentRequest>,
        stopped: &AtomicBool,
    ) {
        let mut reader = BufReader::new(connection.stream.try_clone().unwrap());
        while !stopped.load(Ordering::SeqCst) {
            let first = requests.len();
            for _ in 0..=rng.next_below(3) {
                if !self.send_request(connection, rng, requests) {
                    return;
                }
            }
            for request in &mut requests[first..] {
                request.answer = read_complete_answer(&mut reader);
                if request.answer.is_none() {
                    return;
                }
            }
            sleep(Duration::from_micros(rng.next_below(max_pause.as_micros() as u64 + 1)));
        }
    }

    /// Sends one request per interval, while another thread reads the answers.
    fn run_open_loop(
        &self,
        connection: &Connection,
        interval: Duration,
        rng: &mut SplitMix64,
        requests: &mut Vec<SentRequest>,
        stopped: &AtomicBool,
    ) {
        let answers: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
        let ended = Arc::new(AtomicBool::new(false));
        let (received, reader_ended) = (answers.clone(), ended.clone());
        let mut reader = BufReader::new(connection.stream.try_clone().unwrap());
        let reader_thread = spawn(move || {
            while let Some(answer) = read_complete_answer(&mut reader) {
                received.lock().unwrap().push(answer);
            }
            reader_ended.store(true, Ordering::SeqCst);
        });
        let first = requests.len();
        while !stopped.load(Ordering::SeqCst)
            && !ended.load(Ordering::SeqCst)
            && self.send_request(connection, rng, requests)
        {
            sleep(interval);
        }
        // After the stop the client still waits for the outstanding answers.
        while !ended.load(Ordering::SeqCst) && answers.lock().unwrap().len() < requests.len() - first {
            sleep(Duration::from_millis(1));
        }
        let _ = connection.stream.shutdown(std::net::Shutdown::Both);
        reader_thread.join().unwrap();
        let answers = std::mem::take(&mut *answers.lock().unwrap());
        for (request, answer) in requests[first..].iter_mut().zip(answers) {
            request.answer = Some(answer);
        }
    }

    /// Sends a request; false if the connection has ended.
    fn send_request(
        &self,
        connection: &Connection,
        rng: &mut SplitMix64,
        requests: &mut Vec<SentRequest>,
    ) -> bool {
        let id = format!("{}x{}", self.name, requests.len());
        let key = format!("key{}", rng.next_below(64));
        let text = match rng.next_below(3) {
            0 => open_command(&key, &id, self.deadline_ms),
            _ => read_command(&key, &id, self.deadline_ms),
        };
        let sent_at = Instant::now();
        requests.push(SentRequest { id, connected_at: connection.connected_at, sent_at, answer: None });
        (&connection.stream).write_all(text.as_bytes()).is_ok()
    }
}

struct Connection {
    stream: TcpStream,
    connected_at: Instant,
}

/// Reads the next answer with its value, and the time of its last byte; `None` if it is incomplete.
fn read_complete_answer(reader: &mut BufReader<TcpStream>) -> Option<(String, Instant)> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    if let Some(length) = line.strip_prefix("VA ").and_then(|rest| rest.split(' ').next()) {
        let mut value = vec![0; length.parse::<usize>().unwrap() + 2];
        reader.read_exact(&mut value).ok()?;
        line += &String::from_utf8_lossy(&value);
    }
    line.ends_with("\r\n").then(|| (line, Instant::now()))
}

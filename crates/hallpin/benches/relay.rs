//! Cost of the node compared with a plain byte relay, in one run: `cargo bench -p hallpin --bench relay`.
//!
//! Closed loop over 12 boxes that answer at once. Node and relay run as separate processes and alternate, so that other
//! load on the machine affects both. Prints medians over the rounds, and the median, minimum and maximum of the ratios.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hallpin_loadgen::load::fake_server::{Behavior, FakeServer};
use hallpin_loadgen::statistics::quartiles;
use hallpin_protocol::client::{next_answer, Answer, ClientCommand};
use hallpin_simulation::scenario::Scenario;
use hdrhistogram::Histogram;
use serde_json::json;
use tokio::io::{copy_bidirectional, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const BOXES: usize = 12;
const KEYS: u64 = 5000;
const CONNECTIONS: [usize; 3] = [1, 64, 512];
const ROUNDS: usize = 3;
/// Unmeasured start of each round, while the node learns the state of its boxes.
const WARM_UP: Duration = Duration::from_secs(3);
/// Measured duration of each round.
const MEASURED: Duration = Duration::from_secs(3);

type BenchResult<T> = Result<T, Box<dyn std::error::Error>>;

/// A process under test; dropping the value kills the process.
struct Target {
    child: Child,
    address: SocketAddr,
}

impl Drop for Target {
    fn drop(&mut self) {
        // A process that has already ended is no error here.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn free_port() -> BenchResult<SocketAddr> {
    Ok(std::net::TcpListener::bind(("127.0.0.1", 0))?.local_addr()?)
}

/// Waits until the process listens at its address.
fn wait_until_listening(child: Child, address: SocketAddr) -> BenchResult<Target> {
    let start = Instant::now();
    while std::net::TcpStream::connect(address).is_err() {
        if start.elapsed() > Duration::from_secs(10) {
            return Err("the target does not listen after 10 s".into());
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(Target { child, address })
}

fn start_node(boxes: &[FakeServer], folder: &Path) -> BenchResult<Target> {
    let address = free_port()?;
    let scenario = Scenario::parse("version = 1\n[nodes]\ncount = 1\n")?;
    let day = scenario.draw(1)?;
    let member = |(n, fake_server): (usize, &FakeServer)| {
        json!({"id": format!("b{n:02}"), "host_port": fake_server.address.to_string(), "locality": day.depots[0],
            "flavor": "standard", "cell": n, "phase": "ready", "size": 1.0, "up_since_ms": 0.0})
    };
    let members: Vec<_> = boxes.iter().enumerate().map(member).collect();
    let config = json!({
        "name": "n0", "listen": address, "discovery": free_port()?, "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 4096},
        "known": {"revision": 1, "complete": true, "members": members}, "settings": day.settings(0),
    });
    let path = folder.join("node.json");
    std::fs::write(&path, config.to_string())?;
    let child = Command::new(env!("CARGO_BIN_EXE_hallpin"))
        .args(["node", "--end-with-input", "--config"])
        .arg(&path)
        .env("HALLPIN_LOG", "error")
        .stdin(Stdio::piped())
        .spawn()?;
    wait_until_listening(child, address)
}

fn start_relay(boxes: &[FakeServer]) -> BenchResult<Target> {
    let address = free_port()?;
    let child = Command::new(std::env::current_exe()?)
        .arg("relay")
        .arg(address.to_string())
        .args(boxes.iter().map(|fake_server| fake_server.address.to_string()))
        .stdin(Stdio::piped())
        .spawn()?;
    wait_until_listening(child, address)
}

/// Runs the relay: forwards each connection byte for byte to the next box, on one thread.
fn run_relay(arguments: &[String]) -> BenchResult<()> {
    let addresses: Vec<SocketAddr> = arguments.iter().map(|a| a.parse()).collect::<Result<_, _>>()?;
    let (address, boxes) = addresses.split_first().ok_or("relay: addresses expected")?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(address).await?;
        for target in boxes.iter().cycle() {
            let (mut client, _) = listener.accept().await?;
            let target = *target;
            tokio::task::spawn_local(async move {
                client.set_nodelay(true)?;
                let mut server = TcpStream::connect(target).await?;
                server.set_nodelay(true)?;
                copy_bidirectional(&mut client, &mut server).await
            });
        }
        Ok(())
    })
}

/// Measurements of one round.
#[derive(Clone, Copy, Debug)]
struct Round {
    /// Requests per second.
    rate: f64,
    /// CPU time of the target per request, in microseconds.
    cpu: f64,
    /// Latency quantiles in milliseconds.
    p50: f64,
    p99: f64,
    p999: f64,
    /// Resident memory in KiB.
    memory: f64,
    /// Answers other than completions.
    not_completed: u64,
}

/// Returns the user plus system time of a process in seconds, and its resident memory in KiB.
fn usage(pid: u32) -> BenchResult<(f64, f64)> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = stat.rsplit(") ").next().ok_or("stat: a name in brackets expected")?;
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |n: usize| fields.get(n).and_then(|f| f.parse::<f64>().ok()).ok_or("stat: a number expected");
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident =
        resident.and_then(|text| text.split_whitespace().next()).and_then(|text| text.parse().ok());
    // Linux reports CPU time to user space in units of 1/100 s (USER_HZ).
    Ok(((ticks(11)? + ticks(12)?) / 100.0, resident.unwrap_or(0.0)))
}

async fn client(address: SocketAddr, number: usize, window: Rc<Window>) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut input = BytesMut::new();
    for n in 0u64.. {
        // The same key order for node and relay, without an obvious pattern.
        let key = format!("k{:05}", (n * 7919 + number as u64 * 104_729) % KEYS);
        let opaque = format!("{:x}", (number as u64) << 32 | n);
        let command = ClientCommand {
            key: &key,
            value: None,
            opaque: &opaque,
            class: "lookup",
            tenant: None,
            wait: Duration::from_secs(1),
            work_hint: None,
            idempotency_key: None,
            retry: false,
        };
        let start = Instant::now();
        stream.write_all(&command.to_bytes()).await?;
        let answer = loop {
            match next_answer(&mut input) {
                Ok(Some(answer)) => break answer,
                Ok(None) if stream.read_buf(&mut input).await? > 0 => {}
                _ => return Err(std::io::ErrorKind::InvalidData.into()),
            }
        };
        if Instant::now() > window.end {
            return Ok(());
        }
        if start > window.begin {
            let completed = matches!(answer, Answer::Value(_, of) if of == opaque.as_bytes());
            window.count(start.elapsed(), completed);
        }
    }
    Ok(())
}

/// Measured time window and the results within it.
struct Window {
    begin: Instant,
    end: Instant,
    times: std::cell::RefCell<Histogram<u64>>,
    not_completed: std::cell::Cell<u64>,
}

impl Window {
    fn count(&self, took: Duration, completed: bool) {
        if completed {
            self.times.borrow_mut().saturating_record(took.as_nanos() as u64);
        } else {
            self.not_completed.set(self.not_completed.get() + 1);
        }
    }
}

fn measure(target: &Target, connections: usize) -> BenchResult<Round> {
    let begin = Instant::now() + WARM_UP;
    let window = Rc::new(Window {
        begin,
        end: begin + MEASURED,
        times: Histogram::new_with_bounds(1, 60_000_000_000, 3)?.into(),
        not_completed: 0.into(),
    });
    let pid = target.child.id();
    let watcher = std::thread::spawn(move || {
        std::thread::sleep(begin.saturating_duration_since(Instant::now()));
        let before = usage(pid).map_err(|error| error.to_string())?;
        std::thread::sleep(MEASURED);
        let after = usage(pid).map_err(|error| error.to_string())?;
        Ok::<_, String>((after.0 - before.0, after.1))
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let local = LocalSet::new();
    let failed = local.block_on(&runtime, async {
        let mut clients = tokio::task::JoinSet::new();
        for number in 0..connections {
            clients.spawn_local(client(target.address, number, window.clone()));
        }
        let mut failed = None;
        while let Some(ended) = clients.join_next().await {
            failed = failed.or(ended.ok().and_then(Result::err));
        }
        failed
    });
    if let Some(error) = failed {
        return Err(error.into());
    }
    let (cpu, memory) = watcher.join().map_err(|_| "the thread that samples CPU and memory panicked")??;
    let times = window.times.borrow();
    let all = (times.len() + window.not_completed.get()).max(1) as f64;
    let ms = |q| times.value_at_quantile(q) as f64 / 1e6;
    Ok(Round {
        rate: all / MEASURED.as_secs_f64(),
        cpu: cpu * 1e6 / all,
        p50: ms(0.5),
        p99: ms(0.99),
        p999: ms(0.999),
        memory,
        not_completed: window.not_completed.get(),
    })
}

fn main() -> BenchResult<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|first| first == "relay") {
        return run_relay(&arguments[1..]);
    }
    // Without `--bench`, `cargo test` only checks that the benchmark builds.
    if !arguments.iter().any(|argument| argument == "--bench") {
        return Ok(());
    }
    let boxes = (0..BOXES)
        .map(|_| FakeServer::start(Behavior::Immediate, None))
        .collect::<std::io::Result<Vec<_>>>()?;
    let folder = tempfile::tempdir()?;
    println!(
        "connections  target  requests/s  CPU us  p50 ms  p99 ms  p99.9 ms  KiB/connection  not completed"
    );
    for connections in CONNECTIONS {
        let mut rounds = [Vec::new(), Vec::new()];
        let mut idle_memory = [0.0; 2];
        for _ in 0..ROUNDS {
            for target_index in 0..2 {
                let target =
                    if target_index == 0 { start_node(&boxes, folder.path())? } else { start_relay(&boxes)? };
                idle_memory[target_index] = usage(target.child.id())?.1;
                rounds[target_index].push(measure(&target, connections)?);
            }
        }
        let median = |target_index: usize, of: fn(&Round) -> f64| {
            quartiles(rounds[target_index].iter().map(of)).map_or(0.0, |s| s.median)
        };
        for (target_index, name) in ["node", "relay"].into_iter().enumerate() {
            let memory =
                (median(target_index, |r| r.memory) - idle_memory[target_index]) / connections as f64;
            println!(
                "{connections:>11}  {name:>6}  {:>10.0}  {:>6.1}  {:>6.3}  {:>6.3}  {:>8.3}  {memory:>14.1}  {:>13.0}",
                median(target_index, |r| r.rate),
                median(target_index, |r| r.cpu),
                median(target_index, |r| r.p50),
                median(target_index, |r| r.p99),
                median(target_index, |r| r.p999),
                median(target_index, |r| r.not_completed as f64),
            );
        }
        for (name, of) in
            [("CPU", (|r| r.cpu) as fn(&Round) -> f64), ("p99", |r| r.p99), ("rate", |r| r.rate)]
        {
            let ratios = rounds[0].iter().zip(&rounds[1]).map(|(node, relay)| of(node) / of(relay).max(1e-9));
            if let Some(s) = quartiles(ratios) {
                println!(
                    "{connections:>11}  {name}: node to relay {:.2} ({:.2} to {:.2})",
                    s.median, s.min, s.max
                );
            }
        }
    }
    Ok(())
}

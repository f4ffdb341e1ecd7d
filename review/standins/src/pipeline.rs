//! A planned restart of a node while its clients send many commands at once on their connections.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{Client, End};
use crate::has_trouble;
use crate::platform::{terminate, Node, Record, Site, BROKEN, HELD, MIDLANDS, NOT_RUN};
use crate::servers::{CacheServer, Discovery, Values};

const CLIENTS: usize = 6;
/// A client sends so many commands at once, each `EVERY`, whether the earlier ones are answered or not: 180 requests a
/// second by all of them.
const AT_ONCE: usize = 3;
const EVERY: Duration = Duration::from_millis(100);
const DEADLINE_MS: u64 = 1500;
/// The clients send for this long; SIGTERM comes after a third of it.
const LASTING: Duration = Duration::from_secs(3);
/// A request that was written so long or longer ahead of the end of its connection did not cross with that end: the
/// pages' slack on sockets (0.05 s) and the longest hold-up of a node (0.15 s) together.
const CROSSING_S: f64 = 0.2;

pub fn run(record: &Record) -> i32 {
    // Mean work of 58 ms with a long tail, as the site has it: one request in 20 needs 600 ms, the others 30 ms.
    let values = Values {
        short_takes: Duration::from_millis(30),
        slow_takes: Duration::from_millis(600),
        ..Values::default()
    };
    let servers: Vec<CacheServer> =
        (0..3).map(|n| CacheServer::start(&format!("s-{n}"), record, values)).collect();
    let discovery = Discovery::start(record, &servers);
    // The clients are at the first node; what they have to send once more goes to the other.
    let site = |me| Site { nodes: 2, me, ..MIDLANDS };
    let mut node = Node::start(record, site(0), discovery.address, &discovery.list());
    let mut other = Node::start(record, site(1), discovery.address, &discovery.list());
    if !node.wait_until_ready(Duration::from_secs(30)) || !other.wait_until_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (listen, instead, record) = (node.listen, other.listen, record.clone());
            std::thread::spawn(move || client(listen, instead, &record, n))
        })
        .collect();
    std::thread::sleep(LASTING / 3);
    let killed_at = if has_trouble() { terminate(record, &mut node) } else { None };
    if killed_at.is_some() {
        record.line("the node outlasted its time; what a kill finds is not judged here");
        return NOT_RUN;
    }
    let lost: Option<usize> = clients.into_iter().map(|client| client.join().ok().flatten()).sum();
    let Some(lost) = lost else { return NOT_RUN };
    record.line(&format!("{lost} requests lost"));
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}

/// A request that has no answer yet.
struct Open {
    key: String,
    id: String,
    /// When it was written, in seconds of the record.
    at: f64,
}

/// One client. Returns how many requests the node lost.
fn client(node: SocketAddr, instead: SocketAddr, record: &Record, n: usize) -> Option<usize> {
    let mut reader = Client::connect(node).ok()?;
    let mut writer = reader.try_clone().ok()?;
    let open: Arc<Mutex<VecDeque<Open>>> = Arc::default();
    let ended = Arc::new(AtomicBool::new(false));
    let (written, has_ended, of_writer) = (open.clone(), ended.clone(), record.clone());
    let writing = std::thread::spawn(move || {
        let started = Instant::now();
        let mut number = 0;
        while started.elapsed() < LASTING && !has_ended.load(Ordering::SeqCst) {
            for _ in 0..AT_ONCE {
                number += 1;
                let kind = if (number + 3 * n) % 20 == 0 { "slow" } else { "short" };
                let (key, id) = (format!("{kind}-{n}-{}", number % 40), format!("{n:04x}{number:012x}"));
                written.lock().unwrap().push_back(Open {
                    key: key.clone(),
                    id: id.clone(),
                    at: of_writer.seconds(),
                });
                // An error shows when the answer is read.
                let _ = writer.send_read(&key, &id, DEADLINE_MS);
            }
            std::thread::sleep(EVERY);
        }
        has_ended.store(true, Ordering::SeqCst);
    });
    let (mut served, mut other, mut lost) = (0, 0, 0);
    let end = loop {
        let Some(id) = open.lock().unwrap().front().map(|open| open.id.clone()) else {
            if ended.load(Ordering::SeqCst) {
                break None;
            }
            std::thread::sleep(Duration::from_millis(1));
            continue;
        };
        match reader.answer(&id, Duration::from_secs(5), |_| {}) {
            End::Whole => served += 1,
            End::Line(_) => other += 1,
            End::Foreign => {
                record.line(&format!("client {n}: O{id}: a foreign value"));
                lost += 1;
            }
            end => break Some((end, record.seconds())),
        }
        open.lock().unwrap().pop_front();
    };
    ended.store(true, Ordering::SeqCst);
    writing.join().ok()?;
    let open: Vec<Open> = open.lock().unwrap().drain(..).collect();
    if let Some((end, ended_at)) = end {
        let (crossed, early): (Vec<Open>, Vec<Open>) =
            open.into_iter().partition(|open| ended_at - open.at < CROSSING_S);
        record.line(&format!("client {n}: the connection ended: {end:?}"));
        for open in &early {
            record.line(&format!(
                "client {n}: O{}: LOST: written {:.3} s ahead of the end, never answered",
                open.id,
                ended_at - open.at
            ));
        }
        lost += early.len();
        send_again(instead, record, n, &crossed);
        // A node that closes over bytes that it has not read resets the connection. It may read for a second.
        std::thread::sleep(Duration::from_millis(1500));
        let how =
            if reader.was_reset() { "was reset" } else { "was not reset: the node had read every byte" };
        record.line(&format!("client {n}: 1.5 s after its end the connection {how}"));
    }
    record.line(&format!("client {n}: {served} served, {other} refused or failed, {lost} lost"));
    Some(lost)
}

/// What crossed with the end of a connection is sent once more on a new one, to another node.
fn send_again(node: SocketAddr, record: &Record, n: usize, crossed: &[Open]) {
    let Ok(mut connection) = Client::connect(node) else {
        return record.line(&format!("client {n}: no new connection"));
    };
    for open in crossed {
        let _ = connection.send_read(&open.key, &open.id, DEADLINE_MS);
    }
    let answers = crossed.iter().map(|open| connection.answer(&open.id, Duration::from_secs(5), |_| {}));
    let served = answers.filter(|end| *end == End::Whole).count();
    record.line(&format!(
        "client {n}: {} requests crossed with the end and were sent once more, {served} served",
        crossed.len()
    ));
}

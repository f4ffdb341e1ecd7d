//! An upgrade whose new process is stopped again, while the old one runs on.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_standins_2::client::{read_command, Answer, Client};
use review_standins_2::discovery::{known, Discovery, Member};
use review_standins_2::platform::{Folder, Node, Setup};
use review_standins_2::server::{self, sound_answer, Step};
use review_standins_2::Verdict;

use crate::Case;

const LONG_VALUE: usize = 2 << 20;
/// The client of the long value takes it in this time.
const LONG_READ: Duration = Duration::from_millis(3500);
/// Time that the usual clients wait: half of the class's time (clients' tries are given up after 50 to 80 % of it).
const WAIT_MS: u64 = 1000;
/// An answer up to so much behind its time is not lost.
const LATE: Duration = Duration::from_millis(500);
/// The kill comes the longest deadline and 0.7 s after SIGTERM.
const KILL_AFTER: Duration = Duration::from_millis(2700);

pub fn run(case: &Case) -> Verdict {
    match play(case) {
        Ok(lost) if lost > 0 => Verdict::Broken,
        Ok(_) => Verdict::Held,
        Err(why) => Verdict::NotRun(why),
    }
}

fn play(case: &Case) -> Result<usize, String> {
    let record = &case.record;
    let folder = Folder::new();
    let members: Vec<Member> = (0..4)
        .map(|number| {
            let address = server::start(move |command| {
                if command.line.contains("mg long") {
                    return vec![Step::Write(server::value(&command.id, &vec![b'v'; LONG_VALUE]))];
                }
                vec![Step::Wait(Duration::from_millis(20)), Step::Write(sound_answer(command))]
            });
            Member::ready(format!("s-{number}"), address)
        })
        .collect();
    let discovery = Discovery::start(record, members.clone());
    let mut setup = Setup::new(discovery.address, known(&members));
    let mut old = Node::start(&case.root, &folder, "old", &setup)?;
    old.wait_ready(Duration::from_secs(10))?;
    record.line(&format!("old process {} is ready", old.pid()));

    // Usual clients: each opens a connection, asks once, and closes.
    let going = Arc::new(AtomicBool::new(true));
    let results: Arc<Mutex<Vec<(f64, Result<(), String>)>>> = Arc::default();
    let (address, mut clients) = (old.address, Vec::new());
    for number in 0..10 {
        let (going, results, record) = (going.clone(), results.clone(), record.clone());
        clients.push(spawn(move || {
            let mut count = 0;
            while going.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("{:08x}{count:08x}", number + 1);
                let at = record.now();
                let outcome = ask(address, &id);
                let text = outcome.as_ref().map_or_else(|why| why.clone(), |()| "answered".to_string());
                record.line(&format!("client {number} id {id} sent at {at:.3}: {text}"));
                results.lock().unwrap().push((at, outcome));
                sleep(Duration::from_millis(50));
            }
        }));
    }
    sleep(Duration::from_secs(1));
    setup.operator = review_standins_2::platform::free_address();
    let mut new = Node::start(&case.root, &folder, "new", &setup)?;
    let started = Instant::now();
    let log = folder.0.join("old.log");
    while !std::fs::read_to_string(&log).unwrap_or_default().contains("the successor serves") {
        if started.elapsed() > Duration::from_secs(6) {
            return Err("the new process did not take over".into());
        }
        sleep(Duration::from_millis(10));
    }
    record.line(&format!("new process {} serves", new.pid()));
    sleep(Duration::from_millis(500));
    // A client of the new process that reads a long value for some seconds.
    let slow = {
        let record = record.clone();
        spawn(move || slow_reader(address, &record))
    };
    sleep(Duration::from_millis(300));
    if case.trouble {
        record.line("SIGTERM to the new process");
        new.signal("TERM");
    }
    sleep(KILL_AFTER);
    if case.trouble {
        record.line(&format!("SIGKILL to the new process (had ended: {})", new.has_ended()));
        new.kill();
    }
    sleep(Duration::from_secs(3));
    going.store(false, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let _ = slow.join();
    if old.has_ended() {
        return Err("the old process has ended".into());
    }
    let results = results.lock().unwrap();
    let lost: Vec<_> = results.iter().filter(|(_, outcome)| outcome.is_err()).collect();
    record.line(&format!("{} requests, {} with no answer", results.len(), lost.len()));
    Ok(lost.len())
}

/// Sends one request on a new connection and waits for its answer, as long as an answer counts.
fn ask(address: std::net::SocketAddr, id: &str) -> Result<(), String> {
    let patience = Duration::from_millis(WAIT_MS) + LATE;
    let mut client = match Client::connect(address, patience) {
        Ok(client) => client,
        // Refused: the node's machine has accepted no connection.
        Err(_) => return Ok(()),
    };
    client.send(&read_command(&format!("key{id}"), id, WAIT_MS)).map_err(|error| error.to_string())?;
    match client.answer() {
        Ok(Answer::Value { id: got, .. }) if got == id => Ok(()),
        Ok(Answer::Busy | Answer::Failed(_)) => Ok(()),
        Ok(other) => Err(format!("{other:?}")),
        Err(error) => Err(format!("no answer: {error}")),
    }
}

fn slow_reader(address: std::net::SocketAddr, record: &review_standins_2::record::Record) {
    use std::io::{Read, Write};
    let Ok(mut stream) = std::net::TcpStream::connect(address) else { return };
    let _ = stream.write_all(read_command("long", "00000000000000aa", 2000).as_bytes());
    let (mut got, mut buffer) = (0, vec![0; LONG_VALUE / 70]);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(3)));
    while got < LONG_VALUE {
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => got += read,
            _ => break,
        }
        sleep(LONG_READ / 70);
    }
    record.line(&format!("the client of the long value got {got} bytes"));
}

//! A planned restart while clients read long values. After SIGTERM each sends a write on its connection.

use std::collections::HashSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_standins_2::client::{read_command, write_command};
use review_standins_2::discovery::{known, Discovery, Member};
use review_standins_2::platform::{Folder, Node, Setup};
use review_standins_2::record::Record;
use review_standins_2::server::{self, sound_answer, Step};
use review_standins_2::Verdict;

use crate::Case;

const LONG_VALUE: usize = 4 << 20;
/// A client takes its long value in so many seconds.
const LONG_READ_S: f64 = 6.0;
const CLIENTS: u64 = 5;
/// SIGTERM comes this long after the long values were asked for.
const TERM_AFTER: Duration = Duration::from_millis(1000);
/// Each client asks once more this long after SIGTERM; what comes over 0.7 s after it has to be answered by the kill.
const SECOND_AFTER: Duration = Duration::from_millis(900);
/// The longest deadline and 0.7 s.
const KILL_AFTER: Duration = Duration::from_millis(2700);

pub fn run(case: &Case) -> Verdict {
    match play(case) {
        Ok(0) => Verdict::Held,
        Ok(_) => Verdict::Broken,
        Err(why) => Verdict::NotRun(why),
    }
}

fn play(case: &Case) -> Result<usize, String> {
    let record = &case.record;
    let folder = Folder::new();
    let ran: Arc<Mutex<HashSet<String>>> = Arc::default();
    let members: Vec<Member> = (0..4)
        .map(|number| {
            let (ran, record) = (ran.clone(), record.clone());
            let address = server::start(move |command| {
                record.line(&format!("s-{number} runs {}", command.line));
                ran.lock().unwrap().insert(command.id.clone());
                match command.line.contains("mg long") {
                    true => vec![Step::Write(server::value(&command.id, &vec![b'v'; LONG_VALUE]))],
                    false => vec![Step::Wait(Duration::from_millis(20)), Step::Write(sound_answer(command))],
                }
            });
            Member::ready(format!("s-{number}"), address)
        })
        .collect();
    let discovery = Discovery::start(record, members.clone());
    let setup = Setup::new(discovery.address, known(&members));
    let mut node = Node::start(&case.root, &folder, "node", &setup)?;
    node.wait_ready(Duration::from_secs(10))?;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, address) = (record.clone(), node.address);
            spawn(move || client(number, address, &record))
        })
        .collect();
    sleep(TERM_AFTER);
    if case.trouble {
        record.line("SIGTERM");
        node.signal("TERM");
        sleep(KILL_AFTER);
        record.line(&format!("SIGKILL (had ended: {})", node.has_ended()));
        node.kill();
    }
    let answered: Vec<bool> = clients.into_iter().map(|client| client.join().unwrap_or(false)).collect();
    let lost = answered.iter().filter(|answered| !**answered).count();
    let has_run = (0..CLIENTS).filter(|number| ran.lock().unwrap().contains(&second_id(*number))).count();
    record.line(&format!(
        "{lost} of {CLIENTS} reports (writes) got no answer; {has_run} have run at a cache server"
    ));
    Ok(lost)
}

fn second_id(number: u64) -> String {
    format!("{number:08x}00000002")
}

/// Reads a long value steadily and asks once more on its connection; tells whether that request was answered.
fn client(number: u64, address: SocketAddr, record: &Record) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    let first = format!("{number:08x}00000001");
    let _ = stream.write_all(read_command(&format!("long{number}"), &first, 2000).as_bytes());
    let start = Instant::now();
    record.line(&format!("client {number} asked for a long value, id {first}"));
    let expected = format!("O{}", second_id(number));
    let (mut received, mut has_asked) = (Vec::new(), false);
    let mut piece = vec![0; LONG_VALUE / 240];
    loop {
        if !has_asked && start.elapsed() >= TERM_AFTER + SECOND_AFTER {
            has_asked = true;
            let key = format!("key{number}");
            let second = write_command(&key, &second_id(number), &format!("k{number:015x}"), 2000);
            let sent = stream.write_all(second.as_bytes()).is_ok();
            record.line(&format!(
                "client {number} sent a write on the same connection, id {}: {sent}",
                second_id(number)
            ));
        }
        match stream.read(&mut piece) {
            Ok(read) if read > 0 => received.extend_from_slice(&piece[..read]),
            other => {
                record.line(&format!("client {number} got {} bytes, then {other:?}", received.len()));
                return false;
            }
        }
        let tail = &received[received.len().saturating_sub(200)..];
        if has_asked && String::from_utf8_lossy(tail).contains(&expected) {
            record.line(&format!(
                "client {number} got the value and the second answer, {} bytes",
                received.len()
            ));
            return true;
        }
        sleep(
            Duration::from_secs_f64(received.len() as f64 / LONG_VALUE as f64 * LONG_READ_S)
                .saturating_sub(start.elapsed()),
        );
    }
}

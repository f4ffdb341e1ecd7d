//! Clients that send much at once and go, while one of four cache servers hangs.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use review_standins_2::discovery::{known, Discovery, Member};
use review_standins_2::platform::{Folder, Node, Setup};
use review_standins_2::server::{self, sound_answer, Step};
use review_standins_2::Verdict;

use crate::Case;

const CLIENTS: u64 = 5;
/// More than the systems of both ends hold: a client sends what is taken at once, and goes.
const COMMANDS: u64 = 800;
const AT_ONCE: Duration = Duration::from_millis(50);
/// Commands of a client that stays and reads its answers.
const FEW: u64 = 100;
const VALUE: usize = 8 * 1024;
/// From so long after its client's close on, no attempt may begin; with the 50 ms of all limits on sockets.
const AFTER_CLOSE: f64 = 0.150;

pub fn run(case: &Case) -> Verdict {
    match play(case) {
        Ok(0) => Verdict::Held,
        Ok(_) => Verdict::Broken,
        Err(why) => Verdict::NotRun(why),
    }
}

fn command(client: u64, number: u64) -> Vec<u8> {
    let id = format!("{client:08x}{number:08x}");
    let mut bytes =
        format!("ms key{id} {VALUE} O{id} Pc=missed-bin,t=soar-valley,d=1500,k=k{id}\r\n").into_bytes();
    bytes.resize(bytes.len() + VALUE, b'v');
    bytes.extend_from_slice(b"\r\n");
    bytes
}

fn play(case: &Case) -> Result<usize, String> {
    let record = &case.record;
    let folder = Folder::new();
    let arrivals: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let members: Vec<Member> = (0..4)
        .map(|number| {
            let (arrivals, record) = (arrivals.clone(), record.clone());
            let address = server::start(move |command| {
                let at = record.now();
                record.line(&format!("s-{number} got {}", command.id));
                arrivals.lock().unwrap().push((at, command.id.clone()));
                match number {
                    // Hangs.
                    0 => vec![Step::Wait(Duration::from_secs(30))],
                    _ => vec![Step::Wait(Duration::from_millis(20)), Step::Write(sound_answer(command))],
                }
            });
            Member::ready(format!("s-{number}"), address)
        })
        .collect();
    let discovery = Discovery::start(record, members.clone());
    let setup = Setup::new(discovery.address, known(&members));
    let mut node = Node::start(&case.root, &folder, "node", &setup)?;
    node.wait_ready(Duration::from_secs(10))?;
    let mut late = 0;
    for client in 0..CLIENTS {
        let mut stream = TcpStream::connect(node.address).map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let commands = if case.trouble { COMMANDS } else { FEW };
        let text: Vec<u8> = (0..commands).flat_map(|number| command(client, number)).collect();
        stream.set_write_timeout(Some(AT_ONCE)).map_err(|error| error.to_string())?;
        let mut sent = 0;
        while let Ok(written) = stream.write(&text[sent..]) {
            sent += written;
            if sent == text.len() {
                break;
            }
        }
        record.line(&format!("client {client} sent {sent} bytes"));
        if !case.trouble {
            let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
            let mut answers = Vec::new();
            let mut piece = [0; 4096];
            let count = |answers: &[u8]| answers.iter().filter(|byte| **byte == b'\n').count() as u64;
            while count(&answers) < commands {
                match stream.read(&mut piece) {
                    Ok(read) if read > 0 => answers.extend_from_slice(&piece[..read]),
                    _ => break,
                }
            }
            record.line(&format!("client {client} has {} answers", count(&answers)));
        }
        drop(stream);
        let closed = record.now();
        record.line(&format!("client {client} has closed its connection"));
        sleep(Duration::from_millis(2500));
        for (at, id) in arrivals.lock().unwrap().iter() {
            if id.starts_with(&format!("{client:08x}")) && *at > closed + AFTER_CLOSE {
                late += 1;
                record.line(&format!(
                    "{id} came to a cache server {:.3} s after its client's close",
                    at - closed
                ));
            }
        }
    }
    if node.has_ended() {
        return Err("the node has ended".into());
    }
    record.line(&format!("{late} attempts began over {AFTER_CLOSE} s after the close"));
    Ok(late)
}

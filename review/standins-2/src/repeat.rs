//! Ids of writes whose clients have left come again in an upgrade.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

use review_standins_2::client::{write_command, Client};
use review_standins_2::discovery::{known, Discovery, Member};
use review_standins_2::platform::{free_address, Folder, Node, Setup};
use review_standins_2::server::{self, sound_answer, Step};
use review_standins_2::Verdict;

use crate::Case;

const CLIENTS: u64 = 5;
/// All cache servers drop a repeat of a key for so long, by the settings; with the 50 ms of all limits on sockets.
const WINDOW: f64 = 1.2 + 0.05;
/// The mean work of a write: it is applied when it begins, and answered so much later.
const WORK: Duration = Duration::from_millis(98);
/// The clients leave this long after their requests.
const LEAVE_AFTER: Duration = Duration::from_millis(40);
/// The ids come again this long after the requests, which had 2 s.
const AGAIN_AFTER: Duration = Duration::from_millis(1450);
const DEADLINE_MS: u64 = 2000;

/// When each key was applied.
type Applied = Arc<Mutex<HashMap<String, Vec<f64>>>>;

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
    let applied: Applied = Arc::default();
    let members: Vec<Member> = (0..4)
        .map(|number| {
            let (applied, record) = (applied.clone(), record.clone());
            let address = server::start(move |command| {
                let at = record.now();
                let key = command.line.rsplit("k=").next().unwrap_or_default().to_string();
                let mut applied = applied.lock().unwrap();
                let times = applied.entry(key.clone()).or_default();
                let is_repeat = times.last().is_some_and(|last| at < last + WINDOW);
                record.line(&format!(
                    "s-{number} got {} with key {key}, repeat dropped: {is_repeat}",
                    command.id
                ));
                if !is_repeat {
                    times.push(at);
                }
                vec![Step::Wait(WORK), Step::Write(sound_answer(command))]
            });
            Member::ready(format!("s-{number}"), address)
        })
        .collect();
    let discovery = Discovery::start(record, members.clone());
    let mut setup = Setup::new(discovery.address, known(&members));
    let old = Node::start(&case.root, &folder, "old", &setup)?;
    old.wait_ready(Duration::from_secs(10))?;
    let texts: Vec<String> = (0..CLIENTS)
        .map(|number| {
            let (id, key) = (format!("{number:08x}00000001"), format!("c{number:015x}"));
            write_command(&format!("key{number}"), &id, &key, DEADLINE_MS)
        })
        .collect();
    let start = Instant::now();
    let mut clients = Vec::new();
    for text in &texts {
        let mut client =
            Client::connect(old.address, Duration::from_secs(3)).map_err(|error| error.to_string())?;
        client.send(text).map_err(|error| error.to_string())?;
        record.line(&format!("sent {}", text.lines().next().unwrap_or_default()));
        clients.push(client);
    }
    sleep(LEAVE_AFTER);
    drop(clients);
    record.line("the clients have left");
    sleep(Duration::from_millis(50));
    let mut new = None;
    if case.trouble {
        setup.operator = free_address();
        new = Some(Node::start(&case.root, &folder, "new", &setup)?);
        let log = folder.0.join("old.log");
        while !std::fs::read_to_string(&log).unwrap_or_default().contains("the successor serves") {
            if start.elapsed() > Duration::from_millis(1200) {
                return Err("the new process did not take over in time".into());
            }
            sleep(Duration::from_millis(5));
        }
        record.line("the new process serves; SIGTERM to the old one");
        old.signal("TERM");
    }
    sleep(AGAIN_AFTER.saturating_sub(start.elapsed()));
    for text in &texts {
        let mut client =
            Client::connect(old.address, Duration::from_secs(3)).map_err(|error| error.to_string())?;
        client.send(text).map_err(|error| error.to_string())?;
        record.line(&format!("sent again {}", text.lines().next().unwrap_or_default()));
        sleep(Duration::from_millis(20));
        clients_answer(case, client);
    }
    sleep(Duration::from_millis(500));
    drop(new);
    let applied = applied.lock().unwrap();
    let twice: Vec<_> = applied.iter().filter(|(_, times)| times.len() > 1).collect();
    for (key, times) in &twice {
        record.line(&format!("key {key} was applied {} times, at {times:?}", times.len()));
    }
    record.line(&format!("{} of {CLIENTS} writes were applied twice", twice.len()));
    match applied.len() as u64 {
        CLIENTS => Ok(twice.len()),
        count => Err(format!("{count} of {CLIENTS} writes came to a cache server")),
    }
}

/// Records the answer to a repeated id in the background.
fn clients_answer(case: &Case, mut client: Client) {
    let record = case.record.clone();
    std::thread::spawn(move || record.line(&format!("answer to a repeated id: {:?}", client.answer())));
}

//! Commands of one client behind a long value that breaks off at its cache server.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::Duration;

use review_standins_2::client::{read_command, write_command, Client};
use review_standins_2::discovery::{known, Discovery, Member};
use review_standins_2::platform::{Folder, Node, Setup};
use review_standins_2::server::{self, sound_answer, value, Step};
use review_standins_2::Verdict;

use crate::Case;

const LONG_VALUE: usize = 1 << 20;
const CLIENTS: usize = 10;

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
            let (ran, record, breaks) = (ran.clone(), record.clone(), case.trouble);
            let address = server::start(move |command| {
                record.line(&format!("s-{number} runs {}", command.line));
                ran.lock().unwrap().insert(command.id.clone());
                if !command.line.contains("mg long") {
                    return vec![Step::Wait(Duration::from_millis(20)), Step::Write(sound_answer(command))];
                }
                let whole = value(&command.id, &vec![b'v'; LONG_VALUE]);
                let half = whole[..LONG_VALUE / 2].to_vec();
                let rest = whole[LONG_VALUE / 2..].to_vec();
                let wait = Step::Wait(Duration::from_millis(300));
                match breaks {
                    true => vec![Step::Write(half), wait, Step::Close],
                    false => vec![Step::Write(half), wait, Step::Write(rest)],
                }
            });
            Member::ready(format!("s-{number}"), address)
        })
        .collect();
    let discovery = Discovery::start(record, members.clone());
    let setup = Setup::new(discovery.address, known(&members));
    let node = Node::start(&case.root, &folder, "node", &setup)?;
    node.wait_ready(Duration::from_secs(10))?;
    let mut lost = 0;
    for number in 0..CLIENTS {
        let mut client =
            Client::connect(node.address, Duration::from_millis(2500)).map_err(|error| error.to_string())?;
        let ids: Vec<String> = (0..3).map(|n| format!("{number:08x}{n:08x}")).collect();
        let text = read_command(&format!("long{number}"), &ids[0], 2000)
            + &write_command(&format!("key{number}"), &ids[1], &format!("k{number:015x}"), 2000)
            + &read_command(&format!("other{number}"), &ids[2], 2000);
        client.send(&text).map_err(|error| error.to_string())?;
        for (n, id) in ids.iter().enumerate() {
            match client.answer() {
                Ok(_) => record.line(&format!("client {number} id {id}: answered")),
                Err(error) => {
                    let has_run = ran.lock().unwrap().contains(id);
                    record.line(&format!(
                        "client {number} id {id}: no answer, {error}; has run at a cache server: {has_run}"
                    ));
                    // The value itself has failed, and its client can tell.
                    lost += usize::from(n > 0 && has_run);
                }
            }
        }
        sleep(Duration::from_millis(100));
    }
    record.line(&format!("{lost} requests that had run got no answer"));
    Ok(lost)
}

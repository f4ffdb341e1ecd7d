//! An upgrade of a node whose list names 3,200 cache servers, at the least memory that the pages name.

use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use review_standins_2::client::{read_command, Client};
use review_standins_2::discovery::{known, Discovery, Member};
use review_standins_2::platform::{free_address, Folder, Node, Setup};
use review_standins_2::server::{connection, sound_answer, Handler, Step};
use review_standins_2::Verdict;

use crate::Case;

const SERVERS: usize = 3200;
/// Cache servers of one process, so that no process needs many descriptors.
const GROUP: usize = 800;
const MEMORY_MB: usize = 32;
const CLIENTS: u64 = 8;

/// The process of a group of cache servers: prints their addresses, and ends with its standard input.
pub fn servers(arguments: &[String]) {
    let count: usize = arguments.first().and_then(|text| text.parse().ok()).unwrap_or(0);
    let listeners: Vec<TcpListener> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    for listener in &listeners {
        listener.set_nonblocking(true).unwrap();
        println!("{}", listener.local_addr().unwrap());
    }
    println!("all");
    spawn(|| {
        let _ = std::io::stdin().read_to_end(&mut Vec::new());
        std::process::exit(0);
    });
    let handler: Arc<Handler> =
        Arc::new(|command| vec![Step::Wait(Duration::from_millis(20)), Step::Write(sound_answer(command))]);
    loop {
        for listener in &listeners {
            while let Ok((stream, _)) = listener.accept() {
                let handler = handler.clone();
                spawn(move || {
                    let _ = stream.set_nonblocking(false);
                    let _ = connection(stream, &*handler);
                });
            }
        }
        sleep(Duration::from_millis(2));
    }
}

struct Group(Child);

impl Group {
    fn start(addresses: &mut Vec<SocketAddr>, count: usize) -> Result<Self, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut child = Command::new(program)
            .args(["servers", &count.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let before = addresses.len();
        for line in BufReader::new(child.stdout.take().unwrap()).lines().map_while(Result::ok) {
            match line.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => break,
            }
        }
        match addresses.len() - before == count {
            true => Ok(Group(child)),
            false => Err("the cache servers did not start".into()),
        }
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub fn run(case: &Case) -> Verdict {
    match play(case) {
        Ok(true) => Verdict::Broken,
        Ok(false) => Verdict::Held,
        Err(why) => Verdict::NotRun(why),
    }
}

/// Memory of the node's processes in kB; pages of the program's file count once.
fn memory_kb(nodes: &[Node]) -> u64 {
    let own: u64 = nodes.iter().map(|node| node.memory_kb("RssAnon:")).sum();
    own + nodes.iter().map(|node| node.memory_kb("RssFile:")).max().unwrap_or(0)
}

fn play(case: &Case) -> Result<bool, String> {
    let record = &case.record;
    let folder = Folder::new();
    let (mut addresses, mut groups) = (Vec::new(), Vec::new());
    for _ in 0..SERVERS / GROUP {
        groups.push(Group::start(&mut addresses, GROUP)?);
    }
    let members: Vec<Member> = addresses
        .iter()
        .enumerate()
        .map(|(n, address)| Member::ready(format!("s-{n:08x}"), *address))
        .collect();
    let discovery = Discovery::start(record, members.clone());
    let mut setup = Setup::new(discovery.address, known(&members));
    setup.memory_mb = MEMORY_MB;
    let mut nodes = vec![Node::start(&case.root, &folder, "old", &setup)?];
    nodes[0].wait_ready(Duration::from_secs(30))?;
    record.line(&format!("old process {} is ready with {SERVERS} cache servers", nodes[0].pid()));

    let going = Arc::new(AtomicBool::new(true));
    let unanswered: Arc<Mutex<Vec<String>>> = Arc::default();
    let address = nodes[0].address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (going, unanswered, record) = (going.clone(), unanswered.clone(), record.clone());
            spawn(move || {
                let (mut client, mut count) = (None, 0);
                while going.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("{number:08x}{count:08x}");
                    if client.is_none() {
                        client = Client::connect(address, Duration::from_millis(2500)).ok();
                    }
                    let Some(open) = client.as_mut() else {
                        sleep(Duration::from_millis(20));
                        continue;
                    };
                    let sent = open.send(&read_command(&format!("key{id}"), &id, 2000));
                    match sent.and_then(|()| open.answer()) {
                        Ok(answer) => record.line(&format!("client {number} id {id}: {answer:?}")),
                        Err(error) => {
                            record.line(&format!("client {number} id {id}: no answer, {error}"));
                            unanswered.lock().unwrap().push(id);
                            client = None;
                        }
                    }
                    sleep(Duration::from_millis(60));
                }
            })
        })
        .collect();
    let limit_kb = (MEMORY_MB << 10) as u64;
    let (mut peak, mut over) = (0, false);
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(8) && !over {
        if case.trouble && nodes.len() == 1 && start.elapsed() > Duration::from_secs(3) {
            setup.operator = free_address();
            nodes.push(Node::start(&case.root, &folder, "new", &setup)?);
            record.line(&format!("new process {} started alongside", nodes[1].pid()));
        }
        let now = memory_kb(&nodes);
        if now > peak + 1000 {
            record.line(&format!("memory of the node's processes: {now} kB of {limit_kb} kB"));
        }
        peak = peak.max(now);
        over = now > limit_kb;
        sleep(Duration::from_millis(10));
    }
    if over {
        // What the platform does with a node over its memory.
        record.line("over the limit: the node is killed");
        nodes.iter_mut().for_each(Node::kill);
        sleep(Duration::from_millis(300));
    }
    going.store(false, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let count = unanswered.lock().unwrap().len();
    record.line(&format!("peak {peak} kB, {count} requests unanswered"));
    Ok(over)
}

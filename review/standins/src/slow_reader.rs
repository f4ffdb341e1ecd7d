//! A planned restart while a client reads its answers slowly and goes on sending.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::client::{Client, End};
use crate::has_trouble;
use crate::platform::{terminate, Node, Record, BROKEN, HELD, MIDLANDS, NOT_RUN};
use crate::servers::{CacheServer, Discovery, Values};

/// Reads that the client has sent, all at once, ahead of SIGTERM; each has a value of 60 KiB.
const READS: usize = 4;
const LENGTH: usize = 60 << 10;
/// The client reads 4 KiB each 0.1 s, 4.5 s for all.
const PIECE: usize = 4096;
const REST: Duration = Duration::from_millis(100);
/// It sends a further short read so often.
const EVERY: Duration = Duration::from_millis(300);

pub fn run(record: &Record) -> i32 {
    let values = Values { length: LENGTH, piece: LENGTH, ..Values::default() };
    let servers: Vec<CacheServer> =
        (0..3).map(|n| CacheServer::start(&format!("s-{n}"), record, values)).collect();
    let discovery = Discovery::start(record, &servers);
    let mut node = Node::start(record, MIDLANDS, discovery.address, &discovery.list());
    if !node.wait_until_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    let Ok(mut client) = Client::connect(node.listen) else { return NOT_RUN };
    let ids: Vec<String> = (0..READS).map(|n| format!("1a{n:014x}")).collect();
    for (n, id) in ids.iter().enumerate() {
        if client.send_read(&format!("long-{n}"), id, 1500).is_err() {
            return NOT_RUN;
        }
    }
    std::thread::sleep(Duration::from_millis(200));
    record.line(&format!("client: sent {READS} reads of {LENGTH} bytes"));
    client.slow = Some((PIECE, REST));
    let Ok(mut writer) = client.try_clone() else { return NOT_RUN };
    let done = Arc::new(AtomicBool::new(false));
    let (is_done, of_writer) = (done.clone(), record.clone());
    let writing = std::thread::spawn(move || {
        let mut number = 0;
        while !is_done.load(Ordering::SeqCst) {
            std::thread::sleep(EVERY);
            number += 1;
            let sent = writer.send_read(&format!("short-{number}"), &format!("2b{number:014x}"), 1500);
            of_writer.line(&format!("client: wrote a short read: {sent:?}"));
            if sent.is_err() {
                return;
            }
        }
    });
    let of_reader = record.clone();
    let reading = std::thread::spawn(move || {
        let mut lost = 0;
        for id in &ids {
            let end = client.answer(id, Duration::from_secs(20), |_| {});
            of_reader.line(&format!("client: O{id}: {end:?}"));
            lost += usize::from(!matches!(end, End::Whole | End::Line(_)));
        }
        lost
    });
    let killed_at = if has_trouble() { terminate(record, &mut node) } else { None };
    let lost = reading.join().unwrap_or(READS);
    done.store(true, Ordering::SeqCst);
    let _ = writing.join();
    if killed_at.is_some() {
        record.line("the node outlasted its time; what a kill finds is not judged here");
        return NOT_RUN;
    }
    record.line(&format!("{lost} of {READS} reads lost that were sent ahead of SIGTERM"));
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}

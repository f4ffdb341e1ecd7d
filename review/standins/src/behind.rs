//! A client sends a long read and more commands behind it; the cache server's connection ends in the middle of the
//! long value.

use std::time::Duration;

use crate::client::{Client, End};
use crate::has_trouble;
use crate::platform::{Node, Record, BROKEN, HELD, MIDLANDS, NOT_RUN};
use crate::servers::{CacheServer, Discovery, Values};

pub fn run(record: &Record) -> i32 {
    let breaks_after = has_trouble().then_some(256 << 10);
    let values = Values {
        length: 1 << 20,
        piece: 64 << 10,
        pause: Duration::from_millis(20),
        breaks_after,
        ..Values::default()
    };
    let servers: Vec<CacheServer> =
        (0..3).map(|n| CacheServer::start(&format!("s-{n}"), record, values)).collect();
    let discovery = Discovery::start(record, &servers);
    let mut node = Node::start(record, MIDLANDS, discovery.address, &discovery.list());
    if !node.wait_until_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    let Ok(mut client) = Client::connect(node.listen) else { return NOT_RUN };
    let long = "1a00000000000000";
    let write = "3c00000000000001";
    let short = "3c00000000000002";
    let sent = client
        .send_read("long-0", long, 1500)
        .and_then(|()| client.send_write("report-1", write, "5c0f6e1a2b3d4c59", 1500))
        .and_then(|()| client.send_read("short-2", short, 1500));
    if sent.is_err() {
        return NOT_RUN;
    }
    record.line("client: sent a long read, a write and a short read on one connection");
    let mut ends = Vec::new();
    for id in [long, write, short] {
        let end = client
            .answer(id, Duration::from_secs(10), |line| record.line(&format!("client: first line: {line}")));
        record.line(&format!("client: O{id}: {end:?}"));
        ends.push(end);
    }
    std::thread::sleep(Duration::from_millis(200));
    // The long value itself cannot be finished: it has failed, and its client can tell. The others are owed an answer,
    // if the node has read them, which an attempt for them at a cache server shows.
    let mut lost = 0;
    for (id, end) in [write, short].iter().zip(&ends[1..]) {
        let ran = servers.iter().any(|server| server.received().iter().any(|received| received.id == *id));
        let answered = matches!(end, End::Whole | End::Line(_));
        record.line(&format!("O{id}: came to a cache server: {ran}; answered: {answered}"));
        lost += usize::from(ran && !answered);
    }
    record.line(&format!(
        "{lost} of 2 requests behind the long one were taken, and their connection ended with no answer"
    ));
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}

//! Long values whose cache servers need some seconds to write them, in a few pieces.

use std::time::Duration;

use crate::client::End;
use crate::has_trouble;
use crate::platform::{Node, Record, BROKEN, HELD, MIDLANDS, NOT_RUN};
use crate::servers::{read_whole, CacheServer, Discovery, Values};

const LONG_READS: usize = 3;

pub fn run(record: &Record) -> i32 {
    // 1 MiB in four pieces. With the disruption a server needs 4.5 s to write them, 1.5 s ahead of each but the first.
    let pause = Duration::from_millis(if has_trouble() { 1500 } else { 0 });
    let values = Values { length: 1 << 20, piece: 256 << 10, pause, ..Values::default() };
    let servers: Vec<CacheServer> =
        (0..3).map(|n| CacheServer::start(&format!("s-{n}"), record, values)).collect();
    let discovery = Discovery::start(record, &servers);
    let mut node = Node::start(record, MIDLANDS, discovery.address, &discovery.list());
    if !node.wait_until_ready(Duration::from_secs(30)) {
        return NOT_RUN;
    }
    let readers: Vec<_> = (0..LONG_READS)
        .map(|n| {
            let (listen, record) = (node.listen, record.clone());
            std::thread::spawn(move || {
                read_whole(listen, &record, &format!("long-{n}"), &format!("1a{n:014x}"))
            })
        })
        .collect();
    let ends: Vec<End> =
        readers.into_iter().map(|reader| reader.join().map_or(End::Silent, |(end, _)| end)).collect();
    let lost = ends
        .iter()
        .filter(|end| matches!(end, End::Cut { .. } | End::Closed | End::Foreign | End::Silent))
        .count();
    record.line(&format!("{lost} of {LONG_READS} long reads lost"));
    if lost > 0 {
        BROKEN
    } else {
        HELD
    }
}
